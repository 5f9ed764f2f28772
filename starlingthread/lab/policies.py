"""Reference policies behind the module's interface. Each replaces the choice of a server and nothing else.

Rules, limits, retries and refusals are those of the module, so that a difference is one of the choice alone.
"""

from __future__ import annotations

import math
import mmap
import os
from pathlib import Path

from ..balance.rendezvous import mix
from ..emulator.truth import CELL, VARIABLE, server_name
from ..interface import Settings
from ..net.registry import Ids
from ..policy import Balancer, Key, Server, Tracked

BOUND = 1.25  # load of a server against the mean that bounded loads allow (Mirrokni, Thorup, Zadimoghaddam 2018)


class Other(Balancer):
    """A choice among the servers that may be asked now."""

    def _choose(self, now: float, tracked: Tracked, entry: Key | None) -> Server | None:
        open_now = [s for s in self.ready if s.outliers.ejected_until <= now and s.line.server not in tracked.bad
                    and (s.since <= 0 or self._warm_enough(now, s, tracked))]
        tracked.chance, tracked.role = 1.0, -1
        return self.pick(now, tracked, open_now) if open_now else None

    def pick(self, now: float, tracked: Tracked, servers: list[Server]) -> Server:
        """Choose one of them; there is one at least."""
        raise NotImplementedError

    def ranked(self, tracked: Tracked, servers: list[Server]) -> list[Server]:
        """Return them in the order of the key's rendezvous hash."""
        key = tracked.req.key or tracked.req.id
        return sorted(servers, key=lambda s: mix(key ^ s.salt), reverse=True)


class Chance(Other):
    """Any."""

    def pick(self, now: float, tracked: Tracked, servers: list[Server]) -> Server:
        return self.rng.choice(servers)


class RoundRobin(Other):
    """One after another, from a place of its own."""

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.turn = self.rng.randrange(1 << 16)

    def pick(self, now: float, tracked: Tracked, servers: list[Server]) -> Server:
        self.turn += 1
        return servers[self.turn % len(servers)]


class PlainHash(Other):
    """The key's first owner."""

    def pick(self, now: float, tracked: Tracked, servers: list[Server]) -> Server:
        return self.ranked(tracked, servers)[0]


class BoundedHash(Other):
    """The first owner that has no more of this router's requests out than its bound."""

    def pick(self, now: float, tracked: Tracked, servers: list[Server]) -> Server:
        most = math.ceil(BOUND * (sum(s.out for s in servers) + 1) / len(servers))  # so one has room at any time
        return next(s for s in self.ranked(tracked, servers) if s.out < most)


class TwoChoices(Other):
    """Of two drawn at random the one with less out from this router."""

    def pick(self, now: float, tracked: Tracked, servers: list[Server]) -> Server:
        return min(self.rng.choice(servers), self.rng.choice(servers), key=lambda s: s.out)


class TwoReported(Other):
    """Of two drawn at random the one whose last report tells less load."""

    def pick(self, now: float, tracked: Tracked, servers: list[Server]) -> Server:
        return min(self.rng.choice(servers), self.rng.choice(servers), key=lambda s: s.seen.report)


class LeastReported(Other):
    """The one whose last report tells least: with stale figures all routers go to the same one (Mitzenmacher 2000)."""

    def pick(self, now: float, tracked: Tracked, servers: list[Server]) -> Server:
        return min(servers, key=lambda s: (s.seen.report, s.line.server))


class Truth(Balancer):
    """The module itself, with the servers' true load in the place of what it makes of reports and answers."""

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__(settings, seed)
        path = Path(os.environ[VARIABLE])
        with path.open("rb") as file:
            self.cells = mmap.mmap(file.fileno(), 0, access=mmap.ACCESS_READ)
        ids = Ids()
        self.cell_of = {ids.of(server_name(n)): n for n in range(len(self.cells) // CELL.size)}

    def _waiting(self, server: Server) -> float:
        at = self.cell_of.get(server.line.server)
        load: float = CELL.unpack_from(self.cells, at * CELL.size)[0] if at is not None else 0.0
        return load * self.mean_work

    def _load(self, now: float, server: Server, lag: float) -> float:
        return self._waiting(server)

    def _lag(self, now: float, server: Server) -> float:
        return max(0.0, self._waiting(server) - self.mean_work)


POLICIES: dict[str, type[Balancer]] = {
    "random": Chance, "round-robin": RoundRobin, "hash": PlainHash, "bounded-hash": BoundedHash,
    "two-choices": TwoChoices, "two-reported": TwoReported, "least-reported": LeastReported, "truth": Truth}
