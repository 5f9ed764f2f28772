"""Tests of the links between servers and groups of routers, and of the port allocation of a run."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import NamedTuple

import numpy as np
import pytest

from starlingthread.emulator.cache_server import CacheServer
from starlingthread.emulator.origin_model import OriginModel
from starlingthread.emulator.port_allocation import PortStripe, free_port
from starlingthread.emulator.schedule import EventLoopScheduler
from starlingthread.emulator.server_links import RETRANSMIT_TIMEOUT_MS, LinkDirection, ServerLink
from starlingthread.emulator.server_model import ServerModel
from starlingthread.experiment import scenario
from starlingthread.experiment.randomness import UniformDraws
from starlingthread.experiment.records import Ledger


class ManualScheduler:
    """A Scheduler whose time the test advances."""

    def __init__(self) -> None:
        self.time = 0.0
        self.calls: list[tuple[float, Callable[[], None]]] = []

    def now(self) -> float:
        return self.time

    def after(self, delay_ms: float, callback: Callable[[], None]) -> None:
        self.calls.append((self.time + delay_ms, callback))

    def advance(self, until: float) -> None:
        while due := [call for call in self.calls if call[0] <= until]:
            first = min(due, key=lambda call: call[0])
            self.calls.remove(first)
            self.time = max(self.time, first[0])
            first[1]()
        self.time = until


class DirectionFixture(NamedTuple):
    """One direction of a link, and the data that it has delivered."""

    clock: ManualScheduler
    link: ServerLink
    direction: LinkDirection
    delivered: list[bytes]


def make_direction(is_outbound: bool = False, **conditions: float) -> DirectionFixture:
    clock = ManualScheduler()
    delivered: list[bytes] = []
    link = ServerLink(0, UniformDraws(np.random.default_rng(1)))
    for name, value in conditions.items():
        setattr(link, name, value)
    return DirectionFixture(clock, link, LinkDirection(link, is_outbound, clock, delivered.append), delivered)


def test_a_plain_link_adds_no_delay_and_a_slow_or_lossy_one_keeps_the_order() -> None:
    _, _, plain, delivered = make_direction()
    plain.push(b"1")
    assert delivered == [b"1"]
    clock, link, slow, delivered = make_direction(delay_ms=30.0)
    slow.push(b"1")
    link.loss_rate = 1.0
    clock.advance(10.0)
    slow.push(b"2")
    link.loss_rate = link.delay_ms = 0.0
    slow.push(b"3")  # without ordering this chunk would arrive before the second
    clock.advance(29.0)
    assert delivered == []
    clock.advance(31.0)
    assert delivered == [b"1"]
    clock.advance(10.0 + 30.0 + RETRANSMIT_TIMEOUT_MS + 1.0)
    assert delivered == [b"1", b"2", b"3"]


def test_data_in_a_blocked_direction_arrives_when_it_is_unblocked_and_the_other_direction_works() -> None:
    clock, link, inbound, delivered = make_direction(inbound_blocked=True)
    answers: list[bytes] = []
    outbound = LinkDirection(link, True, clock, answers.append)
    inbound.push(b"1")
    outbound.push(b"a")
    clock.advance(5000.0)
    assert delivered == [] and answers == [b"a"]
    link.inbound_blocked = False
    inbound.resume()
    assert delivered == [b"1"]


def test_a_blocked_link_affects_its_group_alone_and_accepts_no_connections() -> None:
    async def script() -> None:
        scheduler, rng = EventLoopScheduler(asyncio.get_running_loop()), np.random.default_rng(1)
        fleet = scenario.Fleet(hit_ms=1.0, handshake_ms=0.0, work_cv=0.0)
        origin = OriginModel(scenario.Origin(fetch_ms=1.0, cv=0.0), scheduler, rng)
        links = [ServerLink(group, UniformDraws(rng)) for group in range(2)]
        model = ServerModel(0, fleet, 1.0, scheduler, origin, rng)
        server = CacheServer(model, 50, scheduler, Ledger(), rng, links)
        await server.start()
        streams = [await asyncio.open_connection("127.0.0.1", link.port) for link in links]

        async def is_answered(group: int, request_id: int) -> bool:
            reader, writer = streams[group]
            writer.write(f"mg k v O{request_id} Pc=read,d=480\r\n".encode())
            try:
                async with asyncio.timeout(0.1):
                    return (await reader.readline()).startswith(b"VA ") and bool(await reader.readline())
            except TimeoutError:
                return False

        assert await is_answered(0, 1) and await is_answered(1, 2)
        await server.set_link_conditions([1], {"inbound_blocked": False, "outbound_blocked": True})
        assert await is_answered(0, 3) and not await is_answered(1, 4)
        assert len(server.ledger.deliveries) == 4  # the request arrived, only the answer was blocked
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(asyncio.open_connection("127.0.0.1", links[1].port), 0.1)
        await server.set_link_conditions([1], {"inbound_blocked": False, "outbound_blocked": False})
        assert (await asyncio.wait_for(streams[1][0].readline(), 1.0)).startswith(b"VA 50 O4 ")
        await streams[1][0].readline()
        await server.set_link_conditions([], {"truncation_rate": 1.0})
        streams[1][1].write(b"mg k v O5 Pc=read,d=480\r\n")
        truncated = await asyncio.wait_for(streams[1][0].read(), 1.0)
        assert 0 < len(truncated) < 60
        server.crash()

    asyncio.run(script())


def test_the_processes_of_a_run_never_allocate_the_same_port() -> None:
    allocated = [{free_port(socket.SOCK_STREAM, PortStripe(process, 3)) for _ in range(100)} for process in range(3)]
    assert not allocated[0] & allocated[1] and not allocated[1] & allocated[2] and not allocated[0] & allocated[2]
