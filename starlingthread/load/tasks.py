"""Background tasks of the load tool."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any


class TaskSet:
    """Keeps references to running tasks, so that they are not garbage-collected and can be cancelled."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine in the background."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def cancel(self) -> None:
        """Cancel all tasks that are still running."""
        for task in list(self._tasks):
            task.cancel()
