"""The origin: the data store behind the cache servers, without sockets or a clock of its own."""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable
from functools import partial
from typing import Protocol

import numpy as np

from ..experiment.randomness import Draws
from ..experiment.scenario import Origin
from .schedule import Schedule

_RECEIPT_TTL_MS = 60000.0


class OriginClient(Protocol):
    """The origin as a server sees it; ``then`` gets the value's version, or None when the fetch failed."""

    def fetch(self, key: str, then: Callable[[int | None], None]) -> None:
        """Read a key."""

    def write(self, key: str, repeat_key: str, then: Callable[[int | None], None]) -> None:
        """Write a key; all servers drop their copies. A repeat of ``repeat_key`` gets the first one's version."""


class OriginModel:
    """A finite number of workers, a queue of finite length, and what is beyond it fails at once."""

    def __init__(self, spec: Origin, schedule: Schedule, rng: np.random.Generator) -> None:
        self.spec, self.schedule = spec, schedule
        self.slowdown = 1.0  # how many times less it takes
        self.fetches = self.writes = self.failures = 0
        self.versions: dict[str, int] = {}
        self.receipts: OrderedDict[str, tuple[float, int]] = OrderedDict()
        self.deduplicated_writes = 0
        self._writing: dict[str, list[Callable[[int | None], None]]] = {}
        self.on_write: Callable[[str], None] = lambda key: None
        self._draws = Draws(rng, spec.cv)
        self._queue: deque[tuple[str, bool, Callable[[int | None], None]]] = deque()
        self._busy = 0

    def fetch(self, key: str, then: Callable[[int | None], None]) -> None:
        """Read a key."""
        self.fetches += 1
        self._enter(key, False, then)

    def write(self, key: str, repeat_key: str, then: Callable[[int | None], None]) -> None:
        """Write a key. A repeat never runs again: it gets the version of the first, or waits for it."""
        if not repeat_key:
            self.writes += 1
            self._enter(key, True, then)
            return
        now = self.schedule.now()
        while self.receipts and next(iter(self.receipts.values()))[0] < now - _RECEIPT_TTL_MS:
            self.receipts.popitem(last=False)
        if repeat_key in self.receipts:
            self.deduplicated_writes += 1
            then(self.receipts[repeat_key][1])
            return
        if repeat_key in self._writing:
            self.deduplicated_writes += 1
            self._writing[repeat_key].append(then)
            return
        self._writing[repeat_key] = [then]

        def written(version: int | None) -> None:
            if version is not None:
                self.receipts[repeat_key] = (self.schedule.now(), version)
            for one in self._writing.pop(repeat_key):
                one(version)

        self.writes += 1
        self._enter(key, True, written)

    def _enter(self, key: str, write: bool, then: Callable[[int | None], None]) -> None:
        if len(self._queue) >= self.spec.queue:
            self.failures += 1
            then(None)
            return
        self._queue.append((key, write, then))
        self._begin()

    def _begin(self) -> None:
        while self._queue and self._busy < self.spec.slots:
            key, write, then = self._queue.popleft()
            self._busy += 1
            work = self.spec.fetch_ms * self._draws.next() * self.slowdown
            self.schedule.after(work, partial(self._done, key, write, then))

    def _done(self, key: str, write: bool, then: Callable[[int | None], None]) -> None:
        self._busy -= 1
        if write:
            self.versions[key] = self.versions.get(key, 0) + 1
            self.on_write(key)
        then(self.versions.get(key, 0))
        self._begin()
