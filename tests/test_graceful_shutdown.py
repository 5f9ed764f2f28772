"""Requests and connections that cross the graceful shutdown of a router, on real sockets."""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path

import pytest

from starlingthread.router_process import shutdown

from .peers import Peer, read_command, request_in_flight, run_loop_turns, running_router, until, value_answer


def test_connections_queued_when_the_listening_socket_closes_are_served(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """They are reset with it, and so were those that were taken but had not become connections yet."""
    monkeypatch.setattr(shutdown, "ACCEPT_AFTER_STOP_S", 0.0)

    async def play() -> None:
        async with running_router(tmp_path) as harness:
            harness.program.stop_requested.set()
            peers = []
            for number in range(60):  # in one step of the loop: nobody accepts meanwhile
                sock = socket.create_connection(("127.0.0.1", harness.port))
                sock.sendall(read_command(number))
                peers.append(Peer(sock))
            harness.clients += peers
            for _ in peers:
                server = await harness.server.accept()
                line = await server.until(b"\r\n")
                await server.send(value_answer(int(line.split(b" O")[1].split()[0])))
            assert [await peer.until(b"x\r\n") for peer in peers] == [
                b"VA 1 O%d\r\nx\r\n" % number for number in range(60)
            ]

    asyncio.run(play())


def test_a_late_request_on_a_busy_connection_is_answered_before_the_process_ends(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(shutdown, "ACCEPT_AFTER_STOP_S", 0.0)

    async def play() -> None:
        async with running_router(tmp_path) as harness:
            client, _ = await request_in_flight(harness)
            harness.program.stop_requested.set()
            await until(lambda: harness.program.actors.clients._accept_loop is None)
            await client.send(read_command(2))
            late = await harness.server.accept()
            wait = float((await late.until(b"\r\n")).split(b"d=")[1])
            assert 3000.0 < wait < shutdown.MAX_DEADLINE_MS + shutdown.EXTRA_LIFETIME_MS

    asyncio.run(play())


def test_requests_unanswered_when_the_process_ends_fail(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(shutdown, "ACCEPT_AFTER_STOP_S", 0.0)
    monkeypatch.setattr(shutdown, "DRAIN_TIMEOUT_S", 0.05)

    async def play() -> None:
        async with running_router(tmp_path) as harness:
            client, _ = await request_in_flight(harness)
            classes = tuple(cls._replace(deadline=1.0) for cls in harness.router.settings.classes)
            harness.router.settings = harness.router.settings._replace(classes=classes)
            harness.program.stop_requested.set()
            assert await client.read_to_eof() == b"SERVER_ERROR failed\r\n"

    asyncio.run(play())


def test_the_longest_deadline_is_waited_for(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """A class may have a longer one than a process usually takes to end."""
    monkeypatch.setattr(shutdown, "ACCEPT_AFTER_STOP_S", 0.0)
    monkeypatch.setattr(shutdown, "DRAIN_TIMEOUT_S", 0.0)

    async def play() -> None:
        async with running_router(tmp_path) as harness:
            client, server = await request_in_flight(harness)
            harness.program.stop_requested.set()
            await until(lambda: harness.program.actors.clients._accept_loop is None)
            await run_loop_turns(200)
            await server.send(value_answer(1))
            assert await client.read_to_eof() == b"VA 1 O1\r\nx\r\n"

    asyncio.run(play())
