"""Which request that is still out gets a second copy at another server, and how many may. Times are ms.

Guards against servers that stand still or vanish, and against connections on which nothing comes any more: a time-out
at the deadline is too late for these (Dean and Barroso, "The Tail at Scale", 2013). A server that is at work, or that
waits for the origin, would only do the same twice and fetch it again. One that has said nothing since is at rest, as
far as we know. Where it answers others, single work may be long or a connection may be dead; which of the two shows
only in how such requests end, so that is learned. Once it shows that requests get lost, more of them are copied, also
those that may have been fetches and are out for far longer than a fetch, and what got lost tells nothing of how much
the server or the origin bears.
"""

from __future__ import annotations

from ..events import AttemptResult
from .outliers import OutlierDetector

AFTER = 0.65  # of the aim; what is out longer may get a copy; later still if it was uncounted
UNCOUNTED = 1.2  # times that
CACHED = 0.5  # chance of being kept from which what waits so long doesn't wait for the origin
DEAD = 0.5  # share of those looked at that were never answered from which copies pay
GAIN = 0.05  # weight of one of them in that share
LET_BE = 0.1  # share of them that gets no copy all the same, to learn when they are answered again
SHARE, MOST = 0.03, 6.0  # second copies for each request that is sent, and how many may be saved up
LOST_SHARE = 0.15  # likewise while requests are seen to get lost: the first attempt costs nothing then
OVERDUE = 2.0  # times that a request and a fetch take, after which it is likely no fetch that is waited for


class HedgeBudget:
    """What second copies may be sent, and for whom they are worth their work."""

    __slots__ = ("lost_share", "tokens")

    def __init__(self) -> None:
        self.tokens = 0.0
        self.lost_share = (
            0.0  # share of the requests looked at, at servers that answered others, that were never answered
        )

    def on_first_attempt(self, aim: float, counted: bool) -> float:
        """Take in a first attempt, which earns a part of a copy; return after how long to look at it."""
        self.tokens = min(MOST, self.tokens + (LOST_SHARE if self.lost_share > DEAD else SHARE))
        return AFTER * aim * (1.0 if counted else UNCOUNTED)

    def is_worthwhile(self, sent_at: float, outliers: OutlierDetector, chance: float, over: float, draw: float) -> bool:
        """Tell whether what was sent then, and is cached by this chance, is worth a copy; 'draw' is in [0, 1).

        over: times that it is out already what a request and a fetch take.
        """
        if self.tokens < 1:
            return False
        overdue = chance > CACHED or over > OVERDUE
        return outliers.last_response_at <= sent_at or (overdue and self.lost_share > DEAD and draw >= LET_BE)

    def is_lost(self, result: AttemptResult, sent_at: float, outliers: OutlierDetector) -> bool:
        """Tell whether what ended so got lost by itself, while its server answered what was sent later."""
        return result == AttemptResult.TIMEOUT and self.lost_share > DEAD and outliers.last_answered_sent_at > sent_at

    def on_outcome(self, result: AttemptResult, chance: float) -> None:
        """Take in how one ended that was looked at and got no copy."""
        if chance > CACHED and result in (AttemptResult.OK, AttemptResult.TIMEOUT):
            self.lost_share += ((result == AttemptResult.TIMEOUT) - self.lost_share) * GAIN
