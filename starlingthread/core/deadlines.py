"""All deadlines of a router in one sorted list, which avoids an event loop timer per request.

The router's actor sweeps the list in each of its turns.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Callable
from typing import NamedTuple


class Deadline(NamedTuple):
    """Handle of a deadline, for :meth:`Deadlines.clear`."""

    at: float
    number: int  # Sequence number: deadlines of the same time expire in order of creation.


class Deadlines:
    """Callbacks sorted by the time at which they are due, in milliseconds of the router's clock."""

    def __init__(self) -> None:
        self._sorted: list[Deadline] = []
        self._callbacks: dict[int, Callable[[], None]] = {}
        self._last_number = 0
        # Called when a deadline is set that is earlier than all others.
        self.on_earlier_deadline: Callable[[], None] = lambda: None

    def __len__(self) -> int:
        return len(self._sorted)

    def set(self, at: float, callback: Callable[[], None]) -> Deadline:
        """Schedule a callback for the first sweep at or after a given time."""
        self._last_number += 1
        deadline = Deadline(at, self._last_number)
        self._callbacks[deadline.number] = callback
        insort(self._sorted, deadline)
        if self._sorted[0] is deadline:
            self.on_earlier_deadline()
        return deadline

    def clear(self, deadline: Deadline | None) -> None:
        """Cancel a deadline. None and a deadline that has expired are ignored."""
        if deadline is None or self._callbacks.pop(deadline.number, None) is None:
            return
        index = bisect_left(self._sorted, deadline)
        # A deadline that expires in the current sweep is no longer in the list.
        if index < len(self._sorted) and self._sorted[index] == deadline:
            del self._sorted[index]

    def first(self) -> float | None:
        """Return the time of the earliest deadline, or None if there is none."""
        return self._sorted[0].at if self._sorted else None

    def sweep(self, now: float) -> int:
        """Run the callbacks of expired deadlines in order of time, and return the number of expired deadlines.

        A deadline that is set by a callback waits for the next sweep, even if it is already due.
        """
        count = bisect_left(self._sorted, Deadline(now, self._last_number + 1))
        expired = self._sorted[:count]
        del self._sorted[:count]
        for deadline in expired:
            # An earlier callback of this sweep may have cleared the deadline.
            callback = self._callbacks.pop(deadline.number, None)
            if callback is not None:
                callback()
        return len(expired)
