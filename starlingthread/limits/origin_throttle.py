"""How hard the origin is pressed, as far as the answers that one router gets can tell. Times are ms."""

from __future__ import annotations

import math

from ..events import AttemptResult

PRESSURE_LIFE = 7000.0  # ms; half-life of what we remember of the origin's answers
ALARM = 0.25  # what one bad fetch adds to the pressure at once; a quick one takes a fifth off
SLOW_FETCH = 4.0  # a fetch that took this many times the usual does not count as served
PRESSURE_GAIN = 1.5  # the origin may be asked for this many times what it serves, not for more


class OriginThrottle:
    """How hard the origin is pressed, learned from its answers alone: asked for against served in time."""

    def __init__(self, first_guess: float) -> None:
        self.typical_fetch_time = first_guess  # ms of a fetch when all is well
        self.asked, self.served, self.alarm, self.at = 0.0, 0.0, 0.0, 0.0

    def _age(self, now: float) -> None:
        fade = math.exp2((self.at - now) / PRESSURE_LIFE)
        self.asked, self.served, self.at = self.asked * fade, self.served * fade, now
        self.alarm *= fade * fade

    def pressure(self, now: float) -> float:
        """Return the present pressure: 0 while most is served, near 1 when next to nothing is."""
        self._age(now)
        return max(self.alarm, (self.asked - PRESSURE_GAIN * self.served) / (self.asked + 1))

    def on_rejection(self, now: float) -> None:
        """Count what we kept from the origin ourselves, that pressure lasts while the want does."""
        self._age(now)
        self.asked += 1

    def on_outcome(self, now: float, result: AttemptResult, elapsed: float) -> None:
        """Take in how something that we sent to the origin ourselves ended, after so many ms."""
        if result not in (AttemptResult.CANCELLED, AttemptResult.NOT_SENT):
            self.observe(now, result == AttemptResult.OK, elapsed)

    def observe(self, now: float, fine: bool, elapsed: float, enough: float = 0.0) -> None:
        """Take in an answer, or the lack of one; what came within 'enough' ms is never too slow."""
        self._age(now)
        self.asked += 1
        # A queue shows in the time before it fails.
        quick = fine and elapsed < max(enough, SLOW_FETCH * self.typical_fetch_time)
        self.served += quick
        # Guards against a jam that a balancer with a fetch every other second would count too late.
        self.alarm = self.alarm * 0.8 if quick else min(1.0, self.alarm + ALARM)
        if fine:
            self.typical_fetch_time += (elapsed - self.typical_fetch_time) * (
                0.02 if elapsed > self.typical_fetch_time else 0.1
            )
