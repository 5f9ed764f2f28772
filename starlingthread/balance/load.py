"""How loaded a server is, from the little that one router is told: reports, and the waiting that answers met.

Both grow old fast. An old figure fades to the mean over all servers, not to nothing: what all see of one server makes
all go there or leave it at once, while the mean moves nobody (Mitzenmacher, "How Useful Is Old Information?", 2000).
Times are ms.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

REPORT_LIFE = 2000.0  # ms; a report's weight against the mean of all halves in this time
LAG_LIFE = 1000.0  # ms; half-life of the waiting that an answer or a time-out showed us
REPORT_SHARE = 0.05  # weight of one report in the mean over all servers
LAG_SHARE = 0.1  # weight of one attempt's waiting in the mean over all servers
CORES = 2.0  # requests that a server is taken to work on side by side, as no report tells it
FIELDS = ("inflight", "queue", "util")  # of a report, that tell of load


class ServerLoad:
    """What was seen of one server last."""

    __slots__ = ("wait", "wait_at", "report", "report_at")

    def __init__(self) -> None:
        self.report, self.report_at = 0.0, -math.inf  # load in ms of waiting, and when it came
        self.wait, self.wait_at = 0.0, -math.inf  # ms of waiting that our last attempt met, and when


class WaitEstimates:
    """What is made of it, beside the means over all servers."""

    __slots__ = ("_fields", "mean_wait", "mean_report")

    def __init__(self) -> None:
        self.mean_report = self.mean_wait = 0.0
        self._fields: dict[str, int] = {}

    def set_report_fields(self, fields: Sequence[str]) -> None:
        """Take in which values a report holds, in which order."""
        self._fields = {name: fields.index(name) for name in FIELDS if name in fields}

    def expected_wait(self, now: float, seen: ServerLoad) -> float:
        """Return the waiting to expect: what our last attempt there met, fading to the mean over all servers."""
        fresh = math.exp2((seen.wait_at - now) / LAG_LIFE)
        return seen.wait * fresh + self.mean_wait * (1 - fresh)

    def reported_wait(self, now: float, seen: ServerLoad) -> float:
        """Return the waiting that a server's last report tells of, fading likewise."""
        fresh = math.exp2((seen.report_at - now) / REPORT_LIFE)
        return seen.report * fresh + self.mean_report * (1 - fresh)

    def on_report(self, now: float, seen: ServerLoad, report: Sequence[float], work: float) -> None:
        """Take in a report; work: ms that a request takes. One that lacks a value tells 0 for it."""
        if not report or not self._fields:
            return
        waits = []
        for name, at in self._fields.items():
            value = max(0.0, report[at]) if at < len(report) else 0.0
            waits.append(min(value, 0.95) / (1 - min(value, 0.95)) if name == "util" else value / CORES)
        seen.report, seen.report_at = max(waits) * work, now
        self.mean_report += (seen.report - self.mean_report) * REPORT_SHARE

    def on_wait(self, now: float, seen: ServerLoad, lag: float, counts: bool) -> None:
        """Take in the waiting that an attempt met, and whether it counts for the mean."""
        seen.wait, seen.wait_at = max(0.0, lag), now
        if counts:
            self.mean_wait += (seen.wait - self.mean_wait) * LAG_SHARE
