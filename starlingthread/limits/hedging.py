"""Hedged requests: which outstanding requests are also sent to a second server, and how many. Times are ms.

Hedging covers stalled and crashed servers and dead connections, for which a timeout at the deadline is too late (Dean
and Barroso, "The Tail at Scale", 2013). If the server is processing the request, or waiting for the origin, hedging
only duplicates the work and the fetch.

A server that has sent no response since the request was sent is assumed to be stalled. If it has responded to other
requests, either this request is slow or its connection is dead. The outcomes of such requests show which of the two is
more frequent. While requests are frequently lost, more of them are hedged, including possible fetches that have been
outstanding for much longer than a fetch takes, and a lost request does not count as evidence about the capacity of the
server or of the origin.
"""

from __future__ import annotations

from ..events import AttemptResult
from .outliers import OutlierDetector

# Share of the latency objective after which a request may be hedged.
HEDGE_DELAY_SHARE = 0.65
# Factor on the delay at a server without an affinity count of the key.
UNCOUNTED_DELAY_FACTOR = 1.2
# Hit probability above which a long wait is not attributed to a fetch from the origin.
MIN_HIT_PROBABILITY = 0.5
# Share of checked requests without any response above which hedging them is worth its cost.
MIN_LOST_SHARE = 0.5
# Weight of one request in the share of lost requests.
LOST_SHARE_GAIN = 0.05
# Share of the checked requests that is not hedged, to detect when responses arrive again.
EXPLORATION_SHARE = 0.1
TOKENS_PER_FIRST_ATTEMPT = 0.03
# Tokens while requests are frequently lost: a lost first attempt does not cost the server anything.
TOKENS_PER_FIRST_ATTEMPT_UNDER_LOSS = 0.15
MAX_TOKENS = 6.0
# Ratio of the waiting time to the expected time of a request and a fetch above which a fetch is an unlikely cause.
MAX_OVERDUE_RATIO = 2.0


class HedgeBudget:
    """A token bucket for hedged requests, and the share of checked requests that were lost."""

    __slots__ = ("lost_share", "tokens")

    def __init__(self) -> None:
        self.tokens = 0.0
        # Share of requests without a response among those checked while their server responded to other requests.
        self.lost_share = 0.0

    @property
    def _has_frequent_losses(self) -> bool:
        return self.lost_share > MIN_LOST_SHARE

    def on_first_attempt(self, latency_objective: float, counted: bool) -> float:
        """Record a first attempt, which adds a fraction of a token; return the delay (ms) after which to check it.

        counted: whether the router has an affinity count of the key at the server.
        """
        earned = TOKENS_PER_FIRST_ATTEMPT_UNDER_LOSS if self._has_frequent_losses else TOKENS_PER_FIRST_ATTEMPT
        self.tokens = min(MAX_TOKENS, self.tokens + earned)
        return HEDGE_DELAY_SHARE * latency_objective * (1.0 if counted else UNCOUNTED_DELAY_FACTOR)

    def should_hedge(
        self, sent_at: float, outliers: OutlierDetector, hit_probability: float, overdue_ratio: float, random: float
    ) -> bool:
        """Return whether to hedge an outstanding request.

        hit_probability: the probability that its server has the value cached; overdue_ratio: the ratio of the time
        since sent_at to the expected time of a request and a fetch; random: a random number in [0, 1).
        """
        if self.tokens < 1:
            return False
        if outliers.last_response_at <= sent_at:
            return True
        is_overdue = hit_probability > MIN_HIT_PROBABILITY or overdue_ratio > MAX_OVERDUE_RATIO
        return is_overdue and self._has_frequent_losses and random >= EXPLORATION_SHARE

    def is_lost(self, result: AttemptResult, sent_at: float, outliers: OutlierDetector) -> bool:
        """Return whether a request was lost although its server answered requests that were sent later."""
        return (
            result == AttemptResult.TIMEOUT and self._has_frequent_losses and outliers.last_answered_sent_at > sent_at
        )

    def on_outcome(self, result: AttemptResult, hit_probability: float) -> None:
        """Record the outcome of a request that was checked and not hedged."""
        if hit_probability > MIN_HIT_PROBABILITY and result in (AttemptResult.OK, AttemptResult.TIMEOUT):
            self.lost_share += ((result == AttemptResult.TIMEOUT) - self.lost_share) * LOST_SHARE_GAIN
