#!/bin/sh
# Builds what the scripts start beside the deploy build: Python modules, which only need
# to compile. No file is written.
set -eu
cd "$(dirname "$0")"
for file in *.py */*.py; do
    python3 -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
