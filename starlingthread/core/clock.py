"""The monotonic clock of a router."""

from __future__ import annotations

import time


class Clock:
    """A monotonic clock in milliseconds since the Unix epoch.

    The system clock is read only once, at the start. Discovery reports ``since_ms`` as Unix time, so it can be compared
    with this clock without conversion.
    """

    def __init__(self) -> None:
        self._base = time.time() * 1000.0 - time.monotonic() * 1000.0

    def now(self) -> float:
        """Return the time in milliseconds."""
        return self._base + time.monotonic() * 1000.0

    def from_loop_time(self, seconds: float) -> float:
        """Convert the event loop's monotonic time in seconds, which all processes share, to a time of this clock."""
        return seconds * 1000.0 + self._base

    def to_loop_time(self, at: float) -> float:
        """Convert a time of this clock to the event loop's monotonic time in seconds."""
        return (at - self._base) / 1000.0
