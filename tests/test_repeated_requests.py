"""Requests that come again with the id or the idempotency key of an earlier one, whose client has left meanwhile."""

from __future__ import annotations

import asyncio
from pathlib import Path
from unittest.mock import Mock

import msgspec
import pytest

from starlingthread.core.clock import Clock
from starlingthread.core.counters import Counters
from starlingthread.core.task_supervisor import TaskSupervisor
from starlingthread.handover.actor import Handover
from starlingthread.handover.channel import MAX_LINE_BYTES, HandoverStatus, request_handover
from starlingthread.handover.execution_exchange import ExecutionExchange
from starlingthread.state import executions
from starlingthread.state.executions import ExecutionHistory, PossibleExecution

from .peers import CLASSES, Peer, RunningRouter, running_router, until

ONCE = b"ms k1 1 O7 Pc=once,d=5000\r\nx\r\n"
KEYED = b"ms k1 1 O%d Pc=keyed,d=5000,k=abc\r\nx\r\n"
WINDOW_MS = 5000.0
FAILED = b"SERVER_ERROR failed\r\n"


async def receive_write(server: Peer) -> bytes:
    """Return the head of the next write that a server receives."""
    head = await server.until(b"\r\n")
    await server.until(b"\r\n")
    return head


async def write_and_leave(harness: RunningRouter, command: bytes) -> Peer:
    """Send a write and close the connection once the write runs at its server; return the server's connection."""
    client = await harness.client()
    await client.send(command)
    server = await harness.server.accept()
    await receive_write(server)
    client.close()
    await until(lambda: not harness.program.actors.clients.connections and not harness.router.requests)
    return server


async def answer_to(harness: RunningRouter, command: bytes) -> bytes:
    """Send a command on a new connection and return the first line of its answer."""
    client = await harness.client()
    await client.send(command)
    return await client.until(b"\r\n")


@pytest.mark.parametrize("later_ms", [0.0, 3000.0, 100000.0])
def test_a_write_whose_client_left_does_not_run_again_when_its_id_comes_again(tmp_path: Path, later_ms: float) -> None:
    """Guards against a write that runs twice, as its id was forgotten when its client left."""

    async def scenario() -> None:
        async with running_router(tmp_path) as harness:
            await write_and_leave(harness, ONCE)
            harness.router.clock._base += later_ms
            assert await answer_to(harness, ONCE) == FAILED
            assert harness.counters["attempts.started"] == 1 and harness.counters["requests.repeated"] == 1

    asyncio.run(scenario())


def test_a_write_that_never_ran_may_run_when_its_id_comes_again(tmp_path: Path) -> None:
    """Guards against a mend that refuses what is harmless: the server proved that the first one never ran."""

    async def scenario() -> None:
        async with running_router(tmp_path, settings__permissions__tryLimit=1) as harness:
            first = asyncio.create_task(answer_to(harness, ONCE))
            server = await harness.server.accept()
            await receive_write(server)
            await server.send(b"SERVER_ERROR busy\r\n")
            assert (await first).startswith(b"SERVER_ERROR busy")
            second = asyncio.create_task(answer_to(harness, ONCE))
            await receive_write(server)
            await server.send(b"HD O7 cabc\r\n")
            assert await second == b"HD O7 cabc\r\n"

    asyncio.run(scenario())


@pytest.mark.parametrize("request_id", [7, 8])
def test_a_keyed_write_that_comes_again_runs_only_within_its_window(tmp_path: Path, request_id: int) -> None:
    """Guards against a keyed write that comes again after the servers have forgotten its key."""

    async def scenario() -> None:
        async with running_router(tmp_path) as harness:
            await write_and_leave(harness, KEYED % 7)
            within = asyncio.create_task(answer_to(harness, KEYED % request_id))
            server = await harness.server.accept()
            await receive_write(server)
            await server.send(b"HD O%d cabc\r\n" % request_id)
            assert await within == b"HD O%d cabc\r\n" % request_id
            harness.router.clock._base += WINDOW_MS
            assert await answer_to(harness, KEYED % request_id) == FAILED
            assert harness.counters["attempts.started"] == 2

    asyncio.run(scenario())


@pytest.mark.parametrize("cause", ["memory", "mailbox", "core"])
def test_a_repeated_write_is_not_rejected(tmp_path: Path, cause: str) -> None:
    """Guards against a 'busy', which promises no effect, for a write that may have run before."""

    async def scenario() -> None:
        async with running_router(tmp_path) as harness:
            await write_and_leave(harness, ONCE)
            if cause == "memory":
                harness.program.actors.clients.buffers.limit = -1
            elif cause == "mailbox":
                harness.router.mailbox.limit = 0
            else:
                harness.router.balancer.admission.core.queue_limit.limit = 0.0
            assert await answer_to(harness, ONCE) == FAILED

    asyncio.run(scenario())


