"""Many clients past the capacity: each established connection is answered and stays open after an answer.

Guards against lost requests, as at three times the capacity: the router closed the connection of a client beyond the
limit right after an answer. The next request crossed the close, and the new connection for it waited in the accept
queue behind silent ones. The tests force that order of events and observe the router from outside. A client beyond the
limit may be rejected on a connection that stays open, or its connection may not be established.
"""

from __future__ import annotations

import asyncio
import contextlib
import inspect
import itertools
import re
import select
import selectors
import socket
import time
from collections.abc import Awaitable, Callable, Iterable
from functools import partial
from pathlib import Path
from typing import Any

import pytest

from .peers import WAIT_TIMEOUT_S, Peer, RunningRouter, read_command, running_router, value_answer

MEMORY_MB = 1024  # beyond the size of any test process, on which the budgets depend
REQUEST_TIMEOUT_MS = 2000.0  # field 'd' of the requests that must be answered in time
SOCKET_MARGIN_MS = 50.0  # added to each time limit, as answers travel over sockets
CONNECT_TIMEOUT_S = 0.1  # a new connection must be established within this time once a slot is free
HANDSHAKE_TIMEOUT_S = 0.02  # the system establishes loopback connections within microseconds
BUSY_RESPONSE = re.compile(rb"SERVER_ERROR busy( \d+)?\r\n")


class SocketCountingSelector(selectors.DefaultSelector):
    """An event loop's selector that records the maximum of the clients' open sockets over all turns."""

    listener: Any = None  # the router's listener
    max_open_sockets = 0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if self.listener is not None:
            self.max_open_sockets = max(self.max_open_sockets, self.listener.sockets.open)
        return super().select(timeout)


def poll_events(peer: Peer, events: int) -> int:
    poll = select.poll()
    poll.register(peer.socket, events)
    return sum(reported for _, reported in poll.poll(0))


def is_established(peer: Peer) -> bool:
    return poll_events(peer, select.POLLOUT) == select.POLLOUT


def is_readable(peer: Peer) -> bool:
    return bool(poll_events(peer, select.POLLIN))  # bytes, an end of file or a reset


def is_closed(peer: Peer) -> bool:
    return bool(poll_events(peer, select.POLLRDHUP))  # an end of file or a reset


async def until(condition: Callable[[], bool]) -> None:
    """Run the event loop until a condition holds; it sleeps so that the router does not see a saturated core."""
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.001)


class ManyClients:
    """Many clients of one router, and its cache server, which holds requests or answers them at once."""

    def __init__(self, harness: RunningRouter) -> None:
        self.harness = harness
        self.listener = harness.program.actors.clients
        self.clock = harness.router.clock
        self.numbers = itertools.count(1)
        self.is_holding = True
        self.held_requests: dict[int, asyncio.StreamWriter] = {}  # by request number
        self.in_flight: dict[int, Peer] = {}  # clients of the held requests

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):  # the router closes it
            while found := re.search(rb" O(\d+) ", await reader.readline()):
                if self.is_holding:
                    self.held_requests[int(found[1])] = writer
                else:
                    writer.write(value_answer(int(found[1])))

    def begin_connecting(self, count: int) -> list[Peer]:
        peers = [Peer(socket.socket()) for _ in range(count)]
        for peer in peers:
            peer.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)  # for clients that stop reading
            peer.socket.connect_ex(("127.0.0.1", self.harness.port))
        self.harness.clients += peers
        return peers

    def connect_many(self, count: int) -> list[Peer]:
        """Begin some connections; return those that are established at once, and close the others."""
        peers, deadline = self.begin_connecting(count), time.monotonic() + HANDSHAKE_TIMEOUT_S
        while not all(map(is_established, peers)) and time.monotonic() < deadline:
            pass
        for peer in itertools.filterfalse(is_established, peers):
            peer.close()
        return [peer for peer in peers if peer.socket.fileno() >= 0]

    async def connect_within_timeout(self) -> Peer:
        deadline = time.monotonic() + CONNECT_TIMEOUT_S
        while not (established := self.connect_many(1)):
            assert time.monotonic() <= deadline, "no connection was established, though a slot is free"
            await asyncio.sleep(0.002)
        return established[0]

    def send_request(self, peer: Peer, timeout_ms: float = REQUEST_TIMEOUT_MS) -> int:
        number = next(self.numbers)
        command = read_command(number, timeout_ms=timeout_ms)
        assert peer.socket.send(command) == len(command)
        return number

    async def expect_answers(
        self, peer: Peer, numbers: list[int], timeout_ms: float = REQUEST_TIMEOUT_MS, rest: bytes = b""
    ) -> None:
        """Receive the complete answers to requests just sent; fail if they are late or followed by other data."""
        if rest:
            await peer.send(rest)
        written_at = self.clock.now()
        async with asyncio.timeout((timeout_ms + SOCKET_MARGIN_MS) / 1000.0 + 1.0):
            for number in numbers:
                line = await peer.until(b"\r\n")
                if not BUSY_RESPONSE.fullmatch(line):
                    assert line.split()[:3] == [b"VA", b"1", b"O%d" % number], line
                    assert await peer.until(b"\r\n") == b"x\r\n"
        assert self.clock.now() - written_at <= timeout_ms + SOCKET_MARGIN_MS and not peer.unread

    async def exchange(self, peer: Peer, requests: int = 1) -> None:
        for _ in range(requests):
            await self.expect_answers(peer, [self.send_request(peer)])

    async def occupy_all_slots(self) -> None:
        failures = 0
        while failures < 3:
            failures += 1
            for peer in self.connect_many(1):
                number = self.send_request(peer, timeout_ms=9000.0)
                await until(partial(lambda n, p: n in self.held_requests or is_readable(p), number, peer))
                if number in self.held_requests:
                    self.in_flight[number], failures = peer, 0
                else:
                    await self.expect_answers(peer, [number])
                    peer.close()
            await asyncio.sleep(0.002)
        self.is_holding = False
        assert len(self.listener.connections) >= len(self.in_flight) > 2

    async def finish_one_request(self) -> Peer:
        number, peer = self.in_flight.popitem()
        self.held_requests.pop(number).write(value_answer(number))
        await self.expect_answers(peer, [number])
        return peer


