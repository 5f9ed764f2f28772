"""The load tool's attempts that wait for a connection when their time is over, in an event loop without real time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import numpy as np
import pytest

from starlingthread.experiment.randomness import UniformDraws
from starlingthread.experiment.records import Ledger, Operation
from starlingthread.experiment.scenario import RequestClass, Scenario, Traffic
from starlingthread.load import operations
from starlingthread.load.connection import ClientConnection
from starlingthread.load.front import Front
from starlingthread.load.operations import MIN_BUDGET_MS, MIN_SEND_BUDGET_MS, OperationRunner, PendingOperation

ROUTER = 0
SHORT = RequestClass("short", 0.5, deadline_ms=500.0)
LONG = RequestClass("long", 0.5, deadline_ms=4000.0)
MANY = 10_000  # far more than Python's recursion limit
TURNS = 10  # of the event loop, more than opening a connection takes


class RecordingTransport(asyncio.Transport):
    """A transport that keeps what is written to it."""

    def __init__(self) -> None:
        super().__init__()
        self.requests: list[bytes] = []

    def write(self, data: Any) -> None:
        self.requests.append(bytes(data))


class ManualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time is set by hand, and whose connections have no network behind them."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        super().__init__()
        self.may_open = asyncio.Event()
        self.connections: list[ClientConnection] = []
        self.transports: list[RecordingTransport] = []
        self.errors: list[dict[str, Any]] = []
        self.set_exception_handler(lambda _, context: self.errors.append(context))

    def time(self) -> float:
        return self.now_ms / 1000.0

    async def create_connection(
        self, protocol_factory: Callable[[], Any], *_: Any, **__: Any
    ) -> tuple[asyncio.Transport, Any]:
        await self.may_open.wait()
        transport = RecordingTransport()
        connection = protocol_factory()
        connection.connection_made(transport)
        self.connections.append(connection)
        self.transports.append(transport)
        return transport, connection


class Clients:
    """Clients of one router that have one connection at most."""

    def __init__(self, loop: ManualLoop, retries: int) -> None:
        scenario = Scenario("waiting", traffic=Traffic(max_connections=1, retries=retries, classes=(SHORT, LONG)))
        draws = UniformDraws(np.random.default_rng(1))
        self.ended_count = 0
        self.loop = loop
        self.runner = OperationRunner(scenario, [("127.0.0.1", 1)], Front(1, 0), draws, Ledger(), self._count_end)
        self._started_count = 0

    def _count_end(self) -> None:
        self.ended_count += 1

    def start(self, spec: RequestClass) -> PendingOperation:
        operation = PendingOperation(Operation(self._started_count, 0, self.loop.now_ms), spec, 0)
        self._started_count += 1
        self.runner.start(operation)
        return operation

    async def open_connection(self) -> None:
        """Let the connection that is being opened open."""
        self.loop.may_open.set()
        await self.turn()

    async def turn(self) -> None:
        for _ in range(TURNS):
            await asyncio.sleep(0)

    @property
    def requests(self) -> list[bytes]:
        """What was sent on the only connection."""
        (transport,) = self.loop.transports
        return transport.requests

    def answer(self, operation: PendingOperation) -> None:
        """Answer an operation whose last attempt was the last request on the only connection."""
        (connection,) = self.loop.connections
        request_id = operation.attempts[-1].request_id.encode()
        assert b" O" + request_id + b" " in self.requests[-1]
        connection.data_received(b"VA 1 O" + request_id + b"\r\ns\r\n")
        assert operation.record.result == "served"

    def assert_the_connection_is_idle(self) -> None:
        (connection,) = self.loop.connections
        assert self.runner.pool.take(ROUTER) is connection
        assert self.runner.pool.take(ROUTER) is None  # it is idle once


@pytest.fixture
def loop(monkeypatch: pytest.MonkeyPatch) -> ManualLoop:
    manual_loop = ManualLoop()
    monkeypatch.setattr(operations, "now_ms", lambda: manual_loop.now_ms)
    return manual_loop


def run(loop: ManualLoop, play: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Run a coroutine in the loop and close it; nothing may have failed in a callback or a task."""
    with asyncio.Runner(loop_factory=lambda: loop) as runner:
        runner.run(play())
    assert loop.errors == []


