"""Background tasks of the load tool."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any


class TaskSet:
    """Keeps references to running tasks, so that they are not collected and can be cancelled."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine in the background."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def cancel(self) -> None:
        """Cancel all that is still running."""
        for task in list(self._tasks):
            task.cancel()
