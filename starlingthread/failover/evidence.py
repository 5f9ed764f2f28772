"""What one router has seen of each zone by itself.

A zone that is lost says nothing: its servers owe answers or connections, and nothing has come from any of them since.
One server that is gone looks like that too, so it takes several of the zone's, and no word from the rest. A refused
connection, an error, a request turned away are words: somebody is there.
"""

from __future__ import annotations

import math

LEAST = 2  # servers that must owe something, where a zone has as many; one is a fault of its own
SHARE = 0.25  # of the zone's servers that must owe something, if that is more


class ZoneSeen:
    """One zone, as far as this router's own attempts tell."""

    __slots__ = ("heard_at", "silent")

    def __init__(self) -> None:
        self.heard_at = -math.inf  # ms; when any server of it said anything
        self.silent: dict[int, float] = {}  # servers that owe something, and when what they owe was sent

    def heard(self, now: float) -> None:
        """Take in a word from any of its servers."""
        self.heard_at = now
        self.silent.clear()

    def owes(self, server: int, sent_at: float) -> None:
        """Take in that what was sent to a server then stayed without an answer, or found no connection."""
        if sent_at > self.heard_at:
            self.silent.setdefault(server, sent_at)

    def is_lost(self, servers: int) -> bool:
        """Tell whether so much is owed that the zone, of so many listed servers, is gone as far as we can see."""
        return servers > 0 and len(self.silent) >= min(servers, max(LEAST, math.ceil(SHARE * servers)))
