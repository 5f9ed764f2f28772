"""The request classes of one connection, by the position of a request in its input.

A request keeps the class that was in effect when its last byte arrived, whether or not it had been read by then. So a
reload records up to which position the input belongs to the classes before it. Where the client's system may hold
bytes that were sent before the reload, as the receive window is shut, either classes may apply, and the stricter one
does.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from ...settings import RequestClass

# The most that a client's system holds of what its client has sent, while our receive window is shut.
MAX_PEER_SEND_BUFFER_BYTES = 4 << 20

RequestClasses = Mapping[str, RequestClass]  # request classes by name


@dataclass(slots=True)
class EarlierClasses:
    """The classes that a reload has replaced, and the part of the input to which they apply."""

    classes: RequestClasses
    certain_end: int  # requests that end at this position or before it were received before the reload
    possible_end: int  # requests that end after this position were sent after the reload


def stricter_of(one: RequestClass, other: RequestClass) -> RequestClass:
    """Return the class whose requests may be repeated less freely; the one with the shorter deadline of two equals."""
    return max(one, other, key=lambda c: (c.idempotency, -c.idempotency_window, -c.deadline))


class ClassHistory:
    """Finds the class of a request by its name and by the position of its last byte."""

    __slots__ = ("_earlier",)

    def __init__(self) -> None:
        self._earlier: list[EarlierClasses] = []  # in the order of the reloads

    @property
    def is_empty(self) -> bool:
        """Whether the current classes apply to all further input."""
        return not self._earlier

    @property
    def is_uncertain(self) -> bool:
        """Whether requests that were sent before a reload may not have been received yet."""
        return any(earlier.possible_end > earlier.certain_end for earlier in self._earlier)

    def add(self, classes: RequestClasses, certain_end: int, possible_end: int) -> None:
        """Record the classes that were in effect up to a reload, and the part of the input to which they apply."""
        self.limit(possible_end)
        is_known = any(earlier.certain_end >= possible_end for earlier in self._earlier)
        if not is_known:
            self._earlier.append(EarlierClasses(classes, certain_end, possible_end))

    def limit(self, possible_end: int) -> None:
        """Record that all input after a position is sent after this call, and so after all reloads."""
        for earlier in self._earlier:
            earlier.possible_end = min(earlier.possible_end, max(earlier.certain_end, possible_end))

    def find(self, name: str, position: int, current: RequestClasses) -> RequestClass | None:
        """Return the class of a name for a request that ends at a position; None if there was none.

        Positions may only grow from call to call, as earlier classes are dropped once the input has passed them.
        """
        self._earlier = [earlier for earlier in self._earlier if position <= earlier.possible_end]
        found: RequestClass | None = None
        for classes in self._applicable(position, current):
            candidate = classes.get(name)
            if candidate is not None:
                found = candidate if found is None else stricter_of(found, candidate)
        return found

    def _applicable(self, position: int, current: RequestClasses) -> list[RequestClasses]:
        """Return all classes that may have been in effect when the byte before a position was sent."""
        applicable = []
        for earlier in self._earlier:
            applicable.append(earlier.classes)
            if position <= earlier.certain_end:
                return applicable
        return [*applicable, current]
