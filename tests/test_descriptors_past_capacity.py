"""More clients than descriptors: queued connections are accepted once there is capacity, and none waits unread.

Guards against running out of descriptors: sockets that were being closed or had just been accepted were not counted
against the limit. asyncio then logs "socket.accept() out of system resource" and stops accepting for one second, while
queued requests wait unread. At 125 % of its capacity, a router with 1,024 descriptors served half of its capacity and
lost a thousand requests in ten seconds.
"""

from __future__ import annotations

import asyncio
import errno
import select
import socket
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from starlingthread.core.counters import Counters
from starlingthread.core.task_supervisor import TaskSupervisor
from starlingthread.net.clients.acceptor import RETRY_DELAY_S, Acceptor, SocketCounts
from starlingthread.net.clients.context import ConnectionState
from starlingthread.net.clients.idle import MIN_IDLE_MS, MIN_IDLE_SATURATED_MS, eviction_rank
from starlingthread.net.clients.limits import SILENT_CONNECTION_MS
from starlingthread.net.clients.listener import ClientListener

from .peers import Peer, RunningRouter, connect, read_command, run_loop_turns, running_router, until, value_answer

# Descriptors of the router: (64 - 20) / 2 = 22 are for clients, 3 of which are reserved beyond the connection limit.
SOCKETS = 64


async def occupy_all_slots(harness: RunningRouter) -> tuple[list[Peer], list[Peer]]:
    """Occupy all connection slots with clients that have a request in flight; return them and the servers' peers."""
    clients, servers = [], []
    for number in range(harness.program.actors.clients.capacity.max_connections):
        clients.append(await harness.client())
        await clients[-1].send(read_command(number))
        servers.append(await harness.server.accept())
        await servers[-1].until(b"\r\n")
    return clients, servers


@pytest.mark.parametrize(("is_core_saturated", "is_evictable"), [(False, True), (True, False)])
def test_an_idle_connection_is_kept_longer_while_its_client_waits_for_a_saturated_core(
    is_core_saturated: bool, is_evictable: bool
) -> None:
    """Guards against requests that cross the close of their connection while their clients can't connect again."""
    state = ConnectionState(last_used_at=0.0, commands=1)
    rank = eviction_rank(state, False, is_core_saturated, 2 * MIN_IDLE_MS)
    assert rank is not None
    assert (rank.evictable_at <= 2 * MIN_IDLE_MS) == is_evictable
    assert rank.evictable_at <= MIN_IDLE_SATURATED_MS


def listener_of(harness: RunningRouter) -> ClientListener:
    return harness.program.actors.clients


def begin_connect(port: int) -> socket.socket:
    """Begin to connect without waiting for the connection."""
    sock = socket.socket()
    sock.setblocking(False)
    sock.connect_ex(("127.0.0.1", port))
    return sock


def is_connected(sock: socket.socket) -> bool:
    """Return whether the connection is established."""
    poll = select.poll()
    poll.register(sock, select.POLLOUT)
    return any(event == select.POLLOUT for _, event in poll.poll(0))


