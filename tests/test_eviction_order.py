"""Which connections are evicted while a crowd of idle clients comes up.

What happened: requests crossed the close of their connections and were lost (soak seed 4117). Why: the crowd's
connections had to stay for their first 100 ms, so those that clients used went in their place. What showed it: a trace
of each eviction; those whose close was crossed had carried about 20 requests.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path

import pytest

from starlingthread.net.clients.capacity import ConnectionCapacity
from starlingthread.net.clients.idle import MIN_IDLE_MS
from starlingthread.net.clients.limits import SILENT_CONNECTION_MS

from .peers import Peer, RouterHarness, read_command, running_router, value_answer
from .test_descriptors_past_capacity import SOCKETS, clients_of

PING = b"mn\r\n"
FREE_PLACES = 2  # beside the crowd, so that nobody has failed to connect


async def crowd_beside(harness: RouterHarness, users: list[Peer]) -> list[Peer]:
    """Return silent clients that take nearly all connection slots that the users leave."""
    max_connections = clients_of(harness).capacity.max_connections
    return [await harness.client() for _ in range(max_connections - len(users) - FREE_PLACES)]


async def clients_with_answers(harness: RouterHarness, count: int, answers: int) -> list[Peer]:
    """Return clients that have got so many answers each, on connections that are idle for as long as they must stay."""
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


def evicted(harness: RouterHarness, clients: list[Peer]) -> int:
    actors = [harness.find_actor(client) for client in clients]
    return sum(actor is None or actor.state.evicted for actor in actors)


def evict_above_threshold(capacity: ConnectionCapacity) -> None:
    capacity.evict_above_threshold(capacity._context.clock.now())


@pytest.mark.parametrize(
    ("answers", "command"), [(1, b""), (20, b""), (20, PING)], ids=["used once", "used again", "a crowd that speaks"]
)
@pytest.mark.parametrize(
    "evict", [evict_above_threshold, ConnectionCapacity.evict_in_advance, ConnectionCapacity.evict_one]
)
def test_a_crowd_that_came_up_a_moment_ago_is_evicted_before_connections_in_use(
    tmp_path: Path, evict: Callable[[ConnectionCapacity], None], answers: int, command: bytes
) -> None:
    async def play() -> None:
        async with running_router(tmp_path, limits__sockets=SOCKETS) as harness:
            capacity = clients_of(harness).capacity
            users = await clients_with_answers(harness, 4, answers)
            crowd = await crowd_beside(harness, users)
            for client in crowd if command else []:
                await client.send(command)
                await client.until(b"MN\r\n")
            evict(capacity)
            assert evicted(harness, users + crowd) == 0
            harness.router.clock._base += max(SILENT_CONNECTION_MS, MIN_IDLE_MS)
            evict(capacity)
            assert evicted(harness, users) == 0 and evicted(harness, crowd) > 0

    asyncio.run(play())
