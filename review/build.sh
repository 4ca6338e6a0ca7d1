#!/bin/sh
# Builds the stand-ins of the cases. They are plain Python of the standard
# library (3.11 or newer), so this only compiles them.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 -m compileall -q standins [1-5]
