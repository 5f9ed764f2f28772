"""Connections to cache servers that are established when their request must no longer be written, on real sockets."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from starlingthread.net.upstreams import messages
from starlingthread.net.upstreams.actor import ServerActor

from .peers import CLASSES, read_command, run_loop_turns, running_router, until


def intercept_opened(server: ServerActor) -> list[messages.ConnectCompleted]:
    """Withhold the messages about established connections from a server's actor; return the list that collects them."""
    opened: list[messages.ConnectCompleted] = []

    def intercept(message: messages.Message) -> None:
        opened.append(message) if isinstance(message, messages.ConnectCompleted) else server.post(message)

    server.opener.post = intercept
    return opened


def test_nothing_is_written_on_a_connection_that_opens_after_the_client_disconnected(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_router(tmp_path) as harness:
            (server,) = harness.program.actors.fleet.actors.values()
            opened = intercept_opened(server)
            client = await harness.client()
            await client.send(read_command(1))
            await until(lambda: bool(opened))
            (actor,) = harness.program.actors.clients.connections
            request = next(iter(actor.requests.slots_by_request))
            request.cancelled = True  # the client has disconnected; the router has not handled that yet
            server.post(opened[0])
            await until(lambda: harness.counters["attempts.not_sent"] == 1)
            peer = await harness.server.accept()
            await run_loop_turns()
            with pytest.raises(BlockingIOError):
                peer.socket.recv(100)
            client.close()

    asyncio.run(scenario())


def test_a_retry_whose_connection_opens_after_the_deduplication_window_is_not_written(tmp_path: Path) -> None:
    """The router decided to retry in the window in which servers drop duplicates; the connection opened after it."""

    async def scenario() -> None:
        classes = [{**CLASSES[1], "memorySpanMs": 1500.0}]
        async with running_router(tmp_path, settings__grades=classes) as harness:
            client = await harness.client()
            await client.send(b"ms k 1 O1 Pc=keyed,d=5000\r\nx\r\n")
            first = await harness.server.accept()
            await first.until(b"x\r\n")
            (server,) = harness.program.actors.fleet.actors.values()
            opened = intercept_opened(server)
            first.reset()  # the write may have been executed
            await until(lambda: bool(opened))
            assert harness.counters["attempts.started"] == 2
            harness.router.clock._base += 1500.0
            server.post(opened[0])
            await until(lambda: harness.counters["attempts.not_sent"] >= 1)
            second = await harness.server.accept()
            await run_loop_turns()
            with pytest.raises(BlockingIOError):
                second.socket.recv(100)
            assert await client.until(b"\r\n") == b"SERVER_ERROR failed\r\n"

    asyncio.run(scenario())
