"""State shared by all parts of the decision module: settings, servers, open requests and pending actions.

The modules in starlingthread/policy/ decide which server is used and which request is rejected.
"""

from __future__ import annotations

import math
from random import Random
from typing import TYPE_CHECKING

from ..actions import Action
from ..balance.popularity import FleetDemand
from ..events import Endpoint, EndpointList, EndpointListKind, Maintenance, ServerState
from ..limits.outliers import OutlierDetector
from ..limits.slow_start import SlowStartBudget, first_tokens
from ..settings import Settings
from .executions import ExecutionHistory
from .records import RequestState, Server

if TYPE_CHECKING:  # the module is imported at run time only if failover is enabled
    from ..failover.zones import ZoneFailover

# Time for which a removed server is kept, in multiples of the longest lifetime of a request.
RETAINED_LIFETIMES = 3


class Fleet:
    """The servers, the open requests, and the actions that result from the current event."""

    def __init__(self, settings: Settings, seed: int) -> None:
        """Create a fleet without servers; raise ValueError if the settings are invalid."""
        self.rng = Random(seed)
        self.requests: dict[int, RequestState] = {}  # open requests by request id
        self.actions: list[Action] = []
        self.apply_settings(settings)
        self.servers: dict[int, Server] = {}  # servers, including the origin, by server number
        self.ready: list[Server] = []  # cache servers that are listed as ready and not in maintenance
        self.origin: Server | None = None
        self.in_maintenance: set[int] = set()
        self.list_version = 0  # number of changes of the ready servers
        self.demand = FleetDemand()
        self.executions = ExecutionHistory()
        self.zones: ZoneFailover | None = None  # health of the zones; None: failover is disabled

    def apply_settings(self, settings: Settings) -> None:
        """Replace the settings; raise ValueError and change nothing if they are invalid."""
        self.settings = settings.validated()
        classes = settings.classes
        self.read_through = settings.mode == "through"  # servers fetch missing values from the origin
        self.min_priority_weight = max(1e-6, min(c.priority_weight for c in classes))
        self.retention = RETAINED_LIFETIMES * max(c.deadline + c.idempotency_window for c in classes)  # ms

    def apply_endpoint_list(self, now: float, event: EndpointList) -> None:
        """Apply a complete endpoint list, or changes to the last one."""
        if event.kind != EndpointListKind.DELTA:
            self._mark_unlisted(event)
        for endpoint in event.endpoints:
            self._apply_endpoint(endpoint)
        self._drop_removed_servers(now)
        self.classify_servers()

    def _mark_unlisted(self, event: EndpointList) -> None:
        listed = {endpoint.server for endpoint in event.endpoints}
        for number, server in self.servers.items():
            server.unavailable = server.unavailable or number not in listed

    def _apply_endpoint(self, endpoint: Endpoint) -> None:
        known = self.servers.get(endpoint.server)
        if known is not None and known.endpoint.started == endpoint.started:
            known.endpoint = endpoint
            known.unavailable = endpoint.state != ServerState.READY
            return
        warming_since = max(endpoint.started, known.warming_since if known else 0.0)
        server = Server(endpoint, self._first_tokens(), warming_since)
        if known is not None:
            server.cost_in_flight = known.cost_in_flight
            server.attempts_in_flight = known.attempts_in_flight
        self.servers[endpoint.server] = server

    def _drop_removed_servers(self, now: float) -> None:
        """Drop servers that were unavailable for so long that no request returns to them, to bound memory."""
        for number, server in list(self.servers.items()):
            server.unavailable_since = min(server.unavailable_since, now) if server.unavailable else math.inf
            is_unused = number not in self.in_maintenance and not server.attempts_in_flight
            if is_unused and now - server.unavailable_since > self.retention:
                del self.servers[number]

    def _first_tokens(self) -> float:
        return first_tokens(self.rng.random(), self.settings.router_count)

    def classify_servers(self) -> None:
        """Recompute the origin and the ready cache servers."""
        self.ready = []
        self.origin = None
        self.list_version += 1
        for server in self.servers.values():
            if self.settings.mode == "aside" and server.endpoint.kind == self.settings.origin_kind:
                self.origin = server if not server.unavailable else self.origin
            elif not server.unavailable and server.endpoint.server not in self.in_maintenance:
                self.ready.append(server)
        if self.zones:
            self.zones.set_servers((s.endpoint.zone, s.endpoint.server) for s in self.ready)
        zone_count = len({s.endpoint.zone for s in self.ready})
        self.demand.set_fleet_size(self.settings.router_count, len(self.ready), zone_count)

    def set_maintenance(self, now: float, event: Maintenance) -> None:
        """Start or end the maintenance of a server; afterwards it warms up, as it may have been restarted."""
        if event.in_maintenance:
            self.in_maintenance.add(event.server)
        elif event.server in self.in_maintenance:
            self.in_maintenance.remove(event.server)
            if server := self.servers.get(event.server):
                server.warming_since = now
                server.outliers = OutlierDetector()
                server.slow_start = SlowStartBudget(self._first_tokens())
        self.classify_servers()
