#!/bin/sh
cd "$(dirname "$0")/../.." && exec python3 review/11/case.py
