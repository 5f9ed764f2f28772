"""A single event loop timer that serves all deadlines of a router."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

from .clock import Clock
from .deadlines import Deadlines


class DeadlineTimer:
    """Calls ``on_expired`` at the earliest deadline.

    The timer is replaced only by an earlier one. A timer whose deadline was cleared expires too early, which costs less
    than a new timer for each change.
    """

    def __init__(self, clock: Clock, deadlines: Deadlines, on_expired: Callable[[], None]) -> None:
        self._clock = clock
        self._deadlines = deadlines
        self._on_expired = on_expired
        self._handle: asyncio.TimerHandle | None = None
        self._expires_at = math.inf

    def arm(self) -> None:
        """Set the timer to the earliest deadline, unless it already expires by then."""
        earliest = self._deadlines.first()
        if earliest is None or earliest >= self._expires_at:
            return
        if self._handle is not None:
            self._handle.cancel()
        self._expires_at = earliest
        self._handle = asyncio.get_running_loop().call_at(self._clock.to_loop_time(earliest), self._expired)

    def _expired(self) -> None:
        self._handle = None
        self._expires_at = math.inf
        # The router's actor arms the timer again after the turn that this starts.
        self._on_expired()
