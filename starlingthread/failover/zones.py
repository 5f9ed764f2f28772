"""What the decision module asks: may this key go to that zone now? From the fleet's plan, and from what we see.

A zone that this router alone can't see it leaves alone as well, whatever the plan: it spills no more than its own part
then. Who finds out that a zone is back: while the plan has it lost, its witnesses, one request each in a while; else
every router that left it alone by itself.
"""

from __future__ import annotations

from collections.abc import Iterable

from ..events import AttemptResult
from .evidence import ZoneEvidence
from .plan import Change, Plan, ZoneStatus, ZoneVote
from .topology import Topology

TRY_EVERY = 250.0  # ms between requests that a router risks in a zone that it leaves alone
MOST_TRY = 4000.0  # ms; the pause is doubled with each that comes to nothing
SILENT = (AttemptResult.TIMEOUT, AttemptResult.CONNECT_FAILED)
FRESH = 3000.0  # ms for which a word from a zone shows that it is there


class ZoneFailover:
    """One router's evidence and plan."""

    def __init__(self, me: int, members: Iterable[int]) -> None:
        self.plan = Plan(me, members)
        self.topology = Topology((), {})
        self.region_round_trip_ms = 0.0  # ms that it takes longer, there and back, in another region
        self.drained: frozenset[int] = frozenset()  # by operators
        self.evidence: dict[int, ZoneEvidence] = {}
        self.server_counts: dict[int, int] = {}  # listed servers by zone
        self.outgoing_votes: list[ZoneVote] = []  # taken out by who tells them to all
        self._shut: dict[int, tuple[float, float]] = {}  # left alone by ourselves: when to try next, and the pause

    def set_servers(self, servers: Iterable[tuple[int, int]]) -> None:
        """Take in zone and number of each server that is ready; what others owe tells nothing of their zone."""
        self.server_counts, listed = {}, {*servers}
        for zone, _ in listed:
            self.server_counts[zone] = self.server_counts.get(zone, 0) + 1
        for zone, seen in self.evidence.items():
            seen.retain_servers({server for where, server in listed if where == zone})

    def on_response(self, now: float, zone: int, server: int, elapsed: float) -> None:
        """Take in a word from a server of a zone."""
        self._of(zone).on_response(now, server, elapsed)
        if self._shut.pop(zone, None) is not None or self._is_lost(zone):
            self._say(now, zone)  # while it is only in question, the tick does

    def on_outcome(self, now: float, zone: int, server: int, result: AttemptResult, sent_at: float) -> None:
        """Take in how an attempt ended."""
        if result in SILENT:
            self.on_no_response(now, zone, server, sent_at)
        elif result not in (AttemptResult.CANCELLED, AttemptResult.NOT_SENT):
            self.on_response(now, zone, server, now - sent_at)
        else:
            self._of(zone).pending_since.pop(server, None)

    def on_no_response(self, now: float, zone: int, server: int, sent_at: float) -> None:
        """Take in that what was sent to a server then stayed without an answer or found no connection."""
        self._of(zone).on_no_response(server, sent_at)
        self._look(now, zone)

    def _look(self, now: float, zone: int) -> None:
        if self._of(zone).is_lost(self.server_counts.get(zone, 0)):
            self._shut.setdefault(zone, (now + TRY_EVERY, TRY_EVERY))
            self._say(now, zone)

    def _of(self, zone: int) -> ZoneEvidence:
        return self.evidence.setdefault(zone, ZoneEvidence())

    def is_open(self, now: float, zone: int, key: int) -> bool:
        """Tell whether a request for a key (a 64-bit hash) may go to a zone now, be it to find out if it is back.

        Where all zones would be left alone none is: then it is we who see nothing, or nothing is better than the rest.
        What operators close stays closed all the same.
        """
        if zone in self.drained:
            return False
        return self._may(now, zone, key) or not any(self._may(now, other, key) for other in self.server_counts)

    def extra_latency(self, here: int, there: int) -> float:
        """Return the ms that a request takes longer for leaving the region."""
        return self.region_round_trip_ms if self.topology.step(here, there) > 1 else 0.0

    def _may(self, now: float, zone: int, key: int) -> bool:
        if zone in self.drained:
            return False
        if self._is_lost(zone) and self.plan.router_index not in self.plan.witnesses(zone):
            return False  # the witnesses find out for all
        if zone in self._shut:
            return now >= self._shut[zone][0]
        return self._is_lost(zone) or self.plan.is_open(now, zone, key)

    def _is_lost(self, zone: int) -> bool:
        plan = self.plan.zones.get(zone)
        return plan is not None and plan.lost

    def on_sent(self, now: float, zone: int, server: int) -> None:
        """Take in that a request goes to a server: if its zone is left alone, the next one waits for longer."""
        self._of(zone).on_sent(now, server)
        if zone in self._shut or self._is_lost(zone):
            _, pause = self._shut.get(zone, (now, TRY_EVERY))
            self._shut[zone] = (now + pause, min(MOST_TRY, 2 * pause))

    # what is told and heard

    def _say(self, now: float, zone: int) -> None:
        seen = self._of(zone)
        says: ZoneStatus | None = ZoneStatus.LOST
        if not seen.is_lost(self.server_counts.get(zone, 0)):  # what was heard before it was called lost is old
            says = (
                ZoneStatus.HEALTHY
                if seen.last_response_at > max(now - FRESH, self.plan.lost_since(now, zone))
                else None
            )
        if (word := self.plan.cast_vote(now, zone, says)) is not None:
            self.outgoing_votes.append(word)
        was_lost = self._is_lost(zone)
        self.plan.update_zone(now, zone)
        if was_lost and not self._is_lost(zone) and zone in self._shut:
            self._shut[zone] = (now, TRY_EVERY)  # the others hear it again: see for ourselves

    def receive_votes(self, now: float, words: Iterable[ZoneVote]) -> None:
        """Take in the words of another router, and say what we see of the same zones."""
        for word in words:
            if self.plan.receive_vote(now, word):
                self._say(now, word.zone)

    def tick(self, now: float) -> None:
        """Do what time brings, a few times a second: words run out, and are told again while a zone is in question."""
        for zone, seen in self.evidence.items():
            seen.expire_pending(now)
            self._look(now, zone)
        for zone in {zone for zone, _ in self.plan.votes} | set(self.plan.zones) | set(self._shut):
            self._say(now, zone)

    def set_members(self, members: Iterable[int]) -> None:
        """Take in which routers live."""
        self.plan.set_members(members)

    def take_changes(self) -> list[Change]:
        """Return what has changed in the plan since it was asked last."""
        done, self.plan.changes = self.plan.changes, []
        return done

    def closed_shares(self, now: float) -> dict[int, float]:
        """Return for each zone that is not wholly open the share of keys that it may have."""
        shares = {zone: plan.open_share(now) for zone, plan in self.plan.zones.items()}
        shares.update(dict.fromkeys((*self._shut, *self.drained), 0.0))
        return {zone: share for zone, share in shares.items() if share < 1}
