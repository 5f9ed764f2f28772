"""Supervision of the actors' tasks: no exception that ends a task goes unnoticed."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from ..logs import log


class TaskSupervisor:
    """Runs the tasks of all actors; logs and reports each exception that ends a task."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def start(
        self, coroutine: Coroutine[Any, Any, None], name: str, on_failure: Callable[[BaseException], None]
    ) -> asyncio.Task[None]:
        """Run an actor's coroutine in a task; ``on_failure`` is called if an exception ends it."""
        task = asyncio.get_running_loop().create_task(coroutine, name=name)
        self._tasks.add(task)

        def on_done(finished_task: asyncio.Task[None]) -> None:
            self._tasks.discard(finished_task)
            error = None if finished_task.cancelled() else finished_task.exception()
            if error is not None:
                log.error("actor-died", name=name, error=repr(error), exc_info=error)
                on_failure(error)

        task.add_done_callback(on_done)
        return task

    async def stop(self) -> None:
        """Cancel all running tasks and wait until they have ended."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
