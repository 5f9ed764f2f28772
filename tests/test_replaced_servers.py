"""A cache server whose process is replaced by another one under the same name and at the same address."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any
from unittest.mock import Mock

import pytest

from starlingthread.events import AttemptResult
from starlingthread.net.upstreams.messages import ConnectCompleted
from starlingthread.net.upstreams.opener import PendingConnect

from .discovery_steps import receive_list
from .fakes import ServerActorHarness
from .peers import Listener, Peer, RunningRouter, entry, listing, read_command, running_router, until, value_answer

STARTED_MS = 1_790_000_000_000


def tell_start(harness: RunningRouter, since_ms: float, full: bool) -> None:
    """Let discovery tell that the first server has started at a time (Unix ms)."""
    changed: dict[str, Any] = {**entry("s-1", harness.server.address), "since_ms": since_ms}
    receive_list(harness.program.actors.discovery, listing(2, changed, full=full))


async def replace(harness: RunningRouter) -> Listener:
    """Close the first server's listener, leaving its connections open; return a new one at its address."""
    port = harness.server.port
    harness.server.socket.close()
    replacement = Listener(port)
    harness.servers.append(replacement)
    return replacement


async def serve_one(harness: RunningRouter, number: int, server: Peer | None = None) -> Peer:
    """Send a read that a server answers; return the server's connection, a new one unless it is given."""
    client = await harness.client()
    await client.send(read_command(number))
    server = server or await harness.servers[-1].accept()
    await server.until(b"\r\n")
    await server.send(value_answer(number))
    await client.until(b"\r\n")
    return server


@pytest.mark.parametrize("full", [False, True])
def test_no_request_goes_to_the_old_process_of_a_server_once_a_new_one_is_told(tmp_path: Path, full: bool) -> None:
    """Guards against work on connections to a process that was replaced, which answers on them still."""

    async def scenario() -> None:
        async with running_router(tmp_path) as harness:
            old = await serve_one(harness, 1)
            in_flight = await harness.client()
            await in_flight.send(read_command(2))
            assert b" O2 " in await old.until(b"\r\n")
            await replace(harness)
            tell_start(harness, STARTED_MS, full)
            await until(lambda: harness.counters["servers.replaced"] == 1)
            await serve_one(harness, 3)
            await old.send(value_answer(2))  # what the old process has begun is still answered
            assert await in_flight.until(b"\r\n") == b"VA 1 O2\r\n"
            await serve_one(harness, 4, harness.servers[-1].accepted[0])
            assert await old.read_to_eof() == b""

    asyncio.run(scenario())


@pytest.mark.parametrize("since_ms", [STARTED_MS, STARTED_MS - 1000, 0])
def test_connections_to_the_same_process_are_kept(tmp_path: Path, since_ms: float) -> None:
    """Guards against a mend that closes all connections with each list."""

    async def scenario() -> None:
        async with running_router(tmp_path) as harness:
            tell_start(harness, STARTED_MS, True)
            await until(lambda: harness.counters["servers.replaced"] == 1)
            server = await serve_one(harness, 1)
            tell_start(harness, since_ms, False)
            await serve_one(harness, 2, server)
            assert harness.counters["servers.replaced"] == 1

    asyncio.run(scenario())


def test_a_connect_that_began_before_the_replacement_was_told_is_not_used() -> None:
    """Guards against a request on a connection that the old process may have accepted."""
    harness = ServerActorHarness()
    attempt = harness.attempt()
    harness.actor.pool.idle.clear()
    harness.actor.opener.pending[attempt] = PendingConnect(
        Mock(), harness.router_harness.router.deadlines.set(9e9, Mock())
    )
    harness.actor.pool.replace_server(harness.connection.address, STARTED_MS)
    supervisor = Mock()
    supervisor.start = lambda coroutine, name, on_error: coroutine.close()
    harness.fleet.context.supervisor = supervisor
    (ended,) = harness.deliver(ConnectCompleted(attempt, harness.connection))
    assert ended.result == AttemptResult.CONNECT_FAILED and harness.writer.transport.closed
