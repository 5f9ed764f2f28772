"""The witnesses of a zone and their votes on it.

A few routers are the witnesses of a zone, the same ones by every router's computation: those with the highest hash of
zone and router. A vote carries a sequence number that only its witness raises, so the newest one wins in whatever order
votes arrive. A vote is valid for a limited time, so that those of a router that stalled or is cut off expire.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import IntEnum
from typing import NamedTuple

from ..balance.rendezvous import mix

WITNESS_COUNT = 15  # of a zone; odd, so that two halves do not tie
VOTE_LIFETIME_MS = 3000.0  # ms
MAX_SEQUENCE_AHEAD_MS = 3600e3  # ms ahead of our clock: a sequence number is the Unix time, or the last one plus one


class ZoneStatus(IntEnum):
    """What a witness observes of a zone; the values are those on the wire."""

    HEALTHY = 1
    LOST = 2


class ZoneVote(NamedTuple):
    """A witness's vote on a zone; its sequence number orders the votes of one witness."""

    witness: int
    zone: int
    status: ZoneStatus
    sequence: int


class ReceivedVote(NamedTuple):
    """A vote with the time (ms) at which it was received, and since when its witness has voted for that status."""

    vote: ZoneVote
    received_at: float
    status_since: float


def choose_witnesses(zone: int, members: Iterable[int]) -> list[int]:
    """Return the witnesses of a zone among the members, the same at every router that knows the same members."""

    def rank(member: int) -> tuple[int, int]:
        return mix(mix(zone + 1) ^ mix(member + 1)), member

    return sorted(members, key=rank, reverse=True)[:WITNESS_COUNT]


class VoteTable:
    """The newest vote of each witness on each zone."""

    __slots__ = ("_votes",)

    def __init__(self) -> None:
        self._votes: dict[tuple[int, int], ReceivedVote] = {}  # by zone and witness

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
        """Return the votes on a zone by its present witnesses that have not expired."""
        return [
            received
            for (voted_zone, witness), received in self._votes.items()
            if voted_zone == zone and witness in witnesses and now - received.received_at < VOTE_LIFETIME_MS
        ]
