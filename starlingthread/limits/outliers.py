"""Whether a server is left alone for a while as it fails again and again. Times are ms."""

from __future__ import annotations

import math

from ..interface import Result

BACK_OFF = 250.0  # ms; pause after a server failed; doubles, up to 16 times this
SPOILT = 3  # failures in a row, each sent after the one before was known, that show a server to be at fault
UNREACHED = 2  # connections in a row that never came up, likewise


class OutlierDetector:
    """What one server's failures in a row say of it.

    Guards against leaving out half a fleet because single answers are spoilt or connections break, which scatters
    its keys and jams the origin; and against counting what was out when it failed once more.
    """

    __slots__ = ("answered", "ejected_until", "failed_at", "fails", "heard_at")

    def __init__(self) -> None:
        self.fails, self.failed_at, self.ejected_until = 0, -math.inf, -math.inf
        self.answered = -math.inf  # when the last attempt was sent that it has answered
        self.heard_at = -math.inf  # when it said anything last

    def heard(self, now: float, sent_at: float, result: Result) -> bool:
        """Take in an outcome of what was sent then; tell whether the server has said anything since."""
        if result in (Result.OK, Result.ERROR, Result.FULL, Result.MISS):
            self.heard_at = now
        return self.heard_at >= sent_at

    def well(self, sent_at: float) -> None:
        """Take in an answer to what was sent then."""
        self.fails, self.answered = 0, max(self.answered, sent_at)

    def failed(self, now: float, sent_at: float, unreached: bool, spread: float) -> None:
        """Take in a failure of what was sent then; 'spread' (0.7 to 1.3) keeps routers out of step."""
        if sent_at <= max(self.failed_at, self.answered):
            return
        self.fails, self.failed_at = self.fails + 1, now
        beyond = self.fails - (UNREACHED if unreached else SPOILT)
        if beyond >= 0:
            self.ejected_until = now + BACK_OFF * float(1 << min(beyond, 4)) * spread

    @property
    def spoilt(self) -> bool:
        """Whether it has failed often enough to be at fault."""
        return self.fails >= SPOILT
