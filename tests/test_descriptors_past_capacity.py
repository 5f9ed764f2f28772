"""More clients than descriptors: what is queued is accepted as room is made, or rejected; nothing waits unread.

What happened: a quarter past its capacity a router served half of what it could, and lost a thousand requests in ten
seconds. Why: sockets being closed and sockets just accepted were in no budget, so the process ran out of descriptors;
asyncio then stops accepting for a second, and whatever is queued meanwhile waits unread. What showed it: 184 lines
"socket.accept() out of system resource" in ten bursts 1.05 s apart, and 1,024 of 1,024 descriptors open throughout.
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

from .peers import Peer, RouterHarness, connect, read_command, run_loop_turns, running_router, until, value_answer

SOCKETS = 64  # descriptors: (64 - 20) / 2 = 22 for clients, of which 3 are for what comes up beyond the places


async def held_by_requests(harness: RouterHarness) -> tuple[list[Peer], list[Peer]]:
    """Let clients with a request in flight hold all connections; return them and the cache server's peers."""
    clients, servers = [], []
    for number in range(harness.program.actors.clients.capacity.max_connections):
        clients.append(await harness.client())
        await clients[-1].send(read_command(number))
        servers.append(await harness.server.accept())
        await servers[-1].until(b"\r\n")
    return clients, servers


@pytest.mark.parametrize(("is_core_saturated", "may_go"), [(False, True), (True, False)])
def test_an_idle_connection_is_kept_longer_while_its_client_waits_for_a_saturated_core(
    is_core_saturated: bool, may_go: bool
) -> None:
    """Guards against requests that cross the close of their connection, and whose new one finds no place."""
    state = ConnectionState(last_used_at=0.0, commands=1)
    rank = eviction_rank(state, False, is_core_saturated, 2 * MIN_IDLE_MS)
    assert rank is not None
    assert (rank.evictable_at <= 2 * MIN_IDLE_MS) == may_go
    assert rank.evictable_at <= MIN_IDLE_SATURATED_MS


def clients_of(harness: RouterHarness) -> ClientListener:
    return harness.program.actors.clients


def begin_connect(port: int) -> socket.socket:
    """Begin to connect, without waiting for it."""
    sock = socket.socket()
    sock.setblocking(False)
    sock.connect_ex(("127.0.0.1", port))
    return sock


def is_connected(sock: socket.socket) -> bool:
    """Return whether the router's system has established a connection."""
    poll = select.poll()
    poll.register(sock, select.POLLOUT)
    return any(event == select.POLLOUT for _, event in poll.poll(0))


def test_a_client_connects_as_soon_as_a_connection_is_released(tmp_path: Path) -> None:
    async def play() -> None:
        async with running_router(tmp_path, limits__sockets=SOCKETS) as harness:
            clients, servers = await held_by_requests(harness)
            number = len(clients)
            clients[0].close()
            await until(lambda: clients_of(harness).sockets.open < number)
            client = await harness.client()
            await client.send(read_command(number))
            server = await harness.server.accept()
            await server.until(b"\r\n")
            await server.send(value_answer(number))
            assert await client.until(b"x\r\n") == b"VA 1 O%d\r\nx\r\n" % number
            assert len(servers) == number

    asyncio.run(play())


def test_no_connection_is_established_while_requests_hold_all(tmp_path: Path) -> None:
    """What the system establishes its clients write to: 1,027 requests waited unread in the accept queue."""

    async def play() -> None:
        async with running_router(tmp_path, limits__sockets=SOCKETS) as harness:
            clients, servers = await held_by_requests(harness)
            waiting = [begin_connect(harness.port) for _ in range(60)]
            await run_loop_turns()
            assert not any(map(is_connected, waiting))
            assert clients_of(harness).sockets.open == len(clients)
            await servers[0].send(value_answer(0))
            assert await clients[0].until(b"x\r\n") == b"VA 1 O0\r\nx\r\n"
            assert harness.router.telemetry.inflight == len(clients) - 1
            for sock in waiting:
                sock.close()

    asyncio.run(play())


def test_connections_queued_as_the_last_places_are_taken_are_all_accepted(tmp_path: Path) -> None:
    """They are established before the router takes its next turn, so their clients may have sent requests."""

    async def play() -> None:
        async with running_router(tmp_path, limits__sockets=SOCKETS) as harness:
            waiting = [begin_connect(harness.port) for _ in range(60)]
            queued = [sock for sock in waiting if is_connected(sock)]
            assert len(queued) >= clients_of(harness).capacity.max_connections
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

    asyncio.run(play())


def test_commands_on_the_last_connection_are_all_answered_and_it_stays_open(tmp_path: Path) -> None:
    """A close behind an answer crosses the client's next request, whose new connection finds no place."""

    async def play() -> None:
        async with running_router(tmp_path, limits__sockets=SOCKETS) as harness:
            clients, _ = await held_by_requests(harness)
            clients[0].close()
            await until(lambda: clients_of(harness).sockets.open < len(clients))
            last = await harness.client()
            limit = harness.router.balancer.admission.core.queue_limit
            limit.limit, limit.limited_since = 0.5, 0.0
            await last.send(b"mn\r\nmg a v O900 Pc=nobody,d=500\r\nwhat\r\n" + read_command(901) + b"mg half")
            answers = b"MN\r\nCLIENT_ERROR unknown class\r\nERROR\r\nSERVER_ERROR busy\r\n"
            assert await last.until(b"busy\r\n") == answers
            await last.send(b" of it\r\n" + read_command(902))
            assert await last.until(b"busy\r\n") == b"CLIENT_ERROR bad command line format\r\nSERVER_ERROR busy\r\n"
            assert harness.find_actor(last) is not None

    asyncio.run(play())


