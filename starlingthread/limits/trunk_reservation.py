"""How much of a server's room is kept for requests that it can answer from what it has cached.

A fetch holds its place while the origin is asked: on the second site for some 300 ms where a hit takes 90, and the
client of either is worth as much. While there is room for all that makes no difference. Once servers turn requests away
a fetch is let in only where a part of the limit is still free, so that the last places go to hits. Telephone networks
call this trunk reservation (Key, "Optimal control and trunk reservation in loss networks", 1990): the share that is
kept matters little, as long as something is kept only when it is needed.
"""

from __future__ import annotations

KEPT = 0.5  # of a server's limit, at the most, for requests that are sure to be cached there
PRESSED = 0.2  # share of requests that find no place from which all of that is kept
GAIN = 0.02  # weight of one request in that share


class TrunkReservation:
    """The share of requests that found their server at its limit lately, and what is kept for that."""

    __slots__ = ("at_limit_share",)

    def __init__(self) -> None:
        self.at_limit_share = 0.0

    def observe(self, at_limit: bool) -> None:
        """Take in whether a request found the server chosen for it at its limit."""
        self.at_limit_share += (at_limit - self.at_limit_share) * GAIN

    def reserved_slots(self, limit: float, fetch: float, write: bool) -> float:
        """Return how many places of a limit are not for a read that is a fetch by this chance; a write gets all."""
        return 0.0 if write else KEPT * min(1.0, self.at_limit_share / PRESSED) * limit * fetch
