#!/bin/sh
# Builds the stand-ins of cases 6 to 10: 6/deployment.py and 6/standins.py, which
# all cases use, and the script of each case. They are Python programs that use
# the standard library only, so they are compiled to see that they can run.
set -eu
cd "$(dirname "$0")"
python3 -m py_compile 6/deployment.py 6/standins.py
for number in 6 7 8 9 10; do
    if [ -f "$number/case.py" ]; then
        python3 -m py_compile "$number/case.py"
    fi
done
