"""Clients on sockets. A request is sent when it is due, whatever became of those before it."""

from __future__ import annotations

import asyncio
import contextlib
import time
import zlib
from collections import Counter, deque
from collections.abc import Coroutine
from typing import Any, cast

import numpy as np

from ..experiment.randomness import Chances
from ..experiment.records import ClientAttempt, Ledger, Operation
from ..experiment.scenario import RequestClass, Scenario
from .traffic import Arrivals, key_name

TICK = 0.001  # s between looks at what is due
EXTRA_WAIT = 150.0  # ms past its time for which a client still listens, so that a late answer is seen
CONNECT = 1.0  # s
MAX_OPEN = 12000  # connections of one process
LEAST_WAIT = 10.0  # ms; with less left a client does not try again
HALF_HELD = 10.0  # s for which a bad client keeps half a command


class Pending:
    """An operation with the state of its tries."""

    __slots__ = ("cls", "conn", "key", "op", "resent", "spec", "timer", "tries")

    def __init__(self, op: Operation, spec: RequestClass, key: int) -> None:
        self.op, self.spec, self.key = op, spec, key
        self.tries: list[ClientAttempt] = []
        self.timer: asyncio.TimerHandle | None = None
        self.conn: ClientConnection | None = None
        self.resent = False


class ClientConnection(asyncio.Protocol):
    """One connection of a client to a router; one request at a time."""

    def __init__(self, load: Load, router: int) -> None:
        self.load, self.router = load, router
        self.transport: asyncio.Transport
        self.buffer = bytearray()
        self.job: Pending | None = None
        self.used = 0
        self.over = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's are not of that class

    def connection_lost(self, exc: Exception | None) -> None:
        self.over = True
        self.load.lost(self)

    def data_received(self, data: bytes) -> None:
        job = self.job
        if job is None:
            self.load.unasked(self, data)
            return
        self.buffer += data
        end = self.buffer.find(b"\r\n")
        if end < 0:
            return
        line = bytes(self.buffer[:end])
        words = line.split(b" ")
        whole = end + 2
        value = b""
        if words[0] == b"VA" and len(words) > 2 and words[1].isdigit():
            whole += int(words[1]) + 2
            if len(self.buffer) < whole:
                return
            value = bytes(self.buffer[end + 2 : whole - 2])
        extra = bytes(self.buffer[whole:])
        self.buffer.clear()
        self.load.answered(self, job, words, value, extra)