def test_a_client_connects_as_soon_as_a_connection_is_released(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_router(tmp_path, limits__sockets=SOCKETS) as harness:
            clients, servers = await occupy_all_slots(harness)
            number = len(clients)
            clients[0].close()
            await until(lambda: listener_of(harness).sockets.open < number)
            client = await harness.client()
            await client.send(read_command(number))
            server = await harness.server.accept()
            await server.until(b"\r\n")
            await server.send(value_answer(number))
            assert await client.until(b"x\r\n") == b"VA 1 O%d\r\nx\r\n" % number
            assert len(servers) == number

    asyncio.run(scenario())


def test_no_connection_is_established_while_requests_occupy_all_slots(tmp_path: Path) -> None:
    """Guards against requests on connections that can't be accepted: 1,027 waited unread in the accept queue."""

    async def scenario() -> None:
        async with running_router(tmp_path, limits__sockets=SOCKETS) as harness:
            clients, servers = await occupy_all_slots(harness)
            waiting = [begin_connect(harness.port) for _ in range(60)]
            await run_loop_turns()
            assert not any(map(is_connected, waiting))
            assert listener_of(harness).sockets.open == len(clients)
            await servers[0].send(value_answer(0))
            assert await clients[0].until(b"x\r\n") == b"VA 1 O0\r\nx\r\n"
            assert harness.router.telemetry.inflight == len(clients) - 1
            for sock in waiting:
                sock.close()

    asyncio.run(scenario())


def test_connections_queued_as_the_last_slots_are_taken_are_all_accepted(tmp_path: Path) -> None:
    """The connections are established before the router's next turn, so their clients may have sent requests."""

    async def scenario() -> None:
        async with running_router(tmp_path, limits__sockets=SOCKETS) as harness:
            waiting = [begin_connect(harness.port) for _ in range(60)]
            queued = [sock for sock in waiting if is_connected(sock)]
            assert len(queued) >= listener_of(harness).capacity.max_connections
            for number, sock in enumerate(queued):
                sock.send(read_command(number))
            numbers = set()
            for _ in queued:
                server = await harness.server.accept()
                numbers.add((await server.until(b"\r\n")).split()[3])
            assert len(numbers) == len(queued)
            assert not any(is_connected(sock) for sock in waiting if sock not in queued)
            for sock in waiting:
                sock.close()

    asyncio.run(scenario())


def test_commands_on_the_last_connection_are_all_answered_and_it_stays_open(tmp_path: Path) -> None:
    """A close right after an answer crosses the client's next request, and the client can't connect again."""

    async def scenario() -> None:
        async with running_router(tmp_path, limits__sockets=SOCKETS) as harness:
            clients, _ = await occupy_all_slots(harness)
            clients[0].close()
            await until(lambda: listener_of(harness).sockets.open < len(clients))
            last = await harness.client()
            limit = harness.router.balancer.admission.core.queue_limit
            limit.limit, limit.limited_since = 0.5, 0.0
            await last.send(b"mn\r\nmg a v O900 Pc=nobody,d=500\r\nwhat\r\n" + read_command(901) + b"mg half")
            answers = b"MN\r\nCLIENT_ERROR unknown class\r\nERROR\r\nSERVER_ERROR busy\r\n"
            assert await last.until(b"busy\r\n") == answers
            await last.send(b" of it\r\n" + read_command(902))
            assert await last.until(b"busy\r\n") == b"CLIENT_ERROR bad command line format\r\nSERVER_ERROR busy\r\n"
            assert harness.find_actor(last) is not None

    asyncio.run(scenario())


def test_a_silent_client_loses_the_last_slot_to_one_that_connects(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_router(tmp_path, limits__sockets=SOCKETS) as harness:
            clients, _ = await occupy_all_slots(harness)
            clients[0].close()
            await until(lambda: listener_of(harness).sockets.open < len(clients))
            silent = await harness.client()
            harness.router.clock._base += SILENT_CONNECTION_MS
            assert await silent.read_to_eof() == b""
            await (await harness.client()).send(read_command(900))
            await harness.server.accept()
            assert listener_of(harness).sockets.open == len(clients)

    asyncio.run(scenario())


def test_a_request_that_comes_before_the_close_of_its_evicted_connection_keeps_it_open(tmp_path: Path) -> None:
    """Guards against closing the connection right after the answer, which the client's next request crosses."""

    async def scenario() -> None:
        async with running_router(tmp_path, limits__sockets=SOCKETS) as harness:
            clients, servers = await occupy_all_slots(harness)
            await servers[0].send(value_answer(0))
            await clients[0].until(b"x\r\n")
            harness.router.clock._base += MIN_IDLE_SATURATED_MS
            await clients[0].send(read_command(100))  # the router has not run since
            assert listener_of(harness).capacity.evict_one()
            await servers[0].until(b"\r\n")
            await servers[0].send(value_answer(100))
            await clients[0].until(b"x\r\n")
            await run_loop_turns()
            assert harness.find_actor(clients[0]) is not None
            assert listener_of(harness).capacity.free_slots() == 0

    asyncio.run(scenario())


def test_a_burst_within_the_limit_does_not_shut_the_queue(tmp_path: Path) -> None:
    """Guards against counting connections twice during their setup, which dropped other clients' SYNs."""

    async def scenario() -> None:
        async with running_router(tmp_path, limits__sockets=SOCKETS) as harness:
            max_connections = listener_of(harness).capacity.max_connections
            burst = [begin_connect(harness.port) for _ in range(max_connections - 1)]
            await until(lambda: len(listener_of(harness).connections) == max_connections - 1)
            await harness.client()
            assert harness.counters["clients.evicted"] == 0
            assert all(map(is_connected, burst))
            for sock in burst:
                sock.close()

    asyncio.run(scenario())


def test_no_connection_is_established_once_another_process_has_the_descriptors(tmp_path: Path) -> None:
    """In an upgrade, 28 connections were established for which the old process had no descriptor left."""

    async def scenario() -> None:
        async with running_router(tmp_path, limits__sockets=SOCKETS) as harness:
            listener = listener_of(harness)
            clients = [await harness.client() for _ in range(listener.max_clients // 2)]
            listener.apply_limits(len(clients), listener.idle_client_threshold)
            late_client = begin_connect(harness.port)
            assert not is_connected(late_client)
            late_client.close()

    asyncio.run(scenario())


def test_no_connection_is_established_while_the_system_has_no_descriptors(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_router(tmp_path) as harness:
            accept_loop = listener_of(harness)._accept_loop
            assert accept_loop is not None
            accept_loop._acceptor._listening = ExhaustedSocket(accept_loop._acceptor._listening, 1)  # type: ignore[assignment]
            first = begin_connect(harness.port)
            await until(lambda: harness.counters["clients.accept_failed"] == 1)
            late_client = begin_connect(harness.port)
            assert is_connected(first) and not is_connected(late_client)
            await harness.client()
            first.close()
            late_client.close()

    asyncio.run(scenario())


def test_sockets_that_are_being_closed_count_against_the_limit(tmp_path: Path) -> None:
    """Clients connect and are evicted as fast as possible; the open sockets never exceed the clients' limit."""

    async def scenario() -> None:
        async with running_router(tmp_path, limits__sockets=SOCKETS) as harness:
            listener, max_open = listener_of(harness), 0
            clients = [await connect(harness.port) for _ in range(300)]

            def all_accepted() -> bool:
                nonlocal max_open
                max_open = max(max_open, listener.sockets.open)
                return harness.counters["clients.accepted"] == len(clients)

            await until(all_accepted)
            assert max_open <= listener.max_clients
            for client in clients:
                client.close()

    asyncio.run(scenario())


def test_a_new_connection_is_not_evicted_for_one_as_new(tmp_path: Path) -> None:
    """Its first request may be in transit, whether or not other connections are new; once silent, it is evicted."""

    async def scenario() -> None:
        async with running_router(tmp_path, limits__sockets=SOCKETS) as harness:
            listener = listener_of(harness)
            listener.max_clients = 5
            for number in range(4):
                await (await harness.client()).send(read_command(number))
                await harness.server.accept()
            new = await harness.client()
            assert not listener.capacity.evict_one() and harness.find_actor(new) is not None
            listener.max_clients = 2
            assert not listener.capacity.evict_one() and harness.find_actor(new) is not None
            harness.router.clock._base += SILENT_CONNECTION_MS
            assert listener.capacity.evict_one() and harness.actor_of(new).state.evicted

    asyncio.run(scenario())


def test_new_connections_are_kept_when_there_are_many_silent_ones(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_router(tmp_path, limits__sockets=SOCKETS) as harness:
            silent = [await harness.client() for _ in range(3)]
            harness.router.clock._base += SILENT_CONNECTION_MS
            new = [await harness.client() for _ in range(4)]
            listener = listener_of(harness)
            listener.max_clients = 7
            assert [listener.capacity.evict_one() for _ in range(4)] == [True, True, True, False]
            assert all(harness.actor_of(client).state.evicted for client in silent)
            assert not any(harness.actor_of(client).state.evicted for client in new)

    asyncio.run(scenario())


class ExhaustedSocket:
    """A listening socket whose accept() fails a number of times for lack of descriptors."""

    def __init__(self, listening: socket.socket, failures: int) -> None:
        self._listening = listening
        self.failures = failures

    def __getattr__(self, name: str) -> Any:
        return getattr(self._listening, name)

    def accept(self) -> tuple[socket.socket, Any]:
        if self.failures:
            self.failures -= 1
            raise OSError(errno.EMFILE, "Too many open files")
        return self._listening.accept()


@pytest.mark.skipif(sys.platform != "linux", reason="the error numbers are those of Linux")
def test_accepting_goes_on_soon_after_the_system_was_out_of_descriptors(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        counters, accepted = Counters(), []
        listening = ExhaustedSocket(socket.create_server(("127.0.0.1", 0)), failures=3)
        acceptor = Acceptor(
            listening,  # type: ignore[arg-type]
            lambda reader, writer: accepted.append(writer),
            lambda: True,
            SocketCounts(),
            TaskSupervisor(),
            counters,
        )
        delays: list[float] = []
        loop = asyncio.get_running_loop()

        def call_soon(delay: float, callback: Callable[[], None]) -> asyncio.Handle:
            delays.append(delay)
            return loop.call_soon(callback)

        monkeypatch.setattr(loop, "call_later", call_soon)
        client = await connect(listening.getsockname()[1])
        await until(lambda: bool(accepted))
        assert counters["clients.accept_failed"] == 3
        assert delays.count(RETRY_DELAY_S) == 3 and RETRY_DELAY_S < 0.1
        accepted[0].close()
        client.close()
        acceptor.close()
        await run_loop_turns()

    asyncio.run(scenario())