def assert_refused_once(expired: list[PendingOperation], ended_at: float) -> None:
    assert all(len(operation.attempts) == 1 for operation in expired)
    assert {operation.attempts[0].outcome for operation in expired} == {"refused"}
    ends = {(operation.record.result, operation.record.done_at, operation.record.attempts) for operation in expired}
    assert ends == {("failed", ended_at, 1)}


def test_a_released_connection_passes_many_attempts_whose_time_is_over(loop: ManualLoop) -> None:
    async def play() -> None:
        clients = Clients(loop, retries=0)
        first = clients.start(LONG)
        await clients.open_connection()
        expired = [clients.start(SHORT) for _ in range(MANY)]
        loop.now_ms = ended_at = SHORT.deadline_ms - MIN_SEND_BUDGET_MS / 2  # just before their timers
        clients.answer(first)
        assert_refused_once(expired, ended_at)
        assert clients.ended_count == 1 + MANY and len(clients.requests) == 1
        clients.assert_the_connection_is_idle()
        loop.now_ms = 2 * SHORT.deadline_ms
        await clients.turn()
        assert clients.ended_count == 1 + MANY  # no timer of theirs is left

    run(loop, play)


def test_those_behind_them_that_have_time_are_sent_in_their_order(loop: ManualLoop) -> None:
    async def play() -> None:
        clients = Clients(loop, retries=0)
        first = clients.start(LONG)
        await clients.open_connection()
        expired = [clients.start(SHORT) for _ in range(MANY)]
        second, third = clients.start(LONG), clients.start(LONG)
        loop.now_ms = ended_at = SHORT.deadline_ms - MIN_SEND_BUDGET_MS / 2
        clients.answer(first)
        assert_refused_once(expired, ended_at)
        assert clients.ended_count == 1 + MANY and len(clients.requests) == 2
        clients.answer(second)
        assert len(clients.requests) == 3
        clients.answer(third)
        assert clients.ended_count == 3 + MANY
        clients.assert_the_connection_is_idle()

    run(loop, play)


def test_a_connection_that_opens_too_late_passes_many_attempts_whose_time_is_over(loop: ManualLoop) -> None:
    async def play() -> None:
        clients = Clients(loop, retries=0)
        opening = clients.start(SHORT)
        await clients.turn()
        expired = [clients.start(SHORT) for _ in range(MANY)]
        patient = clients.start(LONG)
        loop.now_ms = ended_at = SHORT.deadline_ms - MIN_SEND_BUDGET_MS / 2
        await clients.open_connection()
        assert_refused_once([opening, *expired], ended_at)
        assert clients.ended_count == 1 + MANY and len(clients.requests) == 1
        clients.answer(patient)
        clients.assert_the_connection_is_idle()

    run(loop, play)


def test_attempts_whose_time_is_over_are_retried_once_each(loop: ManualLoop) -> None:
    async def play() -> None:
        clients = Clients(loop, retries=1)
        first = clients.start(LONG)
        await clients.open_connection()
        expired = [clients.start(SHORT) for _ in range(MANY)]
        loop.now_ms = expired[0].attempts[0].budget_ms - MIN_SEND_BUDGET_MS / 2
        clients.answer(first)
        assert {operation.attempts[0].outcome for operation in expired} == {"refused"}
        assert clients.ended_count == 1  # the others wait for their retry
        loop.now_ms = SHORT.deadline_ms - 2 * MIN_BUDGET_MS  # past the longest backoff
        await clients.turn()
        assert {len(operation.attempts) for operation in expired} == {2}
        assert len(clients.requests) == 2 and clients.ended_count == 1

    run(loop, play)
