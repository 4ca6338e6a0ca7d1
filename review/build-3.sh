#!/bin/sh
# Builds what the scripts of review cases 11 to 15 start besides the system.
# Their stand-ins are Python files that need the standard library only.
set -eu
cd "$(dirname "$0")/.."
for script in review/1[1-5]/play.py; do
    if [ -f "$script" ]; then
        python3 - "$script" <<'PY'
import ast, pathlib, sys
ast.parse(pathlib.Path(sys.argv[1]).read_text(), sys.argv[1])
PY
    fi
done
