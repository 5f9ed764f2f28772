"""Effects on clients of the health checks that the load balancer in front of the routers makes."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any


class FrontendMonitor:
    """Removes routers from the clients' rotation some time after they stop responding, and restores them."""

    def __init__(self, call_clients: Callable[..., Awaitable[None]]) -> None:
        self._call_clients = call_clients
        self._removals: dict[int, asyncio.Task[None]] = {}  # the latest scheduled removal of each router
        self._removed: set[int] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    def remove_later(self, router: int, delay_s: float) -> None:
        """Remove a router from rotation after a delay, unless it is restored before."""
        self._removals[router] = self._start(self._remove(router, delay_s))

    def restore_in_background(self, router: int) -> None:
        """Restore a router to rotation, in a background task."""
        self._start(self.restore(router))

    async def restore(self, router: int) -> None:
        """Restore a router to rotation, or cancel its scheduled removal."""
        removal = self._removals.pop(router, None)
        if removal is not None:
            removal.cancel()
        if router in self._removed:
            self._removed.discard(router)
            await self._call_clients("front", router, True)

    async def _remove(self, router: int, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        self._removed.add(router)
        await self._call_clients("front", router, False)

    def _start(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
