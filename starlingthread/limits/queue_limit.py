"""An adaptive limit on the requests that are queued in this process for its own core. Times are ms.

What one turn of the event loop takes in is queued until the next one, so the more it takes in, the longer all of it
waits. The delay decides, and not the length (Nichols and Jacobson, "Controlling Queue Delay", 2012): there is a limit
once requests have waited too long for a while. It is set to the length at which the wait would have met its target, and
raised again while the wait is short. Requests beyond the limit are rejected before they cost anything else, so that
the rest is served in time.
"""

from __future__ import annotations

import math

TARGET_QUEUE_TIME = 3.0  # ms; under that of limits/shedding.py, which is left what this limit can't prevent
INTERVAL = 100.0  # ms between changes of the limit
PATIENCE = 500.0  # ms of waits over the target after which there is a limit: a burst is over by then
MIN_LIMIT = 4.0  # requests
MIN_DECREASE = 0.5  # factor on the limit in one interval, at the least
INCREASE = 1.1  # factor on the limit in one interval
UNLIMITED_FROM = 1000.0  # requests; a limit that has grown beyond is lifted


class QueueLimit:
    """The limit of one router; infinite until its core is overloaded."""

    __slots__ = ("_longest", "_met_at", "_queue_time_sum", "_requests", "_stepped_at", "limit", "limited_since")

    def __init__(self) -> None:
        self.limit = math.inf  # requests
        self.limited_since = math.inf  # clock time from which on there is a limit
        self._stepped_at = -math.inf
        self._met_at = -math.inf  # clock time of the last step at which waits met the target
        self._requests = 0  # observed in this interval
        self._queue_time_sum = 0.0
        self._longest = 0  # queue that a request met in this interval

    @property
    def is_limited(self) -> bool:
        """Whether there is a limit."""
        return math.isfinite(self.limit)

    def allows(self, queued: int, relative_weight: float) -> bool:
        """Return whether one more request may be queued.

        queued: the requests queued already; relative_weight: of the request; the limit is in requests of weight 1.
        """
        self._longest = max(self._longest, queued + 1)
        return queued + 1 <= self.limit * relative_weight

    def observe(self, now: float, queue_time: float) -> None:
        """Record for how long a request was queued; 0 while the core has spare capacity."""
        self._requests += 1
        self._queue_time_sum += queue_time
        if now - self._stepped_at >= INTERVAL:
            self._step(now, self._queue_time_sum / self._requests)

    def _step(self, now: float, mean_queue_time: float) -> None:
        if mean_queue_time <= TARGET_QUEUE_TIME:
            self._met_at = now
            self.limit *= INCREASE
        elif self.is_limited or now - self._met_at >= PATIENCE:
            factor = max(MIN_DECREASE, TARGET_QUEUE_TIME / mean_queue_time)
            self.limit = max(MIN_LIMIT, min(self.limit, self._longest) * factor)
            self.limited_since = min(self.limited_since, now)
        if self.limit >= UNLIMITED_FROM:
            self.limit = self.limited_since = math.inf
        self._stepped_at = now
        self._requests = 0
        self._queue_time_sum = 0.0
        self._longest = 0
