"""Connections that are established beyond the free slots: each gets a descriptor, and its request is answered.

Guards against requests that are never answered, as happened once with 64 descriptors at twice the capacity: the accept
queue was opened for the slot of an evicted connection, and the eviction was then cancelled. A limit of one allows two
connections, and no descriptor was free for the second.
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

from .peers import Peer, RunningRouter, read_command, running_router, until, value_answer
from .test_descriptors_past_capacity import SOCKETS, begin_connect, is_connected, listener_of, occupy_all_slots

pytestmark = pytest.mark.skipif(sys.platform != "linux", reason="other systems limit accept queues differently")


class FakeContext:
    """The part of the listener that ConnectionCapacity uses, with sockets in each state."""

    def __init__(self, max_clients: int, connections: int, initializing: int, closing: int) -> None:
        self.max_clients = max_clients
        self.connections = set(range(connections))
        self.sockets = SocketCounts(open=connections + initializing + closing, initializing=initializing)


@given(st.integers(18, 64), st.integers(0, 64), st.integers(0, 64), st.integers(0, 64), st.integers(0, 1))
def test_each_connection_that_may_be_established_gets_a_descriptor(
    max_clients: int, connections: int, initializing: int, closing: int, accepting: int
) -> None:
    context = FakeContext(max_clients, connections, initializing, closing)
    limit = ConnectionCapacity(context).free_slots(accepting)  # type: ignore[arg-type]
    free_descriptors = max_clients - context.sockets.open - accepting
    assert not limit or max(limit, MIN_QUEUED_CONNECTIONS) + SYN_RACE_CONNECTIONS <= free_descriptors


def accept_loop_of(harness: RunningRouter) -> AcceptLoop:
    accept_loop = listener_of(harness)._accept_loop
    assert accept_loop is not None
    return accept_loop


def send_on_all_established(harness: RunningRouter, first_number: int) -> dict[int, socket]:
    """Begin many connections at once; send a request on each that is established, and return these by number."""
    new_sockets = [begin_connect(harness.port) for _ in range(10)]
    established = dict(enumerate(filter(is_connected, new_sockets), start=first_number))
    for number, sock in established.items():
        sock.send(read_command(number))
    for sock in new_sockets:
        if sock not in established.values():
            sock.close()
    return established


async def assert_answered(harness: RunningRouter, clients: dict[int, socket]) -> None:
    """Make the cache server answer each client's request; fail if one does not reach it."""
    unanswered = set(clients)
    while unanswered:
        server = await harness.server.accept()
        number = int((await server.until(b"\r\n")).split()[3][1:])
        unanswered.remove(number)
        await server.send(value_answer(number))
        assert await Peer(clients[number]).until(b"x\r\n") == b"VA 1 O%d\r\nx\r\n" % number
        clients[number].close()


@pytest.mark.parametrize("excess", [0, SYN_RACE_CONNECTIONS])
def test_all_connections_established_for_the_last_slot_are_answered(tmp_path: Path, excess: int) -> None:
    """Guards against connections that wait unread until a request ends, as all descriptors are open.

    SYNs that arrive on several processors at once exceed the limit, which a larger backlog simulates.
    """

    async def scenario() -> None:
        async with running_router(tmp_path, limits__sockets=SOCKETS) as harness:
            clients, _ = await occupy_all_slots(harness)
            listener = listener_of(harness)
            clients[0].close()
            await until(lambda: listener.sockets.open < len(clients))
            assert listener.socket is not None
            listener.socket.listen(MIN_QUEUED_CONNECTIONS + excess - 1)
            established = send_on_all_established(harness, 200)
            assert len(established) == MIN_QUEUED_CONNECTIONS + excess
            await assert_answered(harness, established)

    asyncio.run(scenario())


def test_all_connections_established_while_an_eviction_is_cancelled_are_answered(tmp_path: Path) -> None:
    """Forces the order of events in which a request was never answered.

    The slot of the evicted connection is assigned to a new one before the request on the evicted connection is read.
    """

    async def scenario() -> None:
        async with running_router(tmp_path, limits__sockets=SOCKETS) as harness:
            clients, servers = await occupy_all_slots(harness)
            await servers[0].send(value_answer(0))
            await clients[0].until(b"x\r\n")
            harness.router.clock._base += MIN_IDLE_SATURATED_MS
            await clients[0].send(read_command(100))  # the router does not run from here to the last command
            assert listener_of(harness).capacity.evict_one()
            accept_loop_of(harness).limit_queue()
            established = send_on_all_established(harness, 200)
            await servers[0].until(b"\r\n")
            await servers[0].send(value_answer(100))
            await clients[0].until(b"x\r\n")
            await assert_answered(harness, established)

    asyncio.run(scenario())


