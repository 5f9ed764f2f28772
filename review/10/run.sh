#!/bin/sh
# Plays the case; see claim.txt. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
test -x ../../.venv/bin/python || exit 2
PYTHONDONTWRITEBYTECODE=1 exec ../../.venv/bin/python case.py
