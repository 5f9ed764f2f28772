#!/bin/sh
# Nothing to install: the stand-ins of the cases are plain Python of the standard library, and run in the .venv that the
# build of the deploy file makes. This only checks that they compile there.
cd "$(dirname "$0")/.." || exit 2
for file in review/common.py review/[0-9]*/case.py; do
    .venv/bin/python -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 2
done
