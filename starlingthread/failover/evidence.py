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


class ZoneSeen:
    """One zone, as far as this router's own attempts tell."""

    __slots__ = ("heard_at", "out", "silent", "usual")

    def __init__(self) -> None:
        self.heard_at = -math.inf  # ms; when any server of it said anything
        self.usual = 0.0  # ms that an answer takes; 0 before the first
        self.out: dict[int, float] = {}  # by server: when the oldest since its last word was sent
        self.silent: dict[int, float] = {}  # likewise, of those that owe something

    def sent(self, now: float, server: int) -> None:
        """Take in that something goes to a server."""
        self.out.setdefault(server, now)

    def heard(self, now: float, server: int, elapsed: float) -> None:
        """Take in a word from a server, to what was sent so many ms ago."""
        self.heard_at = now
        self.usual = elapsed if self.usual <= 0 else self.usual + (elapsed - self.usual) * GAIN
        self.out.pop(server, None)
        self.silent.clear()

    def owes(self, server: int, sent_at: float) -> None:
        """Take in that what was sent to a server then stayed without an answer, or found no connection."""
        self.out.pop(server, None)
        if sent_at > self.heard_at:
            self.silent.setdefault(server, sent_at)

    def forget_all_but(self, servers: set[int]) -> None:
        """Take in which servers the zone has."""
        self.out = {server: at for server, at in self.out.items() if server in servers}
        self.silent = {server: at for server, at in self.silent.items() if server in servers}

    def look(self, now: float) -> None:
        """Take in that time has passed: what is out for too long is owed."""
        if self.usual <= 0:
            return
        before = now - max(LEAST_WAIT, TIMES * self.usual)
        for server, sent_at in [*self.out.items()]:
            if sent_at < before:
                self.owes(server, sent_at)

    def is_lost(self, servers: int) -> bool:
        """Tell whether so much is owed that the zone, of so many listed servers, is gone as far as we can see."""
        return servers > 0 and len(self.silent) >= min(servers, max(LEAST, math.ceil(SHARE * servers)))
