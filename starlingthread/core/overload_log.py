"""Logs a summary for each second in which the CPU was saturated, with the time that requests were queued."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..logs import log
from .counters import Counters
from .cpu_monitor import CpuMonitor

LOG_INTERVAL_MS = 1000.0
# The counters whose increase during the interval is logged.
LOGGED_COUNTERS = (
    "requests.received",
    "requests.shed",
    "answers.served",
    "answers.rejected",
    "clients.accepted",
    "clients.accept_paused",
    "clients.queue_shut",
    "clients.evicted",
)


@dataclass(slots=True)
class _Interval:
    """The totals of one log interval. Times are in ms."""

    started_at: float = 0.0  # The start of the interval, in ms of the router's clock.
    counts_before: dict[str, int] = field(default_factory=dict)
    samples: int = 0
    saturated_samples: int = 0
    used_share_sum: float = 0.0
    idle_share_sum: float = 0.0
    turns: int = 0
    arrivals: int = 0
    queue_time_sum: float = 0.0
    longest_queue_time: float = 0.0
    remaining_share_sum: float = 0.0


class OverloadLog:
    """Records how long requests were queued in this process, and logs it while the CPU is saturated."""

    def __init__(self, counters: Counters) -> None:
        self._counters = counters
        self._interval = _Interval()

    def on_turn(self) -> None:
        """Count a turn of the router's actor."""
        self._interval.turns += 1

    def on_arrival(self, queue_time: float, remaining_share: float) -> None:
        """Record a request: its queue time (ms), and the share of its class's deadline that is left."""
        interval = self._interval
        interval.arrivals += 1
        interval.queue_time_sum += queue_time
        interval.longest_queue_time = max(interval.longest_queue_time, queue_time)
        interval.remaining_share_sum += remaining_share

    def on_cpu_sample(self, now: float, is_saturated: bool, cpu: CpuMonitor, open_requests: int) -> None:
        """Record a sample of the CPU usage; at the end of an interval, log it if needed and start the next one."""
        interval = self._interval
        interval.samples += 1
        interval.saturated_samples += is_saturated
        interval.used_share_sum += cpu.used_share
        interval.idle_share_sum += cpu.idle_share
        if now - interval.started_at < LOG_INTERVAL_MS:
            return
        if interval.saturated_samples:
            self._log(now, open_requests)
        self._interval = _Interval(now, {name: self._counters[name] for name in LOGGED_COUNTERS})

    def _log(self, now: float, open_requests: int) -> None:
        interval = self._interval
        arrivals = max(1, interval.arrivals)
        growth = {name: self._counters[name] - interval.counts_before.get(name, 0) for name in LOGGED_COUNTERS}
        log.info(
            "cpu-saturated",
            interval_ms=round(now - interval.started_at),
            cpu=round(interval.used_share_sum / interval.samples, 2),
            idle=round(interval.idle_share_sum / interval.samples, 2),
            turns=interval.turns,
            queue_ms=round(interval.queue_time_sum / arrivals, 1),
            longest_queue_ms=round(interval.longest_queue_time, 1),
            remaining=round(interval.remaining_share_sum / arrivals, 2),
            **{"requests.open": open_requests},
            **{name: count for name, count in growth.items() if count},
        )
