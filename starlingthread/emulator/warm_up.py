"""Warm-up of a server after a cold start: its growing capacity, and the overload that makes it crash meanwhile."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from ..experiment.scenario import Fleet


class _RecentCommand(NamedTuple):
    at: float
    work: float  # ms
    request_id: str


class WarmUp:
    """Capacity that grows linearly from ``initial_capacity_share`` to 1 in ``warm_up_ms``.

    Work beyond a multiple of it is overload.
    """

    def __init__(self, spec: Fleet, speed: float, started_at: float | None) -> None:
        """Start at a time in milliseconds; None stands for a server that has warmed up long ago."""
        self._spec = spec
        self._speed = speed
        self._started_at = started_at
        self._recent_commands: deque[_RecentCommand] = deque()
        self._recent_work = 0.0  # ms, the sum over the recent commands

    def capacity_share(self, now: float) -> float:
        """Return the capacity at a time as a share of the capacity when warmed up."""
        if self._started_at is None:
            return 1.0
        age = now - self._started_at
        if age >= self._spec.warm_up_ms:
            return 1.0
        return (
            self._spec.initial_capacity_share + (1.0 - self._spec.initial_capacity_share) * age / self._spec.warm_up_ms
        )

    def is_overloaded_by(self, now: float, request_id: str, work: float) -> bool:
        """Count the work (ms) of a command; return whether the recent work now exceeds what the server survives."""
        share = self.capacity_share(now)
        if share >= 1.0:
            self._recent_commands.clear()
            self._recent_work = 0.0
            return False
        window = self._spec.overload_window_ms
        self._recent_commands.append(_RecentCommand(now, work, request_id))
        self._recent_work += work
        while self._recent_commands[0].at <= now - window:
            self._recent_work -= self._recent_commands.popleft().work
        budget = self._spec.overload_factor * share * self._spec.slots * self._speed * window
        return self._recent_work > budget

    def recent_request_ids(self) -> tuple[str, ...]:
        """Return the requests whose work counts as recent, oldest first."""
        return tuple(command.request_id for command in self._recent_commands)
