"""An event loop that measures how long it was idle: blocked, with nothing to do.

A process that is stopped or gets no CPU while it is blocked wakes late. That time is not idle: what arrives meanwhile
waits for the process.
"""

from __future__ import annotations

import asyncio
import selectors
import time


class MeteredSelector(selectors.DefaultSelector):
    """A selector that adds up the time for which it was blocked."""

    def __init__(self) -> None:
        super().__init__()
        self.blocked_seconds = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait for events for at most ``timeout`` seconds, without end if it is None."""
        if timeout is not None and timeout <= 0:
            return super().select(timeout)
        begun_at = time.monotonic()
        events = super().select(timeout)
        blocked_seconds = time.monotonic() - begun_at
        self.blocked_seconds += blocked_seconds if timeout is None else min(blocked_seconds, timeout)
        return events


class MeteredEventLoop(asyncio.SelectorEventLoop):
    """The event loop of a router process."""

    def __init__(self) -> None:
        self._metered_selector = MeteredSelector()
        super().__init__(self._metered_selector)

    def idle_seconds(self) -> float:
        """Return for how long the loop was idle since it was created."""
        return self._metered_selector.blocked_seconds
