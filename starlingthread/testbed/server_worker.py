"""The worker process that runs some of the emulated servers."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import msgspec
import numpy as np

from ..emulator.cache_server import CacheServer
from ..emulator.load_oracle import WRITE_PERIOD_S, LoadOracleWriter
from ..emulator.messages import CoordinatorMessage, KeyWritten, OriginAnswer, OriginFetch, OriginWrite, OverloadCrash
from ..emulator.origin_model import VersionCallback
from ..emulator.port_allocation import PortStripe
from ..emulator.rpc_channel import RpcChannel
from ..emulator.server_links import ServerLink
from ..emulator.server_model import ServerModel
from ..experiment.randomness import UniformDraws, random_streams, server_speeds
from ..experiment.records import ServerSample
from ..experiment.scenario import Scenario, distance_ms, link_groups
from ..load.traffic import key_name, keys_by_popularity
from .worker_base import Worker

# The offset keeps the seeds of the cache servers distinct from the seeds of other parts of the run.
_SEED_OFFSET = 7_000_003
_SAMPLE_PERIOD_S = 1.0

_SERVER_METHODS: dict[str, Callable[[CacheServer], Awaitable[None] | None]] = {
    "crash": CacheServer.crash,
    "restart": CacheServer.restart,
    "drain": CacheServer.drain,
    "freeze": CacheServer.freeze,
    "resume": CacheServer.resume,
    "become_unreachable": CacheServer.become_unreachable,
    "become_reachable": CacheServer.become_reachable,
}
_MODEL_ATTRIBUTES = frozenset({"slowdown", "tail_factor", "tail_share", "extra_report_delay_ms"})
_SERVER_ATTRIBUTES = frozenset({"read_bytes_per_s"})
_ANSWER_FAULT_ATTRIBUTES = frozenset({"reset_rate", "truncation_rate", "corruption_rate"})


class RemoteOrigin:
    """A proxy for the origin, which the coordinator process emulates."""

    def __init__(self, channel: RpcChannel) -> None:
        self._channel = channel
        self._in_flight: dict[int, VersionCallback] = {}
        self._last_request_number = 0

    def fetch(self, key: str, on_version: VersionCallback) -> None:
        """Read a key; the callback receives its version."""
        self._channel.send_message(OriginFetch(self._register(on_version), key))

    def write(self, key: str, idempotency_key: str, on_version: VersionCallback) -> None:
        """Write a key; the callback receives its new version."""
        self._channel.send_message(OriginWrite(self._register(on_version), key, idempotency_key))

    def _register(self, on_version: VersionCallback) -> int:
        self._last_request_number += 1
        self._in_flight[self._last_request_number] = on_version
        return self._last_request_number

    def on_answer(self, answer: OriginAnswer) -> None:
        """Pass an answer to the callback of its request."""
        self._in_flight.pop(answer.number)(answer.version)


class ServerWorker(Worker):
    """Runs one process's share of the servers."""

    role = "servers"

    def __init__(self, number: int) -> None:
        super().__init__(number)
        self.origin: RemoteOrigin
        self.servers: dict[int, CacheServer] = {}
        self.methods |= {
            "setup": self.set_up,
            "server": self.call_server,
            "set": self.set_server_attribute,
            "link": self.set_link_conditions,
        }

    async def set_up(self, scenario: dict[str, Any], oracle_file: str) -> dict[int, list[int]]:
        """Start the servers of this process; return the ports of each server, one for each group of routers.

        The servers' true load is written to ``oracle_file``, unless this path is empty.
        """
        self.scenario = msgspec.convert(scenario, Scenario)
        self.origin = RemoteOrigin(self.channel)
        fleet = self.scenario.fleet
        rngs = random_streams(self.scenario.seed + _SEED_OFFSET, fleet.servers * 2)
        speeds = server_speeds(self.scenario)
        for number in range(self.number, fleet.servers, self.scenario.machine.server_processes):
            model = ServerModel(number, fleet, speeds[number], self.schedule, self.origin, rngs[2 * number])
            server = self._make_server(model, rngs[2 * number + 1])
            self.servers[number] = server
            await server.start()
        if fleet.warm_keys:
            self._warm_caches()
        self._start_cold_servers()
        self._sample_servers()
        if oracle_file:
            self._write_true_loads(LoadOracleWriter(Path(oracle_file)))
        return {number: [link.port for link in server.links] for number, server in self.servers.items()}

    def _make_server(self, model: ServerModel, rng: np.random.Generator) -> CacheServer:
        link_draws = UniformDraws(rng)
        # Stripe 0 is the coordinator's.
        stripe = PortStripe(1 + self.number, 1 + self.scenario.machine.server_processes)
        links = [
            ServerLink(group, link_draws, distance_ms(self.scenario, model.number, group), stripe)
            for group in range(link_groups(self.scenario))
        ]
        server = CacheServer(model, self.scenario.traffic.value_bytes, self.schedule, self.ledger, rng, links)

        def on_overload_crash(request_ids: tuple[str, ...]) -> None:
            server.crash_by_overload(request_ids)
            self.channel.send_message(OverloadCrash(server.number))

        model.on_overload_crash = on_overload_crash
        return server

    def _warm_caches(self) -> None:
        """Fill the caches with the most popular keys, as in a fleet that has been in service for a day."""
        capacity_keys = self.scenario.fleet.cache_capacity_keys
        servers = list(self.servers.values())
        popular_keys = keys_by_popularity(self.scenario)
        if self.scenario.traffic.direct:  # without routers, any server may receive requests for any key
            for key in popular_keys[:capacity_keys]:
                for server in servers:
                    server.model.store(key_name(key), 0)
            return
        for rank, key in enumerate(popular_keys[: capacity_keys * len(servers) // 2]):
            servers[rank % len(servers)].model.store(key_name(key), 0)

    def _start_cold_servers(self) -> None:
        for number in range(self.scenario.fleet.cold_servers):
            if number in self.servers:
                self.servers[number].model.boot(is_warm=False)
                self.servers[number].record_event("cold")

    def _sample_servers(self) -> None:
        for server in self.servers.values():
            model = server.model
            utilization = round(model.utilization(), 4)
            self.ledger.server_samples.append(
                ServerSample(
                    server.number,
                    self.schedule.now(),
                    utilization,
                    model.commands_since_sample,
                    len(server.connections),
                )
            )
            model.commands_since_sample = 0
        self.loop.call_later(_SAMPLE_PERIOD_S, self._sample_servers)

    def _write_true_loads(self, oracle: LoadOracleWriter) -> None:
        for server in self.servers.values():
            oracle.write(server.number, server.model.true_load())
        self.loop.call_later(WRITE_PERIOD_S, self._write_true_loads, oracle)

    def on_event(self, event: CoordinatorMessage) -> None:
        """Handle an answer from the origin, or a write that makes cached values stale."""
        if isinstance(event, OriginAnswer):
            self.origin.on_answer(event)
        elif isinstance(event, KeyWritten):
            for server in self.servers.values():
                server.model.invalidate(event.key)

    # methods that the coordinator calls

    async def call_server(self, number: int, method: str, arguments: list[Any]) -> None:
        """Call a method of a server by name; no method in the table takes arguments."""
        result = _SERVER_METHODS[method](self.servers[number], *arguments)
        if asyncio.iscoroutine(result):
            await result

    async def set_link_conditions(self, number: int, groups: list[int], conditions: dict[str, float]) -> None:
        """Change a server's links to the given groups of routers."""
        await self.servers[number].set_link_conditions(groups, conditions)

    async def set_server_attribute(self, number: int, name: str, value: float) -> None:
        """Set an attribute of a server that faults may change. Raise a ValueError for any other name."""
        server = self.servers[number]
        if name in _MODEL_ATTRIBUTES:
            setattr(server.model, name, value)
        elif name in _SERVER_ATTRIBUTES:
            setattr(server, name, value)
        elif name in _ANSWER_FAULT_ATTRIBUTES:
            setattr(server.answer_faults, name, value)
        else:
            raise ValueError(f"server {number}: {name!r} is not an attribute that faults may set")