async def assert_no_loss(answers: Iterable[Awaitable[None]]) -> None:
    results = await asyncio.gather(*answers, return_exceptions=True)
    lost = [repr(result) for result in results if isinstance(result, BaseException)]
    assert not lost, f"{len(lost)} of {len(results)} lost: {set(lost)}"


def with_all_slots_occupied(script: Callable[..., Awaitable[None]]) -> Any:
    """Turn a script into a test that starts when requests in flight occupy all connection slots.

    The test fails if a request in flight is disturbed, or if clients ever hold more sockets than their limit.
    """

    async def run(selector: SocketCountingSelector, tmp_path: Path, sockets: int, **parameters: Any) -> None:
        async with running_router(tmp_path, limits__sockets=sockets, limits__memory_mb=MEMORY_MB) as harness:
            clients = ManyClients(harness)
            await asyncio.start_server(clients.serve, sock=harness.server.socket)
            selector.listener = clients.listener
            try:
                await clients.occupy_all_slots()
                await script(clients, **parameters)
            finally:
                assert 0 < selector.max_open_sockets <= clients.listener.max_clients
                assert clients.held_requests.keys() == clients.in_flight.keys() and not any(
                    map(is_readable, clients.in_flight.values())
                )

    def test(**parameters: Any) -> None:
        selector = SocketCountingSelector()
        with asyncio.Runner(loop_factory=lambda: asyncio.SelectorEventLoop(selector)) as runner:
            runner.run(run(selector, **parameters))

    names = ["tmp_path", "sockets", *list(inspect.signature(script).parameters)[1:]]
    signature = inspect.Signature([inspect.Parameter(name, inspect.Parameter.KEYWORD_ONLY) for name in names])
    test.__signature__, test.__doc__ = signature, script.__doc__  # type: ignore[attr-defined]
    return pytest.mark.parametrize("sockets", [64, 256])(test)


@pytest.mark.parametrize("extra_clients", [1, 50])
@with_all_slots_occupied
async def test_a_client_beyond_the_limit_is_answered_repeatedly(clients: ManyClients, extra_clients: int) -> None:
    """Guards against a close right after the answer, which the client's next request crosses."""
    await assert_no_loss([clients.exchange(peer, 100) for peer in clients.connect_many(extra_clients)])


@with_all_slots_occupied
async def test_a_request_that_crosses_a_close_among_many_clients_is_not_lost(clients: ManyClients) -> None:
    """Guards against a lost request that is sent again on a connection that waits unread."""
    for peer in clients.connect_many(1):
        await clients.exchange(peer)
        number, deadline = clients.send_request(peer), clients.clock.now() + REQUEST_TIMEOUT_MS
        # Connections are begun until the accept queue is full; the router does not run meanwhile.
        assert any(len(clients.connect_many(50)) < 50 for _ in range(50))
        if is_closed(peer):  # the client sends the request again on a new connection
            peer = clients.begin_connecting(1)[0]
            await until(
                partial(lambda p, deadline: is_established(p) or clients.clock.now() > deadline, peer, deadline)
            )
            assert is_established(peer), "the connection for the retry was not established"
            number = clients.send_request(peer, deadline - clients.clock.now())
        await clients.expect_answers(peer, [number], deadline - clients.clock.now())


