"""Load shedding while this router's own CPU core is overloaded. Times are ms."""

from __future__ import annotations

import math

# Mean queueing time in this router above which the router is overloaded.
MAX_MEAN_QUEUE_TIME_MS = 15.0
ADJUSTMENT_INTERVAL_MS = 100.0
SHARE_INCREASE_PER_INTERVAL = 0.03
SHARE_DECREASE_PER_INTERVAL = 0.02
MAX_SHED_SHARE = 0.8
# Weight of one request in the mean queueing time.
QUEUE_TIME_GAIN = 0.05


class LoadShedder:
    """The share of requests to reject immediately, controlled by how long requests were queued in this router.

    Requests that this router cannot serve are rejected early and at little cost, so that the others are served in time,
    and so that the router's own delay is not attributed to the servers.
    """

    __slots__ = ("adjusted_at", "mean_queue_time", "share")

    def __init__(self) -> None:
        self.mean_queue_time = 0.0
        self.share = 0.0
        self.adjusted_at = -math.inf

    def update_shed_share(self, now: float, queue_time: float) -> float:
        """Record how long a request was queued; return the share of requests to shed."""
        self.mean_queue_time += (queue_time - self.mean_queue_time) * QUEUE_TIME_GAIN
        if now - self.adjusted_at >= ADJUSTMENT_INTERVAL_MS:
            self.adjusted_at = now
            if self.mean_queue_time > MAX_MEAN_QUEUE_TIME_MS:
                self.share = min(MAX_SHED_SHARE, self.share + SHARE_INCREASE_PER_INTERVAL)
            else:
                self.share = max(0.0, self.share - SHARE_DECREASE_PER_INTERVAL)
        return self.share
