"""The load on the CPU core that this process runs on: its measurement, and load shedding when it is overloaded."""

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

CPU_SAMPLE_INTERVAL_MS = 250.0
# Every router process is busy for up to this long during an exchange; only the excess counts as its own delay.
OWN_DELAY_ALLOWANCE_MS = 20.0


class CoreLoad:
    """Measures the CPU load, and asks the decision module which of the requests that were read are shed."""

    def __init__(
        self, balancer: Balancer, clock: Clock, deadlines: Deadlines, counters: Counters, telemetry: Telemetry
    ) -> None:
        self.cores = 1.0  # The number of CPU cores that this process may use, possibly a fraction.
        self.cpu = CpuMonitor()
        self.overload_log = OverloadLog(counters)
        self.open_requests = 0  # The number of open requests at the last turn of the router's actor.
        self._admission = balancer.admission
        self._clock = clock
        self._deadlines = deadlines
        self._counters = counters
        self._telemetry = telemetry
        self._cpu_saturated = False
        self._queued_requests = 0  # The requests that were read since the last turn and not shed.

    @property
    def is_saturated(self) -> bool:
        """Whether this process used its whole CPU share in the last sample, or sheds requests."""
        return self._cpu_saturated or self.is_shedding

    @property
    def is_shedding(self) -> bool:
        """Whether :meth:`shed` may reject requests."""
        return self._admission.core.is_shedding

    def idle_time(self) -> float:
        """Return the idle time of this process in ms; where it is not measured, the process counts as always idle."""
        return self.cpu.idle_seconds() * 1000.0 if self.cpu.idle_seconds is not None else self._clock.now()

    def own_delay(self, elapsed: float, idle_time_at_start: float) -> float:
        """Return the part in ms of an exchange's duration that was caused by this process itself.

        elapsed: duration in ms until now.
        idle_time_at_start: value of :meth:`idle_time` when the exchange started.
        """
        busy = elapsed - (self.idle_time() - idle_time_at_start)
        return min(elapsed, max(0.0, busy - OWN_DELAY_ALLOWANCE_MS))

    def sample_cpu(self) -> None:
        """Sample the CPU usage now, and schedule the next sample."""
        now = self._clock.now()
        self._cpu_saturated = self.cpu.sample(now, self.cores)
        self.overload_log.on_cpu_sample(now, self._cpu_saturated, self.cpu, self.open_requests)
        self._deadlines.set(now + CPU_SAMPLE_INTERVAL_MS, self.sample_cpu)

    def on_turn(self, open_requests: int) -> None:
        """Start a turn of the router's actor, which processes all queued requests."""
        self.open_requests = open_requests
        self._queued_requests = 0
        self.overload_log.on_turn()

    def queue_time(self, waited: float, remaining_share: float) -> float:
        """Return the time in ms for which a request was queued for lack of CPU; 0 if the CPU was not saturated.

        waited: ms from the receipt of the request until now.
        remaining_share: part of its class's deadline that is left, 0 to 1.
        """
        self.overload_log.on_arrival(waited, remaining_share)
        return waited if self._cpu_saturated else 0.0

    def shed(self, now: float, request_class: RequestClass, budget: float) -> Rejected | None:
        """Return a rejection if a request that has just been read must be shed; else count it as queued, return None.

        budget: ms until the client stops waiting.
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
