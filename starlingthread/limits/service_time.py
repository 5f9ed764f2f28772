"""How long a request of a class takes, learned from answers, and how far a client's guess at it is to be believed.

A guess ("hint") is in a unit of its own: work on some standard machine, or a count of anything else. So it is never
set beside a time. What is learned is the time of a typical request, and by how much the time grows when the guess
doubles: the slope of log(time) over log(hint), 0 for guesses that say nothing and 1 for exact ones, whatever their
unit. Waiting and chance flatten that slope and so make a rough guess count for less, which is what is wanted.
Least squares with decaying sums: Ljung and Söderström, "Theory and Practice of Recursive Identification" (1983).
"""

from __future__ import annotations

import math

GAIN = 0.005  # weight of one answer in the sums; more while there were few
ENOUGH = 50  # answers with a hint before hints count
UP, DOWN = 0.03, 0.1  # how far one answer moves the typical time: it leans to quick ones, as waiting is not work
REACH = 2.5  # standard deviations of the logarithm of hints: what lies further out counts as lying there
USED = 1e-9, 1e12  # hints outside of this, and what is no number, count as none


class ServiceTime:
    """Of one class: the time of a typical request in ms, and what hints are worth."""

    __slots__ = ("covariance", "mean_log_hint", "hinted_count", "mean_log_time", "typical", "variance")

    def __init__(self, typical: float) -> None:
        self.typical = typical  # ms
        self.hinted_count = 0  # answers to requests with a hint
        self.mean_log_hint = self.mean_log_time = 0.0  # means of the logarithms
        self.variance = self.covariance = 0.0

    def expected(self, hint: float) -> float:
        """Return the time in ms to expect of a request with this hint; 0: none was given."""
        return self.typical * self._factor(hint)

    def observe(self, hint: float, elapsed: float) -> None:
        """Take in the time in ms that an answer took, and the hint of its request."""
        elapsed = max(elapsed, 0.1)
        typical = elapsed / self._factor(hint)
        self.typical += (typical - self.typical) * (UP if typical > self.typical else DOWN)
        if not USED[0] <= hint <= USED[1]:
            return
        self.hinted_count += 1
        gain = max(GAIN, 1.0 / self.hinted_count)
        off_hint, off_time = math.log(hint) - self.mean_log_hint, math.log(elapsed) - self.mean_log_time
        self.mean_log_hint += gain * off_hint
        self.mean_log_time += gain * off_time
        self.variance += gain * ((1 - gain) * off_hint * off_hint - self.variance)
        self.covariance += gain * ((1 - gain) * off_hint * off_time - self.covariance)

    @property
    def slope(self) -> float:
        """By how much log(time) grows with log(hint): 0 means that hints tell nothing, 1 that they are exact."""
        if self.hinted_count < ENOUGH or self.variance < 1e-6:
            return 0.0
        return min(1.0, max(0.0, self.covariance / self.variance))

    def _factor(self, hint: float) -> float:
        slope = self.slope
        if slope <= 0 or not USED[0] <= hint <= USED[1]:
            return 1.0
        reach = REACH * math.sqrt(self.variance)
        return math.exp(slope * min(reach, max(-reach, math.log(hint) - self.mean_log_hint)))
