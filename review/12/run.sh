#!/bin/sh
# TROUBLE=0 runs the case without its disruption.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")/../.." && exec python3 review/12/case.py
