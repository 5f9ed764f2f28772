"""Runs the router with a baseline policy, for comparisons: ``python -m starlingthread.baselines.router POLICY``."""

from __future__ import annotations

import sys

from .. import __main__ as program
from ..core import router
from .policies import POLICIES


def main() -> int:
    """Run the router with the policy named on the command line."""
    if len(sys.argv) != 2 or sys.argv[1] not in POLICIES:
        print(f"expected one of {', '.join(POLICIES)}", file=sys.stderr)
        return 2
    setattr(router, "Balancer", POLICIES[sys.argv[1]])  # noqa: B010 - mypy rejects a direct assignment
    return program.main()


if __name__ == "__main__":
    sys.exit(main())
