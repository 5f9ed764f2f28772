"""Baseline policies behind the decision module's interface: each replaces the choice of a server and nothing else.

Rules, limits, retries and rejections are those of the module, so that a difference is one of the choice alone.
"""

from __future__ import annotations

import math
import mmap
import os
from pathlib import Path

from ..balance.rendezvous import mix
from ..emulator.load_oracle import LOAD_CELL, ORACLE_FILE_VARIABLE, server_name
from ..net.discovery import ServerIds
from ..policy import Balancer
from ..policy.affinity import Affinity
from ..policy.attempt_gate import AttemptGate
from ..policy.load_estimate import LoadEstimate
from ..policy.server_choice import ServerChoice
from ..state.fleet import Fleet
from ..state.records import KeyState, RequestState, Server

LOAD_BOUND = 1.25  # a server's load relative to the mean (Mirrokni, Thorup, Zadimoghaddam 2018)


class BaselineChoice(ServerChoice):
    """A choice among the servers that may be used now."""

    def choose(self, now: float, state: RequestState, key_state: KeyState | None) -> Server | None:
        """Return the server that the policy picks, None if none may be used now."""
        usable = [server for server in self.fleet.ready if self._may_use(now, state, server)]
        state.hit_probability = 1.0
        state.owner_group = None
        return self.pick(state, usable) if usable else None

    def _may_use(self, now: float, state: RequestState, server: Server) -> bool:
        if server.outliers.ejected_until > now or server.endpoint.server in state.failed_servers:
            return False
        return server.warming_since <= 0 or self.gate.allows_slow_start(now, server, state)

    def pick(self, state: RequestState, servers: list[Server]) -> Server:
        """Return one of the servers, of which there is at least one."""
        raise NotImplementedError

    def ranked(self, state: RequestState, servers: list[Server]) -> list[Server]:
        """Return the servers in the order of the key's rendezvous hash."""
        key = state.request.key or state.request.id
        return sorted(servers, key=lambda server: mix(key ^ server.salt), reverse=True)


class RandomChoice(BaselineChoice):
    """A server drawn at random."""

    def pick(self, state: RequestState, servers: list[Server]) -> Server:
        """Return one of the servers, each with the same probability."""
        return self.fleet.rng.choice(servers)


class RoundRobin(BaselineChoice):
    """One server after another, from a start that is this router's own."""

    def __init__(self, affinity: Affinity, gate: AttemptGate) -> None:
        super().__init__(affinity, gate)
        self._turn = self.fleet.rng.randrange(1 << 16)

    def pick(self, state: RequestState, servers: list[Server]) -> Server:
        """Return the next server."""
        self._turn += 1
        return servers[self._turn % len(servers)]


class RendezvousHash(BaselineChoice):
    """The key's first owner."""

    def pick(self, state: RequestState, servers: list[Server]) -> Server:
        """Return the first server in the order of the key's hash."""
        return self.ranked(state, servers)[0]


class BoundedLoadHash(BaselineChoice):
    """The first owner whose attempts in flight from this router are below a bound."""

    def pick(self, state: RequestState, servers: list[Server]) -> Server:
        """Return the first server below the bound, which one server at least always is."""
        in_flight = sum(server.attempts_in_flight for server in servers)
        bound = math.ceil(LOAD_BOUND * (in_flight + 1) / len(servers))
        return next(server for server in self.ranked(state, servers) if server.attempts_in_flight < bound)


class TwoRandomChoices(BaselineChoice):
    """Of two servers drawn at random, the one with fewer attempts in flight from this router."""

    def pick(self, state: RequestState, servers: list[Server]) -> Server:
        """Return the less loaded of two servers."""
        draw = self.fleet.rng.choice
        return min(draw(servers), draw(servers), key=lambda server: server.attempts_in_flight)


class TwoRandomReports(BaselineChoice):
    """Of two servers drawn at random, the one whose last load report shows less load."""

    def pick(self, state: RequestState, servers: list[Server]) -> Server:
        """Return the less loaded of two servers."""
        draw = self.fleet.rng.choice
        return min(draw(servers), draw(servers), key=lambda server: server.load.reported_queue)


class LeastReported(BaselineChoice):
    """The server whose last load report shows the least load.

    With stale reports all routers go to the same one (Mitzenmacher 2000).
    """

    def pick(self, state: RequestState, servers: list[Server]) -> Server:
        """Return the server of the least load, by its number where loads are equal."""
        return min(servers, key=lambda server: (server.load.reported_queue, server.endpoint.server))


class OracleLoadEstimate(LoadEstimate):
    """The module's estimate with the servers' true load, published by the emulator, in place of reports and waits."""

    def __init__(self, fleet: Fleet) -> None:
        super().__init__(fleet)
        path = Path(os.environ[ORACLE_FILE_VARIABLE])
        with path.open("rb") as file:
            self._cells = mmap.mmap(file.fileno(), 0, access=mmap.ACCESS_READ)
        ids = ServerIds()
        self._cell_of = {ids.assign(server_name(n)): n for n in range(len(self._cells) // LOAD_CELL.size)}

    def _true_delay(self, server: Server) -> float:
        cell = self._cell_of.get(server.endpoint.server)
        if cell is None:
            return 0.0
        load: float = LOAD_CELL.unpack_from(self._cells, cell * LOAD_CELL.size)[0]
        return load * self.service_times.mean_time

    def queueing_delay(self, now: float, server: Server, expected_wait: float) -> float:
        """Return the delay (ms) by all requests at a server."""
        return self._true_delay(server)

    def expected_wait(self, now: float, server: Server) -> float:
        """Return the wait (ms) before a server begins with another request."""
        return max(0.0, self._true_delay(server) - self.service_times.mean_time)


def balancer_with(choice: type[ServerChoice] = ServerChoice, load: type[LoadEstimate] = LoadEstimate) -> type[Balancer]:
    """Return the decision module with another choice of a server, or another load estimate."""

    class BaselineBalancer(Balancer):
        """The decision module with the parts given."""

        server_choice_class = choice
        load_estimate_class = load

    return BaselineBalancer


POLICIES: dict[str, type[Balancer]] = {
    "random": balancer_with(RandomChoice),
    "round-robin": balancer_with(RoundRobin),
    "hash": balancer_with(RendezvousHash),
    "bounded-hash": balancer_with(BoundedLoadHash),
    "two-choices": balancer_with(TwoRandomChoices),
    "two-reported": balancer_with(TwoRandomReports),
    "least-reported": balancer_with(LeastReported),
    "truth": balancer_with(load=OracleLoadEstimate),
}
