"""Hands the endpoint list of the old process of an upgrade to the new one, until discovery has answered that one.

What the old process was told binds the new one too, and discovery may be down when that starts.
"""

from __future__ import annotations

import asyncio
from typing import Any, NamedTuple, Protocol

import msgspec

from ..core.clock import Clock
from ..logs import log
from .channel import MAX_LINE_BYTES, EndpointListEnd, HandoverStatus

# Entries in one line, if they are not too long for it.
MAX_ENTRIES_PER_LINE = 8
# Changes that follow each other faster are sent together.
RESEND_INTERVAL_S = 0.1


class EndpointSnapshot(NamedTuple):
    """An endpoint list in discovery's form."""

    version: int
    proved_at: float | None  # clock time in ms of the last proof of the list
    entries: list[dict[str, Any]]


class EndpointLists(Protocol):
    """The client of discovery of this process."""

    def snapshot(self) -> EndpointSnapshot | None:
        """Return the router's list; None if it has none."""

    def inherit(self, snapshot: EndpointSnapshot) -> None:
        """Use the list of another process of this router, unless discovery has sent one to this process."""


class EndpointExchange:
    """Sends the list to a successor that asks for it, and takes the list of the predecessor."""

    def __init__(self, lists: EndpointLists, clock: Clock) -> None:
        self._lists = lists
        self._clock = clock
        self._successor: asyncio.StreamWriter | None = None
        self._predecessor: asyncio.StreamWriter | None = None
        self._is_resend_scheduled = False
        self._received: list[dict[str, Any]] = []  # the entries of an incomplete list

    def request(self, predecessor: asyncio.StreamWriter) -> None:
        """Ask the predecessor for its list, and for each later one."""
        self._predecessor = predecessor
        predecessor.write(msgspec.json.encode(HandoverStatus(wants_endpoints=True)) + b"\n")

    def detach(self, channel: asyncio.StreamWriter) -> None:
        """Send no more on a channel, as its other end has exited."""
        if channel is self._successor:
            self._successor = None
        if channel is self._predecessor:
            self._predecessor = None

    def on_list(self) -> None:
        """Handle a list that this process has from discovery: pass it on, and need no more of the predecessor."""
        if self._predecessor is not None:
            self._predecessor.write(msgspec.json.encode(HandoverStatus(has_endpoints=True)) + b"\n")
            self._predecessor = None
        if self._successor is not None:
            self._schedule_send()

    def apply(self, status: HandoverStatus, source: asyncio.StreamWriter | None) -> None:
        """Handle a message of the other process."""
        if status.wants_endpoints:
            self._successor = source
            self._send()
        if status.has_endpoints:
            self._successor = None
        self._received += status.endpoints
        if status.endpoint_list_end is not None:
            entries, self._received = self._received, []
            end = status.endpoint_list_end
            proved_at = None if end.proved_at_s is None else self._clock.from_loop_time(end.proved_at_s)
            self._lists.inherit(EndpointSnapshot(end.version, proved_at, entries))

    def _schedule_send(self) -> None:
        if not self._is_resend_scheduled:
            self._is_resend_scheduled = True
            asyncio.get_running_loop().call_later(RESEND_INTERVAL_S, self._send)

    def _send(self) -> None:
        self._is_resend_scheduled = False
        snapshot = self._lists.snapshot()
        if self._successor is None or snapshot is None:
            return
        if self._successor.transport.get_write_buffer_size():
            self._schedule_send()  # the list before has not been read yet
            return
        entries = snapshot.entries
        batches = [entries[at : at + MAX_ENTRIES_PER_LINE] for at in range(0, len(entries), MAX_ENTRIES_PER_LINE)]
        proved_at_s = None if snapshot.proved_at is None else self._clock.to_loop_time(snapshot.proved_at)
        end = EndpointListEnd(snapshot.version, proved_at_s)
        messages = [HandoverStatus(endpoints=batch) for batch in batches] + [HandoverStatus(endpoint_list_end=end)]
        lines = [msgspec.json.encode(message) + b"\n" for message in messages]
        if max(map(len, lines)) > MAX_LINE_BYTES:
            log.warning("handover-endpoints-dropped", reason=f"a line is longer than {MAX_LINE_BYTES} bytes")
            return
        self._successor.write(b"".join(lines))
