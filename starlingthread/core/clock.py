"""The router's clock."""

from __future__ import annotations

import time


class Clock:
    """A monotonic clock in milliseconds, anchored at the Unix time of the start.

    Discovery's since_ms is Unix time too, so it compares with this clock as it is.
    """

    def __init__(self) -> None:
        self._base = time.time() * 1000.0 - time.monotonic() * 1000.0

    def now(self) -> float:
        """Return the time in milliseconds."""
        return self._base + time.monotonic() * 1000.0

    def to_loop_time(self, at: float) -> float:
        """Convert a time of this clock to the event loop's time (seconds, monotonic)."""
        return (at - self._base) / 1000.0
