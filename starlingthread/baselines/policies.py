"""Baseline policies behind the decision module's interface; each replaces only the choice of a server.

Rules, limits, retries and rejections are those of the decision module, so that differences in the results are due to
the choice of a server alone.
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

MAX_LOAD_RATIO = 1.25  # bound on a server's load relative to the mean (Mirrokni, Thorup, Zadimoghaddam 2018)


class BaselineChoice(ServerChoice):
    """Base class of the policies: a choice among the servers that may be used now."""

    def choose(self, now: float, state: RequestState, key_state: KeyState | None) -> Server | None:
        """Return the server that the policy picks, or None if no server may be used now."""
        usable = [server for server in self.fleet.ready if self._may_use(now, state, server)]
        state.hit_probability = 1.0
        state.owner_group = None
        return self.pick(state, usable) if usable else None

    def _may_use(self, now: float, state: RequestState, server: Server) -> bool:
        if server.outliers.ejected_until > now or server.endpoint.server in state.failed_servers:
            return False
        return server.warming_since <= 0 or self.gate.allows_slow_start(now, server, state)

    def pick(self, state: RequestState, servers: list[Server]) -> Server:
        """Return one of the servers; the list is not empty."""
        raise NotImplementedError

    def ranked(self, state: RequestState, servers: list[Server]) -> list[Server]:
        """Return the servers ordered by their rendezvous hash for the key, the highest first."""
        key = state.request.key or state.request.id
        return sorted(servers, key=lambda server: mix(key ^ server.salt), reverse=True)


class RandomChoice(BaselineChoice):
    """A server drawn uniformly at random."""

    def pick(self, state: RequestState, servers: list[Server]) -> Server:
        """Return one of the servers, each with the same probability."""
        return self.fleet.rng.choice(servers)


class RoundRobin(BaselineChoice):
    """Round robin over the servers, starting at a position drawn by each router."""

    def __init__(self, affinity: Affinity, gate: AttemptGate) -> None:
        super().__init__(affinity, gate)
        self._last_index = self.fleet.rng.randrange(1 << 16)

    def pick(self, state: RequestState, servers: list[Server]) -> Server:
        """Return the next server."""
        self._last_index += 1
        return servers[self._last_index % len(servers)]


class RendezvousHash(BaselineChoice):
    """The key's first owner by rendezvous hashing."""

    def pick(self, state: RequestState, servers: list[Server]) -> Server:
        """Return the first server in the order of the key's hash."""
        return self.ranked(state, servers)[0]


class BoundedLoadHash(BaselineChoice):
    """Rendezvous hashing with bounded loads: the first owner with attempts in flight from this router below a bound."""

    def pick(self, state: RequestState, servers: list[Server]) -> Server:
        """Return the first server below the bound; the bound ensures that there is at least one."""
        in_flight = sum(server.attempts_in_flight for server in servers)
        bound = math.ceil(MAX_LOAD_RATIO * (in_flight + 1) / len(servers))
        return next(server for server in self.ranked(state, servers) if server.attempts_in_flight < bound)


class TwoRandomChoices(BaselineChoice):
    """The one of two randomly drawn servers with fewer attempts in flight from this router."""

    def pick(self, state: RequestState, servers: list[Server]) -> Server:
        """Return the less loaded of two servers."""
        draw = self.fleet.rng.choice
        return min(draw(servers), draw(servers), key=lambda server: server.attempts_in_flight)


class TwoRandomChoicesByReport(BaselineChoice):
    """The one of two randomly drawn servers whose last load report shows less load."""

    def pick(self, state: RequestState, servers: list[Server]) -> Server:
        """Return the less loaded of two servers."""
        draw = self.fleet.rng.choice
        return min(draw(servers), draw(servers), key=lambda server: server.load.reported_queue)


class LeastReportedLoad(BaselineChoice):
    """The server whose last load report shows the least load.

    With stale reports all routers send to the same server (Mitzenmacher 2000).
    """

    def pick(self, state: RequestState, servers: list[Server]) -> Server:
        """Return the server with the least load; ties are broken by the server's number."""
        return min(servers, key=lambda server: (server.load.reported_queue, server.endpoint.server))


class OracleLoadEstimate(LoadEstimate):
    """The decision module's estimate, based on the true load published by the emulator instead of reports and waits."""

    def __init__(self, fleet: Fleet) -> None:
        super().__init__(fleet)
        path = Path(os.environ[ORACLE_FILE_VARIABLE])
        with path.open("rb") as file:
            self._cells = mmap.mmap(file.fileno(), 0, access=mmap.ACCESS_READ)
        ids = ServerIds()
        self._cell_by_server = {
            ids.assign(server_name(number)): number for number in range(len(self._cells) // LOAD_CELL.size)
        }

    def _true_delay(self, server: Server) -> float:
        cell = self._cell_by_server.get(server.endpoint.server)
        if cell is None:
            return 0.0
        load: float = LOAD_CELL.unpack_from(self._cells, cell * LOAD_CELL.size)[0]
        return load * self.service_times.mean_time

    def queueing_delay(self, now: float, server: Server, expected_wait: float) -> float:
        """Return the delay (ms) caused by all requests at a server."""
        return self._true_delay(server)

    def expected_wait(self, now: float, server: Server) -> float:
        """Return the wait (ms) before a server starts another request."""
        return max(0.0, self._true_delay(server) - self.service_times.mean_time)


def balancer_class(
    choice: type[ServerChoice] = ServerChoice, load: type[LoadEstimate] = LoadEstimate
) -> type[Balancer]:
    """Return a decision module class with the given choice of a server and the given load estimate."""

    class BaselineBalancer(Balancer):
        """The decision module with the given choice of a server and load estimate."""

        server_choice_class = choice
        load_estimate_class = load

    return BaselineBalancer


POLICIES: dict[str, type[Balancer]] = {
    "random": balancer_class(RandomChoice),
    "round-robin": balancer_class(RoundRobin),
    "hash": balancer_class(RendezvousHash),
    "bounded-hash": balancer_class(BoundedLoadHash),
    "two-choices": balancer_class(TwoRandomChoices),
    "two-reported": balancer_class(TwoRandomChoicesByReport),
    "least-reported": balancer_class(LeastReportedLoad),
    "truth": balancer_class(load=OracleLoadEstimate),
}
