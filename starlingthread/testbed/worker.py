"""A process of a run that plays some of the servers or some of the clients, as the coordinator says.

Run as ``python -m starlingthread.testbed.worker PORT ROLE NUMBER``; it ends with its connection.
"""

from __future__ import annotations

import asyncio
import gc
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import uvloop

from ..emulator.cache_server import CacheServer
from ..emulator.load_oracle import WRITE_PERIOD_S, LoadOracleWriter, server_name
from ..emulator.rpc_channel import RpcChannel
from ..emulator.schedule import EventLoopSchedule
from ..emulator.server_links import ServerLink
from ..emulator.server_model import ServerModel
from ..experiment.randomness import Chances, server_speeds, streams
from ..experiment.records import Ledger, ServerSample
from ..experiment.scenario import Scenario, distance_ms, link_groups
from ..load.client import Load
from ..load.traffic import draw, hottest_first, key_name

LAG_TICK = 0.005  # s
SAMPLE_EVERY = 1.0  # s


class RemoteOrigin:
    """The origin, which lives with the coordinator."""

    def __init__(self, channel: RpcChannel) -> None:
        self.channel = channel
        self._out: dict[int, Callable[[int | None], None]] = {}
        self._last = 0

    def fetch(self, key: str, then: Callable[[int | None], None]) -> None:
        """Read a key."""
        self._last += 1
        self._out[self._last] = then
        self.channel.send("f", self._last, key)

    def write(self, key: str, repeat_key: str, then: Callable[[int | None], None]) -> None:
        """Write a key."""
        self._last += 1
        self._out[self._last] = then
        self.channel.send("w", self._last, key, repeat_key)

    def answered(self, number: int, version: int | None) -> None:
        """Take an answer."""
        self._out.pop(number)(version)


class Worker:
    """What all workers have: a channel, a ledger, and a watch on their own stalls."""

    def __init__(self, number: int) -> None:
        self.number, self.ledger = number, Ledger()
        self.loop = asyncio.get_running_loop()
        self.schedule = EventLoopSchedule(self.loop)
        self.channel: RpcChannel
        self.ended = asyncio.Event()
        self.longest_lag = 0.0
        self.scenario: Scenario
        self._looked_at = self.loop.time()

    def watch_lag(self) -> None:
        """Keep the longest time by which this process was late."""
        now = self.loop.time()
        self.longest_lag = max(self.longest_lag, (now - self._looked_at - LAG_TICK) * 1000.0)
        self._looked_at = now
        self.loop.call_later(LAG_TICK, self.watch_lag)

    def message(self, channel: RpcChannel, message: list[Any]) -> None:
        """Take a message of the coordinator."""
        if message[0] == "c":
            self.loop.create_task(self._called(message[1], message[2], message[3]))
        else:
            self.received(message)

    def received(self, message: list[Any]) -> None:
        """Take a message that is no call."""

    async def _called(self, number: int, method: str, arguments: list[Any]) -> None:
        try:
            result = await getattr(self, f"do_{method}")(*arguments)
            self.channel.reply(number, True, result)
        except Exception as error:  # the coordinator is told in words and ends the run
            self.channel.reply(number, False, f"{method}: {error!r}")

    async def do_reset_lag(self) -> None:
        """Start to watch anew, when all is set up."""
        gc.collect()
        gc.freeze()
        self._looked_at, self.longest_lag = self.loop.time(), 0.0

    async def do_collect(self) -> bytes:
        """Return what was written down."""
        self.ledger.lags[f"{type(self).__name__.lower()}-{self.number}"] = round(self.longest_lag, 2)
        return msgspec.msgpack.encode(self.ledger)


