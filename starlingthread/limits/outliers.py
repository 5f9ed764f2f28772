"""Whether a server is left alone for a while as it fails again and again. Times are ms."""

from __future__ import annotations

import math

from ..events import AttemptResult

BACK_OFF = 250.0  # ms; pause after a server failed; doubles, up to 16 times this
SPOILT = 3  # failures in a row, each sent after the one before was known, that show a server to be at fault
UNREACHED = 2  # connections in a row that never came up, likewise


class OutlierDetector:
    """What one server's failures in a row say of it.

    Guards against leaving out half a fleet because single answers are spoilt or connections break, which scatters
    its keys and jams the origin; and against counting what was out when it failed once more.
    """

    __slots__ = (
        "last_answered_sent_at",
        "ejected_until",
        "last_failure_at",
        "consecutive_failures",
        "last_response_at",
    )

    def __init__(self) -> None:
        self.consecutive_failures, self.last_failure_at, self.ejected_until = 0, -math.inf, -math.inf
        self.last_answered_sent_at = -math.inf  # when the last attempt was sent that it has answered
        self.last_response_at = -math.inf  # when it said anything last

    def on_outcome(self, now: float, sent_at: float, result: AttemptResult) -> bool:
        """Take in an outcome of what was sent then; tell whether the server has said anything since."""
        if result in (AttemptResult.OK, AttemptResult.ERROR, AttemptResult.FULL, AttemptResult.MISS):
            self.last_response_at = now
        return self.last_response_at >= sent_at

    def on_success(self, sent_at: float) -> None:
        """Take in an answer to what was sent then."""
        self.consecutive_failures, self.last_answered_sent_at = 0, max(self.last_answered_sent_at, sent_at)

    def on_failure(self, now: float, sent_at: float, unreached: bool, spread: float) -> None:
        """Take in a failure of what was sent then; 'spread' (0.7 to 1.3) keeps routers out of step."""
        if sent_at <= max(self.last_failure_at, self.last_answered_sent_at):
            return
        self.consecutive_failures, self.last_failure_at = self.consecutive_failures + 1, now
        beyond = self.consecutive_failures - (UNREACHED if unreached else SPOILT)
        if beyond >= 0:
            self.ejected_until = now + BACK_OFF * float(1 << min(beyond, 4)) * spread

    @property
    def is_faulty(self) -> bool:
        """Whether it has failed often enough to be at fault."""
        return self.consecutive_failures >= SPOILT
