"""The queue of updates that ride on outgoing datagrams (SWIM's piggybacked dissemination)."""

from __future__ import annotations

import math

from .codec import MAX_UPDATES

RETRANSMIT_FACTOR = 3.0  # transmissions of an update, times the log2 of the members


class UpdateQueue:
    """The members whose current state is still to be disseminated, with the transmissions so far."""

    __slots__ = ("_max_transmissions", "_transmissions")

    def __init__(self, member_count: int) -> None:
        self._max_transmissions = RETRANSMIT_FACTOR * max(1.0, math.log2(member_count))
        self._transmissions: dict[int, int] = {}

    def enqueue(self, member: int) -> None:
        """Disseminate a member's state from the start."""
        self._transmissions[member] = 0

    def enqueue_once(self, member: int) -> None:
        """Transmit a member's state at least once more, for a peer that has missed it."""
        self._transmissions.setdefault(member, int(self._max_transmissions) - 1)

    def dequeue(self, required: int | None = None) -> list[int]:
        """Return the members whose states go into the next datagram, the least transmitted first.

        required: a member whose state must be among them, queued or not.
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
