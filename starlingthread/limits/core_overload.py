"""Rejection of requests while this router's own CPU core is overloaded. Times are ms.

Two controls work together. A limit on the queue for the core rejects requests as they are read, at little cost
(limits/queue_limit.py). If requests are still queued for too long, a share of them is shed (limits/shedding.py).
"""

from __future__ import annotations

from ..settings import RequestClass
from .queue_limit import QueueLimit
from .shedding import LoadShedder

# Exponent of the remaining share of a request's deadline: requests that have waited longest are shed first.
REMAINING_TIME_EXPONENT = 4.0
# Shortest Retry-After as a share of the latency objective; a retry after a short overload can still be in time.
MIN_RETRY_AFTER_SHARE = 0.2
# Ratio of Retry-After to the duration of the overload so far.
RETRY_AFTER_PER_OVERLOAD_TIME = 4.0


class CoreOverload:
    """Overload control of one router's core, based on how long requests were queued for it."""

    __slots__ = ("queue_limit", "shedder")

    def __init__(self) -> None:
        self.queue_limit = QueueLimit()
        self.shedder = LoadShedder()

    @property
    def is_shedding(self) -> bool:
        """Whether requests are rejected because the core is overloaded."""
        return self.queue_limit.is_limited or self.shedder.share > 0

    def update_shed_share(self, now: float, queue_time: float) -> float:
        """Record how long a request was queued; return the share of the queued requests to shed."""
        self.queue_limit.observe(now, queue_time)
        return self.shedder.update_shed_share(now, queue_time)

    def allows_queueing(self, request_class: RequestClass, relative_weight: float, budget: float, queued: int) -> bool:
        """Return whether a new request may be queued.

        Requests with most of their deadline left are preferred, as the others would be answered too late.
        relative_weight: its priority weight relative to the lowest one; budget: ms until its client stops waiting;
        queued: the number of requests that are already queued.
        """
        remaining_weight = min(1.0, budget / request_class.deadline) ** REMAINING_TIME_EXPONENT
        return self.queue_limit.allows(queued, remaining_weight * relative_weight)

    def retry_after(self, now: float, request_class: RequestClass, random: float) -> float:
        """Return the Retry-After (ms) of a request that is not queued; it grows with the duration of the overload.

        random: a random number in [0, 1), used as jitter so that clients do not retry at the same time.
        """
        overload_duration = max(0.0, now - self.queue_limit.limited_since) if self.queue_limit.is_limited else 0.0
        min_delay = MIN_RETRY_AFTER_SHARE * request_class.latency_objective
        delay = max(min_delay, min(request_class.deadline, RETRY_AFTER_PER_OVERLOAD_TIME * overload_duration))
        return delay * (0.5 + random)
