"""The settings, the servers as lists and operators tell of them, the open requests, the actions to take.

What of it is left alone, asked or refused is decided in starlingthread/policy/.
"""

from __future__ import annotations

import math
from random import Random
from typing import TYPE_CHECKING

from ..balance.popularity import FleetDemand
from ..interface import Action, ListKind, Maintenance, MemberList, ServerState, Settings
from ..limits.outliers import OutlierDetector
from ..limits.slow_start import SlowStartBudget, first_tokens
from .records import Server, Tracked

if TYPE_CHECKING:  # else only once it is on
    from ..failover.zones import Zones


class Fleet:
    """Which servers there are, what of them and of requests is open, and what is to be done."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.rng = Random(seed)
        self.live: dict[int, Tracked] = {}  # requests by their ids
        self.todo: list[Action] = []  # actions that this event calls for
        self.tune(settings)
        self.servers: dict[int, Server] = {}
        self.ready: list[Server] = []  # the cache servers that the list calls ready
        self.origin: Server | None = None
        self.in_maintenance: set[int] = set()  # servers that operators leave out
        self.list_count, self.demand = 0, FleetDemand()
        self.zones: Zones | None = None  # which zones are left alone; None: the operator's file has that off

    def tune(self, settings: Settings) -> None:
        """Take in settings, the first or new ones; bad ones raise and change nothing."""
        self.set, classes = settings.validated(), settings.classes
        self.through = settings.mode == "through"  # servers fetch what they lack
        self.least_worth = max(1e-6, min(c.worth for c in classes))
        self.keep_shut = 3 * max(c.deadline + c.memory_span for c in classes)

    def listed(self, now: float, event: MemberList) -> None:
        """Take in a list, whole or changes to it."""
        if event.kind != ListKind.DELTA:
            named = {m.server for m in event.members}
            for number, server in self.servers.items():
                server.unavailable = server.unavailable or number not in named
        for line in event.members:
            old = self.servers.get(line.server)
            if old is None or old.line.started != line.started:
                since = max(line.started, old.since if old else 0.0)
                self.servers[line.server] = fresh = Server(line, self._first_tokens(), since)
                fresh.tally, fresh.out = (old.tally, old.out) if old else (0.0, 0)
            else:
                old.line, old.unavailable = line, line.state != ServerState.READY
        for number, server in list(self.servers.items()):
            # Forget those that were shut for so long that no attempt there can be out. Guards memory.
            server.shut_at = min(server.shut_at, now) if server.unavailable else math.inf
            if now - server.shut_at > self.keep_shut and number not in self.in_maintenance:
                del self.servers[number]
        self.sort_out()

    def _first_tokens(self) -> float:
        return first_tokens(self.rng.random(), self.set.balancers)

    def sort_out(self) -> None:
        """Tell anew which servers are ready."""
        self.ready, self.origin, self.list_count = [], None, self.list_count + 1
        for server in self.servers.values():
            if self.set.mode == "aside" and server.line.kind == self.set.origin_kind:
                self.origin = server if not server.unavailable else self.origin
            elif not server.unavailable and server.line.server not in self.in_maintenance:
                self.ready.append(server)
        if self.zones:
            self.zones.listed((s.line.zone, s.line.server) for s in self.ready)
        self.demand.know(self.set.balancers, len(self.ready), len({s.line.zone for s in self.ready}))

    def maintain(self, now: float, event: Maintenance) -> None:
        """Leave a server out, or take it back: for all we know yet it was started anew a moment ago."""
        if event.out:
            self.in_maintenance.add(event.server)
        elif event.server in self.in_maintenance:
            self.in_maintenance.remove(event.server)
            if server := self.servers.get(event.server):
                server.since, server.outliers = now, OutlierDetector()
                server.budget = SlowStartBudget(self._first_tokens())
        self.sort_out()
