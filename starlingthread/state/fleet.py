"""The settings, the servers as lists and operators tell of them, the open requests, the actions to take.

What of it is left alone, asked or refused is decided in starlingthread/policy/.
"""

from __future__ import annotations

import math
from random import Random
from typing import TYPE_CHECKING

from ..actions import Action
from ..balance.popularity import FleetDemand
from ..events import EndpointList, EndpointListKind, Maintenance, ServerState
from ..limits.outliers import OutlierDetector
from ..limits.slow_start import SlowStartBudget, first_tokens
from ..settings import Settings
from .records import RequestState, Server

if TYPE_CHECKING:  # else only once it is on
    from ..failover.zones import ZoneFailover


class Fleet:
    """Which servers there are, what of them and of requests is open, and what is to be done."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.rng = Random(seed)
        self.requests: dict[int, RequestState] = {}  # requests by their ids
        self.actions: list[Action] = []  # actions that this event calls for
        self.apply_settings(settings)
        self.servers: dict[int, Server] = {}
        self.ready: list[Server] = []  # the cache servers that the list calls ready
        self.origin: Server | None = None
        self.in_maintenance: set[int] = set()  # servers that operators leave out
        self.list_version, self.demand = 0, FleetDemand()
        self.zones: ZoneFailover | None = None  # which zones are left alone; None: the operator's file has that off

    def apply_settings(self, settings: Settings) -> None:
        """Take in settings, the first or new ones; bad ones raise and change nothing."""
        self.settings, classes = settings.validated(), settings.classes
        self.read_through = settings.mode == "through"  # servers fetch what they lack
        self.min_priority_weight = max(1e-6, min(c.priority_weight for c in classes))
        self.retention = 3 * max(c.deadline + c.idempotency_window for c in classes)

    def apply_endpoint_list(self, now: float, event: EndpointList) -> None:
        """Take in a list, whole or changes to it."""
        if event.kind != EndpointListKind.DELTA:
            named = {m.server for m in event.endpoints}
            for number, server in self.servers.items():
                server.unavailable = server.unavailable or number not in named
        for line in event.endpoints:
            old = self.servers.get(line.server)
            if old is None or old.endpoint.started != line.started:
                since = max(line.started, old.cold_since if old else 0.0)
                self.servers[line.server] = fresh = Server(line, self._first_tokens(), since)
                fresh.cost_in_flight, fresh.attempts_in_flight = (
                    (old.cost_in_flight, old.attempts_in_flight) if old else (0.0, 0)
                )
            else:
                old.endpoint, old.unavailable = line, line.state != ServerState.READY
        for number, server in list(self.servers.items()):
            # Forget those that were shut for so long that no attempt there can be out. Guards memory.
            server.unavailable_since = min(server.unavailable_since, now) if server.unavailable else math.inf
            if now - server.unavailable_since > self.retention and number not in self.in_maintenance:
                del self.servers[number]
        self.classify_servers()

    def _first_tokens(self) -> float:
        return first_tokens(self.rng.random(), self.settings.router_count)

    def classify_servers(self) -> None:
        """Tell anew which servers are ready."""
        self.ready, self.origin, self.list_version = [], None, self.list_version + 1
        for server in self.servers.values():
            if self.settings.mode == "aside" and server.endpoint.kind == self.settings.origin_kind:
                self.origin = server if not server.unavailable else self.origin
            elif not server.unavailable and server.endpoint.server not in self.in_maintenance:
                self.ready.append(server)
        if self.zones:
            self.zones.set_servers((s.endpoint.zone, s.endpoint.server) for s in self.ready)
        self.demand.set_fleet_size(
            self.settings.router_count, len(self.ready), len({s.endpoint.zone for s in self.ready})
        )

    def set_maintenance(self, now: float, event: Maintenance) -> None:
        """Leave a server out, or take it back: for all we know yet it was started anew a moment ago."""
        if event.in_maintenance:
            self.in_maintenance.add(event.server)
        elif event.server in self.in_maintenance:
            self.in_maintenance.remove(event.server)
            if server := self.servers.get(event.server):
                server.cold_since, server.outliers = now, OutlierDetector()
                server.slow_start = SlowStartBudget(self._first_tokens())
        self.classify_servers()
