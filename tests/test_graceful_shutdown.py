"""Requests and connections that arrive during the graceful shutdown of a router, on real sockets."""

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
    """Guards against resets of connections that are queued, or accepted without an actor yet, as the socket closes."""
    monkeypatch.setattr(shutdown, "ACCEPT_AFTER_STOP_S", 0.0)

    async def scenario() -> None:
        async with running_router(tmp_path) as harness:
            harness.program.stop_requested.set()
            peers = []
            for number in range(60):  # Within one event loop iteration, so that none is accepted meanwhile.
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

    asyncio.run(scenario())


def test_a_late_request_on_a_busy_connection_is_answered_before_the_process_ends(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(shutdown, "ACCEPT_AFTER_STOP_S", 0.0)

    async def scenario() -> None:
        async with running_router(tmp_path) as harness:
            client, _ = await request_in_flight(harness)
            harness.program.stop_requested.set()
            await until(lambda: harness.program.actors.clients._accept_loop is None)
            await client.send(read_command(2))
            late_server = await harness.server.accept()
            timeout_ms = float((await late_server.until(b"\r\n")).split(b"d=")[1])
            assert 3000.0 < timeout_ms < shutdown.MAX_DEADLINE_MS + shutdown.EXTRA_LIFETIME_MS

    asyncio.run(scenario())


@pytest.mark.parametrize("is_behind", [False, True])
def test_a_late_request_is_answered_though_one_from_before_the_shutdown_hangs(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, is_behind: bool
) -> None:
    """Guards against an answer that is ready and never sent, behind a request whose deadline is after the SIGKILL.

    Nothing waits behind the last request of a connection, so it keeps its time.
    """
    monkeypatch.setattr(shutdown, "ACCEPT_AFTER_STOP_S", 0.0)

    async def scenario() -> None:
        async with running_router(tmp_path) as harness:
            client, hanging_server = await request_in_flight(harness)
            harness.program.stop_requested.set()
            await until(lambda: harness.program.actors.clients._accept_loop is None)
            if is_behind:
                await client.send(read_command(2))
                late_server = await harness.server.accept()
                await late_server.until(b"\r\n")
                await late_server.send(value_answer(2))
                await until(lambda: harness.counters["answers.served"] == 1)
            lifetime_ms = shutdown.MAX_DEADLINE_MS + shutdown.EXTRA_LIFETIME_MS
            harness.router.clock._base += lifetime_ms - shutdown.ANSWER_MARGIN_MS
            harness.router.mailbox.wake()
            if is_behind:
                assert await client.read_to_eof() == b"SERVER_ERROR failed\r\nVA 1 O2\r\nx\r\n"
            else:
                await run_loop_turns()
                await hanging_server.send(value_answer(1))
                assert await client.read_to_eof() == b"VA 1 O1\r\nx\r\n"

    asyncio.run(scenario())


def test_requests_unanswered_when_the_process_ends_fail(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(shutdown, "ACCEPT_AFTER_STOP_S", 0.0)
    monkeypatch.setattr(shutdown, "DRAIN_TIMEOUT_S", 0.05)

    async def scenario() -> None:
        async with running_router(tmp_path) as harness:
            client, _ = await request_in_flight(harness)
            classes = tuple(request_class._replace(deadline=1.0) for request_class in harness.router.settings.classes)
            harness.router.settings = harness.router.settings._replace(classes=classes)
            harness.program.stop_requested.set()
            assert await client.read_to_eof() == b"SERVER_ERROR failed\r\n"

    asyncio.run(scenario())


def test_the_longest_deadline_is_waited_for(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """The deadline of a request class may be longer than the usual duration of a shutdown."""
    monkeypatch.setattr(shutdown, "ACCEPT_AFTER_STOP_S", 0.0)
    monkeypatch.setattr(shutdown, "DRAIN_TIMEOUT_S", 0.0)

    async def scenario() -> None:
        async with running_router(tmp_path) as harness:
            client, server = await request_in_flight(harness)
            harness.program.stop_requested.set()
            await until(lambda: harness.program.actors.clients._accept_loop is None)
            await run_loop_turns(200)
            await server.send(value_answer(1))
            assert await client.read_to_eof() == b"VA 1 O1\r\nx\r\n"

    asyncio.run(scenario())