class Servers(Worker):
    """Some of the servers."""

    async def do_setup(self, scenario: dict[str, Any], truth: str) -> dict[int, list[int]]:
        """Make and start the servers of this process; return the ports of each, one for each group of routers."""
        self.scenario = msgspec.convert(scenario, Scenario)
        fleet = self.scenario.fleet
        self.origin = RemoteOrigin(self.channel)
        self.servers: dict[int, CacheServer] = {}
        rngs = streams(self.scenario.seed + 7_000_003, fleet.servers * 2)
        speeds = server_speeds(self.scenario)
        for number in range(self.number, fleet.servers, self.scenario.machine.server_processes):
            model = ServerModel(number, fleet, speeds[number], self.schedule, self.origin, rngs[2 * number])
            chances = Chances(rngs[2 * number + 1])
            processes = self.scenario.machine.server_processes
            doors = [
                ServerLink(group, chances, distance_ms(self.scenario, number, group), (1 + self.number, 1 + processes))
                for group in range(link_groups(self.scenario))
            ]
            server = CacheServer(
                model,
                server_name(number),
                fleet.zones[number % len(fleet.zones)],
                self.scenario.traffic.value_bytes,
                self.schedule,
                self.ledger,
                rngs[2 * number + 1],
                doors,
            )
            model.on_overload_crash = lambda pushed, server=server: self._fell(server, pushed)  # type: ignore[misc]
            self.servers[number] = server
            await server.start()
        if fleet.warm_keys:
            self._warm()
        for number in range(fleet.cold_servers):
            if number in self.servers:
                self.servers[number].model.boot(cold=True)
                self.servers[number].record_event("cold")
        self._sample()
        if truth:
            self._tell(LoadOracleWriter(Path(truth)))
        return {number: [door.port for door in server.links] for number, server in self.servers.items()}

    def _warm(self) -> None:
        """Fill each server with a spread of the hottest keys, as after a day's work."""
        fleet, warm = self.scenario.fleet, list(self.servers.values())
        if self.scenario.traffic.direct:
            for key in hottest_first(self.scenario)[: fleet.memory_keys]:
                for server in warm:
                    server.model.store(key_name(key), 0)
            return
        for rank, key in enumerate(hottest_first(self.scenario)[: fleet.memory_keys * len(warm) // 2]):
            warm[rank % len(warm)].model.store(key_name(key), 0)

    def _fell(self, server: CacheServer, pushed: tuple[str, ...]) -> None:
        server.crash_by_overload(pushed)
        self.channel.send("fell", server.number)

    def _sample(self) -> None:
        for server in self.servers.values():
            model = server.model
            self.ledger.server_samples.append(
                ServerSample(
                    server.number,
                    self.schedule.now(),
                    round(model.utilization(), 4),
                    model.commands,
                    len(server.connections),
                )
            )
            model.commands = 0
        self.loop.call_later(SAMPLE_EVERY, self._sample)

    def _tell(self, truth: LoadOracleWriter) -> None:
        for server in self.servers.values():
            truth.write(server.number, server.model.true_load())
        self.loop.call_later(WRITE_PERIOD_S, self._tell, truth)

    def received(self, message: list[Any]) -> None:
        """Take an answer of the origin, or the news that a write has voided copies."""
        if message[0] == "o":
            self.origin.answered(message[1], message[2])
        elif message[0] == "i":
            for server in self.servers.values():
                server.model.invalidate(message[1])

    async def do_server(self, number: int, method: str, arguments: list[Any]) -> None:
        """Call a method of a server."""
        result = getattr(self.servers[number], method)(*arguments)
        if asyncio.iscoroutine(result):
            await result

    async def do_link(self, number: int, groups: list[int], figures: dict[str, float]) -> None:
        """Change a server's links to some groups of routers."""
        await self.servers[number].set_link_conditions(groups, figures)

    async def do_set(self, number: int, name: str, value: float) -> None:
        """Set what is wrong with a server, or with its model."""
        server = self.servers[number]
        setattr(server if hasattr(server, name) else server.model, name, value)


class Clients(Worker):
    """Some of the clients."""

    async def do_setup(self, scenario: dict[str, Any], routers: list[tuple[str, int]]) -> None:
        """Draw the arrivals and open the connections."""
        self.scenario = msgspec.convert(scenario, Scenario)
        rng = streams(self.scenario.seed + 9_000_003, self.scenario.machine.load_processes)[self.number]
        self.load = Load(
            self.scenario, self.number, draw(self.scenario), [(h, p) for h, p in routers], rng, self.ledger
        )
        await self.load.connect_ahead()

    async def do_begin(self, started_at: float) -> None:
        """Send from this time on."""
        self.load.begin(started_at)

    async def do_finish(self) -> None:
        """Wait until every operation has ended."""
        await self.load.done.wait()

    async def do_front(self, router: int, alive: bool) -> None:
        """The front has noticed that a router is dead, or back."""
        self.load.alive[router] = alive

    async def do_leave(self, share: float) -> None:
        """Set the share of requests whose client leaves."""
        self.load.leave = share

    async def do_bad_clients(self, per_second: float, seconds: float, half: bool) -> None:
        """Send bad clients for a while."""
        self.load.bad_clients(per_second, seconds, half)

    async def do_progress(self) -> tuple[int, int]:
        """Return how many operations are begun, and how many there are."""
        return self.load._next, len(self.load.at)

    async def do_collect(self) -> bytes:
        """Return what was written down."""
        self.ledger.bad_client_outcomes = dict(self.load.garbage)
        if self.load.out_of_connections:
            self.ledger.bad_client_outcomes["out-of-connections"] = self.load.out_of_connections
        self.load.stop()
        return await super().do_collect()


async def work(port: int, role: str, number: int) -> None:
    """Serve the coordinator until its connection ends."""
    worker: Worker = Servers(number) if role == "servers" else Clients(number)
    loop = asyncio.get_running_loop()
    _, worker.channel = await loop.create_connection(
        lambda: RpcChannel(worker.message, lambda _: worker.ended.set()), "127.0.0.1", port
    )
    worker.channel.name = "coordinator"
    worker.channel.send("hello", role, number)
    gc.set_threshold(50000, 50, 1000)
    worker.watch_lag()
    await worker.ended.wait()


if __name__ == "__main__":
    uvloop.run(work(int(sys.argv[1]), sys.argv[2], int(sys.argv[3])))
