"""All deadlines of the router in one sorted list, swept each turn; there is no timer per request."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Callable
from typing import NamedTuple


class Deadline(NamedTuple):
    """A deadline that was set; give it back to clear()."""

    at: float
    number: int


class Deadlines:
    """Times in the clock's milliseconds, each with what to do then."""

    def __init__(self) -> None:
        self._sorted: list[Deadline] = []
        self._due: dict[int, Callable[[], None]] = {}
        self._number = 0
        self.on_earlier_deadline: Callable[[], None] = lambda: None  # told when the first deadline moved forward

    def __len__(self) -> int:
        return len(self._sorted)

    def set(self, at: float, then: Callable[[], None]) -> Deadline:
        """Have something done at a time, or in the first turn after it."""
        self._number += 1
        entry = Deadline(at, self._number)
        self._due[entry.number] = then
        insort(self._sorted, entry)
        if self._sorted[0] is entry:
            self.on_earlier_deadline()
        return entry

    def clear(self, entry: Deadline | None) -> None:
        """Take a deadline back; one that is over or None is passed over."""
        if entry is not None and self._due.pop(entry.number, None) is not None:
            at = bisect_left(self._sorted, entry)
            if at < len(self._sorted) and self._sorted[at] == entry:  # not so while it is being swept
                del self._sorted[at]

    def first(self) -> float | None:
        """Return the time of the first deadline."""
        return self._sorted[0].at if self._sorted else None

    def sweep(self, now: float) -> int:
        """Do what is due, in order of time; what that sets anew waits for the next turn. Return how many."""
        count = bisect_left(self._sorted, Deadline(now, self._number + 1))
        entries = self._sorted[:count]
        del self._sorted[:count]
        for entry in entries:
            # A deadline swept in this turn may be cleared by an earlier one of the same turn.
            then = self._due.pop(entry.number, None)
            if then is not None:
                then()
        return len(entries)
