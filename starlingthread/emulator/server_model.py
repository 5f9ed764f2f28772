"""Behavior model of a cache server, without sockets or a clock of its own.

The model reads the time only from a ``Scheduler``, so that it runs on the event loop in the emulator and in virtual
time in simulations. All times are in milliseconds. A server is a queue in front of ``slots`` workers, whose speed
ramps up after a cold start, with an LRU cache in memory and the origin behind it.
"""

from __future__ import annotations

import enum
from collections import OrderedDict, deque
from collections.abc import Callable

import numpy as np

from ..experiment.randomness import LognormalFactors, UniformDraws
from ..experiment.scenario import Fleet
from .load_reports import LoadReport, LoadReporter
from .origin_model import OriginClient
from .schedule import Scheduler
from .warm_up import WarmUp

HIT_FLAGS = "h1"
MISS_FLAGS = "h0"
# Flags of a miss that shares the origin fetch of an earlier miss.
COALESCED_MISS_FLAGS = "h0 Z"
# Weight of a new lookup in the exponentially weighted moving average of the hit rate.
_HIT_RATE_EWMA_WEIGHT = 0.02


class CommandOutcome(enum.Enum):
    """Outcome of a command at a server."""

    SERVED = "served"
    FAILED = "failed"
    BUSY = "busy"


class Command:
    """A read or write at a server. ``on_finish`` is called once, unless the server restarts first."""

    __slots__ = (
        "flags",
        "idempotency_key",
        "is_cancelled",
        "is_started",
        "is_write",
        "key",
        "on_finish",
        "request_id",
        "version",
    )

    def __init__(
        self,
        request_id: str,
        key: str,
        is_write: bool,
        idempotency_key: str,
        on_finish: Callable[[Command, CommandOutcome], None],
    ) -> None:
        self.request_id = request_id
        self.key = key
        self.is_write = is_write
        self.idempotency_key = idempotency_key
        self.on_finish = on_finish
        self.flags = ""  # flags of the answer that distinguish a hit from a miss
        self.version = 0
        self.is_started = False
        self.is_cancelled = False

    def finish(self, outcome: CommandOutcome) -> None:
        """End the command with an outcome."""
        self.on_finish(self, outcome)


