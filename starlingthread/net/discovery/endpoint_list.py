"""Parser for the endpoint lists that discovery sends as JSON."""

from __future__ import annotations

from typing import Any

from ...core.messages import EndpointsReceived
from ...events import Endpoint, EndpointList, EndpointListKind, ServerState
from .errors import EndpointListError
from .server_ids import ServerIds

SERVER_STATES = {
    "in_service": ServerState.READY,
    "terminating": ServerState.DRAINING,
    "terminated": ServerState.GONE,
}
MAX_PORT = 65535


def parse_address(text: str) -> tuple[str, int]:
    """Return the host and port of 'host:port'; raise a ValueError if the text is not such an address."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"invalid address {text!r}: expected host:port")
    return host.strip("[]"), int(port)


class EndpointListParser:
    """Converts discovery's JSON objects to the router's endpoint lists."""

    def __init__(self, zones: tuple[str, ...], server_kinds: tuple[str, ...]) -> None:
        self.zone_indexes = _index_by_name(zones)
        self.server_kind_indexes = _index_by_name(server_kinds)
        self.ids = ServerIds()

    def set_names(self, zones: tuple[str, ...], server_kinds: tuple[str, ...]) -> bool:
        """Set the names of the zones and server kinds; return whether an index of one of them has changed."""
        indexes = (_index_by_name(zones), _index_by_name(server_kinds))
        changed = indexes != (self.zone_indexes, self.server_kind_indexes)
        self.zone_indexes, self.server_kind_indexes = indexes
        return changed

    def parse(self, raw: object, kind: EndpointListKind | None = None) -> EndpointsReceived:
        """Parse one JSON object; its 'snapshot' field determines the kind unless a kind is given.

        Raises EndpointListError if the object is not an endpoint list.
        """
        try:
            return self._parse(raw, kind)
        except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
            raise EndpointListError(f"invalid endpoint list: {error!r}") from None

    def _parse(self, raw: Any, kind: EndpointListKind | None) -> EndpointsReceived:
        endpoints = []
        addresses = {}
        # Ids are assigned in the order of names, so that they are the same at every router even if hashes collide.
        for entry in sorted(raw["endpoints"], key=lambda entry: str(entry["name"])):
            server_id = self.ids.assign(str(entry["name"]))
            if entry.get("address"):
                addresses[server_id] = parse_address(entry["address"])
            endpoints.append(self._endpoint(server_id, entry))
        if kind is None:
            kind = EndpointListKind.FULL if raw["snapshot"] else EndpointListKind.DELTA
        return EndpointsReceived(EndpointList(kind, int(raw["index"]), tuple(endpoints)), addresses)

    def _endpoint(self, server_id: int, entry: Any) -> Endpoint:
        # An unknown zone or kind gets the index after the last known one, so it matches none of them.
        return Endpoint(
            server=server_id,
            zone=self.zone_indexes.get(entry.get("zone"), len(self.zone_indexes)),
            kind=self.server_kind_indexes.get(entry.get("type"), len(self.server_kind_indexes)),
            cell=int(entry.get("group") or 0),
            state=SERVER_STATES[entry["status"]],
            weight=float(entry.get("weight", 1.0)),
            started=float(entry.get("since_ms") or 0.0),
        )


def _index_by_name(names: tuple[str, ...]) -> dict[str, int]:
    return {name: index for index, name in enumerate(names)}
