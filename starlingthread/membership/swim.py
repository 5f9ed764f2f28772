"""Failure detection by probing: SWIM (Das, Gupta, Motivala 2002) with Lifeguard's local health (Dadgar et al. 2018).

In each period a member pings another one. If no ack arrives in time, it sends ping requests to some other members; if
none of them reaches the target either, the target is suspected. A member that learns that it is suspected refutes the
suspicion with a higher incarnation; one that does not do so within the suspicion timeout is declared dead. Updates are
piggybacked on the datagrams of the protocol.

A member that stalled attributes the fault to itself and not to others: timeouts that expired during the stall do not
count, and while its own probes fail for local reasons it extends its timeouts. Dead members are probed periodically,
so that the two sides of a partition rejoin once it has healed; the probe carries the update that they are dead, which
they refute.

Times are ms.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable
from random import Random
from typing import NamedTuple

from .codec import decode, encode
from .datagram import DatagramError, RejectReason
from .local_health import LocalHealth
from .members import MemberRecord, ProbeSchedule, StateChange
from .messages import MAX_INCARNATION, MemberState, MemberUpdate, Message, MessageKind
from .update_queue import UpdateQueue

# The time between two probes by one member.
DEFAULT_PERIOD_MS = 1000.0
# The direct ack is awaited for this share of the period; the rest of the period is for the indirect acks.
DIRECT_ACK_PERIOD_SHARE = 0.3
# Number of members that receive a ping request, or the announcement that this member leaves.
INDIRECT_PROBES = 3
# The suspicion timeout, in periods, is this factor times the log10 of the number of members.
SUSPICION_TIMEOUT_FACTOR = 4.0
# A tick that is late by more than this share of a period shows that this process stalled.
STALL_PERIOD_SHARE = 0.5
# An incarnation starts as the Unix time in s and rises by one, so valid ones are near the clock.
# An update with an incarnation further ahead than this is rejected.
MAX_INCARNATION_AHEAD_S = 3600.0
# The maximum number of pings on behalf of other members whose acks are awaited.
MAX_RELAYED_PINGS = 64


class Probe:
    """The probe of the current period."""

    __slots__ = ("indirect_probes", "request_acks", "sent_at", "sequence", "target")

    def __init__(self, target: int, sequence: int, sent_at: float) -> None:
        self.target = target
        self.sequence = sequence
        self.sent_at = sent_at
        # The number of ping requests that were sent; None until the direct ack is overdue.
        self.indirect_probes: int | None = None
        # The number of ping requests that were acknowledged, which proves that this member's link works.
        self.request_acks = 0


class RelayedPing(NamedTuple):
    """A ping that this member has sent at the request of another one."""

    requester: int
    sequence: int  # The sequence number of the requester's probe.


class Membership:
    """One member's view of the fleet. Callers pass in datagrams and times; datagrams are sent by the send callback."""

    def __init__(
        self,
        own_id: int,
        member_count: int,
        keys: tuple[bytes, ...],
        seed: int,
        send: Callable[[int, bytes], None],
        period: float = DEFAULT_PERIOD_MS,
    ) -> None:
        """Create a member that has not joined yet.

        keys: the first one authenticates outgoing datagrams, and all of them are accepted; send: called with the
        receiving member and a datagram; period: ms.
        """
        self.own_id = own_id
        self.member_count = member_count
        self.keys = keys
        self.period = period
        self.records = [MemberRecord() for _ in range(member_count)]
        self.changes: list[StateChange] = []  # The changes that take_changes has not returned yet.
        # The datagrams and updates that were rejected and changed nothing.
        self.rejected: Counter[RejectReason] = Counter()
        self.local_health = LocalHealth()
        self.next_tick_at = math.inf
        self._send_datagram = send
        self._rng = Random(seed)
        self._updates = UpdateQueue(member_count)
        self._schedule = ProbeSchedule(own_id, self._rng)
        self._probe: Probe | None = None
        # The keys are the sequence numbers of the pings that this member sent; the oldest one is first.
        self._relayed_pings: dict[int, RelayedPing] = {}
        self._sequence = self._rng.randrange(1 << 31)

    def alive_members(self) -> list[int]:
        """Return the members that are alive or suspected, including this one."""
        return [member for member, record in enumerate(self.records) if record.state != MemberState.DEAD]

    def take_changes(self) -> list[StateChange]:
        """Return the state changes since the last call."""
        changes, self.changes = self.changes, []
        return changes

    def start(self, now: float) -> None:
        """Join, with the first probe at a random time within the first period.

        now: ms of the wall clock. The incarnation is taken from it, so that it is higher than any earlier one. A member
        that restarts within the same second refutes the gossip about its previous run.
        """
        self.records[self.own_id].incarnation = min(MAX_INCARNATION, int(now / 1000.0) & MAX_INCARNATION)
        self._updates.enqueue(self.own_id)
        self.next_tick_at = now + self._rng.uniform(0.0, self.period)

    def leave(self) -> None:
        """Announce a graceful shutdown to some other members, so that it need not be detected by probes."""
        self.records[self.own_id].state = MemberState.DEAD
        self._updates.enqueue(self.own_id)
        others = [member for member in self.alive_members() if member != self.own_id]
        for other in self._rng.sample(others, min(INDIRECT_PROBES, len(others))):
            self._send(other, MessageKind.PING_REQUEST_ACK, 0)

    # Timers.

    def tick(self, now: float) -> None:
        """Handle the timeout of the current probe and start the next one, if next_tick_at has come."""
        if now < self.next_tick_at:
            return
        if now - self.next_tick_at > STALL_PERIOD_SHARE * self.period:
            self._on_stall(now)
        probe = self._probe
        if probe is not None:
            if probe.indirect_probes is None and self.records[probe.target].state != MemberState.DEAD:
                self._send_ping_requests(probe)
                return
            self._on_probe_timeout(now, probe)
        self._expire_suspicions(now)
        self._start_probe(now)

    def _on_stall(self, now: float) -> None:
        """Restart all timeouts: those that expired while this process stalled are no evidence about other members."""
        self.local_health.degrade()
        self._probe = None
        for record in self.records:
            if record.state == MemberState.SUSPECT:
                record.state_since = now

    def _start_probe(self, now: float) -> None:
        target = self._schedule.next_target(self.records)
        if target is None:
            self.next_tick_at = now + self.period
            return
        self._sequence += 1
        self._probe = Probe(target, self._sequence, now)
        self._send(target, MessageKind.PING, self._sequence)
        self.next_tick_at = now + DIRECT_ACK_PERIOD_SHARE * self.period * self.local_health.multiplier

    def _send_ping_requests(self, probe: Probe) -> None:
        candidates = [
            member
            for member, record in enumerate(self.records)
            if record.state == MemberState.ALIVE and member not in (self.own_id, probe.target)
        ]
        relays = self._rng.sample(candidates, min(INDIRECT_PROBES, len(candidates)))
        probe.indirect_probes = len(relays)
        for relay in relays:
            self._send(relay, MessageKind.PING_REQUEST, probe.sequence, probe.target)
        self.next_tick_at = self._period_end(probe)

    def _period_end(self, probe: Probe) -> float:
        return probe.sent_at + self.period * self.local_health.multiplier

    def _on_probe_timeout(self, now: float, probe: Probe) -> None:
        self._probe = None
        record = self.records[probe.target]
        if probe.indirect_probes and not probe.request_acks:
            # No relay was reached either, so the fault is likely in this member or its link.
            self.local_health.degrade()
        elif record.state == MemberState.ALIVE:
            self._merge(now, MemberUpdate(probe.target, MemberState.SUSPECT, record.incarnation))

    def _expire_suspicions(self, now: float) -> None:
        periods = SUSPICION_TIMEOUT_FACTOR * max(1.0, math.log10(self.member_count))
        timeout = periods * self.period * self.local_health.multiplier
        for member, record in enumerate(self.records):
            if record.state == MemberState.SUSPECT and now - record.state_since > timeout:
                self._merge(now, MemberUpdate(member, MemberState.DEAD, record.incarnation))

    # Datagrams.

    def receive(self, now: float, sender: int, data: bytes) -> None:
        """Handle a datagram from a member's address. An invalid one is counted in `rejected` and otherwise ignored."""
        try:
            message = decode(data, self.keys, self.member_count)
            if message.sender != sender or sender == self.own_id:
                raise DatagramError(RejectReason.SENDER)
        except DatagramError as error:
            self.rejected[error.reason] += 1
            return
        for update in message.updates:
            if update.incarnation > now / 1000.0 + MAX_INCARNATION_AHEAD_S:
                self.rejected[RejectReason.INCARNATION] += 1
            else:
                self._merge(now, update)
        if self.records[sender].state != MemberState.ALIVE:
            # The sender has to learn its recorded state so that it can refute it.
            self._updates.enqueue(sender)
        self._dispatch(now, message)

    def _dispatch(self, now: float, message: Message) -> None:
        if message.kind == MessageKind.PING:
            self._send(message.sender, MessageKind.ACK, message.sequence)
        elif message.kind == MessageKind.PING_REQUEST:
            self._relay_ping(message)
        elif message.kind == MessageKind.ACK and message.sequence in self._relayed_pings:
            relayed = self._relayed_pings.pop(message.sequence)
            self._send(relayed.requester, MessageKind.INDIRECT_ACK, relayed.sequence, message.sender)
        elif self._probe is not None and message.sequence == self._probe.sequence:
            self._on_probe_reply(now, self._probe, message)

    def _on_probe_reply(self, now: float, probe: Probe, message: Message) -> None:
        if message.kind == MessageKind.PING_REQUEST_ACK:
            probe.request_acks += 1
            return
        answered_by = message.sender if message.kind == MessageKind.ACK else message.subject
        if answered_by == probe.target:
            self._probe = None
            self.local_health.recover()
            self.next_tick_at = max(now, self._period_end(probe))

    def _relay_ping(self, request: Message) -> None:
        """Ping a member on behalf of another one."""
        if request.subject in (self.own_id, request.sender):
            return  # A correct member never sends such a request.
        if len(self._relayed_pings) >= MAX_RELAYED_PINGS:
            # The oldest relayed ping is dropped, as its ack is overdue.
            del self._relayed_pings[next(iter(self._relayed_pings))]
        self._sequence += 1
        self._relayed_pings[self._sequence] = RelayedPing(request.sender, request.sequence)
        self._send(request.sender, MessageKind.PING_REQUEST_ACK, request.sequence)
        self._send(request.subject, MessageKind.PING, self._sequence)

    def _send(self, receiver: int, kind: MessageKind, sequence: int, subject: int = 0) -> None:
        is_alive = self.records[receiver].state == MemberState.ALIVE
        # Each message to a suspected or dead receiver carries that state, so that the receiver can refute it.
        updates = tuple(
            MemberUpdate(member, self.records[member].state, self.records[member].incarnation)
            for member in self._updates.dequeue(required=None if is_alive else receiver)
        )
        message = Message(kind, self.own_id, sequence, subject, updates)
        self._send_datagram(receiver, encode(message, self.keys[0]))

    # Member states.

    def _merge(self, now: float, update: MemberUpdate) -> None:
        """Merge an update into the member states, and queue what other members still have to learn."""
        if update.member == self.own_id:
            self._refute(update)
            return
        record = self.records[update.member]
        if not record.is_superseded_by(update):
            if (update.state, update.incarnation) != (record.state, record.incarnation):
                self._updates.enqueue_once(update.member)  # The sender's view is outdated.
            return
        if update.state != record.state:
            self.changes.append(StateChange(update.member, update.state))
            record.state_since = now
        record.state = update.state
        record.incarnation = update.incarnation
        self._updates.enqueue(update.member)

    def _refute(self, update: MemberUpdate) -> None:
        """Refute an update in which this member is suspected or dead, with a higher incarnation."""
        if update.state == MemberState.ALIVE:
            return
        own_record = self.records[self.own_id]
        if update.incarnation >= own_record.incarnation:
            own_record.incarnation = min(MAX_INCARNATION, update.incarnation + 1)
            self.local_health.degrade()
        self._updates.enqueue(self.own_id)
