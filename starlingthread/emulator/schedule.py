"""Clocks that can run a callback later: the interface of the models, and its implementation on the event loop."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Protocol


class Schedule(Protocol):
    """A clock, and calls at times to come."""

    def now(self) -> float:
        """Return the time in milliseconds."""

    def after(self, delay: float, then: Callable[[], None]) -> None:
        """Call something in so many milliseconds."""


class EventLoopSchedule:
    """A Schedule on the event loop: the machine's monotonic clock in milliseconds."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop

    def now(self) -> float:
        """Return the time in milliseconds."""
        return time.monotonic() * 1000.0  # the loop's own time may be a millisecond old

    def after(self, delay: float, then: Callable[[], None]) -> None:
        """Call something in so many milliseconds; the loop's timers know whole ones only."""
        if delay < 0.5:
            self._loop.call_soon(then)
        else:
            self._loop.call_later(delay / 1000.0, then)
