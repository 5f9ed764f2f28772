"""A value on its way in pieces, from whoever reads it off a socket to whoever writes it to another.

The reader's side waits for the budget before it reads on, so a slow writer holds up its own value and no other. A pipe
may always hold one piece; more only within its window and within the budget that all pipes share.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

WINDOW = 131072  # bytes that one pipe may hold before its reader waits, where the budget allows


class ByteBudget:
    """The bytes that all pipes together hold, and may hold beyond one piece each."""

    def __init__(self, most: int) -> None:
        self.limit, self.used = most, 0


class Pipe:
    """One value. The reader's side puts and ends; the writer's side takes, or abandons."""

    def __init__(self, budget: ByteBudget) -> None:
        self._budget = budget
        self._pieces: deque[bytes] = deque()
        self.buffered = 0  # bytes
        self._waiter: asyncio.Future[None] | None = None  # the writer's side, for a piece or the end
        self._reader: asyncio.Future[None] | None = None  # the reader's side, until it is not full
        self._then: list[Callable[[], None]] = []
        self.complete: bool | None = None  # whether all of it was put, once that is known
        self.abandoned = False  # nobody takes any more

    # the reader's side

    def put(self, piece: bytes) -> None:
        """Add a piece; one that nobody takes any more is dropped."""
        if self.abandoned or self.complete is not None or not piece:
            return
        self._pieces.append(piece)
        self._hold(len(piece))
        self._wake(self._waiter)

    def finish(self, whole: bool) -> None:
        """Tell that all of it was put, or that the rest will not come. Only the first word counts."""
        if self.complete is not None:
            return
        self.complete = whole
        self._wake(self._waiter)
        self._wake(self._reader)
        self._tell()

    def is_full(self) -> bool:
        """Tell whether the reader's side should wait before it reads on."""
        if self.abandoned or self.complete is not None or not self.buffered:
            return False
        return self.buffered >= WINDOW or self._budget.used > self._budget.limit

    async def until_not_full(self) -> None:
        """Wait until it may read on."""
        while self.is_full():
            self._reader = asyncio.get_running_loop().create_future()
            try:
                await self._reader
            finally:
                self._reader = None

    # the writer's side

    def take(self) -> list[bytes]:
        """Return the pieces that are there."""
        pieces = list(self._pieces)
        self._pieces.clear()
        self._hold(-self.buffered)
        self._wake(self._reader)
        return pieces

    def has_more(self) -> bool:
        """Tell whether there is a piece to take now."""
        return bool(self._pieces)

    def is_finished(self) -> bool:
        """Tell whether there is nothing more to take, now or later."""
        return self.abandoned or (self.complete is not None and not self._pieces)

    async def until_more(self) -> None:
        """Wait for a piece or the end."""
        while not self._pieces and not self.is_finished():
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None

    def abandon(self) -> None:
        """Take no more. The one place where what is still held is given back."""
        if self.abandoned:
            return
        self.abandoned = True
        self._pieces.clear()
        self._hold(-self.buffered)
        self._wake(self._reader)
        self._wake(self._waiter)
        self._tell()

    # both

    def on_settled(self, then: Callable[[], None]) -> None:
        """Have something done once it has ended or is abandoned, at once if that is so."""
        if self.complete is not None or self.abandoned:
            then()
        else:
            self._then.append(then)

    def _tell(self) -> None:
        then, self._then = self._then, []
        for each in then:
            each()

    def _hold(self, more: int) -> None:
        self.buffered += more
        self._budget.used += more

    def _wake(self, waiter: asyncio.Future[None] | None) -> None:
        if waiter is not None and not waiter.done():
            waiter.set_result(None)
