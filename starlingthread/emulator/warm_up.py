"""Warm-up of a server after a cold start: the capacity ramp, and the overload that crashes the server during it."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from ..experiment.scenario import Fleet


class _RecentCommand(NamedTuple):
    received_at: float
    work_ms: float
    request_id: str


class WarmUp:
    """Capacity ramp from ``initial_capacity_share`` to 1 over ``warm_up_ms``.

    Work beyond a multiple of the capacity is overload.
    """

    def __init__(self, spec: Fleet, speed: float, started_at: float | None) -> None:
        """Start the ramp at a time in milliseconds; None means that the server has already warmed up."""
        self._spec = spec
        self._speed = speed
        self._started_at = started_at
        self._recent_commands: deque[_RecentCommand] = deque()
        self._recent_work_ms = 0.0  # sum over the recent commands

    def capacity_share(self, now: float) -> float:
        """Return the capacity at a time as a share of the capacity when warmed up."""
        if self._started_at is None:
            return 1.0
        age_ms = now - self._started_at
        if age_ms >= self._spec.warm_up_ms:
            return 1.0
        return (
            self._spec.initial_capacity_share
            + (1.0 - self._spec.initial_capacity_share) * age_ms / self._spec.warm_up_ms
        )

    def add_work_and_check_overload(self, now: float, request_id: str, work_ms: float) -> bool:
        """Add the work of a command; return whether the recent work now exceeds the overload limit."""
        share = self.capacity_share(now)
        if share >= 1.0:
            self._recent_commands.clear()
            self._recent_work_ms = 0.0
            return False
        window_ms = self._spec.overload_window_ms
        self._recent_commands.append(_RecentCommand(now, work_ms, request_id))
        self._recent_work_ms += work_ms
        while self._recent_commands[0].received_at <= now - window_ms:
            self._recent_work_ms -= self._recent_commands.popleft().work_ms
        budget_ms = self._spec.overload_factor * share * self._spec.slots * self._speed * window_ms
        return self._recent_work_ms > budget_ms

    def recent_request_ids(self) -> tuple[str, ...]:
        """Return the ids of the requests whose work counts as recent, oldest first."""
        return tuple(command.request_id for command in self._recent_commands)
