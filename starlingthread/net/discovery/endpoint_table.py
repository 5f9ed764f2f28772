"""The servers of the router's endpoint list, and the list in discovery's form, for another process of this router."""

from __future__ import annotations

from typing import Any

from ...core.messages import EndpointsReceived
from ...events import Endpoint, EndpointListKind, ServerState
from .endpoint_list import SERVER_STATES, EndpointListParser

STATUS_BY_STATE = {state: status for status, state in SERVER_STATES.items()}


class EndpointTable:
    """The listed servers by id, draining ones included."""

    def __init__(self) -> None:
        self._endpoints: dict[int, Endpoint] = {}
        self._addresses: dict[int, tuple[str, int]] = {}

    def __len__(self) -> int:
        return len(self._endpoints)

    def __contains__(self, server: int) -> bool:
        return server in self._endpoints

    def ids(self) -> set[int]:
        """Return the ids of the listed servers."""
        return set(self._endpoints)

    def apply(self, received: EndpointsReceived) -> None:
        """Apply a list, or changes to the one before."""
        if received.event.kind != EndpointListKind.DELTA:
            self._endpoints.clear()
            self._addresses.clear()
        self._addresses.update(received.addresses)
        for endpoint in received.event.endpoints:
            if endpoint.state == ServerState.GONE:
                self._endpoints.pop(endpoint.server, None)
                self._addresses.pop(endpoint.server, None)
            else:
                self._endpoints[endpoint.server] = endpoint

    def to_entries(self, parser: EndpointListParser) -> list[dict[str, Any]]:
        """Return the list in discovery's form; a parser with the same names gives the same endpoints for it."""
        names = {server: name for name, server in parser.ids.items()}
        zones = {index: name for name, index in parser.zone_indexes.items()}
        kinds = {index: name for name, index in parser.server_kind_indexes.items()}
        entries = []
        for server, endpoint in self._endpoints.items():
            host, port = self._addresses.get(server, ("", 0))
            entries.append(
                {
                    "name": names[server],
                    "address": f"{host}:{port}" if host else "",
                    "zone": zones.get(endpoint.zone, ""),
                    "type": kinds.get(endpoint.kind, ""),
                    "group": endpoint.cell,
                    "status": STATUS_BY_STATE[endpoint.state],
                    "weight": endpoint.weight,
                    "since_ms": endpoint.started,
                }
            )
        return entries