def test_a_silent_client_loses_the_last_place_to_one_that_connects(tmp_path: Path) -> None:
    async def play() -> None:
        async with running_router(tmp_path, limits__sockets=SOCKETS) as harness:
            clients, _ = await held_by_requests(harness)
            clients[0].close()
            await until(lambda: clients_of(harness).sockets.open < len(clients))
            silent = await harness.client()
            harness.router.clock._base += SILENT_CONNECTION_MS
            assert await silent.read_to_eof() == b""
            await (await harness.client()).send(read_command(900))
            await harness.server.accept()
            assert clients_of(harness).sockets.open == len(clients)

    asyncio.run(play())


def test_a_request_that_comes_before_the_close_of_its_evicted_connection_keeps_it_open(tmp_path: Path) -> None:
    """It was closed right behind the answer, which the client's next request crosses."""

    async def play() -> None:
        async with running_router(tmp_path, limits__sockets=SOCKETS) as harness:
            clients, servers = await held_by_requests(harness)
            await servers[0].send(value_answer(0))
            await clients[0].until(b"x\r\n")
            harness.router.clock._base += MIN_IDLE_SATURATED_MS
            await clients[0].send(read_command(100))  # the router has not taken a turn since
            assert clients_of(harness).capacity.evict_one()
            await servers[0].until(b"\r\n")
            await servers[0].send(value_answer(100))
            await clients[0].until(b"x\r\n")
            await run_loop_turns()
            assert harness.find_actor(clients[0]) is not None
            assert clients_of(harness).capacity.free_slots() == 0

    asyncio.run(play())


def test_a_burst_within_the_places_does_not_shut_the_queue(tmp_path: Path) -> None:
    """Connections counted twice while they were set up, so an ordinary client's SYN was dropped."""

    async def play() -> None:
        async with running_router(tmp_path, limits__sockets=SOCKETS) as harness:
            places = clients_of(harness).capacity.max_connections
            burst = [begin_connect(harness.port) for _ in range(places - 1)]
            await until(lambda: len(clients_of(harness).connections) == places - 1)
            await harness.client()
            assert harness.counters["clients.evicted"] == 0
            assert all(map(is_connected, burst))
            for sock in burst:
                sock.close()

    asyncio.run(play())


def test_no_connection_is_established_once_another_process_has_the_descriptors(tmp_path: Path) -> None:
    """In an upgrade 28 connections came up for which the old process had no descriptor any more."""

    async def play() -> None:
        async with running_router(tmp_path, limits__sockets=SOCKETS) as harness:
            listener = clients_of(harness)
            clients = [await harness.client() for _ in range(listener.max_clients // 2)]
            listener.apply_limits(len(clients), listener.idle_client_threshold)
            late = begin_connect(harness.port)
            assert not is_connected(late)
            late.close()

    asyncio.run(play())


def test_no_connection_is_established_while_the_system_has_no_descriptors(tmp_path: Path) -> None:
    async def play() -> None:
        async with running_router(tmp_path) as harness:
            accept_loop = clients_of(harness)._accept_loop
            assert accept_loop is not None
            accept_loop._acceptor._listening = ExhaustedSocket(accept_loop._acceptor._listening, 1)  # type: ignore[assignment]
            first = begin_connect(harness.port)
            await until(lambda: harness.counters["clients.accept_failed"] == 1)
            late = begin_connect(harness.port)
            assert is_connected(first) and not is_connected(late)
            await harness.client()
            first.close()
            late.close()

    asyncio.run(play())


def test_sockets_that_are_being_closed_count_against_the_limit(tmp_path: Path) -> None:
    """Clients come and are evicted as fast as they can; at no time are there more sockets than clients may hold."""

    async def play() -> None:
        async with running_router(tmp_path, limits__sockets=SOCKETS) as harness:
            listener, most = clients_of(harness), 0
            crowd = [await connect(harness.port) for _ in range(300)]

            def all_accepted() -> bool:
                nonlocal most
                most = max(most, listener.sockets.open)
                return harness.counters["clients.accepted"] == len(crowd)

            await until(all_accepted)
            assert most <= listener.max_clients
            for client in crowd:
                client.close()

    asyncio.run(play())


def test_a_new_connection_is_not_evicted_for_one_as_new(tmp_path: Path) -> None:
    """Its request may be on its way, whether or not it is alone; once it has been silent for a while it goes."""

    async def play() -> None:
        async with running_router(tmp_path, limits__sockets=SOCKETS) as harness:
            listener = clients_of(harness)
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

    asyncio.run(play())


def test_beside_a_crowd_of_silent_connections_the_new_ones_stay(tmp_path: Path) -> None:
    async def play() -> None:
        async with running_router(tmp_path, limits__sockets=SOCKETS) as harness:
            silent = [await harness.client() for _ in range(3)]
            harness.router.clock._base += SILENT_CONNECTION_MS
            new = [await harness.client() for _ in range(4)]
            listener = clients_of(harness)
            listener.max_clients = 7
            assert [listener.capacity.evict_one() for _ in range(4)] == [True, True, True, False]
            assert all(harness.actor_of(client).state.evicted for client in silent)
            assert not any(harness.actor_of(client).state.evicted for client in new)

    asyncio.run(play())


class ExhaustedSocket:
    """A listening socket at which the system is out of descriptors for a while."""

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


@pytest.mark.skipif(sys.platform != "linux", reason="the error numbers are Linux's")
def test_accepting_goes_on_soon_after_the_system_was_out_of_descriptors(monkeypatch: pytest.MonkeyPatch) -> None:
    async def play() -> None:
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

    asyncio.run(play())
