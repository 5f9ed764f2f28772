"""The bounded mailbox of an actor."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Generic, TypeVar

T = TypeVar("T")


class Mailbox(Generic[T]):
    """A bounded queue with one reader, which takes all there is at once."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self._items: deque[T] = deque()
        self._waiter: asyncio.Future[None] | None = None

    def __len__(self) -> int:
        return len(self._items)

    def put(self, item: T) -> bool:
        """Leave a message; False when the server is full and the message was not taken."""
        if len(self._items) >= self.limit:
            return False
        self._items.append(item)
        self.wake()
        return True

    def must_put(self, item: T) -> None:
        """Leave a message that something taken earlier has made room for (an outcome, a withdrawal)."""
        self._items.append(item)
        self.wake()

    def wake(self) -> None:
        """Give the reader a turn, message or not."""
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def take(self) -> deque[T]:
        """Return what is there."""
        items, self._items = self._items, deque()
        return items

    async def wait(self) -> None:
        """Wait for a message or a wake()."""
        if not self._items:
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
