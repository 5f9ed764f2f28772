"""Capacity of a server that is reserved for requests that it can answer from its cache.

A fetch holds its slot while the origin is asked: on the second site for some 300 ms where a hit takes 90, and the
client of either has the same priority. While there are free slots that makes no difference. Once servers reject
requests, a fetch is admitted only while a part of the limit is free, so that the last slots go to hits. Telephone
networks call this trunk reservation (Key, "Optimal control and trunk reservation in loss networks", 1990): the size of
the reserved share matters little, as long as something is reserved only when it is needed.
"""

from __future__ import annotations

MAX_RESERVED_SHARE = 0.5  # of a server's limit
FULL_RESERVATION_AT_LIMIT_SHARE = (
    0.2  # share of requests that find their server at its limit from which all of that is reserved
)
AT_LIMIT_SHARE_GAIN = 0.02  # weight of one request in that share


class TrunkReservation:
    """The share of recent requests that found their server at its limit, and the reservation that follows from it."""

    __slots__ = ("at_limit_share",)

    def __init__(self) -> None:
        self.at_limit_share = 0.0

    def observe(self, at_limit: bool) -> None:
        """Record whether a request found the server that was chosen for it at its limit."""
        self.at_limit_share += (at_limit - self.at_limit_share) * AT_LIMIT_SHARE_GAIN

    def reserved_slots(self, limit: float, fetch_probability: float, is_write: bool) -> float:
        """Return the slots of a limit that are closed to a read with this fetch probability; none are to a write."""
        if is_write:
            return 0.0
        return (
            MAX_RESERVED_SHARE
            * min(1.0, self.at_limit_share / FULL_RESERVATION_AT_LIMIT_SHARE)
            * limit
            * fetch_probability
        )
