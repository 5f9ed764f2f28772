"""The witnesses of a zone and their votes on it.

The witnesses of a zone are the routers with the highest hashes of zone and router (rendezvous hashing), so all routers
compute the same witnesses. A vote carries a sequence number that only its witness raises, so the newest vote wins in
whatever order votes arrive. A vote expires, so that a router that stalled or is partitioned has no lasting vote.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import IntEnum
from typing import NamedTuple

from ..balance.rendezvous import mix

# Number of witnesses of each zone. It is odd, so that they cannot split into equal halves.
WITNESS_COUNT = 15
VOTE_LIFETIME_MS = 3000.0
# A sequence number is the Unix time in ms or the previous number plus one, so a valid one is near this router's clock.
# A vote that is further ahead is rejected, as later valid votes would not supersede it.
MAX_SEQUENCE_AHEAD_MS = 3600e3


class ZoneStatus(IntEnum):
    """The status of a zone as a witness observes it; the values are those on the wire."""

    HEALTHY = 1
    LOST = 2


class ZoneVote(NamedTuple):
    """A witness's vote on a zone; the sequence number orders the votes of one witness."""

    witness: int
    zone: int
    status: ZoneStatus
    sequence: int


class ReceivedVote(NamedTuple):
    """A vote, the time at which it was received, and since when its witness has voted for that status; times are ms."""

    vote: ZoneVote
    received_at: float
    status_since: float


def choose_witnesses(zone: int, members: Iterable[int]) -> list[int]:
    """Return the witnesses of a zone among the members; the same members give the same witnesses at every router."""

    def rank(member: int) -> tuple[int, int]:
        return mix(mix(zone + 1) ^ mix(member + 1)), member

    return sorted(members, key=rank, reverse=True)[:WITNESS_COUNT]


class VoteTable:
    """The newest vote of each witness on each zone."""

    __slots__ = ("_votes",)

    def __init__(self) -> None:
        self._votes: dict[tuple[int, int], ReceivedVote] = {}  # The keys are zone and witness.

    def get(self, zone: int, witness: int) -> ReceivedVote | None:
        """Return the newest vote of a witness on a zone, expired or not."""
        return self._votes.get((zone, witness))

    def put(self, now: float, vote: ZoneVote) -> None:
        """Replace the vote of a witness on a zone."""
        previous = self._votes.get((vote.zone, vote.witness))
        status_since = now
        if (
            previous is not None
            and previous.vote.status == vote.status
            and now - previous.received_at <= VOTE_LIFETIME_MS
        ):
            status_since = previous.status_since
        self._votes[vote.zone, vote.witness] = ReceivedVote(vote, now, status_since)

    def remove(self, zone: int, witness: int) -> None:
        """Withdraw the vote of a witness on a zone, if there is one."""
        self._votes.pop((zone, witness), None)

    def zones(self) -> set[int]:
        """Return the zones on which there is a vote, expired or not."""
        return {zone for zone, _ in self._votes}

    def valid(self, now: float, zone: int, witnesses: frozenset[int]) -> list[ReceivedVote]:
        """Return the unexpired votes on a zone by the given witnesses."""
        return [
            received
            for (voted_zone, witness), received in self._votes.items()
            if voted_zone == zone and witness in witnesses and now - received.received_at < VOTE_LIFETIME_MS
        ]
