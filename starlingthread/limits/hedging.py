"""Hedged requests: which outstanding request is sent to a second server as well, and how often. Times are ms.

Hedging covers servers that stall or vanish, and connections that are dead: a time-out at the deadline is too late for
these (Dean and Barroso, "The Tail at Scale", 2013). A server that is working, or waiting for the origin, would only do
the work twice and fetch it again. A server that has been silent since the request was sent is taken for stalled. If it
responds to other requests, either this request takes long or its connection is dead; which of the two is learned from
how such requests end. Once requests are found to get lost, more of them are hedged, also those that may be fetches and
have been outstanding for far longer than a fetch takes, and a lost request says nothing of the capacity of the server
or of the origin.
"""

from __future__ import annotations

from ..events import AttemptResult
from .outliers import OutlierDetector

HEDGE_DELAY_SHARE = 0.65  # of the latency objective, after which a request may be hedged
UNCOUNTED_DELAY_FACTOR = 1.2  # applied to the delay for a server that has not counted the key
MIN_HIT_PROBABILITY = 0.5  # from which a long wait is not put down to a fetch from the origin
MIN_LOST_SHARE = 0.5  # of the checked requests that never got a response, from which hedging them pays
LOST_SHARE_GAIN = 0.05  # weight of one request in that share
EXPLORATION_SHARE = 0.1  # of these requests that are not hedged, to learn when responses come again
TOKENS_PER_FIRST_ATTEMPT = 0.03  # hedges per first attempt
TOKENS_PER_FIRST_ATTEMPT_UNDER_LOSS = (
    0.15  # likewise while requests get lost: the first attempt then costs the server nothing
)
MAX_TOKENS = 6.0
MAX_OVERDUE_RATIO = 2.0  # times the expected time of a request and a fetch; beyond, a fetch is an unlikely cause


class HedgeBudget:
    """A token bucket of hedged requests, and the share of checked requests that got lost."""

    __slots__ = ("lost_share", "tokens")

    def __init__(self) -> None:
        self.tokens = 0.0
        self.lost_share = 0.0  # of the requests checked at servers that responded to others: those without a response

    @property
    def _has_frequent_losses(self) -> bool:
        return self.lost_share > MIN_LOST_SHARE

    def on_first_attempt(self, latency_objective: float, counted: bool) -> float:
        """Record a first attempt, which earns a part of a hedge; return the delay after which to check it."""
        earned = TOKENS_PER_FIRST_ATTEMPT_UNDER_LOSS if self._has_frequent_losses else TOKENS_PER_FIRST_ATTEMPT
        self.tokens = min(MAX_TOKENS, self.tokens + earned)
        return HEDGE_DELAY_SHARE * latency_objective * (1.0 if counted else UNCOUNTED_DELAY_FACTOR)

    def should_hedge(
        self, sent_at: float, outliers: OutlierDetector, hit_probability: float, overdue_ratio: float, random: float
    ) -> bool:
        """Tell whether to hedge an outstanding request.

        hit_probability: that its server has the value cached; overdue_ratio: the time since sent_at in terms of the
        expected time of a request and a fetch; random: a random number in [0, 1).
        """
        if self.tokens < 1:
            return False
        if outliers.last_response_at <= sent_at:
            return True
        is_overdue = hit_probability > MIN_HIT_PROBABILITY or overdue_ratio > MAX_OVERDUE_RATIO
        return is_overdue and self._has_frequent_losses and random >= EXPLORATION_SHARE

    def is_lost(self, result: AttemptResult, sent_at: float, outliers: OutlierDetector) -> bool:
        """Tell whether a request got lost by itself, as its server answered requests that were sent later."""
        return (
            result == AttemptResult.TIMEOUT and self._has_frequent_losses and outliers.last_answered_sent_at > sent_at
        )

    def on_outcome(self, result: AttemptResult, hit_probability: float) -> None:
        """Record the outcome of a request that was checked and not hedged."""
        if hit_probability > MIN_HIT_PROBABILITY and result in (AttemptResult.OK, AttemptResult.TIMEOUT):
            self.lost_share += ((result == AttemptResult.TIMEOUT) - self.lost_share) * LOST_SHARE_GAIN
