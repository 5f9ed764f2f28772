"""How hard the origin is pressed, as far as the answers that one router gets can tell. Times are ms."""

from __future__ import annotations

import math

from ..interface import Result

PRESSURE_LIFE = 7000.0  # ms; half-life of what we remember of the origin's answers
ALARM = 0.25  # what one bad fetch adds to the pressure at once; a quick one takes a fifth off
SLOW_FETCH = 4.0  # a fetch that took this many times the usual does not count as served
PRESSURE_GAIN = 1.5  # the origin may be asked for this many times what it serves, not for more
SURE = (0.3, 0.5)  # pressure from which on fetches are spared, and from which on as many as may be
JAMMED = 0.4  # alarm from which on less is let through: two bad fetches close to each other
CUT = 0.6  # of what is let through, what is let through after a jam was seen
LEAST = 0.05  # of the fetches that are let through in any case: who lets none through never learns that it may
REOPEN = 4000.0  # ms in which it grows e-fold while no jam is seen; a jam that goes on cuts it again within that


class OriginGuard:
    """How hard the origin is pressed, learned from its answers alone: asked for against served in time."""

    def __init__(self, first_guess: float) -> None:
        self.usual = first_guess  # ms of a fetch when all is well
        self.asked, self.served, self.alarm, self.at = 0.0, 0.0, 0.0, 0.0
        self.open, self.open_at, self.cut_at = 1.0, 0.0, -math.inf  # share let through; when it last changed

    def _age(self, now: float) -> None:
        fade = math.exp2((self.at - now) / PRESSURE_LIFE)
        self.asked, self.served, self.at = self.asked * fade, self.served * fade, now
        self.alarm *= fade * fade

    def now(self, now: float) -> float:
        """Return the present pressure: 0 while most is served, near 1 when next to nothing is."""
        self._age(now)
        return max(self.alarm, (self.asked - PRESSURE_GAIN * self.served) / (self.asked + 1))

    def spared(self, now: float) -> float:
        """Return the share of fetches that servers had better not be asked for.

        It is cut when fetches that were sent after the last cut turn out bad, and grows back with time. Guards
        against a gate that stays shut: reckoned from what was wanted against what was served, as the pressure is,
        a gate that lets next to nothing through sees next to nothing served.
        """
        self.open = min(1.0, self.open * math.exp(min(20.0, max(0.0, now - self.open_at) / REOPEN)))
        self.open_at = now
        sharp = (self.now(now) - SURE[0]) / (SURE[1] - SURE[0])
        return min(1.0 - self.open, max(0.0, sharp))

    def turned_away(self, now: float) -> None:
        """Count what we kept from the origin ourselves, that pressure lasts while the want does."""
        self._age(now)
        self.asked += 1

    def answered(self, now: float, result: Result, elapsed: float) -> None:
        """Take in how something that we sent to the origin ourselves ended, after so many ms."""
        if result not in (Result.CANCELLED, Result.MOOT):
            self.observe(now, result == Result.OK, elapsed)

    def observe(self, now: float, fine: bool, elapsed: float, enough: float = 0.0) -> None:
        """Take in an answer, or the lack of one; what came within 'enough' ms is never too slow."""
        self._age(now)
        self.asked += 1
        # A queue shows in the time before it fails.
        quick = fine and elapsed < max(enough, SLOW_FETCH * self.usual)
        self.served += quick
        # Guards against a jam that a balancer with a fetch every other second would count too late.
        self.alarm = self.alarm * 0.8 if quick else min(1.0, self.alarm + ALARM)
        if fine:
            self.usual += (elapsed - self.usual) * (0.02 if elapsed > self.usual else 0.1)
        if not quick and self.alarm >= JAMMED and now - elapsed >= self.cut_at:
            self.spared(now)
            self.open, self.cut_at = max(LEAST, self.open * CUT), now
