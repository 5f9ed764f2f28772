"""An adaptive limit on the requests that are queued in this process for its own CPU core. Times are ms.

Requests that are read in one iteration of the event loop are queued until the next one, so the queueing time grows with
the number of requests read. The limit is controlled by the queueing time and not by the queue length (Nichols and
Jacobson, "Controlling Queue Delay", 2012). It is set once the queueing time has exceeded its target for
SUSTAINED_OVERLOAD_MS, to the queue length at which the target would have been met, and raised again while the queueing
time is short. Requests beyond the limit are rejected before further work is done for them, so that the others are
served in time.
"""

from __future__ import annotations

import math

# Target of the mean queueing time, below the one of limits/shedding.py: requests are shed only if this limit does not
# suffice.
TARGET_QUEUE_TIME_MS = 3.0
ADJUSTMENT_INTERVAL_MS = 100.0
# Duration of queueing times above the target after which a limit is set; bursts are shorter.
SUSTAINED_OVERLOAD_MS = 500.0
MIN_LIMIT_REQUESTS = 4.0
# Lowest factor on the limit at one adjustment.
MIN_DECREASE_FACTOR = 0.5
# Factor on the limit at an adjustment while the target is met.
INCREASE_FACTOR = 1.1
# A limit that reaches this value is removed.
MAX_LIMIT_REQUESTS = 1000.0


class QueueLimit:
    """The queue limit of one router; infinite until its core is overloaded."""

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
        self.limited_since = math.inf  # time at which the limit was set; infinite without a limit
        self._adjusted_at = -math.inf
        self._target_met_at = -math.inf  # time of the last adjustment at which the mean queueing time met its target
        self._request_count = 0  # requests in the current interval
        self._queue_time_sum = 0.0
        self._max_queue_length = 0  # longest queue in the current interval

    @property
    def is_limited(self) -> bool:
        """Whether a finite limit is in force."""
        return math.isfinite(self.limit)

    def allows(self, queued: int, relative_weight: float) -> bool:
        """Return whether one more request may be queued.

        queued: the number of requests that are already queued; relative_weight: the request's priority weight, by which
        the limit, in requests of weight 1, is multiplied.
        """
        self._max_queue_length = max(self._max_queue_length, queued + 1)
        return queued + 1 <= self.limit * relative_weight

    def observe(self, now: float, queue_time: float) -> None:
        """Record how long a request was queued (ms); 0 while the core has spare capacity."""
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
