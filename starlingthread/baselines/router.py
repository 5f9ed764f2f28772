"""The router with a baseline policy: ``python -m starlingthread.baselines.router POLICY``, for comparisons."""

from __future__ import annotations

import sys

from .. import __main__ as program
from ..core import router
from .policies import POLICIES


def main() -> int:
    """Run the router with the policy that the command line names."""
    if len(sys.argv) != 2 or sys.argv[1] not in POLICIES:
        print(f"expected one of {', '.join(POLICIES)}", file=sys.stderr)
        return 2
    setattr(router, "Balancer", POLICIES[sys.argv[1]])  # noqa: B010 - mypy knows no such name to assign to
    return program.main()


if __name__ == "__main__":
    sys.exit(main())
