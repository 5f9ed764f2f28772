"""SWIM membership of many members on a simulated clock: datagram loss, partitions, stalls, restarts, false updates."""

from __future__ import annotations

import functools
from heapq import heappop, heappush
from itertools import permutations, product
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from starlingthread.membership.codec import decode, encode
from starlingthread.membership.datagram import DatagramError
from starlingthread.membership.members import MemberRecord
from starlingthread.membership.messages import MAX_INCARNATION, MemberState, MemberUpdate, Message, MessageKind
from starlingthread.membership.swim import Membership

KEY, OTHER_KEY = b"k" * 16, b"o" * 16
START_MS = 1.8e12  # A Unix time in 2027.


class Network:
    """Members, the datagrams between them, and a simulated clock. Times are ms; loss is a probability."""

    def __init__(self, count: int, seed: int = 1, loss: float = 0.0) -> None:
        self.rng, self.loss, self.now, self.count = Random(seed), loss, START_MS, count
        # The datagrams in flight: arrival time, serial number, sender, receiver and content.
        self.in_flight: list[tuple[float, int, int, int, bytes]] = []
        self.sent_datagrams = self.sent_bytes = self.serial = 0
        self.killed: set[int] = set()
        self.paused: set[int] = set()  # Stopped members that continue later.
        self.blocked_links: set[tuple[int, int]] = set()  # Pairs of sender and receiver.
        self.members: list[Membership] = []
        for member in range(count):
            self.members.append(self.create_member(member))

    def create_member(self, own_id: int) -> Membership:
        member = Membership(
            own_id, self.count, (KEY,), self.rng.randrange(1 << 30), functools.partial(self.send, own_id)
        )
        member.start(self.now)
        return member

    def send(self, sender: int, receiver: int, data: bytes) -> None:
        assert len(data) <= 256
        self.sent_datagrams, self.sent_bytes, self.serial = (
            self.sent_datagrams + 1,
            self.sent_bytes + len(data),
            self.serial + 1,
        )
        if self.rng.random() >= self.loss and (sender, receiver) not in self.blocked_links:
            heappush(self.in_flight, (self.now + self.rng.uniform(0.5, 12.0), self.serial, sender, receiver, data))

    def run_for(self, duration: float) -> None:
        end = self.now + duration
        while True:
            ticks = [(m.next_tick_at, m.own_id) for m in self.members if m.own_id not in self.killed | self.paused]
            at, ticking = min(ticks)
            if self.in_flight and self.in_flight[0][0] <= at:
                at, _, sender, receiver, data = self.in_flight[0]
                if at > end:
                    break
                heappop(self.in_flight)
                self.now = max(self.now, at)
                if receiver in self.paused:
                    # The datagram stays in the paused member's socket buffer until the end of this run.
                    heappush(self.in_flight, (end + 1.0, self.serial, sender, receiver, data))
                    self.serial += 1
                elif receiver not in self.killed:
                    self.members[receiver].receive(self.now, sender, data)
            elif at > end:
                break
            else:
                self.now = max(self.now, at)
                self.members[ticking].tick(self.now)
        self.now = end

    def views(self) -> set[tuple[int, ...]]:
        return {tuple(m.alive_members()) for m in self.members if m.own_id not in self.killed}


def test_a_killed_member_is_detected_by_all_and_one_that_restarts_is_accepted() -> None:
    network = Network(12)
    network.run_for(10e3)
    assert network.views() == {tuple(range(12))}
    network.killed.add(5)
    network.run_for(15e3)
    assert network.views() == {(0, 1, 2, 3, 4, 6, 7, 8, 9, 10, 11)}
    network.members[5] = network.create_member(5)
    network.killed.clear()
    network.run_for(6e3)
    assert network.views() == {tuple(range(12))}


def test_a_graceful_leave_is_known_before_probes_could_detect_it() -> None:
    network = Network(12)
    network.run_for(10e3)
    network.members[5].leave()
    network.killed.add(5)
    network.run_for(5e3)  # Probes would need longer to detect it.
    assert network.views() == {tuple(n for n in range(12) if n != 5)}


def test_a_loss_of_one_datagram_in_ten_causes_no_false_deaths() -> None:
    network = Network(40, loss=0.1)
    network.run_for(120e3)
    assert not [c for m in network.members for c in m.changes if c.state == MemberState.DEAD]


def test_a_member_that_stalled_rejoins_and_declares_no_member_dead() -> None:
    network = Network(20)
    network.run_for(5e3)
    network.paused.add(3)
    network.run_for(12e3)  # This is longer than the suspicion timeout.
    network.paused.clear()
    network.run_for(10e3)
    assert network.views() == {tuple(range(20))}
    assert not [c for c in network.members[3].changes if c.state == MemberState.DEAD]


