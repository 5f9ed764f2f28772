"""An adaptive concurrency limit on the requests that this router may have in flight at one server.

The number of a server's cores, the length of its queue and the load from other routers are unknown. Only the latency of
responses and rejections can be observed. The limit therefore follows the share of failures: it grows a little with each
success, shrinks more with each failure, and converges to the value at which the share of failures is
INCREASE_PER_SUCCESS / (INCREASE_PER_SUCCESS + DECREASE_PER_FAILURE).

Both steps are constant per response, so the limit of a server with 64 cores, which responds 64 times as often,
converges as fast as the limit of a server with one core. Additive steps on congestion signals follow TCP (Jacobson,
"Congestion Avoidance and Control", 1988). The step sizes track a quantile (Robbins and Monro, "A Stochastic
Approximation Method", 1951), because service times vary and a single response carries little information.
"""

from __future__ import annotations

import math

# A limit below this value grows with each success even at a low utilization, as a few failures carry little
# information.
RECOVERY_LIMIT_REQUESTS = 8.0
# One request is always allowed, to detect that the server has recovered.
DEFAULT_MIN_LIMIT_REQUESTS = 1.0
INCREASE_PER_SUCCESS = 0.1
DECREASE_PER_FAILURE = 0.5
# Utilization of the limit below which a success does not raise it, as it does not show that more load can be served.
MIN_UTILIZATION = 0.5


class ConcurrencyLimit:
    """The concurrency limit of one server; infinite until the first failure."""

    __slots__ = ("limit", "minimum")

    def __init__(self, minimum: float = DEFAULT_MIN_LIMIT_REQUESTS) -> None:
        self.limit = math.inf
        self.minimum = minimum

    @property
    def is_learned(self) -> bool:
        """Whether the limit has been learned, which takes at least one failure."""
        return math.isfinite(self.limit)

    def slots(self, default: float) -> float:
        """Return how many requests the server can process concurrently; the default until the limit is learned."""
        return self.limit if self.is_learned else default

    def on_success(self, in_flight: float) -> None:
        """Record a response in time to a request.

        in_flight: the number of requests in flight when it was sent, including itself.
        """
        if in_flight >= self.limit * MIN_UTILIZATION or self.limit < RECOVERY_LIMIT_REQUESTS:
            self.limit += INCREASE_PER_SUCCESS

    def on_failure(self, in_flight: float) -> None:
        """Record a late or missing response.

        The limit is reduced by one step from its value or, if that is less, from the number of requests in flight
        (counted as at least RECOVERY_LIMIT_REQUESTS).
        """
        self.limit = max(self.minimum, min(self.limit, max(RECOVERY_LIMIT_REQUESTS, in_flight)) - DECREASE_PER_FAILURE)

    def on_rejection(self, in_flight: float) -> None:
        """Record a rejection, which shows that the number of requests in flight exceeded the server's capacity."""
        self.limit = max(self.minimum, min(self.limit, in_flight) - DECREASE_PER_FAILURE)

    def allows(self, in_flight: float, random: float = 0.0) -> bool:
        """Return whether one more request may be sent.

        random: a random number in [0, 1). The fraction of the limit is the probability of allowing one more request.
        """
        return in_flight + random < self.limit
