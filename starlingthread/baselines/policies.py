"""Reference policies behind the module's interface. Each replaces the choice of a server and nothing else.

Rules, limits, retries and refusals are those of the module, so that a difference is one of the choice alone.
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
from ..policy.attempts import Attempts
from ..policy.choice import Choice
from ..policy.load import LoadEstimate
from ..state.fleet import Fleet
from ..state.records import Key, RequestState, Server

BOUND = 1.25  # load of a server against the mean that bounded loads allow (Mirrokni, Thorup, Zadimoghaddam 2018)


class AnyServer(Choice):
    """A choice among the servers that may be asked now."""

    def choose(self, now: float, tracked: RequestState, entry: Key | None) -> Server | None:
        open_now = [
            s
            for s in self.fleet.ready
            if s.outliers.ejected_until <= now
            and s.endpoint.server not in tracked.failed_servers
            and (s.cold_since <= 0 or self.attempts.is_warm_enough(now, s, tracked))
        ]
        tracked.hit_probability, tracked.owner_group = 1.0, -1
        return self.pick(now, tracked, open_now) if open_now else None

    def pick(self, now: float, tracked: RequestState, servers: list[Server]) -> Server:
        """Choose one of them; there is one at least."""
        raise NotImplementedError

    def ranked(self, tracked: RequestState, servers: list[Server]) -> list[Server]:
        """Return them in the order of the key's rendezvous hash."""
        key = tracked.request.key or tracked.request.id
        return sorted(servers, key=lambda s: mix(key ^ s.salt), reverse=True)


class Chance(AnyServer):
    """Any."""

    def pick(self, now: float, tracked: RequestState, servers: list[Server]) -> Server:
        return self.fleet.rng.choice(servers)


class RoundRobin(AnyServer):
    """One after another, from a place of its own."""

    def __init__(self, affinity: Affinity, attempts: Attempts) -> None:
        super().__init__(affinity, attempts)
        self.turn = self.fleet.rng.randrange(1 << 16)

    def pick(self, now: float, tracked: RequestState, servers: list[Server]) -> Server:
        self.turn += 1
        return servers[self.turn % len(servers)]


class PlainHash(AnyServer):
    """The key's first owner."""

    def pick(self, now: float, tracked: RequestState, servers: list[Server]) -> Server:
        return self.ranked(tracked, servers)[0]


class BoundedHash(AnyServer):
    """The first owner that has no more of this router's requests out than its bound."""

    def pick(self, now: float, tracked: RequestState, servers: list[Server]) -> Server:
        most = math.ceil(
            BOUND * (sum(s.attempts_in_flight for s in servers) + 1) / len(servers)
        )  # so one has room at any time
        return next(s for s in self.ranked(tracked, servers) if s.attempts_in_flight < most)


class TwoChoices(AnyServer):
    """Of two drawn at random the one with less out from this router."""

    def pick(self, now: float, tracked: RequestState, servers: list[Server]) -> Server:
        return min(self.fleet.rng.choice(servers), self.fleet.rng.choice(servers), key=lambda s: s.attempts_in_flight)


class TwoReported(AnyServer):
    """Of two drawn at random the one whose last report tells less load."""

    def pick(self, now: float, tracked: RequestState, servers: list[Server]) -> Server:
        return min(self.fleet.rng.choice(servers), self.fleet.rng.choice(servers), key=lambda s: s.load.report)


class LeastReported(AnyServer):
    """The one whose last report tells least: with stale figures all routers go to the same one (Mitzenmacher 2000)."""

    def pick(self, now: float, tracked: RequestState, servers: list[Server]) -> Server:
        return min(servers, key=lambda s: (s.load.report, s.endpoint.server))


class OracleLoadEstimate(LoadEstimate):
    """The module's own estimate, with the servers' true load in the place of what it makes of reports and answers."""

    def __init__(self, fleet: Fleet) -> None:
        super().__init__(fleet)
        path = Path(os.environ[ORACLE_FILE_VARIABLE])
        with path.open("rb") as file:
            self.cells = mmap.mmap(file.fileno(), 0, access=mmap.ACCESS_READ)
        ids = ServerIds()
        self.cell_of = {ids.assign(server_name(n)): n for n in range(len(self.cells) // LOAD_CELL.size)}

    def _waiting(self, server: Server) -> float:
        at = self.cell_of.get(server.endpoint.server)
        load: float = LOAD_CELL.unpack_from(self.cells, at * LOAD_CELL.size)[0] if at is not None else 0.0
        return load * self.mean_work

    def load(self, now: float, server: Server, lag: float) -> float:
        return self._waiting(server)

    def lag(self, now: float, server: Server) -> float:
        return max(0.0, self._waiting(server) - self.mean_work)


def balancer_with(choice: type[Choice] = Choice, load: type[LoadEstimate] = LoadEstimate) -> type[Balancer]:
    """Return the module with another choice, or another load estimate."""

    class Other(Balancer):
        choice_part, load_part = choice, load

    return Other


POLICIES: dict[str, type[Balancer]] = {
    "random": balancer_with(Chance),
    "round-robin": balancer_with(RoundRobin),
    "hash": balancer_with(PlainHash),
    "bounded-hash": balancer_with(BoundedHash),
    "two-choices": balancer_with(TwoChoices),
    "two-reported": balancer_with(TwoReported),
    "least-reported": balancer_with(LeastReported),
    "truth": balancer_with(load=OracleLoadEstimate),
}
