"""The labels of the decision module's timers."""

from __future__ import annotations

POLL_ENDPOINTS = 0
CHECK_HEDGES = 1 << 60
TIMER_TOLERANCE = 0.01  # ms; a timer may come this much early


def resume_label(request_id: int) -> int:
    """Return the label of the timer that resumes a waiting request."""
    return request_id + 1


def request_of(resume_label: int) -> int:
    """Return the id of the request that such a timer resumes."""
    return resume_label - 1
