"""Model of the origin, the data store behind the cache servers, without sockets or a clock of its own."""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable
from functools import partial
from typing import NamedTuple, Protocol

import numpy as np

from ..experiment.randomness import LognormalFactors
from ..experiment.scenario import Origin
from .schedule import Scheduler

_IDEMPOTENCY_RECORD_TTL_MS = 60000.0

# Callback that receives the version of the value, or None if the request failed.
VersionCallback = Callable[[int | None], None]


class OriginClient(Protocol):
    """Interface through which a server uses the origin."""

    def fetch(self, key: str, callback: VersionCallback) -> None:
        """Read a key."""

    def write(self, key: str, idempotency_key: str, callback: VersionCallback) -> None:
        """Write a key, which invalidates it at all servers.

        A retry with the same idempotency key does not write again. An empty idempotency key marks a write that is not
        idempotent.
        """


class _IdempotencyRecord(NamedTuple):
    written_at: float
    version: int


class _Request(NamedTuple):
    key: str
    is_write: bool
    callback: VersionCallback


class OriginModel:
    """A fixed number of workers behind a bounded queue; requests fail at once when the queue is full."""

    def __init__(self, spec: Origin, scheduler: Scheduler, rng: np.random.Generator) -> None:
        self.spec = spec
        self.scheduler = scheduler
        self.slowdown = 1.0  # factor on the duration of requests
        self.fetches = 0
        self.writes = 0
        self.failures = 0
        self.deduplicated_writes = 0
        self.versions: dict[str, int] = {}
        self.on_write: Callable[[str], None] = lambda key: None
        self._records: OrderedDict[str, _IdempotencyRecord] = OrderedDict()  # results of writes by idempotency key
        self._writes_in_flight: dict[str, list[VersionCallback]] = {}  # callbacks by idempotency key
        self._work_factors = LognormalFactors(rng, spec.cv)
        self._queue: deque[_Request] = deque()
        self._busy_workers = 0

    def fetch(self, key: str, callback: VersionCallback) -> None:
        """Read a key."""
        self.fetches += 1
        self._enqueue(_Request(key, False, callback))

    def write(self, key: str, idempotency_key: str, callback: VersionCallback) -> None:
        """Write a key. A retry with the same idempotency key waits for the first write and gets its version."""
        if not idempotency_key:
            self.writes += 1
            self._enqueue(_Request(key, True, callback))
            return
        self._expire_idempotency_records()
        record = self._records.get(idempotency_key)
        if record is not None:
            self.deduplicated_writes += 1
            callback(record.version)
            return
        if idempotency_key in self._writes_in_flight:
            self.deduplicated_writes += 1
            self._writes_in_flight[idempotency_key].append(callback)
            return
        self._writes_in_flight[idempotency_key] = [callback]
        self.writes += 1
        self._enqueue(_Request(key, True, partial(self._finish_idempotent_write, idempotency_key)))

    def _expire_idempotency_records(self) -> None:
        oldest_retained_at = self.scheduler.now() - _IDEMPOTENCY_RECORD_TTL_MS
        while self._records and next(iter(self._records.values())).written_at < oldest_retained_at:
            self._records.popitem(last=False)

    def _finish_idempotent_write(self, idempotency_key: str, version: int | None) -> None:
        if version is not None:
            self._records[idempotency_key] = _IdempotencyRecord(self.scheduler.now(), version)
        for callback in self._writes_in_flight.pop(idempotency_key):
            callback(version)

    def _enqueue(self, request: _Request) -> None:
        if len(self._queue) >= self.spec.queue:
            self.failures += 1
            request.callback(None)
            return
        self._queue.append(request)
        self._start_queued()

    def _start_queued(self) -> None:
        while self._queue and self._busy_workers < self.spec.slots:
            request = self._queue.popleft()
            self._busy_workers += 1
            duration_ms = self.spec.fetch_ms * self._work_factors.next() * self.slowdown
            self.scheduler.after(duration_ms, partial(self._complete, request))

    def _complete(self, request: _Request) -> None:
        self._busy_workers -= 1
        if request.is_write:
            self.versions[request.key] = self.versions.get(request.key, 0) + 1
            self.on_write(request.key)
        request.callback(self.versions.get(request.key, 0))
        self._start_queued()
