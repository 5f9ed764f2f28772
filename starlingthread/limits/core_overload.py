"""Which requests are rejected while this router's own core is overloaded. Times are ms.

Two controls work together. A limit on the queue for the core rejects requests as they are read, at little cost
(limits/queue_limit.py). What still waits too long is shed by a share (limits/shedding.py).
"""

from __future__ import annotations

from ..settings import RequestClass
from .queue_limit import QueueLimit
from .shedding import LoadShedder

REMAINING_TIME_EXPONENT = 4.0  # of the share of the deadline that is left; what has waited longest is shed first
MIN_RETRY_AFTER_SHARE = 0.2  # of the latency objective: a retry after a short overload can still be in time
RETRY_AFTER_PER_OVERLOAD_TIME = 4.0  # ms of Retry-After for each ms of the overload so far


class CoreOverload:
    """The overload of one router's core, by how long requests were queued for it."""

    __slots__ = ("queue_limit", "shedder")

    def __init__(self) -> None:
        self.queue_limit = QueueLimit()
        self.shedder = LoadShedder()

    @property
    def is_shedding(self) -> bool:
        """Whether requests are rejected for an overload of the core."""
        return self.queue_limit.is_limited or self.shedder.share > 0

    def update_shed_share(self, now: float, queue_time: float) -> float:
        """Record how long a request was queued; return the share of those queued that is to be shed."""
        self.queue_limit.observe(now, queue_time)
        return self.shedder.update_shed_share(now, queue_time)

    def allows_queueing(self, request_class: RequestClass, relative_weight: float, budget: float, queued: int) -> bool:
        """Return whether a new request may be queued, with so many queued already.

        Of what clients have sent the freshest is taken, as the rest would be served too late for them.
        relative_weight: its priority weight over the least of all; budget: ms until its client gives up.
        """
        remaining_weight = min(1.0, budget / request_class.deadline) ** REMAINING_TIME_EXPONENT
        return self.queue_limit.allows(queued, remaining_weight * relative_weight)

    def retry_after(self, now: float, request_class: RequestClass, random: float) -> float:
        """Return the Retry-After (ms) of a request that is not queued: the longer the overload lasts, the later.

        random: a random number in [0, 1), which spreads clients so that they do not come back in step.
        """
        overload_duration = max(0.0, now - self.queue_limit.limited_since) if self.queue_limit.is_limited else 0.0
        min_delay = MIN_RETRY_AFTER_SHARE * request_class.latency_objective
        delay = max(min_delay, min(request_class.deadline, RETRY_AFTER_PER_OVERLOAD_TIME * overload_duration))
        return delay * (0.5 + random)
