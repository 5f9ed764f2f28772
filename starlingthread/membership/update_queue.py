"""The queue of updates that are piggybacked on outgoing datagrams (SWIM's dissemination component)."""

from __future__ import annotations

import math

from .codec import MAX_UPDATES

# The number of transmissions of an update is this factor times the log2 of the number of members.
RETRANSMIT_FACTOR = 3.0


class UpdateQueue:
    """The members whose current states still have to be disseminated, and how often each was transmitted."""

    __slots__ = ("_max_transmissions", "_transmissions")

    def __init__(self, member_count: int) -> None:
        self._max_transmissions = RETRANSMIT_FACTOR * max(1.0, math.log2(member_count))
        self._transmissions: dict[int, int] = {}

    def enqueue(self, member: int) -> None:
        """Queue a member's state for the full number of transmissions."""
        self._transmissions[member] = 0

    def enqueue_once(self, member: int) -> None:
        """Queue a member's state for at least one more transmission, for a peer that has missed it."""
        self._transmissions.setdefault(member, int(self._max_transmissions) - 1)

    def dequeue(self, required: int | None = None) -> list[int]:
        """Return the members whose states go into the next datagram, the least transmitted first.

        required: a member whose state is included even if it is not queued.
        """
        by_count = sorted((count, member) for member, count in self._transmissions.items() if self._is_pending(count))
        selected = [member for _, member in by_count[:MAX_UPDATES]]
        if required is not None and required not in selected:
            selected = [required, *selected[: MAX_UPDATES - 1]]
        for member in selected:
            self._transmissions[member] = self._transmissions.get(member, 0) + 1
        self._transmissions = {
            member: count for member, count in self._transmissions.items() if self._is_pending(count)
        }
        return selected

    def _is_pending(self, count: int) -> bool:
        return count < self._max_transmissions