def test_a_burst_that_takes_all_slots_is_answered_though_its_requests_arrive_later(tmp_path: Path) -> None:
    """Guards against evicting new connections for others: five were closed at once, and their requests were lost.

    One connection more than the limit is established, as if SYNs had arrived on several processors.
    """

    async def scenario() -> None:
        async with running_router(tmp_path, limits__sockets=SOCKETS) as harness:
            listener = listener_of(harness)
            assert listener.socket is not None
            listener.socket.listen(listener.capacity.max_connections)  # the system queues one more than the backlog
            burst = [begin_connect(harness.port) for _ in range(2 * listener.max_clients)]
            established = dict(enumerate(filter(is_connected, burst)))
            assert len(established) == listener.capacity.max_connections + SYN_RACE_CONNECTIONS
            await until(
                lambda: accept_loop_of(harness)._last_capacity_check_at > 0.0
            )  # all are accepted, the queue is shut
            for number, sock in established.items():
                sock.send(read_command(number))
            await assert_answered(harness, established)
            assert harness.counters["clients.evicted"] == 0
            for sock in burst:
                sock.close()

    asyncio.run(scenario())


def test_clients_can_connect_before_an_evicted_one_sees_the_close(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A request that crosses the close is sent again on a new connection, which must be established."""

    async def scenario() -> None:
        async with running_router(tmp_path, limits__sockets=SOCKETS) as harness:
            clients, servers = await occupy_all_slots(harness)
            shut_at_eof = []
            write_eof = asyncio.StreamWriter.write_eof

            def recording_write_eof(writer: asyncio.StreamWriter) -> None:
                shut_at_eof.append(accept_loop_of(harness)._queue.is_shut)
                write_eof(writer)

            monkeypatch.setattr(asyncio.StreamWriter, "write_eof", recording_write_eof)
            await servers[0].send(value_answer(0))
            await clients[0].until(b"x\r\n")
            assert accept_loop_of(harness)._queue.is_shut
            harness.router.clock._base += MIN_IDLE_SATURATED_MS
            assert await clients[0].read_to_eof() == b""
            assert shut_at_eof == [False]

    asyncio.run(scenario())


def test_a_connection_that_waits_with_all_descriptors_open_gets_that_of_an_idle_one(tmp_path: Path) -> None:
    """Guards against evicting idle connections for queued ones only while a descriptor is free.

    The connection is idle too briefly for the periodic checks to evict it.
    """

    async def scenario() -> None:
        async with running_router(tmp_path, limits__sockets=SOCKETS) as harness:
            clients, servers = await occupy_all_slots(harness)
            listener = listener_of(harness)
            listener.idle_client_threshold = listener.max_clients
            listener.capacity.evict_in_advance = lambda: None  # type: ignore[method-assign]
            clients[0].close()
            await until(lambda: listener.sockets.open < len(clients))
            late_client = begin_connect(harness.port)
            assert is_connected(late_client)
            late_client.send(read_command(200))
            listener.max_clients = listener.sockets.open  # before the router accepts the queued client
            await until(lambda: harness.counters["clients.accept_paused"] > 0)
            harness.router.clock._base += MAX_QUEUE_WAIT_MS
            await servers[1].send(value_answer(1))
            await clients[1].until(b"x\r\n")
            await servers[1].until(b"\r\n")
            await servers[1].send(value_answer(200))
            assert await Peer(late_client).until(b"x\r\n") == b"VA 1 O200\r\nx\r\n"
            assert await clients[1].read_to_eof() == b""
            assert harness.counters["clients.evicted"] == 1 and not harness.counters["clients.idle_closed"]
            assert listener.sockets.open == listener.max_clients
            late_client.close()

    asyncio.run(scenario())


def test_an_idle_connection_is_kept_while_the_descriptor_of_another_one_is_being_released(tmp_path: Path) -> None:
    """Guards against evicting two connections for one that waits while all descriptors are open."""

    async def scenario() -> None:
        async with running_router(tmp_path, limits__sockets=SOCKETS) as harness:
            clients, servers = await occupy_all_slots(harness)
            listener = listener_of(harness)
            clients[2].close()
            await until(lambda: listener.sockets.open < len(clients))
            late_client = begin_connect(harness.port)
            assert is_connected(late_client)
            late_client.send(read_command(200))
            listener.max_clients = listener.sockets.open  # before the router accepts the queued client
            await until(lambda: harness.counters["clients.accept_paused"] > 0)
            await servers[0].send(value_answer(0))
            await clients[0].until(b"x\r\n")
            harness.router.clock._base += MIN_IDLE_SATURATED_MS
            await servers[1].send(value_answer(1))
            await clients[1].until(b"x\r\n")
            accept_loop_of(harness)._check_capacity()  # evicts the connection that has been idle longer
            assert harness.counters["clients.evicted"] == 1
            assert await clients[0].read_to_eof() == b""
            await until(lambda: harness.counters["clients.accepted"] == len(clients) + 1)
            assert harness.counters["clients.evicted"] == 1 and harness.find_actor(clients[1]) is not None
            late_client.close()

    asyncio.run(scenario())
