"""Clocks that can run a callback later: the interface of the models, and its implementation on the event loop."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Protocol

_SHORTEST_TIMER_MS = 0.5  # the event loop's timers have a resolution of a millisecond


class Scheduler(Protocol):
    """A clock, and callbacks at later times."""

    def now(self) -> float:
        """Return the time in milliseconds."""

    def after(self, delay: float, then: Callable[[], None]) -> None:
        """Call a function after a delay in milliseconds."""


class EventLoopScheduler:
    """A Scheduler on the event loop: the machine's monotonic clock in milliseconds."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop

    def now(self) -> float:
        """Return the time in milliseconds."""
        return time.monotonic() * 1000.0  # the loop's own time may be a millisecond old

    def after(self, delay: float, then: Callable[[], None]) -> None:
        """Call a function after a delay in milliseconds, or at once if the loop's timers can't measure the delay."""
        if delay < _SHORTEST_TIMER_MS:
            self._loop.call_soon(then)
        else:
            self._loop.call_later(delay / 1000.0, then)
