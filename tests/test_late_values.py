"""Large writes whose cache server reads them slowly or stops: the final answer comes in time, with small buffers."""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path

import pytest

from starlingthread.net.clients import limits

from .peers import Peer, RunningRouter, run_loop_turns, running_router, until
from .test_value_memory import shrink_send_buffer

VALUE_BYTES = 300000  # the client's system takes all of it
SMALL_BUFFER_BYTES = 8192
TIMEOUT_MS = 1200.0
LOST_AFTER_MS = 500.0  # an answer that comes later after its time is lost
READ_FROM_SERVER_BYTES = 26564
HEAD = b"ms k %d O1 Pc=%b,d=%d\r\n"


async def advance_time(harness: RunningRouter, duration_ms: float) -> None:
    """Advance the router's clock step by step, so that it polls at each of its intervals."""
    steps = int(duration_ms / limits.DISCONNECT_CHECK_INTERVAL_MS)
    for _ in range(steps):
        harness.router.clock._base += duration_ms / steps
        harness.router.mailbox.wake()
        await run_loop_turns(5)


def shrink_buffers(harness: RunningRouter) -> None:
    """Have the operating system take little of what clients send, and of what is sent to servers."""
    listening = harness.program.actors.clients.socket
    assert listening is not None
    for listener in (listening, harness.server.socket):
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)


async def read_some(server: Peer) -> None:
    """Read what a server has received; fail if its connection has ended."""
    data = await server.receive()
    assert data
    server.unread += data


async def begin_write(harness: RunningRouter, request_class: bytes = b"keyed") -> tuple[Peer, asyncio.Task[None], Peer]:
    """Begin a large write and have its server read a part of it; return the client, its sending and the server."""
    shrink_buffers(harness)
    client = await harness.client()
    client.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 20)
    value = b"v" * VALUE_BYTES + b"\r\n"
    sending = asyncio.create_task(client.send(HEAD % (VALUE_BYTES, request_class, TIMEOUT_MS) + value))
    (actor,) = harness.program.actors.fleet.actors.values()
    await until(lambda: bool(actor.pool.busy))
    (connection,) = actor.pool.busy.values()
    shrink_send_buffer(connection.writer.get_extra_info("socket"))
    server = await harness.server.accept()
    await server.until(b"\r\n")
    while len(server.unread) < READ_FROM_SERVER_BYTES:
        await read_some(server)
    await until(lambda: connection.request_body is not None and connection.request_body.is_producer_waiting())
    await run_loop_turns(50)
    return client, sending, server


@pytest.mark.parametrize("request_class", [b"keyed", b"once"])
def test_a_write_whose_server_stops_reading_is_answered_when_its_time_is_over(
    tmp_path: Path, request_class: bytes
) -> None:
    """Guards against an answer that waits for the server, as the end of the command was not read."""

    async def scenario() -> None:
        async with running_router(tmp_path) as harness:
            client, sending, _ = await begin_write(harness, request_class)
            await sending
            await advance_time(harness, TIMEOUT_MS - 100.0)
            assert harness.counters["answers.failed"] + harness.counters["answers.rejected"] == 0
            await advance_time(harness, 200.0)
            assert (await client.until(b"\r\n")).startswith(b"SERVER_ERROR")
            await client.send(b"mn\r\n")  # the rest of the value was discarded, and the connection goes on
            assert await client.until(b"\r\n") == b"MN\r\n"

    asyncio.run(scenario())


def test_a_write_whose_server_reads_slowly_is_answered_when_its_time_is_over(tmp_path: Path) -> None:
    """Guards against a time-out that each piece of the value restarts, and the end of the command too."""

    async def scenario() -> None:
        async with running_router(tmp_path) as harness:
            client, sending, server = await begin_write(harness)
            await sending
            answer = asyncio.create_task(client.until(b"\r\n"))
            began_at = harness.router.clock.now()
            for _ in range(40):
                if answer.done():
                    break
                await advance_time(harness, 100.0)
                if not answer.done() and harness.counters["attempts.timeout"] == 0:
                    await server.receive()
            assert harness.router.clock.now() - began_at <= TIMEOUT_MS + LOST_AFTER_MS
            assert (await answer).startswith(b"SERVER_ERROR")

    asyncio.run(scenario())


def test_a_write_whose_client_still_sends_waits_for_its_server(tmp_path: Path) -> None:
    """Guards against a mend that fails writes of slow clients, whose time has not begun."""

    async def scenario() -> None:
        async with running_router(tmp_path) as harness:
            harness.program.actors.clients.budget.limit = 0
            client = await harness.client()
            await client.send(HEAD % (VALUE_BYTES, b"keyed", TIMEOUT_MS) + b"v" * (VALUE_BYTES - 20000))
            server = await harness.server.accept()
            await server.until(b"\r\n")
            while len(server.unread) < VALUE_BYTES - 20000:
                await read_some(server)
                await advance_time(harness, 40.0)
            await advance_time(harness, limits.COMMAND_TIMEOUT_MS - 100.0)  # the client pauses, the server has read all
            assert harness.counters["attempts.timeout"] == 0
            await client.send(b"v" * 20000 + b"\r\n")
            while len(server.unread) < VALUE_BYTES + 2:
                await read_some(server)
            await server.send(b"HD O1 cabc\r\n")
            assert await client.until(b"\r\n") == b"HD O1 cabc\r\n"

    asyncio.run(scenario())


def test_a_write_whose_server_reads_on_in_time_is_served(tmp_path: Path) -> None:
    """Guards against a mend that fails each write that had to wait for its server."""

    async def scenario() -> None:
        async with running_router(tmp_path) as harness:
            client, _, server = await begin_write(harness)
            await advance_time(harness, TIMEOUT_MS / 2)
            while len(server.unread) < VALUE_BYTES + 2:
                await read_some(server)
            await server.send(b"HD O1 cabc\r\n")
            assert await client.until(b"\r\n") == b"HD O1 cabc\r\n"

    asyncio.run(scenario())
