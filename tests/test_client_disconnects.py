"""Clients that disconnect while their connection is not read or written to, on real sockets."""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path
from typing import Any

import pytest

from starlingthread.core.messages import AttemptEnded
from starlingthread.events import AttemptResult
from starlingthread.net.clients import limits
from starlingthread.net.clients.limits import MAX_PIPELINED_COMMANDS

from .peers import Peer, RunningRouter, read_command, run_loop_turns, running_router, until


@pytest.mark.parametrize("disconnect", ["close", "reset", "half_close"])
def test_a_disconnect_is_detected_while_reading_is_paused(tmp_path: Path, disconnect: str) -> None:
    """Guards against attempts and retries for a client that disconnected while its commands waited for a free slot."""

    async def scenario() -> None:
        async with running_router(tmp_path) as harness:
            client = await harness.client()
            await client.send(b"".join(read_command(n) for n in range(MAX_PIPELINED_COMMANDS + 4)))
            await until(lambda: harness.counters["attempts.started"] == MAX_PIPELINED_COMMANDS)
            getattr(client, disconnect)()
            await until(lambda: harness.counters["requests.cancelled"] == MAX_PIPELINED_COMMANDS)
            await run_loop_turns()
            assert harness.counters["attempts.started"] == MAX_PIPELINED_COMMANDS and not harness.router.requests

    asyncio.run(scenario())


@pytest.mark.parametrize("disconnect", ["close", "reset"])
def test_a_disconnect_behind_unread_bytes_is_detected(tmp_path: Path, disconnect: str) -> None:
    """The end of file follows bytes that are not read, so only polling the socket detects it."""

    async def scenario() -> None:
        async with running_router(tmp_path) as harness:
            # Other connections have read ahead all that is allowed, so that this one is not read.
            harness.program.actors.clients.read_ahead_bytes = 1 << 30
            client = await harness.client()
            client.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 20)
            await client.send(b"".join(read_command(n) for n in range(3000)))
            transport: Any = harness.actor_of(client).writer.transport
            await until(lambda: harness.counters["attempts.started"] == MAX_PIPELINED_COMMANDS)
            await until(lambda: not transport.is_reading())
            getattr(client, disconnect)()
            await run_loop_turns()
            harness.router.clock._base += limits.DISCONNECT_CHECK_INTERVAL_MS
            harness.router.mailbox.wake()
            await until(lambda: harness.counters["requests.cancelled"] == MAX_PIPELINED_COMMANDS)
            await until(lambda: not harness.program.actors.clients.connections)
            assert harness.counters["attempts.started"] == MAX_PIPELINED_COMMANDS and not harness.router.requests

    asyncio.run(scenario())


def test_a_disconnect_is_detected_while_the_writer_waits_for_a_slow_client(tmp_path: Path) -> None:
    """Guards against attempts for a disconnected client, for which the writer waited up to 10 s."""

    async def scenario() -> None:
        async with running_router(tmp_path) as harness:
            client = await harness.client(buffer=4096)
            (actor,) = harness.program.actors.clients.connections
            actor.writer.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            actor.writer.transport.set_write_buffer_limits(0)
            await client.send(read_command(1) + read_command(2))
            first = await harness.server.accept()
            second = await harness.server.accept()
            peers_by_command = {await peer.until(b"\r\n"): peer for peer in (first, second)}
            (first_peer,) = (peer for line, peer in peers_by_command.items() if b" O1 " in line)
            await first_peer.send(b"VA 60000 O1 h1\r\n" + b"x" * 60000 + b"\r\n")
            await until(
                lambda: (
                    actor.writer.transport.get_write_buffer_size() > limits.MAX_UNSENT_BYTES
                    and harness.counters["attempts.ok"] == 1
                )
            )
            await run_loop_turns()
            client.half_close()  # the client reads nothing, so the writer keeps waiting
            await until(lambda: harness.counters["requests.cancelled"] == 1)
            assert not harness.router.requests and actor in harness.program.actors.clients.connections

    asyncio.run(scenario())


async def request_at_any_server(harness: RunningRouter) -> tuple[Peer, Peer]:
    """Send a request; return the client's peer and that of the cache server that received the request."""
    client = await harness.client()
    await client.send(read_command(1))
    await until(lambda: any(actor.pool.busy for actor in harness.program.actors.fleet.actors.values()))
    actor = next(actor for actor in harness.program.actors.fleet.actors.values() if actor.pool.busy)
    (listener,) = (s for s in harness.servers if s.port == actor.pool.address[1])
    server = await listener.accept()
    await server.until(b"\r\n")
    return client, server


def test_no_attempt_starts_once_a_disconnect_is_in_the_mailbox(tmp_path: Path) -> None:
    """Guards against a retry for a failure that precedes the client's disconnect in the mailbox."""

    async def scenario() -> None:
        async with running_router(tmp_path, 2) as harness:
            client, _ = await request_at_any_server(harness)
            (request,) = harness.router.requests.values()
            (attempt,) = harness.router.attempts.by_request[request.id]
            (actor,) = harness.program.actors.clients.connections
            harness.router.mailbox.force_put(AttemptEnded(attempt, AttemptResult.RESET))
            actor.on_disconnect()
            attempts_before = harness.counters["attempts.started"]
            harness.router.turn()
            await until(lambda: not harness.router.requests)
            assert harness.counters["attempts.started"] == attempts_before
            client.close()

    asyncio.run(scenario())


def test_a_command_read_after_the_disconnect_is_not_submitted(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_router(tmp_path) as harness:
            client = await harness.client()
            (actor,) = harness.program.actors.clients.connections
            actor.on_disconnect()
            await client.send(read_command(1))
            await until(lambda: not harness.program.actors.clients.connections)
            await run_loop_turns()
            assert harness.counters["attempts.started"] == 0 and not harness.router.requests

    asyncio.run(scenario())
