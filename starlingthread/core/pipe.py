"""A value streamed in pieces, from the producer that reads it from a socket to the consumer that writes it to another.

The producer stops reading while the pipe is full, so a slow consumer delays its own value and no other. A piece counts
as held from before it is read until its consumer has passed all of it to the operating system. A pipe may always hold
one small piece; it holds more only within its window, which shrinks as all pipes use up the budget that they share.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

# A pipe holds at most this much.
MAX_WINDOW_BYTES = 262144
# A producer may always read this much for an empty pipe, whatever other pipes hold.
MIN_READ_BYTES = 16384
# The window of each pipe is this share of the free budget, so that many slow consumers leave some of it to others.
FREE_BUDGET_SHARE = 1 / 32
# Shorter pieces are joined up to this size, as each piece takes some tens of bytes beside its data.
MAX_JOINED_BYTES = 1024


class ByteBudget:
    """The number of bytes that several holders have together.

    If the holders are pipes, it sets the window of each of them: together they hold at most the limit, and
    MIN_READ_BYTES for each pipe beyond it.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.used = 0

    def is_exceeded(self) -> bool:
        """Return whether more than the limit is used."""
        return self.used > self.limit

    def window_bytes(self) -> int:
        """Return how many bytes a pipe may hold at present."""
        free_bytes = max(0, self.limit - self.used)
        return min(MAX_WINDOW_BYTES, max(MIN_READ_BYTES, int(free_bytes * FREE_BUDGET_SHARE)))


class Reservation:
    """The bytes of one holder in a budget, for example those that are being read from a socket, before they arrive."""

    __slots__ = ("_budget", "_size")

    def __init__(self, budget: ByteBudget) -> None:
        self._budget = budget
        self._size = 0

    def set(self, size: int) -> None:
        """Set the number of bytes, instead of the number before."""
        self._budget.used += size - self._size
        self._size = size


class Pipe:
    """The stream of one value: the producer puts pieces and finishes it; the consumer takes pieces or abandons it."""

    def __init__(self, budget: ByteBudget) -> None:
        self._budget = budget
        self._pieces: deque[bytes] = deque()
        self.buffered = 0  # The number of bytes that the consumer has not taken.
        self._reservation = Reservation(budget)  # The bytes that the producer may be reading.
        self._taken = 0  # The number of bytes that the consumer has taken and not released.
        self._consumer_waiter: asyncio.Future[None] | None = None  # The consumer waits for a piece or the end.
        self._producer_waiter: asyncio.Future[None] | None = None  # The producer waits until the pipe is not full.
        self._on_settled: list[Callable[[], None]] = []
        self.complete: bool | None = None  # Whether the whole value was put; None until that is known.
        self.abandoned = False  # The consumer takes no further pieces.
        # Whether the consumer can pass on more at once. If not, the pipe holds one small read, and leaves the budget
        # to pipes with quick consumers.
        self.may_read_ahead = True

    def _window_bytes(self) -> int:
        return self._budget.window_bytes() if self.may_read_ahead else MIN_READ_BYTES

    @property
    def held(self) -> int:
        """The number of bytes that were put and that the operating system has not taken yet."""
        return self.buffered + self._taken

    # The interface for the producer.

    def reserve_read(self, max_bytes: int) -> int:
        """Return how many bytes the producer may read next, at most max_bytes; they count as held from now on."""
        self._reservation.set(0)
        if self.abandoned or self.complete is not None:
            return max_bytes
        size = min(max_bytes, max(MIN_READ_BYTES, self._window_bytes() - self.held))
        self._reservation.set(size)
        return size

    def put(self, piece: bytes) -> None:
        """Append a piece; it is dropped if the pipe is finished or abandoned."""
        if self.abandoned or self.complete is not None or not piece:
            return
        self._reservation.set(0)
        self._add_buffered(len(piece))
        if self._pieces and len(self._pieces[-1]) + len(piece) <= MAX_JOINED_BYTES:
            piece = self._pieces.pop() + piece
        self._pieces.append(piece)
        self._wake(self._consumer_waiter)

    def finish(self, complete: bool) -> None:
        """End the value, which is complete or truncated. Only the first call has an effect."""
        if self.complete is not None:
            return
        self.complete = complete
        self._reservation.set(0)
        self._wake(self._consumer_waiter)
        self._wake(self._producer_waiter)
        self._notify_settled()

    def is_full(self) -> bool:
        """Return whether the producer should wait before it continues to read."""
        if self.abandoned or self.complete is not None:
            return False
        return self.held > 0 and self.held + MIN_READ_BYTES > self._window_bytes()

    def is_producer_waiting(self) -> bool:
        """Return whether the producer waits, which lasts until its own consumer goes on."""
        return self._producer_waiter is not None

    async def wait_until_not_full(self) -> None:
        """Wait until the producer may continue to read."""
        self._reservation.set(0)
        while self.is_full():
            self._producer_waiter = asyncio.get_running_loop().create_future()
            try:
                await self._producer_waiter
            finally:
                self._producer_waiter = None

    # The interface for the consumer.

    def take(self) -> bytes:
        """Remove and return the first buffered piece, which counts as held until it is released.

        Raises IndexError if no piece is buffered.
        """
        piece = self._pieces.popleft()
        self.buffered -= len(piece)
        self._taken += len(piece)
        return piece

    def release(self) -> None:
        """Return the bytes of all taken pieces to the budget, as they were passed to the operating system."""
        self._budget.used -= self._taken
        self._taken = 0
        self._wake(self._producer_waiter)

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
        """Stop taking pieces, and drop the buffered ones. A piece that was taken still has to be released."""
        if self.abandoned:
            return
        self.abandoned = True
        self._reservation.set(0)
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
