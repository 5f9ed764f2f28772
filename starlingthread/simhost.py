"""Entry point that deploy/balancer.toml names for the simulator: ``python -m starlingthread.simhost``."""

from __future__ import annotations

import sys

from .simulator_adapter import main

if __name__ == "__main__":
    sys.exit(main())