@pytest.mark.parametrize(("first", "count"), [(0.5, 1), (1.5, 2), (2, 2)])
@with_all_slots_occupied
async def test_commands_in_parts_or_together_are_answered(clients: ManyClients, first: float, count: int) -> None:
    """Guards against a close within a command, and against dropping the rest of it after an answer."""
    pending_answers = []
    for peer in clients.connect_many(12):
        numbers = [next(clients.numbers) for _ in range(count)]
        commands = [read_command(number, timeout_ms=REQUEST_TIMEOUT_MS) for number in numbers]
        size = int(first * len(commands[0]))
        assert peer.socket.send(b"".join(commands)[:size]) == size
        pending_answers.append(clients.expect_answers(peer, numbers, rest=b"".join(commands)[size:]))
    # The router has handled the first parts once these exchanges have ended.
    await assert_no_loss([clients.exchange(other) for other in clients.connect_many(1)])
    await assert_no_loss(pending_answers)


@with_all_slots_occupied
async def test_a_client_that_stops_reading_gets_all_answers_later(clients: ManyClients) -> None:
    """Guards against dropping commands after the first answers."""
    for peer in clients.connect_many(1):
        numbers = [next(clients.numbers) for _ in range(4000)]
        sending = asyncio.create_task(
            peer.send(b"".join(read_command(n, timeout_ms=REQUEST_TIMEOUT_MS) for n in numbers))
        )
        await until(partial(is_readable, peer))
        await assert_no_loss([clients.exchange(other) for other in clients.connect_many(1)])
        await assert_no_loss([clients.expect_answers(peer, numbers, WAIT_TIMEOUT_S * 1000.0), sending])


@pytest.mark.parametrize("silent", [0, 200])
@with_all_slots_occupied
async def test_requests_of_many_queued_clients_are_answered_in_time(clients: ManyClients, silent: int) -> None:
    """Guards against requests that wait unread in the accept queue behind silent clients."""
    clients.connect_many(silent)
    await assert_no_loss([clients.exchange(peer) for peer in clients.connect_many(300 - silent)])


@with_all_slots_occupied
async def test_a_client_that_sends_a_little_later_is_answered(clients: ManyClients) -> None:
    """Guards against evicting new connections for others that are as new."""
    begun_at, later_clients = clients.clock.now(), clients.connect_many(clients.harness.raw["limits"]["sockets"] // 32)
    await assert_no_loss([clients.exchange(other) for other in clients.connect_many(1)])
    if clients.clock.now() - begun_at < 1000.0:  # otherwise a silent client may have been evicted
        await assert_no_loss([clients.exchange(peer) for peer in later_clients])


@pytest.mark.parametrize("extra_clients", [0, 300])
@with_all_slots_occupied
async def test_a_new_connection_is_established_once_a_slot_is_free(clients: ManyClients, extra_clients: int) -> None:
    await assert_no_loss([clients.exchange(peer) for peer in clients.connect_many(extra_clients)])
    (await clients.finish_one_request()).close()
    await clients.exchange(await clients.connect_within_timeout())


@pytest.mark.parametrize("has_sent_request", [True, False])
@with_all_slots_occupied
async def test_a_client_idle_for_a_second_is_evicted_for_others(clients: ManyClients, has_sent_request: bool) -> None:
    idle = await clients.finish_one_request()
    if not has_sent_request:
        connections_before = len(clients.listener.connections)
        idle.close()
        await until(lambda: len(clients.listener.connections) < connections_before)
        idle = await clients.connect_within_timeout()
        await until(lambda: len(clients.listener.connections) >= connections_before)
    clients.clock._base += 1000.0
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while not is_closed(idle):
            await assert_no_loss([clients.exchange(peer) for peer in clients.connect_many(3)])
            await asyncio.sleep(0.002)


@with_all_slots_occupied
async def test_a_client_answered_within_half_a_second_keeps_its_connection(clients: ManyClients) -> None:
    """Guards against a close soon after an answer, which the client's next request crosses."""
    clients.clock._base += 1000.0  # the router no longer sees a saturated core
    await assert_no_loss([clients.exchange(other) for other in clients.connect_many(3)])
    client, keep_deadline = await clients.finish_one_request(), clients.clock.now() + 500.0
    for _ in range(4):
        clients.clock._base += 80.0
        await assert_no_loss([clients.exchange(other) for other in clients.connect_many(3)])
        assert not is_closed(client) or clients.clock.now() > keep_deadline
    if clients.clock.now() < keep_deadline:
        await clients.exchange(client)
