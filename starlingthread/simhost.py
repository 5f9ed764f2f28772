"""Entry point for the simulator, named in deploy/balancer.toml: ``python -m starlingthread.simhost``."""

from __future__ import annotations

import sys

from .simulator_adapter import main

if __name__ == "__main__":
    sys.exit(main())
