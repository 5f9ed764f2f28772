"""The fleet's failover plan: which zones are lost, decided without a leader from the votes of each zone's witnesses.

No router votes while all zones are healthy. A witness that observes a zone as lost sends its vote to all routers, and
the other witnesses then vote too, for lost or for healthy. The plan is a function of the votes alone, so routers that
have received the same votes have the same plan.

A zone is lost once a majority of the votes, and at least two of them, are for lost. A single faulty witness therefore
changes nothing. Nor does a router whose own link is down, because votes are not relayed.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import NamedTuple

from ..balance.rendezvous import HASH_MASK, mix
from .recovery import ZoneState
from .votes import (
    MAX_SEQUENCE_AHEAD_MS,
    VOTE_LIFETIME_MS,
    ReceivedVote,
    VoteTable,
    ZoneStatus,
    ZoneVote,
    choose_witnesses,
)

MIN_LOST_VOTES = 2
# Time for the other witnesses to vote against a loss; not awaited once a majority of all witnesses has voted for it.
SETTLE_TIME_MS = 500.0
# Interval between repeated votes on a contested zone; votes stay valid if two datagrams in a row are lost.
VOTE_REPEAT_INTERVAL_MS = VOTE_LIFETIME_MS / 3


class PlanChange(NamedTuple):
    """A change of the plan: a zone is now lost, or has recovered."""

    zone: int
    lost: bool
    lost_votes: int
    votes: int


class FailoverPlan:
    """One router's copy of the votes, and the plan that follows from them. Times are ms of the wall clock."""

    def __init__(self, router_index: int, members: Iterable[int]) -> None:
        self.router_index = router_index
        self.votes = VoteTable()
        self.zones: dict[int, ZoneState] = {}
        self._changes: list[PlanChange] = []
        self._sequence = 0  # The sequence number of this router's last vote.
        self.set_members(members)

    def set_members(self, members: Iterable[int]) -> None:
        """Set the routers that are alive; votes of other routers no longer count."""
        self._members = frozenset(members) | {self.router_index}
        self._witnesses: dict[int, frozenset[int]] = {}

    def witnesses(self, zone: int) -> frozenset[int]:
        """Return the witnesses of a zone."""
        if zone not in self._witnesses:
            self._witnesses[zone] = frozenset(choose_witnesses(zone, self._members))
        return self._witnesses[zone]

    def is_witness(self, zone: int) -> bool:
        """Return whether this router is a witness of a zone."""
        return self.router_index in self.witnesses(zone)

    def is_lost(self, zone: int) -> bool:
        """Return whether the fleet considers a zone lost."""
        state = self.zones.get(zone)
        return state is not None and state.lost

    def is_open(self, now: float, zone: int, key: int) -> bool:
        """Return whether the plan lets a zone serve a key (a 64-bit hash)."""
        state = self.zones.get(zone)
        return state is None or mix(key ^ mix(zone + 1)) < state.open_share(now) * HASH_MASK

    def is_contested(self, now: float, zone: int) -> bool:
        """Return whether a zone is lost by the plan or by any valid vote."""
        return self.is_lost(zone) or bool(self._lost_votes(now, zone))

    def lost_since(self, now: float, zone: int) -> float:
        """Return when the first of the valid votes for a loss was received; infinity if there is none."""
        return min((received.status_since for received in self._lost_votes(now, zone)), default=math.inf)

    def valid_votes(self, now: float, zone: int) -> list[ReceivedVote]:
        """Return the unexpired votes on a zone by its witnesses that are alive."""
        return self.votes.valid(now, zone, self.witnesses(zone))

    def _lost_votes(self, now: float, zone: int) -> list[ReceivedVote]:
        return [received for received in self.valid_votes(now, zone) if received.vote.status == ZoneStatus.LOST]

    def cast_vote(self, now: float, zone: int, status: ZoneStatus | None) -> ZoneVote | None:
        """Vote on a zone by the status that this router observes; return the vote if it has to be sent.

        status: None if this router has no recent evidence, which withdraws its vote.
        """
        if status is None or not self.is_witness(zone):
            self.votes.remove(zone, self.router_index)
            return None
        previous = self.votes.get(zone, self.router_index)
        if (
            previous is not None
            and previous.vote.status == status
            and now - previous.received_at < VOTE_REPEAT_INTERVAL_MS
        ):
            return None
        if status == ZoneStatus.HEALTHY and not self.is_contested(now, zone):
            return None
        # Sequence numbers start at the Unix time in ms, so the votes of a restarted router supersede its earlier ones.
        self._sequence = max(self._sequence + 1, int(now))
        vote = ZoneVote(self.router_index, zone, status, self._sequence)
        self.votes.put(now, vote)
        return vote

    def receive_vote(self, now: float, vote: ZoneVote) -> bool:
        """Merge a vote of another router; return whether it is newer than the stored one."""
        if vote.witness == self.router_index or vote.sequence > now + MAX_SEQUENCE_AHEAD_MS:
            return False
        previous = self.votes.get(vote.zone, vote.witness)
        if previous is not None and previous.vote.sequence >= vote.sequence:
            return False
        self.votes.put(now, vote)
        return True

    def update_zone(self, now: float, zone: int) -> None:
        """Recompute whether a zone is lost. A zone without valid votes is not."""
        votes = len(self.valid_votes(now, zone))
        lost_votes = len(self._lost_votes(now, zone))
        lost = lost_votes >= MIN_LOST_VOTES and 2 * lost_votes > votes
        has_absolute_majority = 2 * lost_votes > len(self.witnesses(zone))
        if lost and not self.is_lost(zone) and not has_absolute_majority:
            lost = now - self.lost_since(now, zone) >= SETTLE_TIME_MS
        if lost == self.is_lost(zone):
            return
        self.zones.setdefault(zone, ZoneState()).set_lost(now, lost)
        self._changes.append(PlanChange(zone, lost, lost_votes, votes))

    def take_changes(self) -> list[PlanChange]:
        """Return the changes since the last call."""
        changes, self._changes = self._changes, []
        return changes
