#!/bin/sh
# Builds the stand-ins of the cases: 1/world.py, which all cases use, and
# 2/invalid.py, which cases 2 and 3 use. They are plain Python of the standard
# library (3.11 or newer), so this only compiles them.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 -m compileall -q [1-5]
