"""The router's close of a client connection on real sockets: last responses, lingering, and requests that cross it."""

from __future__ import annotations

import asyncio
import contextlib
import select
import socket
from pathlib import Path
from typing import Any

import pytest

from starlingthread.net.clients import closing, limits

from .peers import (
    WAIT_TIMEOUT_S,
    Peer,
    RunningRouter,
    read_command,
    request_in_flight,
    run_loop_turns,
    running_router,
    until,
)


def test_nagle_is_disabled_towards_clients_and_servers(tmp_path: Path) -> None:
    """Data delayed by Nagle's algorithm is lost in a reset; asyncio can't tell that accepted sockets are TCP."""

    async def scenario() -> None:
        async with running_router(tmp_path) as harness:
            client_socket = harness.actor_of(await harness.client()).writer.get_extra_info("socket")
            assert client_socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
            await request_in_flight(harness)
            (actor,) = harness.program.actors.fleet.actors.values()
            (connection,) = actor.pool.busy.values()
            server_socket = connection.writer.get_extra_info("socket")
            assert server_socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)

    asyncio.run(scenario())


def test_the_last_response_arrives_though_unread_bytes_follow_its_command(tmp_path: Path) -> None:
    """Closing with unread bytes resets the connection, and the client loses responses that it has not read yet."""

    async def scenario() -> None:
        async with running_router(tmp_path) as harness:
            client = await harness.client()
            await client.send(b"mn\r\nms k nine O1\r\n" + b"x" * 60000)
            actor = harness.actor_of(client)
            await until(lambda: actor.state.lingering)
            await client.send(b"x" * 60000)
            assert await client.read_to_eof() == b"MN\r\nCLIENT_ERROR bad data length\r\n"
            client.half_close()
            await until(lambda: not harness.program.actors.clients.connections)

    asyncio.run(scenario())


async def idle_client(harness: RunningRouter) -> Peer:
    """Return a client that is idle after an answer."""
    client = await harness.client()
    await client.send(b"mn\r\n")
    assert await client.until(b"\r\n") == b"MN\r\n"
    return client


def test_a_request_that_crosses_our_end_of_file_is_neither_submitted_nor_reset(tmp_path: Path) -> None:
    """The client sends the request again elsewhere; submitted here too, it would run twice and lose an answer."""

    async def scenario() -> None:
        async with running_router(tmp_path) as harness:
            client = await idle_client(harness)
            harness.actor_of(client).close_when_idle()
            assert await client.receive() == b""  # our end of file
            await client.send(read_command(1))
            await run_loop_turns()
            assert harness.counters["requests.received"] == 0 and len(harness.program.actors.clients.connections) == 1
            client.half_close()
            await until(lambda: not harness.program.actors.clients.connections)
            assert await client.receive() == b"" and harness.counters["attempts.started"] == 0

    asyncio.run(scenario())


@pytest.mark.parametrize("undelivered_bytes", [0, closing.END_OF_FILE_BYTES])
def test_lingering_ends_though_the_client_never_closes(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, undelivered_bytes: int
) -> None:
    """Also if its system has vanished, so that not even our end of file is acknowledged."""
    monkeypatch.setattr(closing, "unacknowledged_bytes", lambda _: undelivered_bytes)

    async def scenario() -> None:
        async with running_router(tmp_path) as harness:
            client = await idle_client(harness)
            harness.actor_of(client).close_when_idle()
            assert await client.receive() == b""
            await run_loop_turns()
            assert harness.program.actors.clients.connections
            harness.router.clock._base += limits.LINGER_TIMEOUT_MS
            harness.router.mailbox.wake()
            await until(lambda: not harness.program.actors.clients.connections)

    asyncio.run(scenario())


def collect_unhandled_exceptions() -> list[dict[str, Any]]:
    """Return a list that collects the unhandled exceptions of this loop's callbacks from now on."""
    unhandled: list[dict[str, Any]] = []
    asyncio.get_running_loop().set_exception_handler(lambda _, context: unhandled.append(context))
    return unhandled


