#!/bin/sh
# Builds what the cases review/6 to review/10 start beside the router: stand-ins of the standard library, nothing else.
# It runs after the build of the deploy file, from any folder, without a network.
cd "$(dirname "$0")" || exit 1
test -x ../.venv/bin/python || { echo "run the build of deploy/balancer.toml first" >&2; exit 1; }
exec ../.venv/bin/python - standins.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py <<'CHECK'
import sys
from pathlib import Path

for name in sys.argv[1:]:
    if Path(name).exists():
        compile(Path(name).read_bytes(), name, "exec")
CHECK
