"""How a cache server and the origin behave, without sockets or a clock of their own.

The same objects serve the emulator (on the event loop's clock) and a model in virtual time: they see only a
``Schedule``. Times are milliseconds. A server is a queue in front of ``slots`` workers whose speed ramps up from a
cold start; the origin is a queue in front of workers that all servers share.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable
from functools import partial
from typing import Protocol

import numpy as np

from ..experiment.randomness import Chances, Draws
from ..experiment.scenario import Fleet, Origin

REMEMBERED = 60000.0  # ms for which the origin knows an idempotency key


class Schedule(Protocol):
    """A clock, and calls at times to come."""

    def now(self) -> float:
        """Return the time in milliseconds."""

    def after(self, delay: float, then: Callable[[], None]) -> None:
        """Call something in so many milliseconds."""


class OriginLike(Protocol):
    """The origin as a server sees it; ``then`` gets the value's version, or None when the fetch failed."""

    def fetch(self, key: str, then: Callable[[int | None], None]) -> None:
        """Read a key."""

    def write(self, key: str, repeat_key: str, then: Callable[[int | None], None]) -> None:
        """Write a key; all servers drop their copies. A repeat of ``repeat_key`` gets the first one's version."""


class OriginModel:
    """A finite number of workers, a queue of finite length, and what is beyond it fails at once."""

    def __init__(self, spec: Origin, schedule: Schedule, rng: np.random.Generator) -> None:
        self.spec, self.schedule = spec, schedule
        self.jam = 1.0  # how many times less it takes
        self.fetches = self.writes = self.failures = 0
        self.versions: dict[str, int] = {}
        self.receipts: OrderedDict[str, tuple[float, int]] = OrderedDict()
        self.repeats = 0
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
        while self.receipts and next(iter(self.receipts.values()))[0] < now - REMEMBERED:
            self.receipts.popitem(last=False)
        if repeat_key in self.receipts:
            self.repeats += 1
            then(self.receipts[repeat_key][1])
            return
        if repeat_key in self._writing:
            self.repeats += 1
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
            work = self.spec.fetch_ms * self._draws.next() * self.jam
            self.schedule.after(work, partial(self._done, key, write, then))

    def _done(self, key: str, write: bool, then: Callable[[int | None], None]) -> None:
        self._busy -= 1
        if write:
            self.versions[key] = self.versions.get(key, 0) + 1
            self.on_write(key)
        then(self.versions.get(key, 0))
        self._begin()


class Job:
    """One command in a server. ``finish`` is called once, with ``served``, ``failed`` or ``busy``."""

    __slots__ = ("begun", "finish", "key", "note", "over", "repeat_key", "rid", "version", "write")

    def __init__(self, rid: str, key: str, write: bool, repeat_key: str, finish: Callable[[Job, str], None]) -> None:
        self.rid, self.key, self.write, self.repeat_key, self.finish = rid, key, write, repeat_key, finish
        self.note = ""
        self.version = 0
        self.begun = False  # it has started to run
        self.over = False  # nobody waits for it any more


