"""A restartable one-shot timer for actors."""

from __future__ import annotations

from collections.abc import Callable

from ..core.deadlines import Deadline, Deadlines


class Timer:
    """One callback with at most one pending deadline."""

    __slots__ = ("_callback", "_deadline", "_deadlines")

    def __init__(self, deadlines: Deadlines, callback: Callable[[], None]) -> None:
        self._deadlines = deadlines
        self._callback = callback
        self._deadline: Deadline | None = None

    def restart(self, due: float) -> None:
        """Replace the pending deadline, if any, by one at this time of the router's clock (ms)."""
        self.cancel()
        self._deadline = self._deadlines.set(due, self._callback)

    def cancel(self) -> None:
        """Cancel the pending deadline, if any."""
        self._deadlines.clear(self._deadline)
        self._deadline = None
