"""Outlier detection: servers that fail repeatedly are ejected for a while. Times are ms."""

from __future__ import annotations

import math

from ..events import AttemptResult

BASE_EJECTION_TIME_MS = 250.0  # ms; doubled for each further failure
MAX_EJECTION_DOUBLINGS = 4
MAX_CONSECUTIVE_FAILURES = 3  # each sent after the one before was known; as many show a fault of the server
MAX_CONSECUTIVE_CONNECT_FAILURES = 2  # likewise for connections that could not be established
RESPONSES = (AttemptResult.OK, AttemptResult.ERROR, AttemptResult.FULL, AttemptResult.MISS)


class OutlierDetector:
    """The consecutive failures of one server, and its ejection.

    Single failures eject no server: corrupt responses and broken connections occur everywhere, and ejecting half a
    fleet for them scatters its keys and overloads the origin. Nor do the requests count again that were in flight when
    the server failed.
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
        self.last_answered_sent_at = -math.inf  # when the latest of the answered attempts was sent
        self.last_response_at = -math.inf  # of any kind, also an error or a rejection

    def on_outcome(self, now: float, sent_at: float, result: AttemptResult) -> bool:
        """Record the outcome of an attempt; tell whether the server has responded to anything since sent_at."""
        if result in RESPONSES:
            self.last_response_at = now
        return self.last_response_at >= sent_at

    def on_success(self, sent_at: float) -> None:
        """Record an answer to an attempt that was sent at that time."""
        self.consecutive_failures = 0
        self.last_answered_sent_at = max(self.last_answered_sent_at, sent_at)

    def on_failure(self, now: float, sent_at: float, connect_failed: bool, jitter: float) -> None:
        """Record a failure of an attempt; the jitter (0.7 to 1.3) keeps routers from returning at the same time."""
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
        """Whether the server has failed often enough to be considered at fault."""
        return self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES
