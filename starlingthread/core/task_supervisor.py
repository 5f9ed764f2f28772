"""The supervisor of the actors' tasks: no task ends by an exception unnoticed."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from ..logs import log


class TaskSupervisor:
    """Runs the tasks of all actors, and logs and reports each that dies of an exception."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def start(
        self, work: Coroutine[Any, Any, None], name: str, on_death: Callable[[BaseException], None]
    ) -> asyncio.Task[None]:
        """Run an actor's coroutine in a task; on_death is called if an exception ends it."""
        task = asyncio.get_running_loop().create_task(work, name=name)
        self._tasks.add(task)

        def on_done(done: asyncio.Task[None]) -> None:
            self._tasks.discard(done)
            error = None if done.cancelled() else done.exception()
            if error is not None:
                log.error("actor-died", name=name, error=repr(error), exc_info=error)
                on_death(error)

        task.add_done_callback(on_done)
        return task

    async def stop(self) -> None:
        """Cancel all running tasks and wait for their ends."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
