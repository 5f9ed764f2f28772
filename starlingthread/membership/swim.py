"""Failure detection by probing: SWIM (Das, Gupta, Motivala 2002) with Lifeguard's local health (Dadgar et al. 2018).

Each period a member pings another one. If no ack comes in time it sends ping requests to some others; if none of them
reaches the target either, the target is suspected. A member that learns that it is suspected refutes the suspicion by a
higher incarnation; one that does not within the suspicion time-out is declared dead. Updates are piggybacked on the
datagrams of the protocol.

A member that stalled blames itself and not the others: time-outs that passed meanwhile do not count, and while its own
probes fail for local reasons it extends its time-outs. Dead members are probed now and then, so that the halves of a
partition find each other again; the probe carries the update that they are dead, which they refute.

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

DEFAULT_PERIOD_MS = 1000.0  # ms between two probes of one member
DIRECT_ACK_PERIOD_SHARE = 0.3  # of the period, for a direct ack; the rest is for the indirect ones
INDIRECT_PROBES = 3  # members that receive a ping request, or the notice that this one leaves
SUSPICION_TIMEOUT_FACTOR = 4.0  # suspicion time-out in periods, times the log10 of the members
STALL_PERIOD_SHARE = 0.5  # of a period; a tick that is later by more shows that this process stalled
MAX_INCARNATION_AHEAD_S = 3600.0  # s ahead of our clock: an incarnation starts as the Unix time and rises by one
MAX_RELAYED_PINGS = 64  # pings on behalf of others whose acks are awaited


class Probe:
    """The probe of the current period."""

    __slots__ = ("indirect_probes", "request_acks", "sent_at", "sequence", "target")

    def __init__(self, target: int, sequence: int, sent_at: float) -> None:
        self.target = target
        self.sequence = sequence
        self.sent_at = sent_at
        self.indirect_probes: int | None = None  # ping requests sent; None until the direct ack is overdue
        self.request_acks = 0  # ping requests that were acknowledged: proof that this member's link works


class RelayedPing(NamedTuple):
    """A ping that another member has requested."""

    requester: int
    sequence: int  # of the requester's probe


class Membership:
    """One member's view of the fleet. Datagrams and times go in; datagrams go out through the send callback."""

    def __init__(
        self,
        own_id: int,
        member_count: int,
        keys: tuple[bytes, ...],
        seed: int,
        send: Callable[[int, bytes], None],
        period: float = DEFAULT_PERIOD_MS,
    ) -> None:
        """keys: the first one seals, all of them open; send: called with a member and a datagram; period: ms."""
        self.own_id = own_id
        self.member_count = member_count
        self.keys = keys
        self.period = period
        self.records = [MemberRecord() for _ in range(member_count)]
        self.changes: list[StateChange] = []  # not yet taken
        self.rejected: Counter[RejectReason] = Counter()  # datagrams or updates that changed nothing
        self.local_health = LocalHealth()
        self.next_tick_at = math.inf
        self._send_datagram = send
        self._rng = Random(seed)
        self._updates = UpdateQueue(member_count)
        self._schedule = ProbeSchedule(own_id, self._rng)
        self._probe: Probe | None = None
        self._relayed_pings: dict[int, RelayedPing] = {}  # by the sequence number of our ping, the oldest first
        self._sequence = self._rng.randrange(1 << 31)

    def alive_members(self) -> list[int]:
        """Return the members that are not believed dead, this one included."""
        return [number for number, record in enumerate(self.records) if record.state != MemberState.DEAD]

    def take_changes(self) -> list[StateChange]:
        """Return the state changes since the last call."""
        changes, self.changes = self.changes, []
        return changes

    def start(self, now: float) -> None:
        """Join, with the first probe at a random time within the first period.

        now: ms of the wall clock. It gives an incarnation above any earlier one; a member that restarts within the
        same second refutes what is gossiped of its predecessor.
        """
        self.records[self.own_id].incarnation = min(MAX_INCARNATION, int(now / 1000.0) & MAX_INCARNATION)
        self._updates.enqueue(self.own_id)
        self.next_tick_at = now + self._rng.uniform(0.0, self.period)

    def leave(self) -> None:
        """Announce a graceful shutdown to some others, so that nobody has to detect it."""
        self.records[self.own_id].state = MemberState.DEAD
        self._updates.enqueue(self.own_id)
        others = [number for number in self.alive_members() if number != self.own_id]
        for other in self._rng.sample(others, min(INDIRECT_PROBES, len(others))):
            self._send(other, MessageKind.PING_REQUEST_ACK, 0)

    # timers

    def tick(self, now: float) -> None:
        """Handle the time-out of the current probe and start the next one, if next_tick_at has come."""
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
        """Restart all time-outs: those that passed while this process stalled say nothing of the others."""
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
            number
            for number, record in enumerate(self.records)
            if record.state == MemberState.ALIVE and number not in (self.own_id, probe.target)
        ]
        helpers = self._rng.sample(candidates, min(INDIRECT_PROBES, len(candidates)))
        probe.indirect_probes = len(helpers)
        for helper in helpers:
            self._send(helper, MessageKind.PING_REQUEST, probe.sequence, probe.target)
        self.next_tick_at = self._period_end(probe)

    def _period_end(self, probe: Probe) -> float:
        return probe.sent_at + self.period * self.local_health.multiplier

    def _on_probe_timeout(self, now: float, probe: Probe) -> None:
        self._probe = None
        record = self.records[probe.target]
        if probe.indirect_probes and not probe.request_acks:
            self.local_health.degrade()  # no helper was reached either: the fault is likely here
        elif record.state == MemberState.ALIVE:
            self._merge(now, MemberUpdate(probe.target, MemberState.SUSPECT, record.incarnation))

    def _expire_suspicions(self, now: float) -> None:
        periods = SUSPICION_TIMEOUT_FACTOR * max(1.0, math.log10(self.member_count))
        timeout = periods * self.period * self.local_health.multiplier
        for number, record in enumerate(self.records):
            if record.state == MemberState.SUSPECT and now - record.state_since > timeout:
                self._merge(now, MemberUpdate(number, MemberState.DEAD, record.incarnation))

    # datagrams

    def receive(self, now: float, sender: int, data: bytes) -> None:
        """Handle a datagram from a member's address; an invalid one is counted in `rejected` and changes nothing."""
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
            self._updates.enqueue(sender)  # it is to learn that, and to refute it
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
            return  # a correct member never requests that
        if len(self._relayed_pings) >= MAX_RELAYED_PINGS:
            del self._relayed_pings[next(iter(self._relayed_pings))]  # the oldest one: its ack is overdue
        self._sequence += 1
        self._relayed_pings[self._sequence] = RelayedPing(request.sender, request.sequence)
        self._send(request.sender, MessageKind.PING_REQUEST_ACK, request.sequence)
        self._send(request.subject, MessageKind.PING, self._sequence)

    def _send(self, receiver: int, kind: MessageKind, sequence: int, subject: int = 0) -> None:
        is_alive = self.records[receiver].state == MemberState.ALIVE
        # A receiver that is suspected or dead is told so with each message, so that it can refute it.
        updates = tuple(
            MemberUpdate(number, self.records[number].state, self.records[number].incarnation)
            for number in self._updates.dequeue(required=None if is_alive else receiver)
        )
        message = Message(kind, self.own_id, sequence, subject, updates)
        self._send_datagram(receiver, encode(message, self.keys[0]))

    # beliefs

    def _merge(self, now: float, update: MemberUpdate) -> None:
        """Merge an update into the beliefs, and queue what others still have to learn."""
        if update.member == self.own_id:
            self._refute(update)
            return
        record = self.records[update.member]
        if not record.is_superseded_by(update):
            if (update.state, update.incarnation) != (record.state, record.incarnation):
                self._updates.enqueue_once(update.member)  # the sender's belief is stale
            return
        if update.state != record.state:
            self.changes.append(StateChange(update.member, update.state))
            record.state_since = now
        record.state = update.state
        record.incarnation = update.incarnation
        self._updates.enqueue(update.member)

    def _refute(self, update: MemberUpdate) -> None:
        """Answer an update that calls this member suspect or dead by a higher incarnation."""
        if update.state == MemberState.ALIVE:
            return
        own = self.records[self.own_id]
        if update.incarnation >= own.incarnation:
            own.incarnation = min(MAX_INCARNATION, update.incarnation + 1)
            self.local_health.degrade()
        self._updates.enqueue(self.own_id)
