"""A timer that an actor restarts again and again."""

from __future__ import annotations

from collections.abc import Callable

from ..core.deadlines import Deadline, Deadlines


class Timer:
    """One callback with at most one deadline at a time."""

    __slots__ = ("_callback", "_deadline", "_deadlines")

    def __init__(self, deadlines: Deadlines, callback: Callable[[], None]) -> None:
        self._deadlines = deadlines
        self._callback = callback
        self._deadline: Deadline | None = None

    def restart(self, at: float) -> None:
        """Call back at that time (ms of the router's clock) and no longer at an earlier set one."""
        self.cancel()
        self._deadline = self._deadlines.set(at, self._callback)

    def cancel(self) -> None:
        """Do not call back, if a call is due at all."""
        self._deadlines.clear(self._deadline)
        self._deadline = None
