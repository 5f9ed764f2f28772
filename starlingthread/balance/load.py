"""Estimates of a server's load from what one router observes: load reports, and the queueing times of its attempts.

Both become stale quickly. A stale observation decays to the mean over all servers and not to zero. If all routers act
on the same observation of one server, they all start or stop using it at the same time, while the mean favours no
server (Mitzenmacher, "How Useful Is Old Information?", 2000). Times are ms.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

# Half-life of the weight of a load report relative to the mean over all servers.
REPORT_HALF_LIFE_MS = 2000.0
# Half-life of the weight of the queueing time that a response or a timeout showed.
WAIT_HALF_LIFE_MS = 1000.0
# Weight of one load report in the mean over all servers.
REPORT_GAIN = 0.05
# Weight of one attempt's queueing time in the mean over all servers.
WAIT_GAIN = 0.1
# Maximum to which a reported utilization is clamped, as the waiting time that it implies has no bound.
MAX_UTILIZATION = 0.95
# Requests that a server is assumed to process concurrently, as load reports do not contain this number.
ASSUMED_CORES = 2.0
# Fields of a load report that are evaluated.
LOAD_FIELDS = ("inflight", "queue", "util")


class ServerLoad:
    """The latest observations of one server's load."""

    __slots__ = ("reported_at", "reported_queue", "wait", "wait_at")

    def __init__(self) -> None:
        # Requests ahead of a new one, per core, according to the last load report.
        self.reported_queue = 0.0
        self.reported_at = -math.inf
        self.wait = 0.0  # queueing time (ms) of the last attempt
        self.wait_at = -math.inf


class WaitEstimates:
    """The expected queueing at a server: its last observations, decaying to the means over all servers.

    Waits are in ms, reported queues in requests per core.
    """

    __slots__ = ("_field_index", "mean_reported_queue", "mean_wait")

    def __init__(self) -> None:
        self.mean_reported_queue = 0.0
        self.mean_wait = 0.0
        self._field_index: dict[str, int] = {}

    def set_report_fields(self, fields: Sequence[str]) -> None:
        """Set the names of the values of a load report, in their order."""
        self._field_index = {name: fields.index(name) for name in LOAD_FIELDS if name in fields}

    def expected_wait(self, now: float, load: ServerLoad) -> float:
        """Return the expected queueing time (ms) according to the last attempt."""
        weight = math.exp2((load.wait_at - now) / WAIT_HALF_LIFE_MS)
        return load.wait * weight + self.mean_wait * (1 - weight)

    def reported_queue(self, now: float, load: ServerLoad) -> float:
        """Return the expected requests ahead of a new one, per core, according to the last load report."""
        weight = math.exp2((load.reported_at - now) / REPORT_HALF_LIFE_MS)
        return load.reported_queue * weight + self.mean_reported_queue * (1 - weight)

    def on_report(self, now: float, load: ServerLoad, report: Sequence[float]) -> None:
        """Record a load report; missing values count as 0.

        The report is stored in requests. If it were converted to ms with the service time known on arrival, a server
        would get no requests for seconds after a restart, as that service time is only an initial estimate.
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
        """Record the queueing time (ms) of an attempt, and whether it counts for the mean."""
        load.wait = max(0.0, wait)
        load.wait_at = now
        if counts_for_mean:
            self.mean_wait += (load.wait - self.mean_wait) * WAIT_GAIN


def _waiting_requests(field: str, value: float) -> float:
    """Return the requests ahead of a new one, per core, that a value of a load report implies."""
    if field == "util":
        utilization = min(value, MAX_UTILIZATION)
        return utilization / (1 - utilization)  # the mean number in an M/M/1 queue
    return value / ASSUMED_CORES
