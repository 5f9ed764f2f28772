"""The endpoint list as this router knows it: its servers, its version, and whether changes alone keep it up to date."""

from __future__ import annotations

import json
from typing import Any

from ...core.counters import Counters
from ...core.messages import EndpointsReceived
from ...events import EndpointListKind
from .endpoint_list import EndpointListParser
from .endpoint_table import EndpointTable
from .errors import EndpointListError


class KnownList:
    """Parses lists and changes, and keeps what is needed to ask for the changes since the last one."""

    def __init__(self, parser: EndpointListParser, counters: Counters) -> None:
        """Begin without a list."""
        self.parser = parser
        self.version = 0  # 0: none
        self.needs_whole_list = True  # whether changes alone would not bring the list up to date
        self.is_from_discovery = False  # whether discovery has sent a list to this process
        self._counters = counters
        self._table = EndpointTable()

    def __len__(self) -> int:
        """Return the number of servers, draining ones included."""
        return len(self._table)

    def server_id(self, name: str) -> int | None:
        """Return the id of a listed server, or None if no server of that name is listed."""
        assigned_id = self.parser.ids.lookup(name)
        return assigned_id if assigned_id is not None and assigned_id in self._table else None

    def entries(self) -> list[dict[str, Any]]:
        """Return the list in discovery's form."""
        return self._table.to_entries(self.parser)

    @property
    def version_to_ask_after(self) -> int:
        """The version for which a watch asks for the changes since; 0 asks for the whole list."""
        return 0 if self.needs_whole_list else self.version

    def set_names(self, zones: tuple[str, ...], server_kinds: tuple[str, ...]) -> bool:
        """Set the names of zones and server kinds; return whether an index has changed, so that all is needed anew."""
        has_changed = self.parser.set_names(zones, server_kinds)
        self.needs_whole_list = self.needs_whole_list or has_changed
        return has_changed

    def load_cached(self, raw: object) -> EndpointsReceived:
        """Use a list that was stored earlier. Raises EndpointListError."""
        received = self.parser.parse(raw, EndpointListKind.CACHED)
        self.version = received.event.version
        self.needs_whole_list = False
        self._table.apply(received)
        return received

    def apply(self, payload: bytes) -> EndpointsReceived:
        """Use a list from discovery, or changes. Raises EndpointListError."""
        received = self.parser.parse(self._parse_json(payload))
        event = received.event
        if event.kind == EndpointListKind.DELTA and event.version < self.version:
            known_version = self.version
            self.version = 0
            self.needs_whole_list = True  # discovery has restarted its version count
            raise EndpointListError(
                f"delta of version {event.version} is older than the list of version {known_version}"
            )
        self.version = event.version
        self.needs_whole_list = self.needs_whole_list and event.kind == EndpointListKind.DELTA
        self.is_from_discovery = True
        self._table.apply(received)
        self.parser.ids.retain(self._table.ids())
        self._counters.increment("discovery.lists")
        return received

    def _parse_json(self, payload: bytes) -> object:
        try:
            raw: object = json.loads(payload)
        except (ValueError, RecursionError) as error:
            self._counters.increment("discovery.bad_json")
            raise EndpointListError(f"invalid JSON: {error}") from None
        return raw
