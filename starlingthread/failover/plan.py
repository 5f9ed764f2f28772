"""The fleet's failover plan: which zones are lost, decided without a leader from the votes of each zone's witnesses.

While all zones are healthy nobody votes. A witness that observes a zone as lost sends its vote to all routers, and the
other witnesses then vote too, lost or healthy. The plan is a function of the votes alone, so routers that have received
the same votes have the same plan.

A zone is lost once the majority of the votes says so, and at least two do: a single faulty witness changes nothing, nor
does a router whose own link is cut, as votes are not relayed.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import NamedTuple

from ..balance.rendezvous import HASH_MASK, mix
from .recovery import ZoneState
from .votes import (
    MAX_SEQUENCE_AHEAD,
    VOTE_LIFETIME,
    ReceivedVote,
    VoteTable,
    ZoneStatus,
    ZoneVote,
    choose_witnesses,
)

MIN_LOST_VOTES = 2
SETTLE_TIME = 500.0  # ms for which others may vote against a loss, unless the majority of all witnesses votes for it
REPEAT_INTERVAL = VOTE_LIFETIME / 3  # ms between votes on a contested zone: two datagrams in a row may be lost


class PlanChange(NamedTuple):
    """The plan has changed: a zone is now lost, or recovered."""

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
        self._sequence = 0  # of our last vote
        self.set_members(members)

    def set_members(self, members: Iterable[int]) -> None:
        """Set the routers that are alive; votes of others no longer count."""
        self._members = frozenset(members) | {self.router_index}
        self._witnesses: dict[int, frozenset[int]] = {}

    def witnesses(self, zone: int) -> frozenset[int]:
        """Return the witnesses of a zone."""
        if zone not in self._witnesses:
            self._witnesses[zone] = frozenset(choose_witnesses(zone, self._members))
        return self._witnesses[zone]

    def is_witness(self, zone: int) -> bool:
        """Tell whether this router is a witness of a zone."""
        return self.router_index in self.witnesses(zone)

    def is_lost(self, zone: int) -> bool:
        """Tell whether the fleet considers a zone lost."""
        state = self.zones.get(zone)
        return state is not None and state.lost

    def is_open(self, now: float, zone: int, key: int) -> bool:
        """Tell whether a zone may serve a key (a 64-bit hash) by the plan."""
        state = self.zones.get(zone)
        return state is None or mix(key ^ mix(zone + 1)) < state.open_share(now) * HASH_MASK

    def is_contested(self, now: float, zone: int) -> bool:
        """Tell whether a zone is lost, or any valid vote calls it lost."""
        return self.is_lost(zone) or bool(self._lost_votes(now, zone))

    def lost_since(self, now: float, zone: int) -> float:
        """Return when the first of the valid votes for a loss was received; infinity if there is none."""
        return min((received.status_since for received in self._lost_votes(now, zone)), default=math.inf)

    def valid_votes(self, now: float, zone: int) -> list[ReceivedVote]:
        """Return the votes on a zone that count: of its living witnesses, and not expired."""
        return self.votes.valid(now, zone, self.witnesses(zone))

    def _lost_votes(self, now: float, zone: int) -> list[ReceivedVote]:
        return [received for received in self.valid_votes(now, zone) if received.vote.status == ZoneStatus.LOST]

    def cast_vote(self, now: float, zone: int, status: ZoneStatus | None) -> ZoneVote | None:
        """Vote on a zone by what this router observes (None: nothing recent); return the vote if it is to be sent."""
        if status is None or not self.is_witness(zone):
            self.votes.remove(zone, self.router_index)
            return None
        previous = self.votes.get(zone, self.router_index)
        if previous is not None and previous.vote.status == status and now - previous.received_at < REPEAT_INTERVAL:
            return None
        if status == ZoneStatus.HEALTHY and not self.is_contested(now, zone):
            return None
        # At least the time in ms, so that the votes of a restarted router supersede those of its last run.
        self._sequence = max(self._sequence + 1, int(now))
        vote = ZoneVote(self.router_index, zone, status, self._sequence)
        self.votes.put(now, vote)
        return vote

    def receive_vote(self, now: float, vote: ZoneVote) -> bool:
        """Merge a vote of another router; tell whether it was newer than the last one."""
        if vote.witness == self.router_index or vote.sequence > now + MAX_SEQUENCE_AHEAD:
            return False
        previous = self.votes.get(vote.zone, vote.witness)
        if previous is not None and previous.vote.sequence >= vote.sequence:
            return False
        self.votes.put(now, vote)
        return True

    def update_zone(self, now: float, zone: int) -> None:
        """Decide anew whether a zone is lost. Without any vote it is not."""
        votes = len(self.valid_votes(now, zone))
        lost_votes = len(self._lost_votes(now, zone))
        lost = lost_votes >= MIN_LOST_VOTES and 2 * lost_votes > votes
        is_certain = 2 * lost_votes > len(self.witnesses(zone))
        if lost and not self.is_lost(zone) and not is_certain:
            lost = now - self.lost_since(now, zone) >= SETTLE_TIME
        if lost == self.is_lost(zone):
            return
        self.zones.setdefault(zone, ZoneState()).set_lost(now, lost)
        self._changes.append(PlanChange(zone, lost, lost_votes, votes))

    def take_changes(self) -> list[PlanChange]:
        """Return the changes since the last call."""
        changes, self._changes = self._changes, []
        return changes
