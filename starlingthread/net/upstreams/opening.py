"""Connections to one cache server that are being opened, each for a job."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from ...core.deadlines import Deadline
from ..streams import limit_read_size
from .connection import Connection, Job
from .messages import ConnectLate, Opened
from .pool import Pool

if TYPE_CHECKING:
    from .fleet import ServerFleet

READ = 65536


class Opening:
    """Owns the tasks that connect. Each counts as open in the pool until it is stopped or has failed."""

    def __init__(self, fleet: ServerFleet, pool: Pool, tell: Callable[[Opened | ConnectLate], None]) -> None:
        self.fleet, self.pool, self.tell = fleet, pool, tell
        self.jobs: dict[Job, tuple[asyncio.Task[None], Deadline]] = {}

    def start(self, job: Job) -> None:
        """Connect for a job; Opened follows, or ConnectLate if that takes longer than the settings allow."""
        self.pool.open += 1
        task = self.fleet.watcher.start(self._open(job), "open", lambda _: self.tell(Opened(job, None)))
        self.jobs[job] = (task, self._limit(job))

    def _limit(self, job: Job) -> Deadline:
        due = self.fleet.clock.now() + self.fleet.connect_timeout
        return self.fleet.deadlines.set(due, lambda: self.tell(ConnectLate(job, due)))

    def wait_on(self, job: Job) -> None:
        """Give it as long once more."""
        task, _ = self.jobs[job]
        self.jobs[job] = (task, self._limit(job))

    async def _open(self, job: Job) -> None:
        address = self.pool.address
        try:
            reader, writer = await asyncio.open_connection(*address, limit=READ)
            limit_read_size(writer, READ)
        except OSError:
            self.tell(Opened(job, None))
        else:
            self.tell(Opened(job, Connection(reader, writer, address)))

    def stop(self, job: Job) -> bool:
        """Give it up; False if it was not being opened."""
        if job not in self.jobs:
            return False
        task, late = self.jobs.pop(job)
        task.cancel()
        self.fleet.deadlines.clear(late)
        self.pool.open -= 1
        return True

    def ended(self, job: Job, connection: Connection | None) -> bool:
        """Take in what became of it; False if it was given up meanwhile: what came up late is closed."""
        if job not in self.jobs:
            if connection is not None:
                connection.writer.transport.abort()
            return False
        _, late = self.jobs.pop(job)
        self.fleet.deadlines.clear(late)
        self.pool.open -= connection is None
        return True

    def close(self) -> None:
        """Give up all."""
        for job in list(self.jobs):
            self.stop(job)
