"""The watcher of all actors' tasks: none dies unseen."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from ..logs import log


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
