"""Requests that wait for a fetch in flight, or for capacity at the origin."""

from __future__ import annotations

from ..actions import SetTimer
from ..state.fleet import Fleet
from ..state.records import RequestState
from .timers import TIMER_TOLERANCE_MS, resume_label


class WaitingRequests:
    """The waiting requests, each with a timer that resumes it."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self._by_id: dict[int, RequestState] = {}

    def add(self, state: RequestState, until: float) -> None:
        """Make a request wait, at most until a clock time (ms)."""
        state.resume_at = until
        self._by_id[state.request.id] = state
        self.fleet.actions.append(SetTimer(until, resume_label(state.request.id)))

    def remove(self, request_id: int) -> bool:
        """End the wait of a request; return whether it was waiting."""
        return self._by_id.pop(request_id, None) is not None

    def pop_due(self, now: float, request_id: int) -> RequestState | None:
        """End the wait of a request and return its state, or return None if its wait is not yet over."""
        state = self._by_id.get(request_id)
        if state is None or now < state.resume_at - TIMER_TOLERANCE_MS:
            return None
        del self._by_id[request_id]
        return state
