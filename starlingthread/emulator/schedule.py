"""Scheduler interface of the models, a clock with timed callbacks, and its implementation on the event loop."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Protocol

# Callbacks with a shorter delay run at once, as the timers of the event loop have a resolution of 1 ms.
_MIN_TIMER_MS = 0.5


class Scheduler(Protocol):
    """A clock that calls functions after a delay."""

    def now(self) -> float:
        """Return the time in milliseconds."""

    def after(self, delay_ms: float, callback: Callable[[], None]) -> None:
        """Call a function after a delay in milliseconds."""


class EventLoopScheduler:
    """A Scheduler that uses the event loop and the monotonic clock of the machine."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop

    def now(self) -> float:
        """Return the time in milliseconds."""
        # The time of the event loop may be 1 ms old.
        return time.monotonic() * 1000.0

    def after(self, delay_ms: float, callback: Callable[[], None]) -> None:
        """Call a function after a delay in milliseconds; a delay below the timer resolution counts as zero."""
        if delay_ms < _MIN_TIMER_MS:
            self._loop.call_soon(callback)
        else:
            self._loop.call_later(delay_ms / 1000.0, callback)
