"""How much of its CPU share this process uses."""

from __future__ import annotations

import time
from collections.abc import Callable

SATURATED_SHARE = 0.9  # of the CPU share, above which it counts as saturated
MAX_IDLE_SHARE = 0.1  # of the time; a loop that is idle for less is saturated, whoever uses the CPU


class CpuMonitor:
    """Compares the CPU time used between two samples with the time that passed."""

    def __init__(self) -> None:
        self.idle_seconds: Callable[[], float] | None = None  # of the event loop, where that is measured
        self.used_share = 0.0  # of the CPU share, between the last two samples
        self.idle_share = 1.0  # of the time, between the last two samples
        self._is_first_sample = True
        self._sampled_at = 0.0  # ms of the router's clock
        self._cpu_seconds = 0.0
        self._idle_seconds = 0.0

    def sample(self, now: float, cores: float) -> bool:
        """Return whether the CPU was saturated since the last sample, with so many cores to use.

        The process decides in one thread, which uses one core at most. Where other processes use the core, little CPU
        time is used and yet the loop is never idle.
        """
        cpu_seconds = time.process_time()
        idle_seconds = self.idle_seconds() if self.idle_seconds is not None else None
        elapsed_ms = now - self._sampled_at
        if self._is_first_sample:
            self._is_first_sample = False
        elif elapsed_ms > 0:
            self.used_share = (cpu_seconds - self._cpu_seconds) * 1000.0 / (min(1.0, cores) * elapsed_ms)
            if idle_seconds is not None:
                self.idle_share = (idle_seconds - self._idle_seconds) * 1000.0 / elapsed_ms
        self._sampled_at = now
        self._cpu_seconds = cpu_seconds
        self._idle_seconds = idle_seconds or 0.0
        return self.used_share > SATURATED_SHARE or self.idle_share < MAX_IDLE_SHARE
