"""The limit on the system's accept queue, on real sockets."""

from __future__ import annotations

import select
import socket
import sys
from collections.abc import Iterator

import pytest

from starlingthread.core.counters import Counters
from starlingthread.net.clients.accept_queue import MIN_QUEUED_CONNECTIONS, AcceptQueue

pytestmark = pytest.mark.skipif(sys.platform != "linux", reason="other systems limit accept queues differently")


@pytest.fixture
def listening() -> Iterator[socket.socket]:
    with socket.create_server(("127.0.0.1", 0), backlog=32) as sock:
        yield sock


def count_established(listening: socket.socket, attempts: int = 12) -> int:
    """Connect some clients at once; return how many connections are established."""
    clients = [socket.socket() for _ in range(attempts)]
    poll = select.poll()
    for client in clients:
        client.setblocking(False)
        client.connect_ex(listening.getsockname())
        poll.register(client, select.POLLOUT)
    established = sum(event == select.POLLOUT for _, event in poll.poll(0))
    for client in clients:
        client.close()
    return established


@pytest.mark.parametrize("limit", [0, 2, 3, 10])
def test_the_system_establishes_as_many_connections_as_the_limit_allows(listening: socket.socket, limit: int) -> None:
    """Guards against requests on connections that can't be accepted: the system queues one more than the backlog."""
    AcceptQueue(listening, Counters(), is_shared=False).set_limit(limit)
    assert count_established(listening) == limit


def test_a_limit_of_one_allows_as_many_connections_as_the_smallest_queue_holds(listening: socket.socket) -> None:
    AcceptQueue(listening, Counters(), is_shared=False).set_limit(1)
    assert count_established(listening) == MIN_QUEUED_CONNECTIONS


def test_a_queue_that_was_shut_by_another_process_is_opened(listening: socket.socket) -> None:
    counters = Counters()
    AcceptQueue(listening, counters, is_shared=False).set_limit(0)
    assert counters["clients.queue_shut"] == 1
    successor = AcceptQueue(listening, Counters(), is_shared=True)
    successor.set_limit(5)
    AcceptQueue(listening, counters, is_shared=False).set_limit(0)  # the old process accepts until it pauses
    successor.set_limit(5)
    assert count_established(listening) == 5


def test_a_connection_that_is_queued_already_can_be_accepted_and_read_while_the_queue_is_shut(
    listening: socket.socket,
) -> None:
    queue = AcceptQueue(listening, Counters(), is_shared=False)
    with socket.create_connection(listening.getsockname()) as client:
        queue.set_limit(0)
        client.send(b"x")
        accepted, _ = listening.accept()
        with accepted:
            assert accepted.recv(10) == b"x"
            accepted.send(b"y")
            assert client.recv(10) == b"y"
    assert queue.is_shut and count_established(listening) == 0
    queue.set_limit(2)
    assert count_established(listening) == 2
