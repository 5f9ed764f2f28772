"""An event loop that measures its idle time: the time for which it is blocked with nothing to do.

A process that is stopped or gets no CPU while it is blocked wakes up late. That delay does not count as idle time,
because events that arrive meanwhile have to wait for the process.
"""

from __future__ import annotations

import asyncio
import selectors
import time


class MeteredSelector(selectors.DefaultSelector):
    """A selector that sums up the time for which it is blocked, without delays of its wake-up."""

    def __init__(self) -> None:
        super().__init__()
        self.blocked_seconds = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait for events for at most ``timeout`` seconds, or without a limit if it is None."""
        if timeout is not None and timeout <= 0:
            return super().select(timeout)
        started_at = time.monotonic()
        events = super().select(timeout)
        blocked_seconds = time.monotonic() - started_at
        self.blocked_seconds += blocked_seconds if timeout is None else min(blocked_seconds, timeout)
        return events


class MeteredEventLoop(asyncio.SelectorEventLoop):
    """The event loop of a router process, which measures its idle time."""

    def __init__(self) -> None:
        self._metered_selector = MeteredSelector()
        super().__init__(self._metered_selector)

    def idle_seconds(self) -> float:
        """Return the total idle time of the loop since its creation, in seconds."""
        return self._metered_selector.blocked_seconds