def test_a_member_that_receives_nothing_lowers_its_local_health_and_a_healed_partition_merges() -> None:
    network = Network(12)
    network.run_for(5e3)
    network.blocked_links = {(other, 0) for other in range(12)}  # Member 0 receives nothing.
    network.run_for(20e3)
    assert network.members[0].local_health.score > 0
    # A member that receives nothing declares no other member dead.
    assert len(network.members[0].alive_members()) == 12
    network.blocked_links = {(a, b) for a, b in product(range(12), repeat=2) if (a < 6) != (b < 6)}
    network.run_for(40e3)
    assert network.views() == {tuple(range(6)), tuple(range(6, 12))}
    network.blocked_links.clear()
    network.run_for(60e3)
    assert network.views() == {tuple(range(12))}


def test_a_simultaneous_failure_of_a_third_is_detected_by_the_rest() -> None:
    network = Network(30)
    network.run_for(5e3)
    network.killed = set(range(0, 30, 3))
    network.run_for(30e3)
    assert network.views() == {tuple(n for n in range(30) if n % 3)}


def test_false_updates_are_refuted() -> None:
    network = Network(10)
    network.run_for(5e3)
    false_update = Message(
        MessageKind.PING,
        1,
        7,
        updates=tuple(MemberUpdate(n, MemberState.DEAD, network.members[n].records[n].incarnation + 5) for n in (2, 3)),
    )
    future_update = Message(MessageKind.PING, 1, 8, updates=(MemberUpdate(4, MemberState.DEAD, MAX_INCARNATION),))
    for message in (false_update, future_update):
        network.members[0].receive(network.now, 1, encode(message, KEY))
    assert network.members[0].rejected == {"incarnation": 1}
    network.run_for(20e3)
    assert network.views() == {tuple(range(10))}


def test_invalid_datagrams_are_counted_and_change_nothing() -> None:
    member = Network(3).members[0]
    valid = encode(
        Message(MessageKind.PING, 1, 5, updates=(MemberUpdate(2, MemberState.SUSPECT, int(START_MS / 1000)),)), KEY
    )
    invalid = {
        b"": "length",
        valid[:-1]: "length",
        b"\x01" + valid[1:]: "version",
        valid[:-1] + b"\x00": "key",
        encode(Message(MessageKind.PING, 1, 5), OTHER_KEY): "key",
        encode(Message(MessageKind.PING, 2, 5), KEY): "sender",
        encode(Message(MessageKind.PING, 1, 5, updates=(MemberUpdate(9, MemberState.ALIVE, 0),)), KEY): "member",
    }
    for data in invalid:
        member.receive(START_MS, 1, data)
    assert sum(member.rejected.values()) == len(invalid) and set(member.rejected) == set(invalid.values())
    assert all(record.state == MemberState.ALIVE for record in member.records)
    member.receive(START_MS, 1, valid)
    assert member.records[2].state == MemberState.SUSPECT
    sealed_with_old_key = encode(Message(MessageKind.ACK, 1, 5), OTHER_KEY)
    # Both keys are accepted during a key rotation.
    assert decode(sealed_with_old_key, (KEY, OTHER_KEY), 3).kind == MessageKind.ACK


def test_a_flood_of_ping_requests_uses_bounded_memory_and_invalid_requests_are_dropped() -> None:
    network = Network(4)
    for number in range(1000):
        network.members[0].receive(START_MS, 1, encode(Message(MessageKind.PING_REQUEST, 1, number, 2), KEY))
    assert len(network.members[0]._relayed_pings) <= 64
    datagrams_before = network.sent_datagrams
    for subject in (0, 1):
        network.members[0].receive(START_MS, 1, encode(Message(MessageKind.PING_REQUEST, 1, 5, subject), KEY))
    assert network.sent_datagrams == datagrams_before


@given(st.binary(max_size=300))
def test_random_bytes_raise_only_a_datagram_error(data: bytes) -> None:
    with pytest.raises(DatagramError):
        decode(data, (KEY,), 10)


def test_member_states_do_not_depend_on_the_order_or_repetition_of_updates() -> None:
    """Three of the updates with two incarnations, in every order, one of them twice."""
    updates = [MemberUpdate(0, state, incarnation) for state in MemberState for incarnation in (1, 2)]
    for chosen in permutations(updates, 3):
        outcomes = set()
        for order in permutations((*chosen, chosen[0])):
            record = MemberRecord()
            for update in order:
                if record.is_superseded_by(update):
                    record.state, record.incarnation = update.state, update.incarnation
            outcomes.add((record.state, record.incarnation))
        assert len(outcomes) == 1


def test_the_traffic_of_a_member_does_not_grow_with_the_fleet() -> None:
    rates = []  # Bytes a second for each member.
    for count in (10, 100):
        network = Network(count)
        network.run_for(60e3)  # During the first minute the joins of all members are gossiped.
        bytes_before = network.sent_bytes
        network.run_for(20e3)
        rates.append((network.sent_bytes - bytes_before) / count / 20.0)
    assert rates[1] < 1.5 * rates[0] < 200.0
