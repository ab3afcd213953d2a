#!/bin/sh
# Prepares the stand-ins of the cases 6 to 10, which are Python without libraries.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 -m compileall -q stand2 6 7 8 9 10
