"""Whether a request may go to a zone, by the fleet's plan and by what this router observes itself.

A router that observes a zone as lost avoids it whatever the plan says: it then diverts no more than its own traffic.
Trial requests find out that a zone has recovered. While the plan has the zone as lost, only its witnesses send them;
otherwise each router that avoids the zone by itself does.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from ..events import AttemptResult
from .evidence import ZoneEvidence
from .plan import FailoverPlan, PlanChange
from .topology import Distance, Topology
from .votes import ZoneStatus, ZoneVote

FIRST_TRIAL_DELAY_MS = 250.0  # ms between trial requests to a closed zone; doubled with each that gets no response
MAX_TRIAL_DELAY_MS = 4000.0  # ms
RESPONSE_LIFETIME_MS = 3000.0  # ms for which a response shows that a zone is healthy
NO_RESPONSE = (AttemptResult.TIMEOUT, AttemptResult.CONNECT_FAILED)
NO_EVIDENCE = (AttemptResult.CANCELLED, AttemptResult.NOT_SENT)


class TrialBackoff(NamedTuple):
    """When the next trial request may go to a zone, and the delay after it; both in ms."""

    next_trial_at: float
    delay: float


class ZoneFailover:
    """One router's evidence and plan. Times are ms of the wall clock."""

    def __init__(self, router_index: int, members: Iterable[int]) -> None:
        self.plan = FailoverPlan(router_index, members)
        self.topology = Topology((), {})
        self.region_round_trip_ms = 0.0  # added to a request to another region
        self.drained: frozenset[int] = frozenset()  # zones that operators have closed
        self.evidence: dict[int, ZoneEvidence] = {}
        self.server_counts: dict[int, int] = {}  # listed servers by zone
        self.outgoing_votes: list[ZoneVote] = []  # not yet taken
        self._backoffs: dict[int, TrialBackoff] = {}  # of the zones that this router avoids by itself

    def set_servers(self, servers: Iterable[tuple[int, int]]) -> None:
        """Set the servers that are ready, as zone and number; evidence about any other one is dropped."""
        by_zone: dict[int, set[int]] = {}
        for zone, server in servers:
            by_zone.setdefault(zone, set()).add(server)
        self.server_counts = {zone: len(numbers) for zone, numbers in by_zone.items()}
        for zone, evidence in self.evidence.items():
            evidence.retain_servers(by_zone.get(zone, set()))

    def set_members(self, members: Iterable[int]) -> None:
        """Set the routers that are alive."""
        self.plan.set_members(members)

    # requests

    def is_open(self, now: float, zone: int, key: int) -> bool:
        """Tell whether a request for a key (a 64-bit hash) may go to a zone now, be it as a trial.

        If no zone may serve the key, all but the drained ones may: either this router itself is cut off, or no zone is
        better than the rest.
        """
        if zone in self.drained:
            return False
        return self._allows(now, zone, key) or not any(self._allows(now, other, key) for other in self.server_counts)

    def _allows(self, now: float, zone: int, key: int) -> bool:
        if zone in self.drained:
            return False
        is_lost = self.plan.is_lost(zone)
        if is_lost and not self.plan.is_witness(zone):
            return False
        backoff = self._backoffs.get(zone)
        if backoff is not None:
            return now >= backoff.next_trial_at
        return is_lost or self.plan.is_open(now, zone, key)

    def extra_latency(self, source: int, target: int) -> float:
        """Return the ms that a request takes longer because it leaves the region."""
        if self.topology.distance(source, target) == Distance.OTHER_REGION:
            return self.region_round_trip_ms
        return 0.0

    def on_sent(self, now: float, zone: int, server: int) -> None:
        """Record a request to a server; if its zone is closed, this is a trial and the next one waits longer."""
        self._evidence_of(zone).on_sent(now, server)
        if zone in self._backoffs or self.plan.is_lost(zone):
            delay = self._backoffs[zone].delay if zone in self._backoffs else FIRST_TRIAL_DELAY_MS
            self._backoffs[zone] = TrialBackoff(now + delay, min(MAX_TRIAL_DELAY_MS, 2 * delay))

    def on_outcome(self, now: float, zone: int, server: int, result: AttemptResult, sent_at: float) -> None:
        """Record how an attempt that was sent at that time has ended."""
        if result in NO_RESPONSE:
            self.on_no_response(now, zone, server, sent_at)
        elif result in NO_EVIDENCE:
            self._evidence_of(zone).on_abandoned(server)
        else:
            self.on_response(now, zone, server, now - sent_at)

    def on_response(self, now: float, zone: int, server: int, elapsed: float) -> None:
        """Record a response of any kind from a server, and the ms that it took."""
        self._evidence_of(zone).on_response(now, server, elapsed)
        was_avoided = self._backoffs.pop(zone, None) is not None
        if was_avoided or self.plan.is_lost(zone):  # a zone that is merely contested is left to the tick
            self._vote(now, zone)

    def on_no_response(self, now: float, zone: int, server: int, sent_at: float) -> None:
        """Record that a request sent at that time got no response, or found no connection."""
        self._evidence_of(zone).on_no_response(server, sent_at)
        self._avoid_if_lost(now, zone)

    def _evidence_of(self, zone: int) -> ZoneEvidence:
        return self.evidence.setdefault(zone, ZoneEvidence())

    def _is_observed_lost(self, zone: int) -> bool:
        return self._evidence_of(zone).is_lost(self.server_counts.get(zone, 0))

    def _avoid_if_lost(self, now: float, zone: int) -> None:
        if self._is_observed_lost(zone):
            self._backoffs.setdefault(zone, TrialBackoff(now + FIRST_TRIAL_DELAY_MS, FIRST_TRIAL_DELAY_MS))
            self._vote(now, zone)

    # votes

    def receive_votes(self, now: float, votes: Iterable[ZoneVote]) -> None:
        """Merge the votes of another router, and vote on the same zones."""
        for vote in votes:
            if self.plan.receive_vote(now, vote):
                self._vote(now, vote.zone)

    def tick(self, now: float) -> None:
        """Expire pending requests and votes, and repeat the votes on contested zones; call it every 100 ms or so."""
        for zone, evidence in self.evidence.items():
            evidence.expire_pending(now)
            self._avoid_if_lost(now, zone)
        for zone in self.plan.votes.zones() | set(self.plan.zones) | set(self._backoffs):
            self._vote(now, zone)

    def take_outgoing_votes(self) -> list[ZoneVote]:
        """Return the votes to be sent to all other routers that were cast since the last call."""
        votes, self.outgoing_votes = self.outgoing_votes, []
        return votes

    def take_changes(self) -> list[PlanChange]:
        """Return the changes of the plan since the last call."""
        return self.plan.take_changes()

    def open_shares(self, now: float) -> dict[int, float]:
        """Return the share of the keys that a zone may serve, for each zone that is not fully open."""
        shares = {zone: state.open_share(now) for zone, state in self.plan.zones.items()}
        shares.update(dict.fromkeys((*self._backoffs, *self.drained), 0.0))
        return {zone: share for zone, share in shares.items() if share < 1}

    def _observed_status(self, now: float, zone: int) -> ZoneStatus | None:
        if self._is_observed_lost(zone):
            return ZoneStatus.LOST
        # A response from before the first vote for a loss says nothing against it.
        outdated = max(now - RESPONSE_LIFETIME_MS, self.plan.lost_since(now, zone))
        return ZoneStatus.HEALTHY if self._evidence_of(zone).last_response_at > outdated else None

    def _vote(self, now: float, zone: int) -> None:
        vote = self.plan.cast_vote(now, zone, self._observed_status(now, zone))
        if vote is not None:
            self.outgoing_votes.append(vote)
        was_lost = self.plan.is_lost(zone)
        self.plan.update_zone(now, zone)
        if was_lost and not self.plan.is_lost(zone) and zone in self._backoffs:
            self._backoffs[zone] = TrialBackoff(now, FIRST_TRIAL_DELAY_MS)  # others reach it again: try at once
