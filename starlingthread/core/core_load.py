"""The load of this process's own core."""

from __future__ import annotations

from .clock import Clock
from .counters import Counters
from .cpu_monitor import CpuMonitor
from .deadlines import Deadlines
from .overload_log import OverloadLog

CPU_SAMPLE_INTERVAL = 250.0  # ms


class CoreLoad:
    """Measures how busy the core is."""

    def __init__(self, clock: Clock, deadlines: Deadlines, counters: Counters) -> None:
        self.cores = 1.0  # CPU share that this process may use
        self.cpu = CpuMonitor()
        self.log = OverloadLog(counters)
        self.open_requests = 0  # as of the last turn
        self._clock = clock
        self._deadlines = deadlines
        self._cpu_saturated = False

    @property
    def is_saturated(self) -> bool:
        """Whether this process used its whole CPU share lately."""
        return self._cpu_saturated

    def sample_cpu(self) -> None:
        """Look at the CPU's use, now and from then on at intervals."""
        now = self._clock.now()
        self._cpu_saturated = self.cpu.sample(now, self.cores)
        self.log.on_cpu_sample(now, self._cpu_saturated, self.cpu, self.open_requests)
        self._deadlines.set(now + CPU_SAMPLE_INTERVAL, self.sample_cpu)

    def on_turn(self, open_requests: int) -> None:
        """Note that the router's actor takes what is queued."""
        self.open_requests = open_requests
        self.log.on_turn()

    def queue_time(self, waited: float, remaining_share: float) -> float:
        """Return how long a request (ms) was queued for want of CPU; on a core with spare capacity it was not."""
        self.log.on_arrival(waited, remaining_share)
        return waited if self._cpu_saturated else 0.0
