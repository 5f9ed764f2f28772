"""Connections that come up beyond the places: each gets a descriptor and its request is answered.

What happened: at twice its capacity a router with 64 descriptors never answered one request. Why: the queue was opened
for the place of a connection that then stayed, and a limit of one lets two connections come up; the second found all
descriptors open. What showed it: a trace of the accept queue's length.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from socket import socket

import pytest
from hypothesis import given
from hypothesis import strategies as st

from starlingthread.net.clients.accept_loop import MAX_QUEUE_WAIT_MS, AcceptLoop
from starlingthread.net.clients.accept_queue import MIN_QUEUED_CONNECTIONS
from starlingthread.net.clients.acceptor import SocketCounts
from starlingthread.net.clients.capacity import SYN_RACE_CONNECTIONS, ConnectionCapacity
from starlingthread.net.clients.idle import MIN_IDLE_SATURATED_MS

from .peers import Peer, RouterHarness, read_command, running_router, until, value_answer
from .test_descriptors_past_capacity import SOCKETS, begin_connect, clients_of, held_by_requests, is_connected

pytestmark = pytest.mark.skipif(sys.platform != "linux", reason="other systems' queues differ")


class FakeContext:
    """A listener as its room sees it, with sockets in each of their states."""

    def __init__(self, max_clients: int, connections: int, initializing: int, closing: int) -> None:
        self.max_clients = max_clients
        self.connections = set(range(connections))
        self.sockets = SocketCounts(open=connections + initializing + closing, initializing=initializing)


@given(st.integers(18, 64), st.integers(0, 64), st.integers(0, 64), st.integers(0, 64), st.integers(0, 1))
def test_whatever_may_come_up_finds_a_descriptor(
    max_clients: int, connections: int, initializing: int, closing: int, accepting: int
) -> None:
    context = FakeContext(max_clients, connections, initializing, closing)
    limit = ConnectionCapacity(context).free_slots(accepting)  # type: ignore[arg-type]
    free_descriptors = max_clients - context.sockets.open - accepting
    assert not limit or max(limit, MIN_QUEUED_CONNECTIONS) + SYN_RACE_CONNECTIONS <= free_descriptors


def accept_loop_of(harness: RouterHarness) -> AcceptLoop:
    accept_loop = clients_of(harness)._accept_loop
    assert accept_loop is not None
    return accept_loop


def send_on_all_that_come_up(harness: RouterHarness, first_number: int) -> dict[int, socket]:
    """Begin to connect many times at once; send a request on each connection that comes up, and return them."""
    late = [begin_connect(harness.port) for _ in range(10)]
    up = dict(enumerate(filter(is_connected, late), start=first_number))
    for number, sock in up.items():
        sock.send(read_command(number))
    for sock in late:
        if sock not in up.values():
            sock.close()
    return up


async def assert_answered(harness: RouterHarness, clients: dict[int, socket]) -> None:
    """Let the cache server answer requests, by number; fail if one does not reach it."""
    waiting = set(clients)
    while waiting:
        server = await harness.server.accept()
        number = int((await server.until(b"\r\n")).split()[3][1:])
        waiting.remove(number)
        await server.send(value_answer(number))
        assert await Peer(clients[number]).until(b"x\r\n") == b"VA 1 O%d\r\nx\r\n" % number
        clients[number].close()


@pytest.mark.parametrize("beyond_the_limit", [0, SYN_RACE_CONNECTIONS])
def test_all_that_come_up_for_the_last_place_are_answered(tmp_path: Path, beyond_the_limit: int) -> None:
    """With all descriptors open the others waited unread for as long as requests held these.

    SYNs that arrive on several processors at once exceed the limit; a larger backlog stands for them here.
    """

    async def play() -> None:
        async with running_router(tmp_path, limits__sockets=SOCKETS) as harness:
            clients, _ = await held_by_requests(harness)
            listener = clients_of(harness)
            clients[0].close()
            await until(lambda: listener.sockets.open < len(clients))
            assert listener.socket is not None
            listener.socket.listen(MIN_QUEUED_CONNECTIONS + beyond_the_limit - 1)
            up = send_on_all_that_come_up(harness, 200)
            assert len(up) == MIN_QUEUED_CONNECTIONS + beyond_the_limit
            await assert_answered(harness, up)

    asyncio.run(play())


def test_all_that_come_up_while_an_eviction_is_taken_back_are_answered(tmp_path: Path) -> None:
    """This is the order of events of the request that was never answered.

    The evicted connection's place has been given away as its request is read.
    """

    async def play() -> None:
        async with running_router(tmp_path, limits__sockets=SOCKETS) as harness:
            clients, servers = await held_by_requests(harness)
            await servers[0].send(value_answer(0))
            await clients[0].until(b"x\r\n")
            harness.router.clock._base += MIN_IDLE_SATURATED_MS
            await clients[0].send(read_command(100))  # the router takes no turn from here to the last command
            assert clients_of(harness).capacity.evict_one()
            accept_loop_of(harness).limit_queue()
            up = send_on_all_that_come_up(harness, 200)
            await servers[0].until(b"\r\n")
            await servers[0].send(value_answer(100))
            await clients[0].until(b"x\r\n")
            await assert_answered(harness, up)

    asyncio.run(play())


def test_a_burst_that_takes_all_places_is_answered_though_its_requests_come_a_moment_later(tmp_path: Path) -> None:
    """Five of its connections were closed at once for others, and their requests crossed the close.

    One more connection than places comes up, as if SYNs had arrived on several processors.
    """

    async def play() -> None:
        async with running_router(tmp_path, limits__sockets=SOCKETS) as harness:
            listener = clients_of(harness)
            assert listener.socket is not None
            listener.socket.listen(listener.capacity.max_connections)  # the system queues one more
            burst = [begin_connect(harness.port) for _ in range(2 * listener.max_clients)]
            up = dict(enumerate(filter(is_connected, burst)))
            assert len(up) == listener.capacity.max_connections + SYN_RACE_CONNECTIONS
            await until(
                lambda: accept_loop_of(harness)._last_capacity_check_at > 0.0
            )  # all are accepted, the queue is shut
            for number, sock in up.items():
                sock.send(read_command(number))
            await assert_answered(harness, up)
            assert harness.counters["clients.evicted"] == 0
            for sock in burst:
                sock.close()

    asyncio.run(play())


def test_clients_can_connect_before_an_evicted_one_sees_the_close(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A request that crosses the close is sent once more on a new connection, which has to come up."""

    async def play() -> None:
        async with running_router(tmp_path, limits__sockets=SOCKETS) as harness:
            clients, servers = await held_by_requests(harness)
            was_shut = []
            write_eof = asyncio.StreamWriter.write_eof

            def watched_write_eof(writer: asyncio.StreamWriter) -> None:
                was_shut.append(accept_loop_of(harness)._queue.is_shut)
                write_eof(writer)

            monkeypatch.setattr(asyncio.StreamWriter, "write_eof", watched_write_eof)
            await servers[0].send(value_answer(0))
            await clients[0].until(b"x\r\n")
            assert accept_loop_of(harness)._queue.is_shut
            harness.router.clock._base += MIN_IDLE_SATURATED_MS
            assert await clients[0].read_to_eof() == b""
            assert was_shut == [False]

    asyncio.run(play())


