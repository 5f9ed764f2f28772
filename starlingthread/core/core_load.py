"""The load of this process's own core: how it is measured, and which requests are shed for it."""

from __future__ import annotations

from ..policy import Balancer
from ..settings import RequestClass
from .clock import Clock
from .counters import Counters
from .cpu_monitor import CpuMonitor
from .deadlines import Deadlines
from .messages import Rejected
from .overload_log import OverloadLog
from .telemetry import FinalStatus, Telemetry

CPU_SAMPLE_INTERVAL = 250.0  # ms
OWN_DELAY_ALLOWANCE = 20.0  # ms of an exchange for which this process is busy at any time; more is a delay of its own


class CoreLoad:
    """Measures how busy the core is, and asks the decision module which of the requests read may be queued for it."""

    def __init__(
        self, balancer: Balancer, clock: Clock, deadlines: Deadlines, counters: Counters, telemetry: Telemetry
    ) -> None:
        self.cores = 1.0  # CPU share that this process may use
        self.cpu = CpuMonitor()
        self.log = OverloadLog(counters)
        self.open_requests = 0  # as of the last turn
        self._admission = balancer.admission
        self._clock = clock
        self._deadlines = deadlines
        self._counters = counters
        self._telemetry = telemetry
        self._cpu_saturated = False
        self._queued_requests = 0  # read since the last turn, and not shed

    @property
    def is_saturated(self) -> bool:
        """Whether this process used its whole CPU share lately."""
        return self._cpu_saturated or self.is_shedding

    @property
    def is_shedding(self) -> bool:
        """Whether requests may be rejected by :meth:`shed`."""
        return self._admission.core.is_shedding

    def idle_time(self) -> float:
        """Return for how long (ms) this process has been idle; where that is not measured, it always is."""
        return self.cpu.idle_seconds() * 1000.0 if self.cpu.idle_seconds is not None else self._clock.now()

    def own_delay(self, elapsed: float, idle_time_at_start: float) -> float:
        """Return how much of a time (ms) that has elapsed until now is to be put down to this process.

        idle_time_at_start: what :meth:`idle_time` was at its begin.
        """
        busy = elapsed - (self.idle_time() - idle_time_at_start)
        return min(elapsed, max(0.0, busy - OWN_DELAY_ALLOWANCE))

    def sample_cpu(self) -> None:
        """Look at the CPU's use, now and from then on at intervals."""
        now = self._clock.now()
        self._cpu_saturated = self.cpu.sample(now, self.cores)
        self.log.on_cpu_sample(now, self._cpu_saturated, self.cpu, self.open_requests)
        self._deadlines.set(now + CPU_SAMPLE_INTERVAL, self.sample_cpu)

    def on_turn(self, open_requests: int) -> None:
        """Note that the router's actor takes what is queued."""
        self.open_requests = open_requests
        self._queued_requests = 0
        self.log.on_turn()

    def queue_time(self, waited: float, remaining_share: float) -> float:
        """Return how long a request (ms) was queued for want of CPU; on a core with spare capacity it was not."""
        self.log.on_arrival(waited, remaining_share)
        return waited if self._cpu_saturated else 0.0

    def shed(self, now: float, request_class: RequestClass, budget: float) -> Rejected | None:
        """Return the rejection of a request that has just been read; or None, and it has a place in the queue.

        budget: ms until its client gives up.
        """
        retry_after = self._admission.check_queue(now, request_class, budget, self._queued_requests)
        if retry_after is None:
            self._queued_requests += 1
            return None
        self._counters.increment("requests.shed")
        self._counters.increment("answers.rejected")
        self._telemetry.on_received()
        self._telemetry.on_finished(request_class.name, FinalStatus.BUSY)
        return Rejected(retry_after)