def test_a_read_that_may_run_again_does(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_router(tmp_path) as harness:
            read = b"mg k1 v O7 Pc=read,d=5000\r\n"
            client = await harness.client()
            await client.send(read)
            await (await harness.server.accept()).until(b"\r\n")
            client.close()
            await until(lambda: not harness.router.requests)
            again = asyncio.create_task(answer_to(harness, read))
            await (await harness.server.accept()).send(b"VA 1 O7 h1\r\nx\r\n")
            assert await again == b"VA 1 O7\r\n"

    asyncio.run(scenario())


def test_the_window_of_the_test_is_that_of_the_class() -> None:
    assert CLASSES[1]["memorySpanMs"] == WINDOW_MS


def test_the_history_is_bounded_and_keeps_identities_longer_than_attempts(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against memory that grows with each id."""
    monkeypatch.setattr(executions, "MAX_RECENT", 4)
    monkeypatch.setattr(executions, "MAX_PAST", 6)
    history = ExecutionHistory()
    for identity in range(1, 31):
        known = history.open(identity)
        history.add(identity, known, PossibleExecution(1, float(identity), 0, identity))
        history.close(float(identity), identity, retention=3.0)
        assert history.may_have_run(identity) and len(history) <= 10
    assert [identity for identity in range(1, 31) if history.may_have_run(identity)] == list(range(21, 31))
    assert history.open(21) == [executions.PAST_EXECUTION]


def test_a_request_that_never_ran_is_forgotten() -> None:
    history = ExecutionHistory()
    known = history.open(5)
    assert not history.may_have_run(5)
    history.add(5, known, PossibleExecution(1, 10.0, 0, 9))
    history.disprove(5, known, request=9, attempt=0)
    history.close(20.0, 5, retention=100.0)
    assert not history.may_have_run(5) and len(history) == 0 and not history.may_have_run(0)


async def upgraded(folder: Path) -> tuple[Handover, ExecutionHistory, Handover, ExecutionHistory]:
    """Return the handovers and histories of an old process, which knows one execution, and of its successor."""
    old, new = ExecutionHistory(), ExecutionHistory()
    old.add(1, old.open(1), PossibleExecution(3, 1000.0, 0, 1))
    old_handover = Handover(Mock(), TaskSupervisor(), Counters(), folder, None, ExecutionExchange(old, Clock()))
    old_handover.process.sockets = dict  # type: ignore[method-assign]
    old_handover.on_serving()
    inherited = await asyncio.to_thread(request_handover, folder)
    new_handover = Handover(Mock(), TaskSupervisor(), Counters(), folder, inherited, ExecutionExchange(new, Clock()))
    await new_handover.start()
    return old_handover, old, new_handover, new


def test_both_processes_of_an_upgrade_know_which_requests_may_have_run(tmp_path: Path) -> None:
    """Guards against an id that runs again at the other process of an upgrade."""

    async def scenario() -> None:
        old_handover, old, new_handover, new = await upgraded(tmp_path)
        assert new.may_have_run(1)  # known before the new process accepts its first client
        known = old.open(2)
        old.add(2, known, PossibleExecution(3, 2000.0, 0, 2))
        new.add(3, new.open(3), PossibleExecution(3, 2000.0, 0, 1))
        await until(lambda: new.may_have_run(2) and old.may_have_run(3))
        old.disprove(2, known, request=2, attempt=0)
        await until(lambda: not new.may_have_run(2))
        assert new.open(1)[0].sent_at == pytest.approx(1000.0, abs=50.0)
        for handover, channel in ((new_handover, new_handover._predecessor), (old_handover, old_handover._successor)):
            assert channel is not None
            channel.transport.abort()
            handover.close()
            await handover.supervisor.stop()

    asyncio.run(scenario())


def test_a_large_history_reaches_the_new_process_in_lines_within_the_limit(
    tmp_path: Path,
) -> None:
    """Guards against a line that an earlier version rejects, and with it the handover."""

    async def scenario() -> None:
        history = ExecutionHistory()
        for number in range(3000):
            identity = (1 << 64) - 1 - number
            history.add(identity, history.open(identity), PossibleExecution((1 << 32) - 1, 1e12 + number / 7, 0, 1))
        writer = Mock()
        exchange = ExecutionExchange(history, Clock())
        writer.transport.get_write_buffer_size = lambda: 0
        exchange.attach(writer)
        lines = b"".join(call.args[0] for call in writer.write.call_args_list).splitlines()
        assert max(map(len, lines)) < MAX_LINE_BYTES
        other = ExecutionHistory()
        receiving = ExecutionExchange(other, Clock())
        for line in lines:
            receiving.apply(msgspec.json.decode(line, type=HandoverStatus), None)
        assert len(other) == 3000

    asyncio.run(scenario())
