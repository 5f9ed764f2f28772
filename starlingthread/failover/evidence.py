"""Passive health evidence: what one router has observed of each zone by its own requests.

A lost zone is silent: requests and connections to its servers are outstanding, and none of its servers has responded
since they began. A single failed server looks the same, so several of the zone's servers have to be silent. Any
response, including an error or a rejection, proves that the zone is reachable. A request counts as unanswered after a
small multiple of the zone's typical response time, because the request's own timeout would come later than an update
of the endpoint list.
"""

from __future__ import annotations

import math

# A zone appears lost when at least MIN_SILENT_SERVERS and at least MIN_SILENT_SHARE of its servers are silent: a single
# silent server may have failed by itself. In a zone with only one server, that server is enough.
MIN_SILENT_SERVERS = 2
MIN_SILENT_SHARE = 0.25
# A pending request counts as unanswered after this multiple of the typical response time.
OVERDUE_FACTOR = 4.0
# A shorter silence may be a pause of the network or of this process.
MIN_OVERDUE_MS = 100.0
# The weight of one response in the typical response time, which is an exponentially weighted moving average.
RESPONSE_TIME_GAIN = 0.05


class ZoneEvidence:
    """The pending and the unanswered requests from this router to one zone. Times are ms."""

    __slots__ = ("last_response_at", "pending_since", "typical_response_time", "unanswered_since")

    def __init__(self) -> None:
        # The time of the latest response from any server of the zone.
        self.last_response_at = -math.inf
        # A moving average; 0 before the first response.
        self.typical_response_time = 0.0
        # For each server, when the oldest request since its last response was sent.
        self.pending_since: dict[int, float] = {}
        # For each silent server, when its first unanswered request was sent.
        self.unanswered_since: dict[int, float] = {}

    def on_sent(self, now: float, server: int) -> None:
        """Record that a request was sent to a server."""
        self.pending_since.setdefault(server, now)

    def on_response(self, now: float, server: int, elapsed: float) -> None:
        """Record a response of any kind from a server, and how long it took (ms)."""
        self.last_response_at = now
        if self.typical_response_time <= 0:
            self.typical_response_time = elapsed
        else:
            self.typical_response_time += (elapsed - self.typical_response_time) * RESPONSE_TIME_GAIN
        self.pending_since.pop(server, None)
        self.unanswered_since.clear()

    def on_no_response(self, server: int, sent_at: float) -> None:
        """Record that a request sent at that time got no response, or that its connection attempt failed."""
        self.pending_since.pop(server, None)
        if sent_at > self.last_response_at:
            self.unanswered_since.setdefault(server, sent_at)

    def on_abandoned(self, server: int) -> None:
        """Record that a request ended without evidence either way."""
        self.pending_since.pop(server, None)

    def retain_servers(self, servers: set[int]) -> None:
        """Drop the evidence about servers that are no longer listed in the zone."""
        self.pending_since = {server: at for server, at in self.pending_since.items() if server in servers}
        self.unanswered_since = {server: at for server, at in self.unanswered_since.items() if server in servers}

    def expire_pending(self, now: float) -> None:
        """Mark overdue pending requests as unanswered."""
        if self.typical_response_time <= 0:
            return
        overdue_before = now - max(MIN_OVERDUE_MS, OVERDUE_FACTOR * self.typical_response_time)
        for server, sent_at in [*self.pending_since.items()]:
            if sent_at < overdue_before:
                self.on_no_response(server, sent_at)

    def is_lost(self, server_count: int) -> bool:
        """Return whether enough of the zone's listed servers are silent for the zone to appear lost."""
        required = max(MIN_SILENT_SERVERS, math.ceil(MIN_SILENT_SHARE * server_count))
        return server_count > 0 and len(self.unanswered_since) >= min(server_count, required)
