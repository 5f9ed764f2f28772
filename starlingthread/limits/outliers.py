"""Outlier detection: servers that fail repeatedly are ejected temporarily. Times are ms."""

from __future__ import annotations

import math

from ..events import AttemptResult

# Ejection time at the failure that ejects the server; each further failure doubles it.
BASE_EJECTION_TIME_MS = 250.0
MAX_EJECTION_DOUBLINGS = 4
# Failures that show a fault of the server; each is of an attempt that was sent after the previous failure was known.
MAX_CONSECUTIVE_FAILURES = 3
# Failures that show a fault of the server if connections to it could not be established.
MAX_CONSECUTIVE_CONNECT_FAILURES = 2
RESPONSES = (AttemptResult.OK, AttemptResult.ERROR, AttemptResult.FULL, AttemptResult.MISS)


class OutlierDetector:
    """The consecutive failures of one server, and its ejection.

    A single failure does not eject a server: corrupt responses and broken connections occur at all servers, and
    ejecting half of the fleet for them would scatter its keys and overload the origin. Failures of requests that were
    already in flight at an earlier failure do not count again.
    """

    __slots__ = (
        "consecutive_failures",
        "ejected_until",
        "last_answered_sent_at",
        "last_failure_at",
        "last_response_at",
    )

    def __init__(self) -> None:
        self.consecutive_failures = 0
        self.last_failure_at = -math.inf
        self.ejected_until = -math.inf
        self.last_answered_sent_at = -math.inf  # time at which the latest of the answered attempts was sent
        self.last_response_at = -math.inf  # time of the last response of any kind, including errors and rejections

    def on_outcome(self, now: float, sent_at: float, result: AttemptResult) -> bool:
        """Record the outcome of an attempt; return whether the server has sent any response since sent_at."""
        if result in RESPONSES:
            self.last_response_at = now
        return self.last_response_at >= sent_at

    def on_success(self, sent_at: float) -> None:
        """Record an answer to an attempt that was sent at sent_at."""
        self.consecutive_failures = 0
        self.last_answered_sent_at = max(self.last_answered_sent_at, sent_at)

    def on_failure(self, now: float, sent_at: float, connect_failed: bool, jitter: float) -> None:
        """Record a failure of an attempt; jitter (0.7 to 1.3) keeps routers from ending the ejection together."""
        if sent_at <= max(self.last_failure_at, self.last_answered_sent_at):
            return
        self.consecutive_failures += 1
        self.last_failure_at = now
        max_failures = MAX_CONSECUTIVE_CONNECT_FAILURES if connect_failed else MAX_CONSECUTIVE_FAILURES
        excess_failures = self.consecutive_failures - max_failures
        if excess_failures >= 0:
            factor = float(1 << min(excess_failures, MAX_EJECTION_DOUBLINGS))
            self.ejected_until = now + BASE_EJECTION_TIME_MS * factor * jitter

    @property
    def is_faulty(self) -> bool:
        """Whether the server has failed often enough in succession to be considered faulty."""
        return self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES
