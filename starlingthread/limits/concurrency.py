"""How many requests one server may have from this router at once, learned from what it answers.

Nothing tells how many cores a server has, how long its queue is or how much of it other routers take. What shows is
how long answers wait, and what is turned away. So the limit follows the share of bad ones: it grows a little with each
good answer and shrinks more with each bad one, and so settles where one in UP / (UP + DOWN) is bad. Both steps are the
same for each answer, so a server with 64 cores, which answers 64 times as often, is found as soon as one with one.
The idea is TCP's (Jacobson, "Congestion Avoidance and Control", 1988); the steps are those that track a quantile
(Robbins and Monro, "A Stochastic Approximation Method", 1951), as single answers say little: work varies.
"""

from __future__ import annotations

import math

FIRST = 8.0  # won back also while few are out, as a few bad ones tell little
LEAST = 1.0  # one may always be out: who asks nothing never learns that a server is well again
UP, DOWN = 0.1, 0.5  # for each good answer and each bad one
USED = 0.5  # of the limit has to be out for a good answer to raise it: else it says nothing of more


class ConcurrencyLimit:
    """The limit of one server; none until something bad was seen."""

    __slots__ = ("minimum", "limit")

    def __init__(self, least: float = LEAST) -> None:
        self.limit, self.minimum = math.inf, least

    @property
    def is_learned(self) -> bool:
        """Whether anything has shown yet where the limit lies."""
        return math.isfinite(self.limit)

    def slots(self, guess: float) -> float:
        """Return how many it is taken to work on side by side: the limit, or a guess while that is not known."""
        return self.limit if self.is_learned else guess

    def on_success(self, out: float) -> None:
        """Take in an answer in good time to what was sent as the out-th that this server had from us."""
        if out >= self.limit * USED or self.limit < FIRST:
            self.limit += UP

    def on_failure(self, out: float) -> None:
        """Take in one that waited too long, or never came; so many were out then, where nothing else is known."""
        self.limit = max(self.minimum, min(self.limit, max(FIRST, out)) - DOWN)

    def on_rejection(self, out: float) -> None:
        """Take in that it turned away what was sent as the out-th: that many are too many."""
        self.limit = max(self.minimum, min(self.limit, out) - DOWN)

    def allows(self, out: float, draw: float = 0.0) -> bool:
        """Tell whether one more may go where so many are out; a part of one by a number in [0, 1) drawn at random."""
        return out + draw < self.limit
