"""Tests of attempts of the load tool that expire while they wait for a connection, in an event loop with manual time.

Many attempts may expire in the queue of one connection. Passing the connection on must not recurse once for each of
them, which would exceed Python's recursion limit, and must not lose the connection.
"""

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
from starlingthread.load.frontend import FrontendBalancer
from starlingthread.load.operations import MIN_BUDGET_MS, MIN_SEND_BUDGET_MS, OperationRunner, PendingOperation

ROUTER = 0
SHORT = RequestClass("short", 0.5, deadline_ms=500.0)
LONG = RequestClass("long", 0.5, deadline_ms=4000.0)
EXPIRED_COUNT = 10_000  # far more than Python's recursion limit
LOOP_ITERATIONS = 10  # more iterations of the event loop than opening a connection takes


class RecordingTransport(asyncio.Transport):
    """A transport that records the requests written to it."""

    def __init__(self) -> None:
        super().__init__()
        self.requests: list[bytes] = []

    def write(self, data: Any) -> None:
        self.requests.append(bytes(data))


class ManualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time is set by the test, and whose connections use no network."""

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
    """Clients of one router with at most one connection."""

    def __init__(self, loop: ManualLoop, retries: int) -> None:
        scenario = Scenario("waiting", traffic=Traffic(max_connections=1, retries=retries, classes=(SHORT, LONG)))
        draws = UniformDraws(np.random.default_rng(1))
        self.ended_count = 0
        self.loop = loop
        self.runner = OperationRunner(
            scenario, [("127.0.0.1", 1)], FrontendBalancer(1, 0), draws, Ledger(), self._count_end
        )
        self._started_count = 0

    def _count_end(self) -> None:
        self.ended_count += 1

    def start(self, request_class: RequestClass) -> PendingOperation:
        operation = PendingOperation(Operation(self._started_count, 0, self.loop.now_ms), request_class, 0)
        self._started_count += 1
        self.runner.start(operation)
        return operation

    async def open_connection(self) -> None:
        """Complete the opening of the connection."""
        self.loop.may_open.set()
        await self.run_loop_iterations()

    async def run_loop_iterations(self) -> None:
        for _ in range(LOOP_ITERATIONS):
            await asyncio.sleep(0)

    @property
    def requests(self) -> list[bytes]:
        """The requests sent on the only connection."""
        (transport,) = self.loop.transports
        return transport.requests

    def answer(self, operation: PendingOperation) -> None:
        """Answer an operation whose last attempt is the last request sent on the only connection."""
        (connection,) = self.loop.connections
        request_id = operation.attempts[-1].request_id.encode()
        assert b" O" + request_id + b" " in self.requests[-1]
        connection.data_received(b"VA 1 O" + request_id + b"\r\ns\r\n")
        assert operation.record.result == "served"

    def assert_the_connection_is_idle(self) -> None:
        (connection,) = self.loop.connections
        assert self.runner.pool.take(ROUTER) is connection
        assert self.runner.pool.take(ROUTER) is None  # the pool holds the connection only once


@pytest.fixture
def loop(monkeypatch: pytest.MonkeyPatch) -> ManualLoop:
    manual_loop = ManualLoop()
    monkeypatch.setattr(operations, "now_ms", lambda: manual_loop.now_ms)
    return manual_loop


def run(loop: ManualLoop, steps: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Run a coroutine in the loop and close the loop; check that no callback or task has failed."""
    with asyncio.Runner(loop_factory=lambda: loop) as runner:
        runner.run(steps())
    assert loop.errors == []


def assert_refused_once(expired: list[PendingOperation], ended_at: float) -> None:
    assert all(len(operation.attempts) == 1 for operation in expired)
    assert {operation.attempts[0].outcome for operation in expired} == {"refused"}
    ends = {(operation.record.result, operation.record.done_at, operation.record.attempts) for operation in expired}
    assert ends == {("failed", ended_at, 1)}


def test_a_released_connection_skips_many_expired_attempts(loop: ManualLoop) -> None:
    async def steps() -> None:
        clients = Clients(loop, retries=0)
        first = clients.start(LONG)
        await clients.open_connection()
        expired = [clients.start(SHORT) for _ in range(EXPIRED_COUNT)]
        loop.now_ms = ended_at = SHORT.deadline_ms - MIN_SEND_BUDGET_MS / 2  # just before the timers expire
        clients.answer(first)
        assert_refused_once(expired, ended_at)
        assert clients.ended_count == 1 + EXPIRED_COUNT and len(clients.requests) == 1
        clients.assert_the_connection_is_idle()
        loop.now_ms = 2 * SHORT.deadline_ms
        await clients.run_loop_iterations()
        assert clients.ended_count == 1 + EXPIRED_COUNT  # no timer of an expired attempt is left

    run(loop, steps)


def test_unexpired_attempts_behind_expired_ones_are_sent_in_order(loop: ManualLoop) -> None:
    async def steps() -> None:
        clients = Clients(loop, retries=0)
        first = clients.start(LONG)
        await clients.open_connection()
        expired = [clients.start(SHORT) for _ in range(EXPIRED_COUNT)]
        second, third = clients.start(LONG), clients.start(LONG)
        loop.now_ms = ended_at = SHORT.deadline_ms - MIN_SEND_BUDGET_MS / 2
        clients.answer(first)
        assert_refused_once(expired, ended_at)
        assert clients.ended_count == 1 + EXPIRED_COUNT and len(clients.requests) == 2
        clients.answer(second)
        assert len(clients.requests) == 3
        clients.answer(third)
        assert clients.ended_count == 3 + EXPIRED_COUNT
        clients.assert_the_connection_is_idle()

    run(loop, steps)


def test_a_connection_that_opens_too_late_skips_many_expired_attempts(loop: ManualLoop) -> None:
    async def steps() -> None:
        clients = Clients(loop, retries=0)
        opening = clients.start(SHORT)
        await clients.run_loop_iterations()
        expired = [clients.start(SHORT) for _ in range(EXPIRED_COUNT)]
        unexpired = clients.start(LONG)
        loop.now_ms = ended_at = SHORT.deadline_ms - MIN_SEND_BUDGET_MS / 2
        await clients.open_connection()
        assert_refused_once([opening, *expired], ended_at)
        assert clients.ended_count == 1 + EXPIRED_COUNT and len(clients.requests) == 1
        clients.answer(unexpired)
        clients.assert_the_connection_is_idle()

    run(loop, steps)


def test_expired_attempts_are_retried_once_each(loop: ManualLoop) -> None:
    async def steps() -> None:
        clients = Clients(loop, retries=1)
        first = clients.start(LONG)
        await clients.open_connection()
        expired = [clients.start(SHORT) for _ in range(EXPIRED_COUNT)]
        loop.now_ms = expired[0].attempts[0].budget_ms - MIN_SEND_BUDGET_MS / 2
        clients.answer(first)
        assert {operation.attempts[0].outcome for operation in expired} == {"refused"}
        assert clients.ended_count == 1  # the expired operations wait for their retry
        loop.now_ms = SHORT.deadline_ms - 2 * MIN_BUDGET_MS  # past the longest backoff
        await clients.run_loop_iterations()
        assert {len(operation.attempts) for operation in expired} == {2}
        assert len(clients.requests) == 2 and clients.ended_count == 1

    run(loop, steps)
