"""SWIM membership: many members under one simulated clock, with losses, partitions, stalls, restarts and lies."""

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

KEY, OTHER = b"k" * 16, b"o" * 16
BEGIN = 1.8e12  # ms, about 2027


class Net:
    """Members and the datagrams between them."""

    def __init__(self, count: int, seed: int = 1, loss: float = 0.0) -> None:
        self.rng, self.loss, self.now, self.count = Random(seed), loss, BEGIN, count
        self.due: list[tuple[float, int, int, int, bytes]] = []
        self.sent = self.bytes = self.number = 0
        self.down: set[int] = set()  # killed
        self.still: set[int] = set()  # stopped, and to be continued
        self.cut: set[tuple[int, int]] = set()  # from, to
        self.members: list[Membership] = []
        for me in range(count):
            self.members.append(self.new(me))

    def new(self, me: int) -> Membership:
        member = Membership(me, self.count, (KEY,), self.rng.randrange(1 << 30), functools.partial(self.send, me))
        member.start(self.now)
        return member

    def send(self, me: int, to: int, data: bytes) -> None:
        assert len(data) <= 256
        self.sent, self.bytes, self.number = self.sent + 1, self.bytes + len(data), self.number + 1
        if self.rng.random() >= self.loss and (me, to) not in self.cut:
            heappush(self.due, (self.now + self.rng.uniform(0.5, 12.0), self.number, me, to, data))

    def play(self, span: float) -> None:
        until = self.now + span
        while True:
            ticks = [(m.next_tick_at, m.own_id) for m in self.members if m.own_id not in self.down | self.still]
            at, who = min(ticks)
            if self.due and self.due[0][0] <= at:
                at, _, me, to, data = self.due[0]
                if at > until:
                    break
                heappop(self.due)
                self.now = max(self.now, at)
                if to in self.still:
                    heappush(self.due, (until + 1.0, self.number, me, to, data))  # lies in its socket
                    self.number += 1
                elif to not in self.down:
                    self.members[to].receive(self.now, me, data)
            elif at > until:
                break
            else:
                self.now = max(self.now, at)
                self.members[who].tick(self.now)
        self.now = until

    def views(self) -> set[tuple[int, ...]]:
        return {tuple(m.alive_members()) for m in self.members if m.own_id not in self.down}


def test_a_killed_member_is_detected_by_all_and_one_that_restarts_is_accepted() -> None:
    net = Net(12)
    net.play(10e3)
    assert net.views() == {tuple(range(12))}
    net.down.add(5)
    net.play(15e3)
    assert net.views() == {(0, 1, 2, 3, 4, 6, 7, 8, 9, 10, 11)}
    net.members[5] = net.new(5)
    net.down.clear()
    net.play(6e3)
    assert net.views() == {tuple(range(12))}


def test_a_graceful_leave_is_known_at_once() -> None:
    net = Net(12)
    net.play(10e3)
    net.members[5].leave()
    net.down.add(5)
    net.play(5e3)  # sooner than probes could detect it
    assert net.views() == {tuple(n for n in range(12) if n != 5)}


def test_a_loss_of_one_datagram_in_ten_causes_no_false_deaths() -> None:
    net = Net(40, loss=0.1)
    net.play(120e3)
    assert not [c for m in net.members for c in m.changes if c.state == MemberState.DEAD]


def test_a_member_that_stalled_is_accepted_again_and_declares_nobody_dead() -> None:
    net = Net(20)
    net.play(5e3)
    net.still.add(3)
    net.play(12e3)  # longer than the suspicion time-out
    net.still.clear()
    net.play(10e3)
    assert net.views() == {tuple(range(20))}
    assert not [c for c in net.members[3].changes if c.state == MemberState.DEAD]


def test_a_deaf_member_lowers_its_local_health_and_the_halves_of_a_partition_merge_again() -> None:
    net = Net(12)
    net.play(5e3)
    net.cut = {(other, 0) for other in range(12)}  # member 0 receives nothing
    net.play(20e3)
    assert net.members[0].local_health.score > 0
    assert len(net.members[0].alive_members()) == 12  # a deaf member declares nobody dead
    net.cut = {(a, b) for a, b in product(range(12), repeat=2) if (a < 6) != (b < 6)}
    net.play(40e3)
    assert net.views() == {tuple(range(6)), tuple(range(6, 12))}
    net.cut.clear()
    net.play(60e3)
    assert net.views() == {tuple(range(12))}


