"""A value streamed in pieces, from the producer that reads it from a socket to the consumer that writes it to another.

The producer stops reading while the pipe is full, so a slow consumer delays its own value and no other. A pipe may
always buffer one piece; it buffers more only within its window and within the budget that all pipes share.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

# The producer of a pipe waits while this much is buffered, and earlier while the shared budget is exceeded.
WINDOW_BYTES = 131072


class ByteBudget:
    """The number of bytes that all pipes buffer together, and the limit above which each may buffer only one piece."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.used = 0


class Pipe:
    """The stream of one value: the producer puts pieces and finishes it; the consumer takes pieces or abandons it."""

    def __init__(self, budget: ByteBudget) -> None:
        self._budget = budget
        self._pieces: deque[bytes] = deque()
        self.buffered = 0  # The number of buffered bytes.
        self._consumer_waiter: asyncio.Future[None] | None = None  # The consumer waits for a piece or the end.
        self._producer_waiter: asyncio.Future[None] | None = None  # The producer waits until the pipe is not full.
        self._on_settled: list[Callable[[], None]] = []
        self.complete: bool | None = None  # Whether the whole value was put; None until that is known.
        self.abandoned = False  # The consumer takes no further pieces.

    # The interface for the producer.

    def put(self, piece: bytes) -> None:
        """Append a piece; it is dropped if the pipe is finished or abandoned."""
        if self.abandoned or self.complete is not None or not piece:
            return
        self._pieces.append(piece)
        self._add_buffered(len(piece))
        self._wake(self._consumer_waiter)

    def finish(self, complete: bool) -> None:
        """End the value, which is complete or truncated. Only the first call has an effect."""
        if self.complete is not None:
            return
        self.complete = complete
        self._wake(self._consumer_waiter)
        self._wake(self._producer_waiter)
        self._notify_settled()

    def is_full(self) -> bool:
        """Return whether the producer should wait before it continues to read."""
        if self.abandoned or self.complete is not None or not self.buffered:
            return False
        return self.buffered >= WINDOW_BYTES or self._budget.used > self._budget.limit

    async def wait_until_not_full(self) -> None:
        """Wait until the producer may continue to read."""
        while self.is_full():
            self._producer_waiter = asyncio.get_running_loop().create_future()
            try:
                await self._producer_waiter
            finally:
                self._producer_waiter = None

    # The interface for the consumer.

    def take(self) -> list[bytes]:
        """Remove and return the buffered pieces."""
        pieces = list(self._pieces)
        self._drop_buffered()
        return pieces

    def has_more(self) -> bool:
        """Return whether a piece is buffered."""
        return bool(self._pieces)

    def is_finished(self) -> bool:
        """Return whether no piece is buffered and none will follow."""
        return self.abandoned or (self.complete is not None and not self._pieces)

    async def wait_for_data(self) -> None:
        """Wait for a piece or the end of the value."""
        while not self._pieces and not self.is_finished():
            self._consumer_waiter = asyncio.get_running_loop().create_future()
            try:
                await self._consumer_waiter
            finally:
                self._consumer_waiter = None

    def abandon(self) -> None:
        """Stop taking pieces, and drop the buffered ones."""
        if self.abandoned:
            return
        self.abandoned = True
        self._drop_buffered()
        self._wake(self._consumer_waiter)
        self._notify_settled()

    # The interface for both sides.

    def on_settled(self, callback: Callable[[], None]) -> None:
        """Call a function once the pipe is finished or abandoned; immediately if it already is."""
        if self.complete is not None or self.abandoned:
            callback()
        else:
            self._on_settled.append(callback)

    def _notify_settled(self) -> None:
        callbacks = self._on_settled
        self._on_settled = []
        for callback in callbacks:
            callback()

    def _drop_buffered(self) -> None:
        """Drop the buffered pieces, return their bytes to the budget and wake up the producer."""
        self._pieces.clear()
        self._add_buffered(-self.buffered)
        self._wake(self._producer_waiter)

    def _add_buffered(self, size: int) -> None:
        self.buffered += size
        self._budget.used += size

    def _wake(self, waiter: asyncio.Future[None] | None) -> None:
        if waiter is not None and not waiter.done():
            waiter.set_result(None)
