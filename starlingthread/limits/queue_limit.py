"""An adaptive limit on the requests that are queued in this process for its own core. Times are ms.

What one turn of the event loop takes in is queued until the next one, so the more it takes in, the longer all of it
waits. The delay decides, and not the length (Nichols and Jacobson, "Controlling Queue Delay", 2012): there is a limit
once requests have waited too long for a while. It is set to the length at which the wait would have met its target, and
raised again while the wait is short. Requests beyond the limit are rejected before they cost anything else, so that
the rest is served in time.
"""

from __future__ import annotations

import math

TARGET_QUEUE_TIME_MS = 3.0  # ms; under that of limits/shedding.py, which is left what this limit can't prevent
ADJUSTMENT_INTERVAL_MS = 100.0  # ms between changes of the limit
SUSTAINED_OVERLOAD_MS = 500.0  # ms of waits over the target after which there is a limit: a burst is over by then
MIN_LIMIT_REQUESTS = 4.0  # requests
MIN_DECREASE_FACTOR = 0.5  # factor on the limit in one interval, at the least
INCREASE_FACTOR = 1.1  # factor on the limit in one interval
MAX_LIMIT_REQUESTS = 1000.0  # requests; a limit that has grown beyond is lifted


class QueueLimit:
    """The limit of one router; infinite until its core is overloaded."""

    __slots__ = (
        "_adjusted_at",
        "_max_queue_length",
        "_queue_time_sum",
        "_request_count",
        "_target_met_at",
        "limit",
        "limited_since",
    )

    def __init__(self) -> None:
        self.limit = math.inf  # requests
        self.limited_since = math.inf  # clock time from which on there is a limit
        self._adjusted_at = -math.inf
        self._target_met_at = -math.inf  # clock time of the last step at which waits met the target
        self._request_count = 0  # observed in this interval
        self._queue_time_sum = 0.0
        self._max_queue_length = 0  # queue that a request met in this interval

    @property
    def is_limited(self) -> bool:
        """Whether there is a limit."""
        return math.isfinite(self.limit)

    def allows(self, queued: int, relative_weight: float) -> bool:
        """Return whether one more request may be queued.

        queued: the requests queued already; relative_weight: of the request; the limit is in requests of weight 1.
        """
        self._max_queue_length = max(self._max_queue_length, queued + 1)
        return queued + 1 <= self.limit * relative_weight

    def observe(self, now: float, queue_time: float) -> None:
        """Record for how long a request was queued; 0 while the core has spare capacity."""
        self._request_count += 1
        self._queue_time_sum += queue_time
        if now - self._adjusted_at >= ADJUSTMENT_INTERVAL_MS:
            self._adjust(now, self._queue_time_sum / self._request_count)

    def _adjust(self, now: float, mean_queue_time: float) -> None:
        if mean_queue_time <= TARGET_QUEUE_TIME_MS:
            self._target_met_at = now
            self.limit *= INCREASE_FACTOR
        elif self.is_limited or now - self._target_met_at >= SUSTAINED_OVERLOAD_MS:
            factor = max(MIN_DECREASE_FACTOR, TARGET_QUEUE_TIME_MS / mean_queue_time)
            self.limit = max(MIN_LIMIT_REQUESTS, min(self.limit, self._max_queue_length) * factor)
            self.limited_since = min(self.limited_since, now)
        if self.limit >= MAX_LIMIT_REQUESTS:
            self.limit = self.limited_since = math.inf
        self._adjusted_at = now
        self._request_count = 0
        self._queue_time_sum = 0.0
        self._max_queue_length = 0
