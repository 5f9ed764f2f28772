"""The labels of the decision module's timers."""

from __future__ import annotations

POLL_ENDPOINTS = 0
CHECK_HEDGES = 1 << 60
TIMER_TOLERANCE_MS = 0.01  # a timer may expire this long before its time


def resume_label(request_id: int) -> int:
    """Return the label of the timer that resumes a waiting request."""
    return request_id + 1


def request_id_of(label: int) -> int:
    """Return the id of the request that the timer with this label resumes."""
    return label - 1
