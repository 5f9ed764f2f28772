"""Reservation of a part of a server's capacity for requests that it can answer from its cache.

A fetch occupies a slot until the origin has responded: about 300 ms on the second site, where a hit takes 90 ms, and
both have the same priority. This does not matter while there are free slots. Once servers reject requests, a fetch is
admitted only while a part of the limit is free, so that the last slots are used for hits. The method is known as trunk
reservation in telephone networks (Key, "Optimal control and trunk reservation in loss networks", 1990): the size of the
reserved share matters little, as long as capacity is reserved only when it is needed.
"""

from __future__ import annotations

# Share of a server's limit that is reserved at most.
MAX_RESERVED_SHARE = 0.5
# Share of requests whose server is at its limit from which MAX_RESERVED_SHARE is reserved.
FULL_RESERVATION_AT_LIMIT_SHARE = 0.2
# Weight of one request in the share of requests whose server is at its limit.
AT_LIMIT_SHARE_GAIN = 0.02


class TrunkReservation:
    """The share of recent requests whose server was at its limit, and the reservation that results from it."""

    __slots__ = ("at_limit_share",)

    def __init__(self) -> None:
        self.at_limit_share = 0.0

    def observe(self, at_limit: bool) -> None:
        """Record whether the server chosen for a request was at its limit."""
        self.at_limit_share += (at_limit - self.at_limit_share) * AT_LIMIT_SHARE_GAIN

    def reserved_slots(self, limit: float, fetch_probability: float, is_write: bool) -> float:
        """Return the slots of a limit that a read with a fetch probability may not use; 0 for a write."""
        if is_write:
            return 0.0
        return (
            MAX_RESERVED_SHARE
            * min(1.0, self.at_limit_share / FULL_RESERVATION_AT_LIMIT_SHARE)
            * limit
            * fetch_probability
        )
