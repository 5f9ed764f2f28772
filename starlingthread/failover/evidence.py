"""What one router has observed of each zone by its own requests.

A lost zone is silent: requests and connections to its servers are outstanding, and none of its servers has responded
since. A single failed server looks the same, so several of the zone's servers have to be silent. Any response, be it an
error or a rejection, proves that the zone is reachable. A request counts as unanswered after a few times the typical
response time there, as the request's own time-out comes later than an update of the endpoint list.
"""

from __future__ import annotations

import math

MIN_SILENT_SERVERS = 2  # of a zone that has as many; a single one may have failed by itself
MIN_SILENT_SHARE = 0.25  # of the zone's servers, if that is more
OVERDUE_FACTOR = 4.0  # times the typical response time after which a pending request counts as unanswered
MIN_OVERDUE_MS = 100.0  # ms; a shorter pause may be one of the network or of this process
RESPONSE_TIME_GAIN = 0.05  # weight of one response in the typical response time


class ZoneEvidence:
    """The pending and the unanswered requests of this router to one zone."""

    __slots__ = ("last_response_at", "pending_since", "typical_response_time", "unanswered_since")

    def __init__(self) -> None:
        self.last_response_at = -math.inf  # ms; of any server of the zone
        self.typical_response_time = 0.0  # ms; 0 before the first response
        self.pending_since: dict[int, float] = {}  # by server: when the oldest request since its last response was sent
        self.unanswered_since: dict[int, float] = {}  # by silent server: when its first unanswered request was sent

    def on_sent(self, now: float, server: int) -> None:
        """Record that a request was sent to a server."""
        self.pending_since.setdefault(server, now)

    def on_response(self, now: float, server: int, elapsed: float) -> None:
        """Record a response of any kind from a server, and the ms that it took."""
        self.last_response_at = now
        if self.typical_response_time <= 0:
            self.typical_response_time = elapsed
        else:
            self.typical_response_time += (elapsed - self.typical_response_time) * RESPONSE_TIME_GAIN
        self.pending_since.pop(server, None)
        self.unanswered_since.clear()

    def on_no_response(self, server: int, sent_at: float) -> None:
        """Record that a request sent at that time got no response, or found no connection."""
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
        """Count the pending requests that are overdue as unanswered."""
        if self.typical_response_time <= 0:
            return
        overdue_before = now - max(MIN_OVERDUE_MS, OVERDUE_FACTOR * self.typical_response_time)
        for server, sent_at in [*self.pending_since.items()]:
            if sent_at < overdue_before:
                self.on_no_response(server, sent_at)

    def is_lost(self, server_count: int) -> bool:
        """Tell whether so many of the zone's listed servers are silent that the zone appears lost."""
        required = max(MIN_SILENT_SERVERS, math.ceil(MIN_SILENT_SHARE * server_count))
        return server_count > 0 and len(self.unanswered_since) >= min(server_count, required)
