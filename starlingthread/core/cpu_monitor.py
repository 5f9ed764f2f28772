"""How much of its CPU share this process uses."""

from __future__ import annotations

import time

SATURATED_SHARE = 0.9  # of the CPU share, above which it counts as saturated


class CpuMonitor:
    """Compares the CPU time used between two samples with the time that passed."""

    def __init__(self) -> None:
        self._sampled_at = 0.0  # ms of the router's clock
        self._cpu_seconds = 0.0

    def sample(self, now: float, cores: float) -> bool:
        """Return whether the CPU was saturated since the last sample, with so many cores to use.

        The process decides in one thread, which uses one core at most.
        """
        cpu_seconds = time.process_time()
        used = (cpu_seconds - self._cpu_seconds) * 1000.0
        available = min(1.0, cores) * (now - self._sampled_at)
        self._sampled_at = now
        self._cpu_seconds = cpu_seconds
        return used > SATURATED_SHARE * available
