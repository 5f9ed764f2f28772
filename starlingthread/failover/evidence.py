"""What one router has seen of each zone by itself.

A zone that is lost says nothing: its servers owe answers or connections, and nothing has come from any of them since.
One server that is gone looks like that too, so it takes several of the zone's, and no word from the rest. An error or a
request turned away is a word: somebody is there. What is out counts once it is out for a few times what answers take
there: the time-out of a request comes later than the list tells.
"""

from __future__ import annotations

import math

LEAST = 2  # servers that must owe something, where a zone has as many; one is a fault of its own
SHARE = 0.25  # of the zone's servers that must owe something, if that is more
TIMES = 4.0  # times the usual answer after which what is out is owed
LEAST_WAIT = 100.0  # ms; a pause of the network or of this process is no loss
GAIN = 0.05  # weight of one answer in the usual time


class ZoneEvidence:
    """One zone, as far as this router's own attempts tell."""

    __slots__ = ("last_response_at", "pending_since", "unanswered_since", "typical_response_time")

    def __init__(self) -> None:
        self.last_response_at = -math.inf  # ms; when any server of it said anything
        self.typical_response_time = 0.0  # ms that an answer takes; 0 before the first
        self.pending_since: dict[int, float] = {}  # by server: when the oldest since its last word was sent
        self.unanswered_since: dict[int, float] = {}  # likewise, of those that owe something

    def on_sent(self, now: float, server: int) -> None:
        """Take in that something goes to a server."""
        self.pending_since.setdefault(server, now)

    def on_response(self, now: float, server: int, elapsed: float) -> None:
        """Take in a word from a server, to what was sent so many ms ago."""
        self.last_response_at = now
        self.typical_response_time = (
            elapsed
            if self.typical_response_time <= 0
            else self.typical_response_time + (elapsed - self.typical_response_time) * GAIN
        )
        self.pending_since.pop(server, None)
        self.unanswered_since.clear()

    def on_no_response(self, server: int, sent_at: float) -> None:
        """Take in that what was sent to a server then stayed without an answer, or found no connection."""
        self.pending_since.pop(server, None)
        if sent_at > self.last_response_at:
            self.unanswered_since.setdefault(server, sent_at)

    def retain_servers(self, servers: set[int]) -> None:
        """Take in which servers the zone has."""
        self.pending_since = {server: at for server, at in self.pending_since.items() if server in servers}
        self.unanswered_since = {server: at for server, at in self.unanswered_since.items() if server in servers}

    def expire_pending(self, now: float) -> None:
        """Take in that time has passed: what is out for too long is owed."""
        if self.typical_response_time <= 0:
            return
        before = now - max(LEAST_WAIT, TIMES * self.typical_response_time)
        for server, sent_at in [*self.pending_since.items()]:
            if sent_at < before:
                self.on_no_response(server, sent_at)

    def is_lost(self, servers: int) -> bool:
        """Tell whether so much is owed that the zone, of so many listed servers, is gone as far as we can see."""
        return servers > 0 and len(self.unanswered_since) >= min(servers, max(LEAST, math.ceil(SHARE * servers)))