def test_a_simultaneous_failure_of_a_third_is_detected_by_the_rest() -> None:
    net = Net(30)
    net.play(5e3)
    net.down = set(range(0, 30, 3))
    net.play(30e3)
    assert net.views() == {tuple(n for n in range(30) if n % 3)}


def test_false_updates_are_refuted() -> None:
    net = Net(10)
    net.play(5e3)
    false_update = Message(
        MessageKind.PING,
        1,
        7,
        updates=tuple(MemberUpdate(n, MemberState.DEAD, net.members[n].records[n].incarnation + 5) for n in (2, 3)),
    )
    future_update = Message(MessageKind.PING, 1, 8, updates=(MemberUpdate(4, MemberState.DEAD, MAX_INCARNATION),))
    for message in (false_update, future_update):
        net.members[0].receive(net.now, 1, encode(message, KEY))
    assert net.members[0].rejected == {"incarnation": 1}
    net.play(20e3)
    assert net.views() == {tuple(range(10))}


def test_invalid_datagrams_are_counted_and_change_nothing() -> None:
    member = Net(3).members[0]
    valid = encode(
        Message(MessageKind.PING, 1, 5, updates=(MemberUpdate(2, MemberState.SUSPECT, int(BEGIN / 1000)),)), KEY
    )
    invalid = {
        b"": "length",
        valid[:-1]: "length",
        b"\x01" + valid[1:]: "version",
        valid[:-1] + b"\x00": "key",
        encode(Message(MessageKind.PING, 1, 5), OTHER): "key",
        encode(Message(MessageKind.PING, 2, 5), KEY): "sender",
        encode(Message(MessageKind.PING, 1, 5, updates=(MemberUpdate(9, MemberState.ALIVE, 0),)), KEY): "member",
    }
    for data in invalid:
        member.receive(BEGIN, 1, data)
    assert sum(member.rejected.values()) == len(invalid) and set(member.rejected) == set(invalid.values())
    assert all(record.state == MemberState.ALIVE for record in member.records)
    member.receive(BEGIN, 1, valid)
    assert member.records[2].state == MemberState.SUSPECT
    sealed_with_old_key = encode(Message(MessageKind.ACK, 1, 5), OTHER)
    assert decode(sealed_with_old_key, (KEY, OTHER), 3).kind == MessageKind.ACK  # during a key rotation


def test_a_flood_of_ping_requests_fills_no_memory_and_senseless_ones_are_dropped() -> None:
    net = Net(4)
    for number in range(1000):
        net.members[0].receive(BEGIN, 1, encode(Message(MessageKind.PING_REQUEST, 1, number, 2), KEY))
    assert len(net.members[0]._relayed_pings) <= 64
    before = net.sent
    for subject in (0, 1):
        net.members[0].receive(BEGIN, 1, encode(Message(MessageKind.PING_REQUEST, 1, 5, subject), KEY))
    assert net.sent == before


@given(st.binary(max_size=300))
def test_random_bytes_raise_only_a_datagram_error(data: bytes) -> None:
    with pytest.raises(DatagramError):
        decode(data, (KEY,), 10)


def test_beliefs_do_not_depend_on_the_order_or_repetition_of_updates() -> None:
    """All states within reach of two incarnations, in every order, some of them twice."""
    updates = [MemberUpdate(0, state, incarnation) for state in MemberState for incarnation in (1, 2)]
    for chosen in permutations(updates, 3):
        ends = set()
        for order in permutations((*chosen, chosen[0])):
            record = MemberRecord()
            for update in order:
                if record.is_superseded_by(update):
                    record.state, record.incarnation = update.state, update.incarnation
            ends.add((record.state, record.incarnation))
        assert len(ends) == 1


def test_the_traffic_of_a_member_does_not_grow_with_the_fleet() -> None:
    rates = []
    for count in (10, 100):
        net = Net(count)
        net.play(60e3)  # at first every member's join is gossiped
        before = net.bytes
        net.play(20e3)
        rates.append((net.bytes - before) / count / 20.0)
    assert rates[1] < 1.5 * rates[0] < 200.0  # bytes a second a member
