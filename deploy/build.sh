#!/bin/sh
# Installs the pinned libraries and the packages, byte-compiled, below target/.
set -eu
cd "$(dirname "$0")/.."
PYTHON=${PYTHON:-python3}
deps=target/deps
if ! cmp -s deploy/requirements.txt target/requirements.txt; then
    rm -rf "$deps"
    "$PYTHON" -m pip install -q --disable-pip-version-check --no-compile \
        --target "$deps" -r deploy/requirements.txt
    "$PYTHON" -m compileall -q "$deps"
    cp deploy/requirements.txt target/requirements.txt
fi
rm -rf target/app
mkdir -p target/app
cp deploy/start.py target/app/
cp -r packages/core/src/pimentobend_core packages/adapters/src/pimentobend_adapters \
    packages/daemon/src/pimentobendd platform/pimentobend_platform target/app/
find target/app -name __pycache__ -prune -exec rm -rf {} +
"$PYTHON" -m compileall -q target/app
