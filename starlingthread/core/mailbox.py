"""The bounded message queue of an actor."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Generic, TypeVar

T = TypeVar("T")


class Mailbox(Generic[T]):
    """A bounded queue with a single reader, which takes all queued messages at once."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self._messages: deque[T] = deque()
        self._waiter: asyncio.Future[None] | None = None

    def __len__(self) -> int:
        return len(self._messages)

    def put(self, message: T) -> bool:
        """Append a message; return False if the mailbox is full and the message was not accepted."""
        if len(self._messages) >= self.limit:
            return False
        self.force_put(message)
        return True

    def force_put(self, message: T) -> None:
        """Append a message regardless of the limit; for messages that must not be lost, such as outcomes."""
        self._messages.append(message)
        self.wake()

    def wake(self) -> None:
        """Wake up the reader, even without a message."""
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def take(self) -> deque[T]:
        """Remove and return all queued messages."""
        messages = self._messages
        self._messages = deque()
        return messages

    async def wait(self) -> None:
        """Wait for a message or a call of :meth:`wake`."""
        if self._messages:
            return
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None