class Load:
    """The clients of one process."""

    def __init__(
        self,
        scenario: Scenario,
        worker: int,
        arrivals: Arrivals,
        routers: list[tuple[str, int]],
        rng: np.random.Generator,
        ledger: Ledger,
    ) -> None:
        self.scenario, self.worker, self.routers, self.ledger = scenario, worker, routers, ledger
        self.traffic = scenario.traffic
        mine = slice(worker, None, scenario.machine.load_processes)
        self.at, self.cls = arrivals.at[mine].tolist(), arrivals.cls[mine].tolist()
        self.keys = arrivals.key[mine].tolist()
        self.idle: list[deque[ClientConnection]] = [deque() for _ in routers]
        self.alive = [True] * len(routers)
        self.leave = self.traffic.leave
        self.open = 0
        self.out_of_connections = 0
        self.garbage: Counter[str] = Counter()
        self.started_at = 0.0
        self.done = asyncio.Event()
        self._chances = Chances(rng)
        self._next = 0
        self._turn = worker
        self._waiting = 0
        self._over_all = False
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[None]] = set()
        self._padding = b"s" * self.traffic.write_bytes

    def now(self) -> float:
        """Return the machine's monotonic time in ms."""
        return time.monotonic() * 1000.0

    # the run

    async def connect_ahead(self) -> None:
        """Open the connections that clients keep, a few at a time."""
        share = self.traffic.connections // self.scenario.machine.load_processes
        for first in range(0, share, 50):
            some = [self._connect((first + n) % len(self.routers)) for n in range(min(50, share - first))]
            for connection in await asyncio.gather(*some):
                if connection is not None:
                    self.idle[connection.router].append(connection)

    def begin(self, started_at: float) -> None:
        """Send from this moment on (ms)."""
        self.started_at = started_at
        if self.traffic.in_flight:
            first = self.traffic.in_flight // self.scenario.machine.load_processes
            for _ in range(max(1, first)):
                self._loop.call_later(max(0.0, (started_at - self.now()) / 1000.0), self._another)
        else:
            self._tick()

    def _another(self) -> None:
        """In a closed loop: ask for the next as soon as one has ended, until the time is over."""
        now = self.now()
        if now >= self.started_at + self.scenario.length_s * 1000.0 or self._over_all:
            self._over_all = True
            if not self._waiting:
                self.done.set()
            return
        self._ask(self._next % len(self.at), now, now)

    def _ask(self, place: int, due: float, now: float) -> None:
        number, self._next = self._next, self._next + 1
        op = Operation(number * self.scenario.machine.load_processes + self.worker, self.cls[place], due, now - due)
        self.ledger.operations.append(op)
        self._waiting += 1
        self._try(Pending(op, self.traffic.classes[op.class_index], self.keys[place]))

    def _tick(self) -> None:
        now = self.now()
        while self._next < len(self.at) and self.started_at + self.at[self._next] <= now:
            self._ask(self._next, self.started_at + self.at[self._next], now)
        if self._next < len(self.at):
            self._loop.call_later(TICK, self._tick)
        elif not self._waiting:
            self.done.set()

    # tries

    def _router(self, not_this: int = -1) -> int:
        """Return the router that the front hands out next."""
        count = len(self.routers)
        for _ in range(count):
            self._turn = (self._turn + 1) % count
            if self.alive[self._turn] and (self._turn != not_this or count == 1):
                return self._turn
        return not_this if not_this >= 0 and self.alive[not_this] else -1

    def _try(self, job: Pending, not_this: int = -1) -> None:
        now, op = self.now(), job.op
        left = op.due_at + job.spec.deadline_ms - now
        router = self._router(not_this)
        if left < LEAST_WAIT or router < 0:
            self._end(job)
            return
        again = len(job.tries) < self.traffic.retries and job.spec.effect != "once"
        wait = left * self.traffic.try_share if again else left
        rid = f"{op.number:08x}{len(job.tries):02x}{zlib.crc32(b'%d/%d' % (op.number, self.scenario.seed)):08x}"
        attempt = ClientAttempt(rid, op.number, op.class_index, job.key, router, now, wait, len(job.tries))
        job.tries.append(attempt)
        job.resent = False
        self.ledger.attempts.append(attempt)
        self._send(job, attempt)

    def _send(self, job: Pending, attempt: ClientAttempt) -> None:
        pool = self.idle[attempt.router]
        while pool:
            connection = pool.popleft()
            if not connection.over:
                self._write(connection, job, attempt)
                return
        if self.open >= MAX_OPEN:
            self.out_of_connections += 1
            self._over(job, attempt, "refused")
            return
        self._task(self._open_and_write(job, attempt))

    def _task(self, work: Coroutine[Any, Any, None]) -> None:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect(self, router: int) -> ClientConnection | None:
        self.open += 1
        try:
            _, made = await asyncio.wait_for(
                self._loop.create_connection(lambda: ClientConnection(self, router), *self.routers[router]), CONNECT
            )
            return made
        except (OSError, TimeoutError):
            self.open -= 1
            return None

    async def _open_and_write(self, job: Pending, attempt: ClientAttempt) -> None:
        connection = await self._connect(attempt.router)
        if connection is None or connection.over:
            # Sent once before: then the router died with it, and it may have run.
            self._over(job, attempt, "eof" if job.resent else "refused")
        else:
            self._write(connection, job, attempt)

    def _write(self, connection: ClientConnection, job: Pending, attempt: ClientAttempt) -> None:
        spec, now = job.spec, self.now()
        left = attempt.sent_at + attempt.budget_ms - now
        if left < 1.0:
            self.idle[connection.router].append(connection)
            self._over(job, attempt, "refused")
            return
        fields = f"Pc={spec.name},d={int(left)}"
        if spec.effect == "by_key":
            fields += f",k={zlib.crc32(b'k%d' % job.op.number):08x}{job.op.number:08x}"
        key = key_name(job.key)
        if spec.write:
            data = (
                f"ms {key} {len(self._padding)} O{attempt.request_id} {fields}\r\n".encode() + self._padding + b"\r\n"
            )
        else:
            data = f"mg {key} v O{attempt.request_id} {fields}\r\n".encode()
        connection.job, job.conn = job, connection
        connection.used += 1
        connection.buffer.clear()
        connection.transport.write(data)
        attempt.sent_at, attempt.budget_ms = now, float(int(left))
        stay = attempt.budget_ms + EXTRA_WAIT
        leaves = self.leave > 0 and self._chances.next() < self.leave
        if leaves:
            stay = self._chances.next() * min(spec.latency_objective_ms, attempt.budget_ms)
        job.timer = self._loop.call_later(stay / 1000.0, self._give_up, job, attempt, "left" if leaves else "none")

    def _give_up(self, job: Pending, attempt: ClientAttempt, kind: str) -> None:
        connection, job.conn = job.conn, None
        if connection is not None:
            connection.job = None
            connection.transport.abort()
        self._over(job, attempt, kind)

    def lost(self, connection: ClientConnection) -> None:
        """A connection has ended."""
        self.open -= 1
        job = connection.job
        if job is None:
            with contextlib.suppress(ValueError):
                self.idle[connection.router].remove(connection)
            return
        connection.job, job.conn = None, None
        attempt = job.tries[-1]
        if job.timer is not None:
            job.timer.cancel()
        if not connection.buffer and not job.resent:
            # Our request crossed its close between requests: as nobody read it, it is sent once more, on a new one.
            job.resent = True
            self._task(self._open_and_write(job, attempt))
            return
        if connection.buffer:
            attempt.protocol_error = "stopped in the middle of an answer"
        self._over(job, attempt, "eof")

    def unasked(self, connection: ClientConnection, data: bytes) -> None:
        """A router said something on a connection where nothing was asked."""
        self.ledger.attempts.append(
            ClientAttempt(
                "", -1, 0, 0, connection.router, self.now(), 0.0, 0, "other", self.now(), 0, f"unasked: {data[:60]!r}"
            )
        )
        connection.transport.abort()

    def answered(
        self, connection: ClientConnection, job: Pending, words: list[bytes], value: bytes, extra: bytes
    ) -> None:
        """An answer is whole."""
        if job.timer is not None:
            job.timer.cancel()
        connection.job, job.conn = None, None
        attempt = job.tries[-1]
        attempt.answered_at = self.now()
        first = words[0]
        kind = "other"
        if first in (b"VA", b"HD"):
            ids = [w[1:].decode("latin-1") for w in words if w[:1] == b"O"]
            if ids != [attempt.request_id]:
                attempt.protocol_error = f"answer for {','.join(ids) or 'nobody'}"
            kind = "value" if first == b"VA" else "receipt"
            made = value if first == b"VA" else next((w[1:] for w in words if w[:1] == b"c"), b"")
            attempt.checksum = zlib.crc32(made)
        elif words[:2] == [b"SERVER_ERROR", b"busy"]:
            kind = "busy"
            with contextlib.suppress(IndexError, ValueError):
                attempt.retry_after_ms = float(words[2])
        elif words == [b"SERVER_ERROR", b"failed"]:
            kind = "failed"
        else:
            attempt.protocol_error = b" ".join(words)[:60].decode("latin-1")
        if extra:
            attempt.protocol_error = f"bytes behind the answer: {extra[:40]!r}"
            connection.transport.abort()
        elif not connection.over:
            self.idle[connection.router].append(connection)
        self._over(job, attempt, kind)

    def _over(self, job: Pending, attempt: ClientAttempt, kind: str) -> None:
        """A try has ended: finish the operation, or try again as its class allows."""
        attempt.outcome = kind
        op, _spec = job.op, job.spec
        op.attempts = len(job.tries)
        if kind in ("value", "receipt"):
            op.result, op.done_at = "served", attempt.answered_at
        elif kind == "left":
            op.result = "left"
        else:
            op.result = "refused" if kind == "busy" else "failed"
            if self._may_repeat(job, kind) and len(job.tries) <= self.traffic.retries:
                pause = self.traffic.backoff_ms * 2.0 ** (len(job.tries) - 1) * (0.5 + self._chances.next())
                if attempt.retry_after_ms and self._chances.next() < self.traffic.honour:
                    pause = max(pause, attempt.retry_after_ms)
                self._loop.call_later(pause / 1000.0, self._try, job, attempt.router)
                return
        self._end(job)

    def _may_repeat(self, job: Pending, kind: str) -> bool:
        effect = job.spec.effect
        if effect == "repeatable" or kind in ("busy", "refused"):
            return True
        return effect == "by_key" and self.now() - job.tries[0].sent_at < job.spec.memory_span_ms

    def _end(self, job: Pending) -> None:
        op = job.op
        if op.result == "none":
            op.result = "failed"
        op.done_at = op.done_at or self.now()
        self._waiting -= 1
        if self.traffic.in_flight:
            self._loop.call_soon(self._another)
        elif self._next >= len(self.at) and not self._waiting:
            self.done.set()

    # bad clients

    def bad_clients(self, per_second: float, seconds: float, half: bool) -> None:
        """Open connections at a rate for a while that send garbage, or half a command and no more."""
        count = int(per_second * seconds)
        for number in range(count):
            self._loop.call_later(number / per_second, lambda: self._task(self._bad_client(half)))

    async def _bad_client(self, half: bool) -> None:
        router = self._router()
        if router < 0 or self.open >= MAX_OPEN:
            return
        pick = int(self._chances.next() * len(GARBAGE))
        data = HALVES[pick % len(HALVES)] if half else GARBAGE[pick]
        self.open += 1
        outcome = "refused"
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*self.routers[router]), CONNECT)
            try:
                writer.write(data)
                answer = await asyncio.wait_for(reader.read(200), HALF_HELD)
                outcome = answer.split(b"\r\n")[0].split(b" ")[0].decode("latin-1") or "closed"
            except TimeoutError:
                outcome = "nothing"
            finally:
                writer.transport.abort()
        except (OSError, TimeoutError):
            outcome = "reset" if outcome == "refused" else outcome
        finally:
            self.open -= 1
        self.garbage[outcome] += 1

    def stop(self) -> None:
        """Close everything."""
        for task in list(self._tasks):
            task.cancel()
        for pool in self.idle:
            for connection in list(pool):
                connection.transport.abort()


GARBAGE: tuple[bytes, ...] = (
    b"\x00\x01\xfe\xff" * 40 + b"\r\n",
    b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
    b"mg\r\n",
    b"mg a v\r\n",
    b"ms a nine O1 Pc=x,d=1\r\n",
    b"ms a 99999999 O1 Pc=x,d=1\r\n",
    b"mg " + b"k" * 300 + b" v O1 Pc=x,d=5\r\n",
    b"x" * 9000,
    b"mg a v O1 Pc=nobody,d=100\r\n",
    b"mg a v O1 O2 Pc=item-lookup,d=-5\r\n",
    b"\r\n" * 20,
    b"ms a 3 O1 Pc=hold-item,d=100\r\nabcde\r\n",
)
HALVES: tuple[bytes, ...] = (b"mg stock:0000", b"ms stock:00000001 4000 O77 Pc=hold-item,d=400\r\nhalf of it", b"m")
