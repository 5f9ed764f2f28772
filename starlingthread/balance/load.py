"""Estimates of a server's load, from the little that one router sees: load reports, and the queueing of its attempts.

Both go stale fast. A stale figure decays to the mean over all servers, not to zero: what all routers see of one server
makes all of them use it or leave it at once, while the mean moves nobody (Mitzenmacher, "How Useful Is Old
Information?", 2000). Times are ms.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

REPORT_HALF_LIFE_MS = 2000.0  # ms; of a load report's weight against the mean
WAIT_HALF_LIFE_MS = 1000.0  # ms; of the weight of the queueing time that a response or a time-out showed
REPORT_GAIN = 0.05  # weight of one load report in the mean over all servers
WAIT_GAIN = 0.1  # weight of one attempt's queueing time in the mean over all servers
MAX_UTILIZATION = 0.95  # at which a reported utilization is clamped, as the waiting time it implies has no bound
ASSUMED_CORES = 2.0  # requests that a server is assumed to process concurrently, as no load report contains it
LOAD_FIELDS = ("inflight", "queue", "util")  # of a load report


class ServerLoad:
    """The last observations of one server's load."""

    __slots__ = ("reported_at", "reported_queue", "wait", "wait_at")

    def __init__(self) -> None:
        self.reported_queue = 0.0  # requests ahead of a new one, per core, by the last load report
        self.reported_at = -math.inf
        self.wait = 0.0  # ms of waiting that the last attempt met
        self.wait_at = -math.inf


class WaitEstimates:
    """The waiting to expect at a server: its last observations, decaying to the means over all servers.

    Waits are in ms, reported queues in requests per core.
    """

    __slots__ = ("_field_index", "mean_reported_queue", "mean_wait")

    def __init__(self) -> None:
        self.mean_reported_queue = 0.0
        self.mean_wait = 0.0
        self._field_index: dict[str, int] = {}

    def set_report_fields(self, fields: Sequence[str]) -> None:
        """Set the names of the values in a load report, in their order."""
        self._field_index = {name: fields.index(name) for name in LOAD_FIELDS if name in fields}

    def expected_wait(self, now: float, load: ServerLoad) -> float:
        """Return the waiting in ms to expect by the last attempt."""
        weight = math.exp2((load.wait_at - now) / WAIT_HALF_LIFE_MS)
        return load.wait * weight + self.mean_wait * (1 - weight)

    def reported_queue(self, now: float, load: ServerLoad) -> float:
        """Return the requests ahead of a new one, per core, to expect by the last load report."""
        weight = math.exp2((load.reported_at - now) / REPORT_HALF_LIFE_MS)
        return load.reported_queue * weight + self.mean_reported_queue * (1 - weight)

    def on_report(self, now: float, load: ServerLoad, report: Sequence[float]) -> None:
        """Record a load report, whose missing values count as 0.

        It counts requests and is kept as such: a report turned into ms by the service time known when it came kept
        requests from a server for seconds after a restart, as that service time was a guess.
        """
        if not report or not self._field_index:
            return
        load.reported_queue = max(
            _waiting_requests(name, max(0.0, report[index]) if index < len(report) else 0.0)
            for name, index in self._field_index.items()
        )
        load.reported_at = now
        self.mean_reported_queue += (load.reported_queue - self.mean_reported_queue) * REPORT_GAIN

    def on_wait(self, now: float, load: ServerLoad, wait: float, counts_for_mean: bool) -> None:
        """Record the ms of waiting that an attempt met, and whether it counts for the mean."""
        load.wait = max(0.0, wait)
        load.wait_at = now
        if counts_for_mean:
            self.mean_wait += (load.wait - self.mean_wait) * WAIT_GAIN


def _waiting_requests(field: str, value: float) -> float:
    """Return the number of requests ahead of a new one, per core, that a value of a load report implies."""
    if field == "util":
        utilization = min(value, MAX_UTILIZATION)
        return utilization / (1 - utilization)  # the mean number in an M/M/1 queue
    return value / ASSUMED_CORES
