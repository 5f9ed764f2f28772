"""The origin: the data store behind the cache servers, without sockets or a clock of its own."""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable
from functools import partial
from typing import NamedTuple, Protocol

import numpy as np

from ..experiment.randomness import LognormalFactors
from ..experiment.scenario import Origin
from .schedule import Scheduler

_RECEIPT_TTL_MS = 60000.0

VersionCallback = Callable[[int | None], None]  # gets the value's version, or None if the request failed


class OriginClient(Protocol):
    """The origin as a server sees it."""

    def fetch(self, key: str, then: VersionCallback) -> None:
        """Read a key."""

    def write(self, key: str, idempotency_key: str, then: VersionCallback) -> None:
        """Write a key, so that all servers invalidate it. A retry with the same idempotency key does not write again.

        An empty idempotency key stands for a write that is not idempotent.
        """


class _Receipt(NamedTuple):
    written_at: float
    version: int


class _Request(NamedTuple):
    key: str
    is_write: bool
    then: VersionCallback


class OriginModel:
    """A finite number of workers behind a bounded queue; requests beyond the queue fail at once."""

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
        self._receipts: OrderedDict[str, _Receipt] = OrderedDict()  # of writes, by idempotency key
        self._writes_in_flight: dict[str, list[VersionCallback]] = {}  # callbacks by idempotency key
        self._work_factors = LognormalFactors(rng, spec.cv)
        self._queue: deque[_Request] = deque()
        self._busy_workers = 0

    def fetch(self, key: str, then: VersionCallback) -> None:
        """Read a key."""
        self.fetches += 1
        self._enqueue(_Request(key, False, then))

    def write(self, key: str, idempotency_key: str, then: VersionCallback) -> None:
        """Write a key. A retry with the same idempotency key waits for the first write and gets its version."""
        if not idempotency_key:
            self.writes += 1
            self._enqueue(_Request(key, True, then))
            return
        self._expire_receipts()
        receipt = self._receipts.get(idempotency_key)
        if receipt is not None:
            self.deduplicated_writes += 1
            then(receipt.version)
            return
        if idempotency_key in self._writes_in_flight:
            self.deduplicated_writes += 1
            self._writes_in_flight[idempotency_key].append(then)
            return
        self._writes_in_flight[idempotency_key] = [then]
        self.writes += 1
        self._enqueue(_Request(key, True, partial(self._finish_idempotent_write, idempotency_key)))

    def _expire_receipts(self) -> None:
        oldest_kept = self.scheduler.now() - _RECEIPT_TTL_MS
        while self._receipts and next(iter(self._receipts.values())).written_at < oldest_kept:
            self._receipts.popitem(last=False)

    def _finish_idempotent_write(self, idempotency_key: str, version: int | None) -> None:
        if version is not None:
            self._receipts[idempotency_key] = _Receipt(self.scheduler.now(), version)
        for then in self._writes_in_flight.pop(idempotency_key):
            then(version)

    def _enqueue(self, request: _Request) -> None:
        if len(self._queue) >= self.spec.queue:
            self.failures += 1
            request.then(None)
            return
        self._queue.append(request)
        self._start_queued()

    def _start_queued(self) -> None:
        while self._queue and self._busy_workers < self.spec.slots:
            request = self._queue.popleft()
            self._busy_workers += 1
            duration = self.spec.fetch_ms * self._work_factors.next() * self.slowdown
            self.scheduler.after(duration, partial(self._complete, request))

    def _complete(self, request: _Request) -> None:
        self._busy_workers -= 1
        if request.is_write:
            self.versions[request.key] = self.versions.get(request.key, 0) + 1
            self.on_write(request.key)
        request.then(self.versions.get(request.key, 0))
        self._start_queued()
