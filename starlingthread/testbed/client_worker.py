"""The worker process that runs some of the clients."""

from __future__ import annotations

from typing import Any

import msgspec

from ..experiment.randomness import random_streams
from ..experiment.scenario import Scenario
from ..load.generator import LoadGenerator
from ..load.traffic import draw_arrivals
from .worker_base import Worker

# The offset keeps the seeds of the clients distinct from the seeds of other parts of the run.
_SEED_OFFSET = 9_000_003


class ClientWorker(Worker):
    """Runs one process's share of the clients."""

    role = "clients"

    def __init__(self, number: int) -> None:
        super().__init__(number)
        self.load_generator: LoadGenerator
        self.methods |= {
            "setup": self.set_up,
            "begin": self.begin,
            "finish": self.finish,
            "front": self.set_router_alive,
            "leave": self.set_disconnect_share,
            "bad_clients": self.start_bad_clients,
            "idle_clients": self.start_idle_clients,
            "greedy_clients": self.start_greedy_clients,
        }

    async def set_up(self, scenario: dict[str, Any], routers: list[tuple[str, int]]) -> None:
        """Draw the arrivals and open the connections."""
        self.scenario = msgspec.convert(scenario, Scenario)
        rng = random_streams(self.scenario.seed + _SEED_OFFSET, self.scenario.machine.load_processes)[self.number]
        addresses = [(host, port) for host, port in routers]
        arrivals = draw_arrivals(self.scenario)
        self.load_generator = LoadGenerator(self.scenario, self.number, arrivals, addresses, rng, self.ledger)
        await self.load_generator.open_initial_connections()

    async def begin(self, started_at: float) -> None:
        """Send requests from a time of the monotonic clock (ms) on."""
        self.load_generator.begin(started_at)

    async def finish(self) -> None:
        """Wait until every operation has ended."""
        await self.load_generator.done.wait()

    async def set_router_alive(self, router: int, is_alive: bool) -> None:
        """Notify the load balancer in front of the routers that a router has stopped or resumed responding."""
        self.load_generator.frontend.set_alive(router, is_alive)

    async def set_disconnect_share(self, share: float) -> None:
        """Set the share of requests whose client disconnects before the answer."""
        self.load_generator.runner.disconnect_share = share

    async def start_bad_clients(self, connections_per_s: float, duration_s: float, is_partial: bool) -> None:
        """Start clients that send invalid input, or incomplete commands, for a duration."""
        self.load_generator.bad_clients.start(connections_per_s, duration_s, is_partial)

    async def start_idle_clients(self, connections: int, duration_s: float) -> None:
        """Start this process's share of idle clients, which together hold a number of connections to each router."""
        processes = self.scenario.machine.load_processes
        self.load_generator.idle_clients.start(-(-connections // processes), duration_s)

    async def start_greedy_clients(self, connections_per_s: float, duration_s: float) -> None:
        """Start this process's share of greedy clients, which together open connections at a rate."""
        processes = self.scenario.machine.load_processes
        self.load_generator.greedy_clients.start(connections_per_s / processes, duration_s)

    async def collect(self) -> bytes:
        """Stop the clients and return the encoded ledger."""
        outcomes = self.load_generator.bad_clients.outcomes + self.load_generator.greedy_clients.outcomes
        self.ledger.bad_client_outcomes = dict(outcomes)
        if self.load_generator.runner.out_of_connections_count:
            self.ledger.bad_client_outcomes["out-of-connections"] = self.load_generator.runner.out_of_connections_count
        self.load_generator.stop()
        return await super().collect()
