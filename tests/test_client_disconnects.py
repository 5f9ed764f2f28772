"""Clients that disconnect while their connection is not read, written to or answered, on real sockets."""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path
from typing import Any

import pytest

from starlingthread.core.messages import AttemptEnded
from starlingthread.events import AttemptResult
from starlingthread.net.clients import limits
from starlingthread.net.clients.limits import MAX_PIPELINED

from .peers import Peer, RouterHarness, read_command, running_router, step, until


@pytest.mark.parametrize("disconnect", ["close", "reset", "half_close"])
def test_a_disconnect_is_detected_while_reading_is_paused(tmp_path: Path, disconnect: str) -> None:
    """Its commands wait for room, so nobody reads on: what it asked was sent on, and again when it failed."""

    async def play() -> None:
        async with running_router(tmp_path) as harness:
            client = await harness.client()
            await client.send(b"".join(read_command(n) for n in range(MAX_PIPELINED + 4)))
            await until(lambda: harness.counters["attempts.started"] == MAX_PIPELINED)
            getattr(client, disconnect)()
            await until(lambda: harness.counters["requests.cancelled"] == MAX_PIPELINED)
            await step()
            assert harness.counters["attempts.started"] == MAX_PIPELINED and not harness.router.requests

    asyncio.run(play())


@pytest.mark.parametrize("disconnect", ["close", "reset"])
def test_a_disconnect_behind_unread_bytes_is_detected(tmp_path: Path, disconnect: str) -> None:
    """Its end of file lies behind bytes that nobody reads, so only the system can tell of it."""

    async def play() -> None:
        async with running_router(tmp_path) as harness:
            client = await harness.client()
            client.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 20)
            await client.send(b"".join(read_command(n) for n in range(5000)))
            transport: Any = harness.actor_of(client).writer.transport
            await until(lambda: not transport.is_reading())
            getattr(client, disconnect)()
            await step()
            harness.router.clock._base += limits.DISCONNECT_CHECK_INTERVAL_MS
            harness.router.mailbox.wake()
            await until(lambda: harness.counters["requests.cancelled"] == MAX_PIPELINED)
            await until(lambda: not harness.program.actors.clients.connections)
            assert harness.counters["attempts.started"] == MAX_PIPELINED and not harness.router.requests

    asyncio.run(play())


def test_a_disconnect_is_detected_while_the_writer_waits_for_a_slow_client(tmp_path: Path) -> None:
    """The writer waited up to 10 s for it to read on, and its other requests went out meanwhile."""

    async def play() -> None:
        async with running_router(tmp_path) as harness:
            client = await harness.client(buffer=4096)
            (actor,) = harness.program.actors.clients.connections
            actor.writer.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            actor.writer.transport.set_write_buffer_limits(0)
            await client.send(read_command(1) + read_command(2))
            first = await harness.server.accept()
            second = await harness.server.accept()
            said = {await peer.until(b"\r\n"): peer for peer in (first, second)}
            (one,) = (peer for line, peer in said.items() if b" O1 " in line)
            await one.send(b"VA 60000 O1 h1\r\n" + b"x" * 60000 + b"\r\n")
            await until(
                lambda: (
                    actor.writer.transport.get_write_buffer_size() > limits.MAX_UNSENT_BYTES
                    and harness.counters["attempts.ok"] == 1
                )
            )
            await step()
            client.half_close()  # it reads nothing, so the writer goes on waiting
            await until(lambda: harness.counters["requests.cancelled"] == 1)
            assert not harness.router.requests and actor in harness.program.actors.clients.connections

    asyncio.run(play())


async def request_at_any_server(harness: RouterHarness) -> tuple[Peer, Peer]:
    """Have a client ask; return its end, and that of whichever cache server was asked."""
    client = await harness.client()
    await client.send(read_command(1))
    await until(lambda: any(actor.pool.busy for actor in harness.program.actors.fleet.actors.values()))
    actor = next(actor for actor in harness.program.actors.fleet.actors.values() if actor.pool.busy)
    (listener,) = (s for s in harness.servers if s.port == actor.pool.address[1])
    server = await listener.accept()
    await server.until(b"\r\n")
    return client, server


def test_no_attempt_starts_once_a_disconnect_is_in_the_mailbox(tmp_path: Path) -> None:
    """A failure that was told before it had the module try again; the message that the client left came behind."""

    async def play() -> None:
        async with running_router(tmp_path, 2) as harness:
            client, _ = await request_at_any_server(harness)
            (request,) = harness.router.requests.values()
            (attempt,) = harness.router.attempts.by_request[request.id]
            (actor,) = harness.program.actors.clients.connections
            harness.router.mailbox.force_put(AttemptEnded(attempt, AttemptResult.RESET))
            actor.on_disconnect()
            began = harness.counters["attempts.started"]
            harness.router.turn()
            await until(lambda: not harness.router.requests)
            assert harness.counters["attempts.started"] == began
            client.close()

    asyncio.run(play())


def test_a_command_read_after_the_disconnect_is_not_submitted(tmp_path: Path) -> None:
    async def play() -> None:
        async with running_router(tmp_path) as harness:
            client = await harness.client()
            (actor,) = harness.program.actors.clients.connections
            actor.on_disconnect()
            await client.send(read_command(1))
            await until(lambda: not harness.program.actors.clients.connections)
            await step()
            assert harness.counters["attempts.started"] == 0 and not harness.router.requests

    asyncio.run(play())
