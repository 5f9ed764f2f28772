"""What an actor needs: a clock, a bounded mailbox, and somebody who notices when it dies."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable, Coroutine
from typing import Any, Generic, TypeVar

from ..logs import log

T = TypeVar("T")


class Clock:
    """Milliseconds that never go back, anchored at the Unix time of the start.

    Discovery's since_ms is Unix time too, so it stands on this clock as it is.
    """

    def __init__(self) -> None:
        self._base = time.time() * 1000.0 - time.monotonic() * 1000.0

    def now(self) -> float:
        """Return the time in milliseconds."""
        return self._base + time.monotonic() * 1000.0

    def on_loop(self, at: float) -> float:
        """Return a time of this clock as the event loop counts it (seconds, monotonic)."""
        return (at - self._base) / 1000.0


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


class Watcher:
    """Holds the tasks of all actors, so that none dies unseen."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def start(
        self, work: Coroutine[Any, Any, None], name: str, on_death: Callable[[BaseException], None]
    ) -> asyncio.Task[None]:
        """Run an actor's work; on_death is called if it ends by an exception."""
        task = asyncio.get_running_loop().create_task(work, name=name)
        self._tasks.add(task)

        def ended(done: asyncio.Task[None]) -> None:
            self._tasks.discard(done)
            error = None if done.cancelled() else done.exception()
            if error is not None:
                log.error("actor-died", name=name, error=repr(error), exc_info=error)
                on_death(error)

        task.add_done_callback(ended)
        return task

    async def stop(self) -> None:
        """Cancel all that is left and wait for it."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
