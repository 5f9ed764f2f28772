"""Measurement of the CPU usage of this process, relative to its CPU share."""

from __future__ import annotations

import time
from collections.abc import Callable

# The process is saturated if it uses more than this part of its CPU share.
SATURATED_SHARE = 0.9
# The process is also saturated if its event loop is idle for less than this part of the time: other processes may use
# the CPU.
MIN_IDLE_SHARE = 0.1


class CpuMonitor:
    """Compares the CPU time used between two samples with the elapsed time."""

    def __init__(self) -> None:
        # Returns the event loop's total idle time; None if that is not measured.
        self.idle_seconds: Callable[[], float] | None = None
        self.used_share = 0.0  # The part of the CPU share that was used between the last two samples.
        self.idle_share = 1.0  # The part of the time between the last two samples in which the event loop was idle.
        self._is_first_sample = True
        self._sampled_at = 0.0  # The time of the last sample, in ms of the router's clock.
        self._cpu_seconds = 0.0
        self._idle_seconds = 0.0

    def sample(self, now: float, cores: float) -> bool:
        """Take a sample at the time ``now`` (ms), and return whether the CPU was saturated since the last one.

        ``cores`` is the number of cores that the process may use. Its event loop runs in one thread, so more than one
        core does not help. If other processes use the core, this one uses little CPU time although its event loop is
        never idle.
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
        return self.used_share > SATURATED_SHARE or self.idle_share < MIN_IDLE_SHARE
