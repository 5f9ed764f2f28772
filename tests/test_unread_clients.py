"""Clients that send much and leave, so that their end of file is behind bytes that the router has not read."""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path

import pytest

from starlingthread.net.clients import limits
from starlingthread.net.clients.limits import MAX_PIPELINED_COMMANDS

from .peers import Peer, RunningRouter, run_loop_turns, running_router, until

COMMANDS = 300
FIELD_BYTES = 1400
SMALL_BUFFER_BYTES = 8192
INVALID_INPUT_BYTES = 100000


def long_read(number: int) -> bytes:
    """Return a read command with a long field."""
    return b"mg k%d v O%d Pc=read,d=5000,x=%b\r\n" % (number, number, b"x" * FIELD_BYTES)


async def pipeline_and_wait(harness: RunningRouter) -> tuple[Peer, dict[Peer, bytes]]:
    """Have a client send more than the system's buffers of the router take; return it and the commands in flight.

    As many attempts are in flight as the router allows for one client, and the rest of the commands is unread or in the
    client's send buffer.
    """
    harness.program.actors.clients.buffers.limit = 1 << 24  # else it depends on the size of the test process
    listening = harness.program.actors.clients.socket
    assert listening is not None
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    client = await harness.client()
    client.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 20)
    await client.send(b"".join(long_read(number) for number in range(COMMANDS)))
    servers = [await harness.server.accept() for _ in range(MAX_PIPELINED_COMMANDS)]
    commands = {server: await server.until(b"\r\n") for server in servers}
    await run_loop_turns(100)
    return client, commands


@pytest.mark.parametrize("disconnect", ["close", "reset", "half_close"])
def test_the_end_of_a_client_is_seen_behind_more_than_the_system_buffers(tmp_path: Path, disconnect: str) -> None:
    """Guards against retries for a client that has left, whose end of file waits in its own system's send buffer."""

    async def scenario() -> None:
        async with running_router(tmp_path, servers=1) as harness:
            client, servers = await pipeline_and_wait(harness)
            getattr(client, disconnect)()
            await run_loop_turns(100)
            harness.router.clock._base += limits.DISCONNECT_CHECK_INTERVAL_MS
            harness.router.mailbox.wake()
            await until(lambda: harness.counters["requests.cancelled"] == MAX_PIPELINED_COMMANDS)
            for server in servers:
                await server.send(b"SERVER_ERROR busy\r\n")
            await run_loop_turns(100)
            assert harness.counters["attempts.started"] == MAX_PIPELINED_COMMANDS and not harness.router.requests

    asyncio.run(scenario())


def test_a_client_that_pipelines_much_and_stays_gets_all_its_answers(tmp_path: Path) -> None:
    """Guards against a mend that rejects commands for which there is memory."""

    async def scenario() -> None:
        async with running_router(tmp_path, servers=1) as harness:
            client, servers = await pipeline_and_wait(harness)

            async def serve(server: Peer, line: bytes) -> None:
                while True:
                    number = int(line.split(b" O")[1].split(b" ")[0])
                    await server.send(b"VA 1 O%d h1\r\nx\r\n" % number)
                    line = await server.until(b"\r\n")

            tasks = [asyncio.create_task(serve(server, line)) for server, line in servers.items()]
            received = b""
            while received.count(b"VA 1 O") < COMMANDS:
                received += await client.receive()
            assert b"SERVER_ERROR" not in received
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    asyncio.run(scenario())


def test_nothing_starts_for_a_client_whose_end_cannot_be_seen(tmp_path: Path) -> None:
    """Guards against retries for a client of which no memory is left to read more, so that it may have left."""

    async def scenario() -> None:
        async with running_router(tmp_path, servers=1) as harness:
            _, servers = await pipeline_and_wait(harness)
            clients = harness.program.actors.clients
            clients.buffers.limit = 0
            harness.router.clock._base += limits.MAX_UNSEEN_MS + 1.0
            for server in servers:
                await server.send(b"SERVER_ERROR busy\r\n")
            await until(lambda: harness.counters["attempts.full"] == MAX_PIPELINED_COMMANDS)
            await run_loop_turns(100)
            assert harness.counters["attempts.started"] == MAX_PIPELINED_COMMANDS
            await until(lambda: harness.counters["answers.rejected"] >= MAX_PIPELINED_COMMANDS)

    asyncio.run(scenario())


def test_the_end_of_a_client_is_seen_behind_invalid_input(tmp_path: Path) -> None:
    """Guards against retries for a client that has left, whose input was not read any more after an error in it."""

    async def scenario() -> None:
        async with running_router(tmp_path, servers=1) as harness:
            client = await harness.client()
            client.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 20)
            await client.send(long_read(1))
            server = await harness.server.accept()
            await server.until(b"\r\n")
            await client.send(b"x" * INVALID_INPUT_BYTES)
            await until(lambda: harness.counters["clients.malformed"] == 1)
            await run_loop_turns(100)
            client.close()
            await run_loop_turns(100)
            await server.send(b"SERVER_ERROR busy\r\n")
            await run_loop_turns(100)
            assert harness.counters["attempts.started"] == 1 and harness.counters["requests.cancelled"] == 1

    asyncio.run(scenario())


def test_nothing_is_written_to_a_client_that_has_left(tmp_path: Path, caplog: pytest.LogCaptureFixture) -> None:
    """Guards against asyncio's warning 'socket.send() raised exception', for writes after a failed one."""

    async def scenario() -> None:
        async with running_router(tmp_path, servers=1) as harness:
            client = await harness.client()
            await client.send(long_read(0) + b"mn\r\n" * (MAX_PIPELINED_COMMANDS - 1))
            server = await harness.server.accept()
            await server.until(b"\r\n")
            actor = harness.actor_of(client)
            await until(lambda: len(actor.responses.slots) == MAX_PIPELINED_COMMANDS)
            actor.writer.transport.get_extra_info("socket").shutdown(socket.SHUT_WR)  # each write fails from now on
            await server.send(b"VA 1 O0 h1\r\nx\r\n")
            await until(lambda: not harness.program.actors.clients.connections)

    asyncio.run(scenario())
    assert not caplog.records
