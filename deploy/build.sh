#!/bin/sh
# Builds the system for the platform. All output is written to target/.
set -eu
if ! [ target/deps/.ready -nt deploy/requirements.txt ]; then
    rm -rf target/deps
    python3 -m pip install --quiet --disable-pip-version-check --no-deps \
        --target target/deps --requirement deploy/requirements.txt
    touch target/deps/.ready
fi
rm -rf target/deps/gentianspoke target/deps/gentianspoke_platform
cp -R src/gentianspoke platform/gentianspoke_platform target/deps/
python3 -m compileall -q target/deps
python3 -S platform/store_code.py target/deps