async def close_with_unsent_bytes(harness: RunningRouter) -> tuple[Peer, Any]:
    """Close a client's connection after an answer that it has not read; return it, and the router's transport to it."""
    client = await harness.client(buffer=4096)
    actor = harness.actor_of(client)
    actor.writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    await client.send(read_command(1))
    server = await harness.server.accept()
    await server.until(b"\r\n")
    await server.send(b"VA 30000 O1 h1\r\n" + b"x" * 30000 + b"\r\n")
    await until(lambda: harness.counters["attempts.ok"] == 1 and not actor.responses.slots)
    assert actor.writer.transport.get_write_buffer_size()
    actor.close_when_idle()
    await run_loop_turns()
    return client, actor.writer.transport


@pytest.mark.parametrize("disconnect", ["reset", "close"])
def test_a_disconnect_while_the_last_response_is_written_raises_nothing(tmp_path: Path, disconnect: str) -> None:
    """Guards against sending our end of file, which follows unsent data, from a callback that may raise."""

    async def scenario() -> None:
        unhandled = collect_unhandled_exceptions()
        async with running_router(tmp_path) as harness:
            client, _ = await close_with_unsent_bytes(harness)
            await client.receive()
            getattr(client, disconnect)()
            await until(lambda: not harness.program.actors.clients.connections)
            await run_loop_turns()
        assert not unhandled

    asyncio.run(scenario())


class ResettingSocket:
    """Wraps a socket whose peer resets the connection as soon as the last byte is sent."""

    def __init__(self, sock: Any, client: Peer) -> None:
        self.socket, self.client = sock, client

    def __getattr__(self, name: str) -> Any:
        return getattr(self.socket, name)

    def send(self, data: bytes) -> int:
        sent = int(self.socket.send(data))
        if sent == len(data):
            self.client.reset()
            ended = select.poll()
            ended.register(self.socket.fileno(), select.POLLHUP)
            assert ended.poll(WAIT_TIMEOUT_S * 1000.0)
        return sent


def test_a_reset_between_the_last_byte_and_our_end_of_file_raises_nothing(tmp_path: Path) -> None:
    async def scenario() -> None:
        unhandled = collect_unhandled_exceptions()
        async with running_router(tmp_path) as harness:
            client, transport = await close_with_unsent_bytes(harness)
            transport._sock = ResettingSocket(transport._sock, client)
            while client.socket.fileno() >= 0:
                with contextlib.suppress(BlockingIOError):
                    client.socket.recv(65536)
                await run_loop_turns()
            await until(lambda: not harness.program.actors.clients.connections)
            await run_loop_turns()
        assert not unhandled

    asyncio.run(scenario())


def test_eviction_sends_end_of_file_in_the_turn_in_which_nothing_is_unread(tmp_path: Path) -> None:
    """Guards against losing requests that arrive before the socket is closed one turn later, without an end of file."""

    async def scenario() -> None:
        async with running_router(tmp_path) as harness:
            client = await idle_client(harness)
            actor, eof_seen = harness.actor_of(client), []
            close = actor.writer.close

            def close_and_poll() -> None:
                ended = select.poll()
                ended.register(client.socket, select.POLLRDHUP)
                eof_seen.append(bool(ended.poll(0)))
                close()

            actor.writer.close = close_and_poll  # type: ignore[method-assign]
            actor.evict()
            await until(lambda: bool(eof_seen))
            assert eof_seen == [True]

    asyncio.run(scenario())


def test_lingering_connections_are_evicted_first(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_router(tmp_path) as harness:
            first, other = await idle_client(harness), await idle_client(harness)
            harness.actor_of(first).close_when_idle()
            assert await first.receive() == b""
            harness.program.actors.clients.max_clients = 2
            await harness.client()
            await until(lambda: harness.find_actor(first) is None)
            assert harness.find_actor(other) is not None

    asyncio.run(scenario())
