"""How a cache server and the origin behave, without sockets or a clock of their own.

The same objects serve the emulator (on the event loop's clock) and a model in virtual time: they see only a
``Schedule``. Times are milliseconds. A server is a queue in front of ``slots`` workers whose speed ramps up from a
cold start; the origin is a queue in front of workers that all servers share.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable

import numpy as np

from ..experiment.randomness import Chances, Draws
from ..experiment.scenario import Fleet
from .origin_model import OriginClient
from .schedule import Schedule


class Job:
    """One command in a server. ``finish`` is called once, with ``served``, ``failed`` or ``busy``."""

    __slots__ = (
        "is_started",
        "finish",
        "key",
        "flags",
        "is_cancelled",
        "idempotency_key",
        "request_id",
        "version",
        "is_write",
    )

    def __init__(self, rid: str, key: str, write: bool, repeat_key: str, finish: Callable[[Job, str], None]) -> None:
        self.request_id, self.key, self.is_write, self.idempotency_key, self.finish = (
            rid,
            key,
            write,
            repeat_key,
            finish,
        )
        self.flags = ""
        self.version = 0
        self.is_started = False  # it has started to run
        self.is_cancelled = False  # nobody waits for it any more


class ServerModel:
    """One cache server: slots, waiting room, speed, LRU memory, ramp, fall and load reports."""

    def __init__(
        self, number: int, spec: Fleet, speed: float, schedule: Schedule, origin: OriginClient, rng: np.random.Generator
    ) -> None:
        self.number, self.spec, self.schedule, self.origin = number, spec, schedule, origin
        self.base_speed = speed
        self.slowdown = 1.0  # how many times slower it is now
        self.tail_factor, self.tail_share = 1.0, 0.0  # how many times longer a share of the commands takes
        self.extra_report_delay_ms = 0.0  # ms by which reports are older
        self.on_overload_crash: Callable[[tuple[str, ...]], None] = lambda rids: None
        self._draws, self._chances = Draws(rng, spec.work_cv), Chances(rng)
        self._noise = Draws(rng, spec.report_noise)
        self.commands = 0
        self.boot(cold=False)

    def boot(self, cold: bool) -> None:
        """Start from nothing: whatever it held and did is gone."""
        now = self.schedule.now()
        self.started_at = now if cold else -1e12
        self.incarnation = object()  # work begun in an earlier life ends in nothing
        self.cache: OrderedDict[str, int] = OrderedDict()
        self.fetches_in_flight: dict[str, list[Job]] = {}
        self.queue: deque[Job] = deque()
        self.busy_slots = 0
        self.draining = self.crashed = False
        self._window: deque[tuple[float, float, str]] = deque()
        self._pushed = 0.0
        self._hits = 0.5
        self._busy_since, self._busy_time, self._util_at, self._util = now, 0.0, now, 0.0
        self._reports: deque[tuple[float, tuple[float, ...]]] = deque()

    # capacity

    def capacity_share(self) -> float:
        """Return its present capacity as a share of that when warm."""
        age = self.schedule.now() - self.started_at
        if age >= self.spec.cold_ms:
            return 1.0
        return self.spec.cold_from + (1.0 - self.spec.cold_from) * age / self.spec.cold_ms

    def _mean_work(self, write: bool) -> float:
        return self.spec.write_ms if write else self.spec.hit_ms

    def _push(self, rid: str, work: float) -> bool:
        """Count work against a cold server's budget; True if that makes it fall."""
        share = self.capacity_share()
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

    def submit(self, job: Job) -> None:
        """Take a command whose last byte has come."""
        self.commands += 1
        if self._push(job.request_id, self._mean_work(job.is_write)):
            self.crashed = True
            self.on_overload_crash(tuple(rid for _, _, rid in self._window))
            return
        if self.draining or (len(self.queue) >= self.spec.waiting and self.busy_slots >= self.spec.slots):
            job.finish(job, "busy")
            return
        if self.busy_slots >= self.spec.slots:
            self.queue.append(job)
            return
        self._begin(job)

    def handshake(self) -> None:
        """A new connection costs work: it keeps a slot busy for a while, or delays what waits."""
        if self.spec.handshake_ms <= 0 or self.busy_slots >= self.spec.slots:
            return
        self._occupy()
        life = self.incarnation
        self.schedule.after(self._duration(self.spec.handshake_ms), lambda: self._free(life))

    def cancel(self, job: Job) -> None:
        """Nobody waits for a command any more: one that has not begun never runs."""
        job.is_cancelled = True

    def _duration(self, work: float) -> float:
        return work * self.slowdown / (self.base_speed * self.capacity_share())

    def _begin(self, job: Job) -> None:
        job.is_started = True
        self._occupy()
        if job.is_write:
            work = self.spec.write_ms
        else:
            self._note(job)
            work = self.spec.hit_ms + (0.0 if job.flags == "h1" else self.spec.miss_ms)
        if self.tail_share and self._chances.next() < self.tail_share:
            work *= self.tail_factor
        life = self.incarnation
        self.schedule.after(self._duration(work * self._draws.next()), lambda: self._worked(life, job))

    def _note(self, job: Job) -> None:
        hit = job.key in self.cache
        job.flags = "h1" if hit else "h0 Z" if job.key in self.fetches_in_flight else "h0"
        self._hits += 0.02 * ((1.0 if hit else 0.0) - self._hits)

    def _worked(self, life: object, job: Job) -> None:
        if life is not self.incarnation:
            return
        self._free(life)  # a slot is for the server's own work; waiting for the origin holds the request only
        if self.spec.error_rate and self._chances.next() < self.spec.error_rate:
            job.finish(job, "failed")
        elif job.is_write:
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
        waiting = self.fetches_in_flight.get(job.key)
        if waiting is not None:
            waiting.append(job)
            return
        self.fetches_in_flight[job.key] = [job]

        def fetched(version: int | None) -> None:
            if life is not self.incarnation:
                return
            jobs = self.fetches_in_flight.pop(job.key, [])
            if version is not None:
                self.store(job.key, version)
            for one in jobs:
                one.version = version or 0
                one.finish(one, "failed" if version is None else "served")

        self.origin.fetch(job.key, fetched)

    def _write(self, life: object, job: Job) -> None:
        def written(version: int | None) -> None:
            if life is not self.incarnation:
                return
            if version is not None:
                self.cache.pop(job.key, None)
            job.version = version or 0
            job.finish(job, "failed" if version is None else "served")

        self.origin.write(job.key, job.idempotency_key, written)

    def store(self, key: str, version: int) -> None:
        """Keep a value; the one used longest ago goes."""
        self.cache[key] = version
        self.cache.move_to_end(key)
        if len(self.cache) > self.spec.memory_keys:
            self.cache.popitem(last=False)

    def invalidate(self, key: str) -> None:
        """A write elsewhere has voided a copy."""
        self.cache.pop(key, None)

    # slots

    def _clock_busy(self) -> None:
        now = self.schedule.now()
        self._busy_time += self.busy_slots * (now - self._busy_since)
        self._busy_since = now

    def _occupy(self) -> None:
        self._clock_busy()
        self.busy_slots += 1

    def _free(self, life: object) -> None:
        if life is not self.incarnation:
            return
        self._clock_busy()
        self.busy_slots -= 1
        while self.queue and self.busy_slots < self.spec.slots:
            job = self.queue.popleft()
            if not job.is_cancelled:
                self._begin(job)

    def utilization(self) -> float:
        """Return the mean share of its slots in use since the last call."""
        self._clock_busy()
        now = self.schedule.now()
        span = max(1e-9, now - self._util_at)
        self._util = self._busy_time / (span * self.spec.slots)
        self._util_at, self._busy_time = now, 0.0
        return self._util

    # reports

    def true_load(self) -> float:
        """Return how many commands wait or run, over its slots and the speed it has now."""
        return (self.busy_slots + len(self.queue)) * self.slowdown / (self.spec.slots * self.base_speed)

    def report(self) -> dict[str, float]:
        """Return the load report that goes out now: old by the delay, and noisy."""
        now = self.schedule.now()
        if not self._reports or now - self._reports[-1][0] >= self.spec.report_period_ms:
            held = self.busy_slots + sum(len(jobs) for jobs in self.fetches_in_flight.values())
            self._reports.append((now, (float(held), float(len(self.queue)), self._hits)))
        wanted = now - self.spec.report_delay_ms - self.extra_report_delay_ms
        while len(self._reports) > 1 and self._reports[1][0] <= wanted:
            self._reports.popleft()
        values = self._reports[0][1]
        return {
            name: value * self._noise.next() for name, value in zip(("inflight", "queue", "x0"), values, strict=True)
        }
