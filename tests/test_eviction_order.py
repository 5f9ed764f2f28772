"""The order of evictions while many idle clients connect.

Guards against lost requests (soak seed 4117): new connections are not evicted for their first 100 ms, so connections in
use were evicted instead, and the next requests on them crossed the close.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path

import pytest

from starlingthread.net.clients.capacity import ConnectionCapacity
from starlingthread.net.clients.idle import MIN_IDLE_MS
from starlingthread.net.clients.limits import SILENT_CONNECTION_MS

from .peers import Peer, RunningRouter, read_command, running_router, value_answer
from .test_descriptors_past_capacity import SOCKETS, listener_of

NOOP = b"mn\r\n"
# Connection slots left free, so that the listener is not at capacity.
FREE_SLOTS = 2


async def connect_new_clients(harness: RunningRouter, active_clients: list[Peer]) -> list[Peer]:
    """Connect silent clients on all but a few of the remaining connection slots."""
    max_connections = listener_of(harness).capacity.max_connections
    return [await harness.client() for _ in range(max_connections - len(active_clients) - FREE_SLOTS)]


async def connect_answered_clients(harness: RunningRouter, count: int, answers: int) -> list[Peer]:
    """Return clients that each got a number of answers, and whose connections have just become evictable."""
    clients = [await harness.client() for _ in range(count)]
    for client in clients:
        for number in range(answers):
            await client.send(read_command(number))
            server = await harness.server.accept()
            await server.until(b"\r\n")
            await server.send(value_answer(number))
            await client.until(b"x\r\n")
            server.close()
    harness.router.clock._base += MIN_IDLE_MS
    return clients


def count_evicted(harness: RunningRouter, clients: list[Peer]) -> int:
    actors = [harness.find_actor(client) for client in clients]
    return sum(actor is None or actor.state.evicted for actor in actors)


def evict_above_threshold(capacity: ConnectionCapacity) -> None:
    capacity.evict_above_threshold(capacity._context.clock.now())


@pytest.mark.parametrize(
    ("answers", "command"),
    [(1, b""), (20, b""), (20, NOOP)],
    ids=["used once", "used again", "new clients that ping"],
)
@pytest.mark.parametrize(
    "evict", [evict_above_threshold, ConnectionCapacity.evict_in_advance, ConnectionCapacity.evict_one]
)
def test_new_connections_are_evicted_before_connections_in_use(
    tmp_path: Path, evict: Callable[[ConnectionCapacity], None], answers: int, command: bytes
) -> None:
    async def scenario() -> None:
        async with running_router(tmp_path, limits__sockets=SOCKETS) as harness:
            capacity = listener_of(harness).capacity
            active_clients = await connect_answered_clients(harness, 4, answers)
            new_clients = await connect_new_clients(harness, active_clients)
            for client in new_clients if command else []:
                await client.send(command)
                await client.until(b"MN\r\n")
            evict(capacity)
            assert count_evicted(harness, active_clients + new_clients) == 0
            harness.router.clock._base += max(SILENT_CONNECTION_MS, MIN_IDLE_MS)
            evict(capacity)
            assert count_evicted(harness, active_clients) == 0 and count_evicted(harness, new_clients) > 0

    asyncio.run(scenario())
