#!/bin/sh
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
folder=$(dirname "$(readlink -f "$0")")
cd "$folder/../.." || exit 2
test -x .venv/bin/python || { echo "build first" >&2; exit 2; }
exec .venv/bin/python -B "$folder/case.py"
