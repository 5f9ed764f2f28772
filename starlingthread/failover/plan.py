"""One plan for the fleet, without a leader: which zones all leave alone, out of what the routers tell one another.

A few routers are the witnesses of a zone, the same ones at everybody's reckoning: those with the greatest hash of zone
and number. While all is well nobody says anything. Once a witness sees the zone as lost it tells all others, and then
the other witnesses say what they see: lost, or well. A word has a number that only its witness raises, so the newest
wins whatever the order in which words come, and an old one never comes back. The plan is reckoned from the words alone:
whoever has heard the same words has the same plan.

A zone is lost once most of the witnesses with something to say call it that, and at least two do: one liar moves
nothing, nor does a router whose own link is cut, as nobody carries the words of others. A word is good for some time
only, so that the word of a router that stands still or is cut off runs out.

Coming back is damped: the zone is left alone the longer the more often it was lost lately, and then has a share of the
keys that grows in steps, the same keys at all routers, as what comes back asks the origin for what it lost.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from enum import IntEnum
from typing import NamedTuple

from ..balance.rendezvous import MASK, mix

WITNESSES = 15  # of a zone; odd, so that two halves do not tie
LEAST_WORDS = 2  # that call a zone lost
LIFE = 3000.0  # ms for which a word is good
SETTLE = 500.0  # ms for which others may speak against it before a zone is lost, unless most witnesses call it that
AGAIN = LIFE / 3  # ms after which its witness tells it anew while the zone is in question: two in a row may be lost
HOLD = 500.0  # ms for which a zone that is well again is left alone, doubled for each further loss in the last minute
MOST_HOLD = 30000.0
REMEMBERED = 60000.0  # ms for which a loss counts
STEPS = 8  # in which the keys come back
STEP = 250.0  # ms
AHEAD = 3600e3  # ms by which a number may be ahead of our clock: it is the time of the wall clock, or one more


class ZoneStatus(IntEnum):
    """What a witness says of a zone."""

    HEALTHY = 1
    LOST = 2


class ZoneVote(NamedTuple):
    """What a witness says, with its own number for the order in which it said so."""

    witness: int
    zone: int
    status: ZoneStatus
    sequence: int


class Change(NamedTuple):
    """The plan has changed: for a line in the log."""

    zone: int
    lost: bool
    lost_votes: int
    votes: int


def witnesses(zone: int, members: Iterable[int]) -> list[int]:
    """Return the witnesses of a zone among the members, the same at whoever knows the same members."""
    return sorted(members, key=lambda member: (mix(mix(zone + 1) ^ mix(member + 1)), member), reverse=True)[:WITNESSES]


class ZonePlan:
    """What is held of one zone that was in question at some time."""

    __slots__ = ("loss_times", "lost", "closed_until")

    def __init__(self) -> None:
        self.lost = False
        self.loss_times: list[float] = []  # when it was lost, in the last minute
        self.closed_until = -math.inf  # when the first keys come back

    def open_share(self, now: float) -> float:
        """Return the share of keys that the zone may have."""
        if self.lost or now < self.closed_until:
            return 0.0
        return min(1.0, (1 + math.floor(min(now - self.closed_until, STEPS * STEP) / STEP)) / STEPS)

    def set_lost(self, now: float, lost: bool) -> None:
        """Take it for lost, or for well again."""
        self.lost = lost
        self.loss_times = [at for at in self.loss_times if now - at < REMEMBERED] + [now] * lost
        if not lost:
            self.closed_until = now + min(MOST_HOLD, HOLD * (1 << min(16, max(0, len(self.loss_times) - 1))))


class Plan:
    """One router's view of the words, and the plan that follows from them."""

    def __init__(self, me: int, members: Iterable[int]) -> None:
        self.router_index = me
        self.votes: dict[tuple[int, int], tuple[ZoneVote, float]] = {}  # by zone and witness, with when we took it in
        self.zones: dict[int, ZonePlan] = {}
        self.changes: list[Change] = []  # taken out by who shows them
        self._number = 0  # of our last word
        self._since: dict[tuple[int, int], float] = {}  # when a witness began to say what it says
        self.set_members(members)

    def set_members(self, members: Iterable[int]) -> None:
        """Take in which routers live; the words of others count no more."""
        self.members = frozenset(members) | {self.router_index}
        self._chosen: dict[int, frozenset[int]] = {}

    def witnesses(self, zone: int) -> frozenset[int]:
        """Return the witnesses of a zone."""
        if zone not in self._chosen:
            self._chosen[zone] = frozenset(witnesses(zone, self.members))
        return self._chosen[zone]

    def is_contested(self, now: float, zone: int) -> bool:
        """Tell whether anybody calls a zone lost, or all have left it alone."""
        plan = self.zones.get(zone)
        return (plan is not None and plan.lost) or any(w.status == ZoneStatus.LOST for w in self.valid_votes(now, zone))

    def valid_votes(self, now: float, zone: int) -> list[ZoneVote]:
        """Return the words on a zone that count: of its living witnesses, and not too old."""
        chosen = self.witnesses(zone)
        return [word for (z, who), (word, at) in self.votes.items() if z == zone and who in chosen and now - at < LIFE]

    def lost_since(self, now: float, zone: int) -> float:
        """Return when the first of those who call a zone lost began to, as we heard it; infinite if nobody does."""
        words = self.valid_votes(now, zone)
        return min((self._since[zone, w.witness] for w in words if w.status == ZoneStatus.LOST), default=math.inf)

    def cast_vote(self, now: float, zone: int, says: ZoneStatus | None) -> ZoneVote | None:
        """Say what we see of a zone (None: nothing lately); return the word if it is to be told to all."""
        old = self.votes.get((zone, self.router_index))
        if says is None or self.router_index not in self.witnesses(zone):
            self.votes.pop((zone, self.router_index), None)
            return None
        if old is not None and old[0].status == says and now - old[1] < AGAIN:
            return None
        if says == ZoneStatus.HEALTHY and not self.is_contested(now, zone):
            return None
        self._number = max(self._number + 1, int(now))  # so a router that was started anew outdoes its old words
        word = ZoneVote(self.router_index, zone, says, self._number)
        self._put(now, word)
        return word

    def receive_vote(self, now: float, word: ZoneVote) -> bool:
        """Take in a word from its witness; tell whether it is news. now: ms of the wall clock."""
        old = self.votes.get((word.zone, word.witness))
        if (
            word.witness == self.router_index
            or word.sequence > now + AHEAD
            or (old is not None and old[0].sequence >= word.sequence)
        ):
            return False
        self._put(now, word)
        return True

    def _put(self, now: float, word: ZoneVote) -> None:
        place = (word.zone, word.witness)
        old = self.votes.get(place)
        if old is None or old[0].status != word.status or now - old[1] > LIFE:
            self._since[place] = now
        self.votes[place] = (word, now)

    def update_zone(self, now: float, zone: int) -> None:
        """Reckon the plan for a zone anew. Who hears no word leaves no zone alone for the fleet."""
        words = self.valid_votes(now, zone)
        lost_words = sum(word.status == ZoneStatus.LOST for word in words)
        lost = lost_words >= LEAST_WORDS and 2 * lost_words > len(words)
        plan = self.zones.get(zone)
        if lost and (plan is None or not plan.lost) and 2 * lost_words <= len(self.witnesses(zone)):
            lost = now - self.lost_since(now, zone) >= SETTLE
        if plan is None and lost:
            plan = self.zones[zone] = ZonePlan()
        if plan is not None and plan.lost != lost:
            plan.set_lost(now, lost)
            self.changes.append(Change(zone, lost, lost_words, len(words)))

    def is_open(self, now: float, zone: int, key: int) -> bool:
        """Tell whether a key (a 64-bit hash) may go to a zone now, by the plan."""
        plan = self.zones.get(zone)
        return plan is None or mix(key ^ mix(zone + 1)) < plan.open_share(now) * MASK
