"""How much of what comes this router's own core is too small for. Times are ms."""

from __future__ import annotations

import math

OWN_LATE = 15.0  # ms that a request may lie before we look at it; past that we have more than we can do
EVERY = 100.0  # ms between steps of the share that is shed
UP, DOWN, MOST = 0.03, 0.02, 0.8  # what it grows by, shrinks by, and its most
GAIN = 0.05  # weight of one request's wait in the mean


class LoadShedder:
    """The share of requests to refuse at once, from how long requests lay here before they were looked at.

    Guards against a day on which all wait for us: what we can't do is refused at once and cheaply, so that the rest
    is in time; nor is our own lateness then taken for the servers'.
    """

    __slots__ = ("mean_queue_time", "share", "stepped_at")

    def __init__(self) -> None:
        self.mean_queue_time, self.share, self.stepped_at = 0.0, 0.0, -math.inf

    def shed_share(self, now: float, waited: float) -> float:
        """Take in how long a request lay here; return the share that is to be shed."""
        self.mean_queue_time += (waited - self.mean_queue_time) * GAIN
        if now - self.stepped_at >= EVERY:
            self.stepped_at = now
            self.share = min(MOST, self.share + UP) if self.mean_queue_time > OWN_LATE else max(0.0, self.share - DOWN)
        return self.share
