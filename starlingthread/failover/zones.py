"""Decides whether a request may go to a zone, by the fleet's plan and by what this router observes itself.

A router that observes a zone as lost avoids it whatever the plan says; this diverts only its own traffic. Trial
requests detect that a zone has recovered. While the zone is lost in the plan, only its witnesses send them; otherwise
each router that avoids the zone on its own evidence does.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from ..events import AttemptResult
from .evidence import ZoneEvidence
from .plan import FailoverPlan, PlanChange
from .topology import Distance, Topology
from .votes import ZoneStatus, ZoneVote

# The delay between trial requests to a closed zone doubles from the first to the maximum while they get no response.
FIRST_TRIAL_DELAY_MS = 250.0
MAX_TRIAL_DELAY_MS = 4000.0
# Time for which a response counts as evidence that its zone is healthy.
RESPONSE_LIFETIME_MS = 3000.0
NO_RESPONSE = (AttemptResult.TIMEOUT, AttemptResult.CONNECT_FAILED)
NO_EVIDENCE = (AttemptResult.CANCELLED, AttemptResult.NOT_SENT)


class TrialBackoff(NamedTuple):
    """The time at which the next trial request may go to a zone, and the delay after that request; both in ms."""

    next_trial_at: float
    delay: float


class ZoneFailover:
    """One router's evidence about the zones and its copy of the plan. Times are ms of the wall clock."""

    def __init__(self, router_index: int, members: Iterable[int]) -> None:
        self.plan = FailoverPlan(router_index, members)
        self.topology = Topology((), {})
        self.region_round_trip_ms = 0.0  # The latency that a request to another region adds.
        self.drained: frozenset[int] = frozenset()  # The zones that operators have taken out of service.
        self.evidence: dict[int, ZoneEvidence] = {}
        self.server_counts: dict[int, int] = {}  # The number of ready servers of each zone.
        self.outgoing_votes: list[ZoneVote] = []  # The votes that take_outgoing_votes has not returned yet.
        # The closed zones to which this router sends trial requests: those that it observes as lost, and those that are
        # lost in the plan and to which it has sent a request.
        self._backoffs: dict[int, TrialBackoff] = {}

    def set_servers(self, servers: Iterable[tuple[int, int]]) -> None:
        """Set the servers that are ready, as pairs of zone and server number; drop the evidence about all others."""
        by_zone: dict[int, set[int]] = {}
        for zone, server in servers:
            by_zone.setdefault(zone, set()).add(server)
        self.server_counts = {zone: len(numbers) for zone, numbers in by_zone.items()}
        for zone, evidence in self.evidence.items():
            evidence.retain_servers(by_zone.get(zone, set()))

    def set_members(self, members: Iterable[int]) -> None:
        """Set the routers that are alive."""
        self.plan.set_members(members)

    # Admission and outcomes of requests.

    def is_open(self, now: float, zone: int, key: int) -> bool:
        """Return whether a request for a key (a 64-bit hash) may go to a zone now, as a normal or a trial request.

        If no zone may serve the key, all zones but the drained ones may (fail open): either this router itself is
        partitioned, or no zone is in better health than the others.
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
        """Return the additional latency (ms) of a request from the source zone to the target zone."""
        if self.topology.distance(source, target) == Distance.OTHER_REGION:
            return self.region_round_trip_ms
        return 0.0

    def on_sent(self, now: float, zone: int, server: int) -> None:
        """Record a request to a server; in a closed zone it is a trial request and doubles the delay to the next."""
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
        """Record a response of any kind from a server, and how long it took (ms)."""
        self._evidence_of(zone).on_response(now, server, elapsed)
        was_avoided = self._backoffs.pop(zone, None) is not None
        # For a zone that is only contested, tick casts the vote.
        if was_avoided or self.plan.is_lost(zone):
            self._vote(now, zone)

    def on_no_response(self, now: float, zone: int, server: int, sent_at: float) -> None:
        """Record that a request sent at that time got no response, or that its connection attempt failed."""
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

    # Exchange of votes.

    def receive_votes(self, now: float, votes: Iterable[ZoneVote]) -> None:
        """Merge the votes of another router, and vote on the same zones."""
        for vote in votes:
            if self.plan.receive_vote(now, vote):
                self._vote(now, vote.zone)

    def tick(self, now: float) -> None:
        """Expire pending requests and votes, and repeat the votes on contested zones. Call this about every 100 ms."""
        for zone, evidence in self.evidence.items():
            evidence.expire_pending(now)
            self._avoid_if_lost(now, zone)
        for zone in self.plan.votes.zones() | set(self.plan.zones) | set(self._backoffs):
            self._vote(now, zone)

    def take_outgoing_votes(self) -> list[ZoneVote]:
        """Return the votes cast since the last call; the caller sends them to all other routers."""
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
        # A response that predates the first vote for a loss is no evidence against the loss.
        outdated_until = max(now - RESPONSE_LIFETIME_MS, self.plan.lost_since(now, zone))
        return ZoneStatus.HEALTHY if self._evidence_of(zone).last_response_at > outdated_until else None

    def _vote(self, now: float, zone: int) -> None:
        vote = self.plan.cast_vote(now, zone, self._observed_status(now, zone))
        if vote is not None:
            self.outgoing_votes.append(vote)
        was_lost = self.plan.is_lost(zone)
        self.plan.update_zone(now, zone)
        if was_lost and not self.plan.is_lost(zone) and zone in self._backoffs:
            # Other witnesses have reached the zone again, so this router sends a trial request at once.
            self._backoffs[zone] = TrialBackoff(now, FIRST_TRIAL_DELAY_MS)
