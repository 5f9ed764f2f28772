"""Load shedding while this router's own core is overloaded. Times are ms."""

from __future__ import annotations

import math

MAX_MEAN_QUEUE_TIME_MS = 15.0  # ms that requests may wait here on average; beyond, this router is overloaded
ADJUSTMENT_INTERVAL_MS = 100.0  # ms between changes of the share that is shed
SHARE_INCREASE = 0.03  # for each step while overloaded
SHARE_DECREASE = 0.02  # for each step otherwise
MAX_SHED_SHARE = 0.8
QUEUE_TIME_GAIN = 0.05  # weight of one request in the mean


class LoadShedder:
    """The share of requests to reject at once, controlled by how long requests were queued here.

    What this router cannot serve is rejected early and cheaply, so that the rest is served in time; and its own delay
    is not put down to the servers.
    """

    __slots__ = ("adjusted_at", "mean_queue_time", "share")

    def __init__(self) -> None:
        self.mean_queue_time = 0.0
        self.share = 0.0
        self.adjusted_at = -math.inf

    def update_shed_share(self, now: float, queue_time: float) -> float:
        """Record how long a request was queued; return the share that is to be shed."""
        self.mean_queue_time += (queue_time - self.mean_queue_time) * QUEUE_TIME_GAIN
        if now - self.adjusted_at >= ADJUSTMENT_INTERVAL_MS:
            self.adjusted_at = now
            if self.mean_queue_time > MAX_MEAN_QUEUE_TIME_MS:
                self.share = min(MAX_SHED_SHARE, self.share + SHARE_INCREASE)
            else:
                self.share = max(0.0, self.share - SHARE_DECREASE)
        return self.share
