"""A value streamed in pieces, from the producer that reads it off a socket to the consumer that writes it to another.

The producer waits for the byte budget before it reads on, so a slow consumer delays its own value and no other. A pipe
may always buffer one piece; more only within its window and within the budget that all pipes share.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

WINDOW = 131072  # bytes that one pipe may buffer before its producer waits, where the budget allows


class ByteBudget:
    """The bytes that all pipes together buffer, and may buffer beyond one piece each."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.used = 0


class Pipe:
    """One value. The producer puts and finishes; the consumer takes, or abandons."""

    def __init__(self, budget: ByteBudget) -> None:
        self._budget = budget
        self._pieces: deque[bytes] = deque()
        self.buffered = 0  # bytes
        self._consumer: asyncio.Future[None] | None = None  # waits for a piece or the end
        self._producer: asyncio.Future[None] | None = None  # waits for room
        self._on_settled: list[Callable[[], None]] = []
        self.complete: bool | None = None  # whether all of the value was put; None until that is known
        self.abandoned = False  # the consumer takes no more

    # the producer's side

    def put(self, piece: bytes) -> None:
        """Add a piece; it is dropped once the pipe is finished or abandoned."""
        if self.abandoned or self.complete is not None or not piece:
            return
        self._pieces.append(piece)
        self._account(len(piece))
        self._wake(self._consumer)

    def finish(self, complete: bool) -> None:
        """End the value: all of it was put, or the rest will not come. Only the first call counts."""
        if self.complete is not None:
            return
        self.complete = complete
        self._wake(self._consumer)
        self._wake(self._producer)
        self._notify_settled()

    def is_full(self) -> bool:
        """Return whether the producer should wait before it reads on."""
        if self.abandoned or self.complete is not None or not self.buffered:
            return False
        return self.buffered >= WINDOW or self._budget.used > self._budget.limit

    async def wait_until_not_full(self) -> None:
        """Wait until the producer may read on."""
        while self.is_full():
            self._producer = asyncio.get_running_loop().create_future()
            try:
                await self._producer
            finally:
                self._producer = None

    # the consumer's side

    def take(self) -> list[bytes]:
        """Remove and return the buffered pieces."""
        pieces = list(self._pieces)
        self._release()
        return pieces

    def has_more(self) -> bool:
        """Return whether there is a piece to take now."""
        return bool(self._pieces)

    def is_finished(self) -> bool:
        """Return whether there is nothing more to take, now or later."""
        return self.abandoned or (self.complete is not None and not self._pieces)

    async def wait_for_data(self) -> None:
        """Wait for a piece or the end."""
        while not self._pieces and not self.is_finished():
            self._consumer = asyncio.get_running_loop().create_future()
            try:
                await self._consumer
            finally:
                self._consumer = None

    def abandon(self) -> None:
        """Take no more, and release what is buffered."""
        if self.abandoned:
            return
        self.abandoned = True
        self._release()
        self._wake(self._consumer)
        self._notify_settled()

    # both sides

    def on_settled(self, callback: Callable[[], None]) -> None:
        """Call back once the pipe is finished or abandoned; at once if it is."""
        if self.complete is not None or self.abandoned:
            callback()
        else:
            self._on_settled.append(callback)

    def _notify_settled(self) -> None:
        callbacks = self._on_settled
        self._on_settled = []
        for callback in callbacks:
            callback()

    def _release(self) -> None:
        """Drop the buffered pieces, give their bytes back to the budget and let the producer go on."""
        self._pieces.clear()
        self._account(-self.buffered)
        self._wake(self._producer)

    def _account(self, size: int) -> None:
        self.buffered += size
        self._budget.used += size

    def _wake(self, waiter: asyncio.Future[None] | None) -> None:
        if waiter is not None and not waiter.done():
            waiter.set_result(None)
