"""All deadlines of the router in one sorted list, swept each turn: no event loop timer per request."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Callable
from typing import NamedTuple


class Deadline(NamedTuple):
    """Handle of a deadline that was set, for Deadlines.clear()."""

    at: float
    number: int  # in order of creation, so that deadlines of the same time expire in that order


class Deadlines:
    """Callbacks by their time, in milliseconds of the clock."""

    def __init__(self) -> None:
        self._sorted: list[Deadline] = []
        self._callbacks: dict[int, Callable[[], None]] = {}
        self._last_number = 0
        self.on_earlier_deadline: Callable[[], None] = lambda: None  # called when the earliest deadline got earlier

    def __len__(self) -> int:
        return len(self._sorted)

    def set(self, at: float, callback: Callable[[], None]) -> Deadline:
        """Schedule a callback for the first sweep at or after a time."""
        self._last_number += 1
        deadline = Deadline(at, self._last_number)
        self._callbacks[deadline.number] = callback
        insort(self._sorted, deadline)
        if self._sorted[0] is deadline:
            self.on_earlier_deadline()
        return deadline

    def clear(self, deadline: Deadline | None) -> None:
        """Cancel a deadline; None and one that has expired are ignored."""
        if deadline is None or self._callbacks.pop(deadline.number, None) is None:
            return
        index = bisect_left(self._sorted, deadline)
        if index < len(self._sorted) and self._sorted[index] == deadline:  # not so while it is being swept
            del self._sorted[index]

    def first(self) -> float | None:
        """Return the time of the earliest deadline, None if there is none."""
        return self._sorted[0].at if self._sorted else None

    def sweep(self, now: float) -> int:
        """Call back what has expired, in order of time, and return the number of expired deadlines.

        A deadline that a callback sets waits for the next sweep, even if it is due already.
        """
        count = bisect_left(self._sorted, Deadline(now, self._last_number + 1))
        expired = self._sorted[:count]
        del self._sorted[:count]
        for deadline in expired:
            # An earlier callback of this sweep may have cleared it.
            callback = self._callbacks.pop(deadline.number, None)
            if callback is not None:
                callback()
        return len(expired)
