"""A log line for each second in which this process has used its whole CPU share: where the time of requests goes."""

from __future__ import annotations

from ..logs import log
from .counters import Counters
from .cpu_monitor import CpuMonitor

LOG_INTERVAL_MS = 1000.0
# Counters whose growth in the second is logged.
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


class OverloadLog:
    """Collects how long requests were queued in this process, and logs it while the CPU is saturated."""

    def __init__(self, counters: Counters) -> None:
        self._counters = counters
        self._counts_before: dict[str, int] = {}
        self._begun_at = 0.0  # ms of the router's clock
        self._samples = 0
        self._saturated_samples = 0
        self._used_share_sum = 0.0
        self._idle_share_sum = 0.0
        self._turns = 0
        self._arrivals = 0
        self._queue_time_sum = 0.0  # ms
        self._longest_queue_time = 0.0  # ms
        self._remaining_share_sum = 0.0

    def on_turn(self) -> None:
        """Count a turn of the router's actor."""
        self._turns += 1

    def on_arrival(self, queue_time: float, remaining_share: float) -> None:
        """Record a request: how long it was queued here (ms), and the share of its class's deadline still left."""
        self._arrivals += 1
        self._queue_time_sum += queue_time
        self._longest_queue_time = max(self._longest_queue_time, queue_time)
        self._remaining_share_sum += remaining_share

    def on_cpu_sample(self, now: float, is_saturated: bool, cpu: CpuMonitor, open_requests: int) -> None:
        """Take in a sample of the CPU's use; log and begin anew once a second is over."""
        self._samples += 1
        self._saturated_samples += is_saturated
        self._used_share_sum += cpu.used_share
        self._idle_share_sum += cpu.idle_share
        if now - self._begun_at < LOG_INTERVAL_MS:
            return
        if self._saturated_samples:
            self._log(now, open_requests)
        self._reset(now)

    def _log(self, now: float, open_requests: int) -> None:
        arrivals = max(1, self._arrivals)
        growth = {name: self._counters[name] - self._counts_before.get(name, 0) for name in LOGGED_COUNTERS}
        log.info(
            "cpu-saturated",
            interval_ms=round(now - self._begun_at),
            cpu=round(self._used_share_sum / self._samples, 2),
            idle=round(self._idle_share_sum / self._samples, 2),
            turns=self._turns,
            queue_ms=round(self._queue_time_sum / arrivals, 1),
            longest_queue_ms=round(self._longest_queue_time, 1),
            remaining=round(self._remaining_share_sum / arrivals, 2),
            **{"requests.open": open_requests},
            **{name: count for name, count in growth.items() if count},
        )

    def _reset(self, now: float) -> None:
        self._begun_at = now
        self._samples = 0
        self._saturated_samples = 0
        self._used_share_sum = 0.0
        self._idle_share_sum = 0.0
        self._turns = 0
        self._arrivals = 0
        self._queue_time_sum = 0.0
        self._longest_queue_time = 0.0
        self._remaining_share_sum = 0.0
        self._counts_before = {name: self._counters[name] for name in LOGGED_COUNTERS}
