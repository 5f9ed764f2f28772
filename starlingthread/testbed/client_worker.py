"""The worker process that plays some of the clients."""

from __future__ import annotations

from typing import Any

import msgspec

from ..experiment.randomness import random_streams
from ..experiment.scenario import Scenario
from ..load.generator import LoadGenerator
from ..load.traffic import draw
from .worker_base import Worker

_SEED_OFFSET = 9_000_003  # apart from the seeds of other parts of the run


class ClientWorker(Worker):
    """Some of the clients."""

    role = "clients"

    def __init__(self, number: int) -> None:
        super().__init__(number)
        self.load: LoadGenerator
        self.commands |= {
            "setup": self.set_up,
            "begin": self.begin,
            "finish": self.finish,
            "front": self.set_router_alive,
            "leave": self.set_leave_share,
            "bad_clients": self.start_bad_clients,
            "idle_clients": self.start_idle_clients,
        }

    async def set_up(self, scenario: dict[str, Any], routers: list[tuple[str, int]]) -> None:
        """Draw the arrivals and open the connections."""
        self.scenario = msgspec.convert(scenario, Scenario)
        rng = random_streams(self.scenario.seed + _SEED_OFFSET, self.scenario.machine.load_processes)[self.number]
        addresses = [(host, port) for host, port in routers]
        arrivals = draw(self.scenario)
        self.load = LoadGenerator(self.scenario, self.number, arrivals, addresses, rng, self.ledger)
        await self.load.connect_ahead()

    async def begin(self, started_at: float) -> None:
        """Send requests from a time (ms) on."""
        self.load.begin(started_at)

    async def finish(self) -> None:
        """Wait until every operation has ended."""
        await self.load.done.wait()

    async def set_router_alive(self, router: int, is_alive: bool) -> None:
        """Let the load balancer in front of the routers notice that one has stopped responding, or responds again."""
        self.load.front.set_alive(router, is_alive)

    async def set_leave_share(self, share: float) -> None:
        """Set the share of requests whose client leaves before the answer."""
        self.load.runner.leave_share = share

    async def start_bad_clients(self, per_second: float, seconds: float, half: bool) -> None:
        """Start clients that send garbage, or half commands, for a while."""
        self.load.bad_clients.start(per_second, seconds, half)

    async def start_idle_clients(self, connections: int, seconds: float) -> None:
        """Start this process's part of a crowd that holds so many connections to each router."""
        processes = self.scenario.machine.load_processes
        self.load.idle_clients.start(-(-connections // processes), seconds)

    async def collect(self) -> bytes:
        """Return the encoded ledger; the clients stop."""
        self.ledger.bad_client_outcomes = dict(self.load.bad_clients.outcomes)
        if self.load.runner.exhausted_count:
            self.ledger.bad_client_outcomes["out-of-connections"] = self.load.runner.exhausted_count
        self.load.stop()
        return await super().collect()