def test_a_connection_that_waits_with_all_descriptors_open_gets_that_of_an_idle_one(tmp_path: Path) -> None:
    """Idle connections were closed for it only while a descriptor was free.

    The connection is idle for a moment only, so that the periodic checks leave it alone.
    """

    async def play() -> None:
        async with running_router(tmp_path, limits__sockets=SOCKETS) as harness:
            clients, servers = await held_by_requests(harness)
            listener = clients_of(harness)
            listener.idle_client_threshold = listener.max_clients
            listener.capacity.evict_in_advance = lambda: None  # type: ignore[method-assign]
            clients[0].close()
            await until(lambda: listener.sockets.open < len(clients))
            late = begin_connect(harness.port)
            assert is_connected(late)
            late.send(read_command(200))
            listener.max_clients = listener.sockets.open  # before the router has taken it out of the queue
            await until(lambda: harness.counters["clients.accept_paused"] > 0)
            harness.router.clock._base += MAX_QUEUE_WAIT_MS
            await servers[1].send(value_answer(1))
            await clients[1].until(b"x\r\n")
            await servers[1].until(b"\r\n")
            await servers[1].send(value_answer(200))
            assert await Peer(late).until(b"x\r\n") == b"VA 1 O200\r\nx\r\n"
            assert await clients[1].read_to_eof() == b""
            assert harness.counters["clients.evicted"] == 1 and not harness.counters["clients.idle_closed"]
            assert listener.sockets.open == listener.max_clients
            late.close()

    asyncio.run(play())


def test_an_idle_connection_is_kept_while_the_descriptor_of_another_one_is_being_released(tmp_path: Path) -> None:
    """One that waited with all descriptors open had two connections closed for it."""

    async def play() -> None:
        async with running_router(tmp_path, limits__sockets=SOCKETS) as harness:
            clients, servers = await held_by_requests(harness)
            listener = clients_of(harness)
            clients[2].close()
            await until(lambda: listener.sockets.open < len(clients))
            late = begin_connect(harness.port)
            assert is_connected(late)
            late.send(read_command(200))
            listener.max_clients = listener.sockets.open  # before the router has taken it out of the queue
            await until(lambda: harness.counters["clients.accept_paused"] > 0)
            await servers[0].send(value_answer(0))
            await clients[0].until(b"x\r\n")
            harness.router.clock._base += MIN_IDLE_SATURATED_MS
            await servers[1].send(value_answer(1))
            await clients[1].until(b"x\r\n")
            accept_loop_of(harness)._check_capacity()  # evicts the one that has been idle for long
            assert harness.counters["clients.evicted"] == 1
            assert await clients[0].read_to_eof() == b""
            await until(lambda: harness.counters["clients.accepted"] == len(clients) + 1)
            assert harness.counters["clients.evicted"] == 1 and harness.find_actor(clients[1]) is not None
            late.close()

    asyncio.run(play())
