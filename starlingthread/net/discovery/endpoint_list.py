"""Parser of the endpoint lists that discovery sends as JSON."""

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
    """Return the host and port of 'host:port'; raise a ValueError if it is not an address."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"{text!r} is no address")
    return host.strip("[]"), int(port)


class EndpointListParser:
    """Turns discovery's JSON objects into the router's endpoint lists."""

    def __init__(self, zones: tuple[str, ...], server_kinds: tuple[str, ...]) -> None:
        self.zones = _number(zones)
        self.server_kinds = _number(server_kinds)
        self.ids = ServerIds()

    def set_names(self, zones: tuple[str, ...], server_kinds: tuple[str, ...]) -> bool:
        """Number zones and server kinds anew; return whether that changed anything."""
        numbered = (_number(zones), _number(server_kinds))
        changed = numbered != (self.zones, self.server_kinds)
        self.zones, self.server_kinds = numbered
        return changed

    def parse(self, raw: object, kind: EndpointListKind | None = None) -> EndpointsReceived:
        """Parse one object; its 'snapshot' decides on the kind unless that is given.

        Raises EndpointListError if it is not a list.
        """
        try:
            return self._parse(raw, kind)
        except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
            raise EndpointListError(f"not a list: {error!r}") from None

    def _parse(self, raw: Any, kind: EndpointListKind | None) -> EndpointsReceived:
        endpoints = []
        addresses = {}
        # Sorted by name, so that even ids that collide within one list are the same at every router.
        for entry in sorted(raw["endpoints"], key=lambda entry: str(entry["name"])):
            server = self.ids.assign(str(entry["name"]))
            if entry.get("address"):
                addresses[server] = parse_address(entry["address"])
            endpoints.append(self._endpoint(server, entry))
        if kind is None:
            kind = EndpointListKind.FULL if raw["snapshot"] else EndpointListKind.DELTA
        return EndpointsReceived(EndpointList(kind, int(raw["index"]), tuple(endpoints)), addresses)

    def _endpoint(self, server: int, entry: Any) -> Endpoint:
        # An unknown zone or kind is numbered behind the known ones, so it matches none of them.
        return Endpoint(
            server=server,
            zone=self.zones.get(entry.get("zone"), len(self.zones)),
            kind=self.server_kinds.get(entry.get("type"), len(self.server_kinds)),
            cell=int(entry.get("group") or 0),
            state=SERVER_STATES[entry["status"]],
            weight=float(entry.get("weight", 1.0)),
            started=float(entry.get("since_ms") or 0.0),
        )


def _number(names: tuple[str, ...]) -> dict[str, int]:
    return {name: number for number, name in enumerate(names)}
