"""Health checks of the load balancer in front of the routers, as far as clients notice them."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any


class FrontMonitor:
    """Takes routers out of the clients' rotation some time after they stop responding, and puts them back."""

    def __init__(self, call_clients: Callable[..., Awaitable[None]]) -> None:
        self._call_clients = call_clients
        self._removals: dict[int, asyncio.Task[None]] = {}  # the last planned removal of each router
        self._removed: set[int] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    def remove_later(self, router: int, delay_s: float) -> None:
        """Take a router out of rotation after a delay, unless it is restored before."""
        self._removals[router] = self._start(self._remove(router, delay_s))

    def restore_soon(self, router: int) -> None:
        """Put a router back into rotation, in the background."""
        self._start(self.restore(router))

    async def restore(self, router: int) -> None:
        """Put a router back into rotation, or cancel its planned removal."""
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

    def _start(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