class ServerModel:
    """One cache server: worker slots, a bounded queue, an LRU cache, warm-up, overload crashes and load reports."""

    def __init__(
        self,
        number: int,
        spec: Fleet,
        speed: float,
        scheduler: Scheduler,
        origin: OriginClient,
        rng: np.random.Generator,
    ) -> None:
        self.number = number
        self.spec = spec
        self.scheduler = scheduler
        self.origin = origin
        self.base_speed = speed
        self.slowdown = 1.0  # factor on the duration of all work
        self.tail_factor = 1.0  # factor on the duration of a ``tail_share`` of the commands
        self.tail_share = 0.0
        self.extra_report_delay_ms = 0.0
        self.on_overload_crash: Callable[[tuple[str, ...]], None] = lambda request_ids: None
        # The server worker resets the count of commands with each sample.
        self.commands_since_sample = 0
        self._work_factors = LognormalFactors(rng, spec.work_cv)
        self._draws = UniformDraws(rng)
        self._report_noise = LognormalFactors(rng, spec.report_noise)
        self.boot(is_warm=True)

    def boot(self, is_warm: bool) -> None:
        """Start with an empty cache and an empty queue, at full capacity if ``is_warm``."""
        now = self.scheduler.now()
        self.incarnation = object()  # identity of this server process; work begun by an earlier one has no effect
        self.cache: OrderedDict[str, int] = OrderedDict()
        self.fetches_in_flight: dict[str, list[Command]] = {}
        self.queue: deque[Command] = deque()
        self.busy_slots = 0
        self.draining = False
        self.crashed = False
        self._warm_up = WarmUp(self.spec, self.base_speed, None if is_warm else now)
        self._reporter = LoadReporter(self.spec, self._report_noise)
        self._hit_rate = 0.5
        self._busy_slots_accounted_at = now
        self._busy_slot_ms = 0.0
        self._utilization_since = now

    def capacity_share(self) -> float:
        """Return the current capacity as a share of the capacity when warmed up."""
        return self._warm_up.capacity_share(self.scheduler.now())

    # commands

    def submit(self, command: Command) -> None:
        """Accept, queue or reject a command that has been received completely."""
        self.commands_since_sample += 1
        mean_work_ms = self.spec.write_ms if command.is_write else self.spec.hit_ms
        if self._warm_up.add_work_and_check_overload(self.scheduler.now(), command.request_id, mean_work_ms):
            self.crashed = True
            self.on_overload_crash(self._warm_up.recent_request_ids())
            return
        if self.draining or (len(self.queue) >= self.spec.queue_length and self.busy_slots >= self.spec.slots):
            command.finish(CommandOutcome.BUSY)
            return
        if self.busy_slots >= self.spec.slots:
            self.queue.append(command)
            return
        self._start(command)

    def charge_handshake(self) -> None:
        """Charge the work of a new connection to a slot, if one is free."""
        if self.spec.handshake_ms <= 0 or self.busy_slots >= self.spec.slots:
            return
        self._occupy_slot()
        incarnation = self.incarnation
        self.scheduler.after(self._duration_ms(self.spec.handshake_ms), lambda: self._release_slot(incarnation))

    def cancel(self, command: Command) -> None:
        """Cancel a command; a command that has not started yet never runs."""
        command.is_cancelled = True

    def _duration_ms(self, work_ms: float) -> float:
        return work_ms * self.slowdown / (self.base_speed * self.capacity_share())

    def _start(self, command: Command) -> None:
        command.is_started = True
        self._occupy_slot()
        if command.is_write:
            work_ms = self.spec.write_ms
        else:
            self._record_lookup(command)
            work_ms = self.spec.hit_ms + (0.0 if command.flags == HIT_FLAGS else self.spec.miss_ms)
        if self.tail_share and self._draws.next() < self.tail_share:
            work_ms *= self.tail_factor
        incarnation = self.incarnation
        duration_ms = self._duration_ms(work_ms * self._work_factors.next())
        self.scheduler.after(duration_ms, lambda: self._finish_work(incarnation, command))

    def _record_lookup(self, command: Command) -> None:
        is_hit = command.key in self.cache
        if is_hit:
            command.flags = HIT_FLAGS
        elif command.key in self.fetches_in_flight:
            command.flags = COALESCED_MISS_FLAGS
        else:
            command.flags = MISS_FLAGS
        self._hit_rate += _HIT_RATE_EWMA_WEIGHT * ((1.0 if is_hit else 0.0) - self._hit_rate)

    def _finish_work(self, incarnation: object, command: Command) -> None:
        if incarnation is not self.incarnation:
            return
        self._release_slot(incarnation)  # a command that waits for the origin occupies no slot
        if self.spec.error_rate and self._draws.next() < self.spec.error_rate:
            command.finish(CommandOutcome.FAILED)
        elif command.is_write:
            self._write(incarnation, command)
        else:
            self._read(incarnation, command)

    def _read(self, incarnation: object, command: Command) -> None:
        version = self.cache.get(command.key)
        if version is not None:
            self.cache.move_to_end(command.key)
            command.version = version
            command.finish(CommandOutcome.SERVED)
            return
        waiting_commands = self.fetches_in_flight.get(command.key)
        if waiting_commands is not None:
            waiting_commands.append(command)
            return
        self.fetches_in_flight[command.key] = [command]

        def on_fetched(version: int | None) -> None:
            if incarnation is not self.incarnation:
                return
            commands = self.fetches_in_flight.pop(command.key, [])
            if version is not None:
                self.store(command.key, version)
            for waiting_command in commands:
                self._finish_with_version(waiting_command, version)

        self.origin.fetch(command.key, on_fetched)

    def _write(self, incarnation: object, command: Command) -> None:
        def on_written(version: int | None) -> None:
            if incarnation is not self.incarnation:
                return
            if version is not None:
                self.invalidate(command.key)
            self._finish_with_version(command, version)

        self.origin.write(command.key, command.idempotency_key, on_written)

    def _finish_with_version(self, command: Command, version: int | None) -> None:
        """Finish a command with the answer of the origin: a version, or None if the origin failed."""
        command.version = version or 0
        command.finish(CommandOutcome.FAILED if version is None else CommandOutcome.SERVED)

    # cache

    def store(self, key: str, version: int) -> None:
        """Cache a value; evict the least recently used value if the cache is full."""
        self.cache[key] = version
        self.cache.move_to_end(key)
        if len(self.cache) > self.spec.cache_capacity_keys:
            self.cache.popitem(last=False)

    def invalidate(self, key: str) -> None:
        """Evict a value that is stale because of a write."""
        self.cache.pop(key, None)

    # slots

    def _account_busy_slots(self) -> None:
        now = self.scheduler.now()
        self._busy_slot_ms += self.busy_slots * (now - self._busy_slots_accounted_at)
        self._busy_slots_accounted_at = now

    def _occupy_slot(self) -> None:
        self._account_busy_slots()
        self.busy_slots += 1

    def _release_slot(self, incarnation: object) -> None:
        if incarnation is not self.incarnation:
            return
        self._account_busy_slots()
        self.busy_slots -= 1
        while self.queue and self.busy_slots < self.spec.slots:
            command = self.queue.popleft()
            if not command.is_cancelled:
                self._start(command)

    # measurements

    def utilization(self) -> float:
        """Return the mean share of slots in use since the last call."""
        self._account_busy_slots()
        now = self.scheduler.now()
        elapsed_ms = max(1e-9, now - self._utilization_since)
        utilization = self._busy_slot_ms / (elapsed_ms * self.spec.slots)
        self._utilization_since = now
        self._busy_slot_ms = 0.0
        return utilization

    def true_load(self) -> float:
        """Return the number of queued and running commands, relative to the slots and their current speed."""
        return (self.busy_slots + len(self.queue)) * self.slowdown / (self.spec.slots * self.base_speed)

    def report(self) -> LoadReport:
        """Return the load report that an answer carries now, delayed and with noise."""
        return self._reporter.report(self.scheduler.now(), self.extra_report_delay_ms, self._measure_load)

    def _measure_load(self) -> LoadReport:
        in_flight = self.busy_slots + sum(len(commands) for commands in self.fetches_in_flight.values())
        return LoadReport(float(in_flight), float(len(self.queue)), self._hit_rate)
