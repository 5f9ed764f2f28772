"""An adaptive concurrency limit: how many requests of this router one server may have in flight.

The number of a server's cores, the length of its queue and the load from other routers are unknown. What is observable
is the latency of responses, and rejections. So the limit follows the share of failures: it grows a little with each
success and shrinks more with each failure, and settles at a share of
failures of INCREASE_PER_SUCCESS / (INCREASE_PER_SUCCESS + DECREASE_PER_FAILURE).
Both steps are constant per response, so the limit of a server with 64 cores, which responds 64 times as often, is found
as fast as that of a server with one core. The idea is TCP's (Jacobson, "Congestion Avoidance and Control", 1988); the
steps are those that track a quantile (Robbins and Monro, "A Stochastic Approximation Method", 1951), as a single
response says little: service times vary.
"""

from __future__ import annotations

import math

RECOVERY_LIMIT_REQUESTS = 8.0  # recovered also while few requests are in flight, as a few failures say little
DEFAULT_MIN_LIMIT_REQUESTS = 1.0  # one request is always allowed, to find out that the server has recovered
INCREASE_PER_SUCCESS = 0.1  # for each success
DECREASE_PER_FAILURE = 0.5  # for each failure
MIN_UTILIZATION = 0.5  # of the limit; a success at a lower one says nothing about a higher limit


class ConcurrencyLimit:
    """The limit of one server; infinite until the first failure."""

    __slots__ = ("limit", "minimum")

    def __init__(self, minimum: float = DEFAULT_MIN_LIMIT_REQUESTS) -> None:
        self.limit = math.inf
        self.minimum = minimum

    @property
    def is_learned(self) -> bool:
        """Whether the limit has been learned, which takes a failure."""
        return math.isfinite(self.limit)

    def slots(self, default: float) -> float:
        """Return the number of requests that the server can process concurrently; the default if it is not learned."""
        return self.limit if self.is_learned else default

    def on_success(self, in_flight: float) -> None:
        """Record a response in good time to a request that was sent as the in_flight-th one in flight."""
        if in_flight >= self.limit * MIN_UTILIZATION or self.limit < RECOVERY_LIMIT_REQUESTS:
            self.limit += INCREASE_PER_SUCCESS

    def on_failure(self, in_flight: float) -> None:
        """Record a late or missing response; if the limit is not learned, it starts at the number in flight."""
        self.limit = max(self.minimum, min(self.limit, max(RECOVERY_LIMIT_REQUESTS, in_flight)) - DECREASE_PER_FAILURE)

    def on_rejection(self, in_flight: float) -> None:
        """Record a rejection of the in_flight-th request in flight: that many exceed the server's capacity."""
        self.limit = max(self.minimum, min(self.limit, in_flight) - DECREASE_PER_FAILURE)

    def allows(self, in_flight: float, random: float = 0.0) -> bool:
        """Tell whether one more request may be sent.

        random: a random number in [0, 1); by it a limit with a fraction allows one more request at that probability.
        """
        return in_flight + random < self.limit