class ServerModel:
    """One cache server: slots, waiting room, speed, LRU memory, ramp, fall and load reports."""

    def __init__(
        self, number: int, spec: Fleet, speed: float, schedule: Schedule, origin: OriginLike, rng: np.random.Generator
    ) -> None:
        self.number, self.spec, self.schedule, self.origin = number, spec, schedule, origin
        self.base_speed = speed
        self.slow = 1.0  # how many times slower it is now
        self.tail, self.tail_share = 1.0, 0.0  # how many times longer a share of the commands takes
        self.extra_delay = 0.0  # ms by which reports are older
        self.on_fall: Callable[[tuple[str, ...]], None] = lambda rids: None
        self._draws, self._chances = Draws(rng, spec.work_cv), Chances(rng)
        self._noise = Draws(rng, spec.report_noise)
        self.commands = 0
        self.boot(cold=False)

    def boot(self, cold: bool) -> None:
        """Start from nothing: whatever it held and did is gone."""
        now = self.schedule.now()
        self.started_at = now if cold else -1e12
        self.life = object()  # work begun in an earlier life ends in nothing
        self.cache: OrderedDict[str, int] = OrderedDict()
        self.fetching: dict[str, list[Job]] = {}
        self.queue: deque[Job] = deque()
        self.busy = 0
        self.draining = self.fallen = False
        self._window: deque[tuple[float, float, str]] = deque()
        self._pushed = 0.0
        self._hits = 0.5
        self._busy_since, self._busy_time, self._util_at, self._util = now, 0.0, now, 0.0
        self._reports: deque[tuple[float, tuple[float, ...]]] = deque()

    # capacity

    def share(self) -> float:
        """Return its present capacity as a share of that when warm."""
        age = self.schedule.now() - self.started_at
        if age >= self.spec.cold_ms:
            return 1.0
        return self.spec.cold_from + (1.0 - self.spec.cold_from) * age / self.spec.cold_ms

    def _mean_work(self, write: bool) -> float:
        return self.spec.write_ms if write else self.spec.hit_ms

    def _push(self, rid: str, work: float) -> bool:
        """Count work against a cold server's budget; True if that makes it fall."""
        share = self.share()
        if share >= 1.0:
            self._window.clear()
            self._pushed = 0.0
            return False
        now, length = self.schedule.now(), self.spec.tip_after_ms
        self._window.append((now, work, rid))
        self._pushed += work
        while self._window[0][0] <= now - length:
            self._pushed -= self._window.popleft()[1]
        budget = self.spec.overload_factor * share * self.spec.slots * self.base_speed * length
        return self._pushed > budget

    # commands

    def arrive(self, job: Job) -> None:
        """Take a command whose last byte has come."""
        self.commands += 1
        if self._push(job.rid, self._mean_work(job.write)):
            self.fallen = True
            self.on_fall(tuple(rid for _, _, rid in self._window))
            return
        if self.draining or (len(self.queue) >= self.spec.waiting and self.busy >= self.spec.slots):
            job.finish(job, "busy")
            return
        if self.busy >= self.spec.slots:
            self.queue.append(job)
            return
        self._begin(job)

    def handshake(self) -> None:
        """A new connection costs work: it keeps a slot busy for a while, or delays what waits."""
        if self.spec.handshake_ms <= 0 or self.busy >= self.spec.slots:
            return
        self._occupy()
        life = self.life
        self.schedule.after(self._duration(self.spec.handshake_ms), lambda: self._free(life))

    def cancel(self, job: Job) -> None:
        """Nobody waits for a command any more: one that has not begun never runs."""
        job.over = True

    def _duration(self, work: float) -> float:
        return work * self.slow / (self.base_speed * self.share())

    def _begin(self, job: Job) -> None:
        job.begun = True
        self._occupy()
        if job.write:
            work = self.spec.write_ms
        else:
            self._note(job)
            work = self.spec.hit_ms + (0.0 if job.note == "h1" else self.spec.miss_ms)
        if self.tail_share and self._chances.next() < self.tail_share:
            work *= self.tail
        life = self.life
        self.schedule.after(self._duration(work * self._draws.next()), lambda: self._worked(life, job))

    def _note(self, job: Job) -> None:
        hit = job.key in self.cache
        job.note = "h1" if hit else "h0 Z" if job.key in self.fetching else "h0"
        self._hits += 0.02 * ((1.0 if hit else 0.0) - self._hits)

    def _worked(self, life: object, job: Job) -> None:
        if life is not self.life:
            return
        self._free(life)  # a slot is for the server's own work; waiting for the origin holds the request only
        if self.spec.error_rate and self._chances.next() < self.spec.error_rate:
            job.finish(job, "failed")
        elif job.write:
            self._write(life, job)
        else:
            self._read(life, job)

    def _read(self, life: object, job: Job) -> None:
        version = self.cache.get(job.key)
        if version is not None:
            self.cache.move_to_end(job.key)
            job.version = version
            job.finish(job, "served")
            return
        waiting = self.fetching.get(job.key)
        if waiting is not None:
            waiting.append(job)
            return
        self.fetching[job.key] = [job]

        def fetched(version: int | None) -> None:
            if life is not self.life:
                return
            jobs = self.fetching.pop(job.key, [])
            if version is not None:
                self.keep(job.key, version)
            for one in jobs:
                one.version = version or 0
                one.finish(one, "failed" if version is None else "served")

        self.origin.fetch(job.key, fetched)

    def _write(self, life: object, job: Job) -> None:
        def written(version: int | None) -> None:
            if life is not self.life:
                return
            if version is not None:
                self.cache.pop(job.key, None)
            job.version = version or 0
            job.finish(job, "failed" if version is None else "served")

        self.origin.write(job.key, job.repeat_key, written)

    def keep(self, key: str, version: int) -> None:
        """Keep a value; the one used longest ago goes."""
        self.cache[key] = version
        self.cache.move_to_end(key)
        if len(self.cache) > self.spec.memory_keys:
            self.cache.popitem(last=False)

    def drop(self, key: str) -> None:
        """A write elsewhere has voided a copy."""
        self.cache.pop(key, None)

    # slots

    def _clock_busy(self) -> None:
        now = self.schedule.now()
        self._busy_time += self.busy * (now - self._busy_since)
        self._busy_since = now

    def _occupy(self) -> None:
        self._clock_busy()
        self.busy += 1

    def _free(self, life: object) -> None:
        if life is not self.life:
            return
        self._clock_busy()
        self.busy -= 1
        while self.queue and self.busy < self.spec.slots:
            job = self.queue.popleft()
            if not job.over:
                self._begin(job)

    def busy_share(self) -> float:
        """Return the mean share of its slots in use since the last call."""
        self._clock_busy()
        now = self.schedule.now()
        span = max(1e-9, now - self._util_at)
        self._util = self._busy_time / (span * self.spec.slots)
        self._util_at, self._busy_time = now, 0.0
        return self._util

    # reports

    def load(self) -> float:
        """Return how many commands wait or run, over its slots and the speed it has now."""
        return (self.busy + len(self.queue)) * self.slow / (self.spec.slots * self.base_speed)

    def report(self) -> dict[str, float]:
        """Return the load report that goes out now: old by the delay, and noisy."""
        now = self.schedule.now()
        if not self._reports or now - self._reports[-1][0] >= self.spec.report_period_ms:
            held = self.busy + sum(len(jobs) for jobs in self.fetching.values())
            self._reports.append((now, (float(held), float(len(self.queue)), self._hits)))
        wanted = now - self.spec.report_delay_ms - self.extra_delay
        while len(self._reports) > 1 and self._reports[1][0] <= wanted:
            self._reports.popleft()
        values = self._reports[0][1]
        return {
            name: value * self._noise.next() for name, value in zip(("inflight", "queue", "x0"), values, strict=True)
        }
