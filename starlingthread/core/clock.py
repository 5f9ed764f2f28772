"""The router's clock."""

from __future__ import annotations

import time


class Clock:
    """Milliseconds that never go back, anchored at the Unix time of the start.

    Discovery's since_ms is Unix time too, so it stands on this clock as it is.
    """

    def __init__(self) -> None:
        self._base = time.time() * 1000.0 - time.monotonic() * 1000.0

    def now(self) -> float:
        """Return the time in milliseconds."""
        return self._base + time.monotonic() * 1000.0

    def to_loop_time(self, at: float) -> float:
        """Return a time of this clock as the event loop counts it (seconds, monotonic)."""
        return (at - self._base) / 1000.0
