"""Who is alive: many members under one clock, with losses, cuts, stalls, restarts and lies between them."""

from __future__ import annotations

import functools
from heapq import heappop, heappush
from itertools import permutations, product
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from starlingthread.membership import wire
from starlingthread.membership.swim import Known, Membership, wins
from starlingthread.membership.wire import Kind, Message, News, State, WireError, decode, encode

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
            ticks = [(m.due, m.me) for m in self.members if m.me not in self.down | self.still]
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
        return {tuple(m.alive()) for m in self.members if m.me not in self.down}


def test_a_killed_member_is_found_by_all_and_one_that_comes_back_is_taken_in() -> None:
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


def test_a_member_that_leaves_is_known_to_have_left_at_once() -> None:
    net = Net(12)
    net.play(10e3)
    net.members[5].leave()
    net.down.add(5)
    net.play(5e3)  # sooner than it could be found out
    assert net.views() == {tuple(n for n in range(12) if n != 5)}


def test_one_datagram_in_ten_lost_kills_nobody() -> None:
    net = Net(40, loss=0.1)
    net.play(120e3)
    assert not [c for m in net.members for c in m.changes if c.state == State.DEAD]


def test_a_member_that_stood_still_is_taken_back_and_buries_nobody() -> None:
    net = Net(20)
    net.play(5e3)
    net.still.add(3)
    net.play(12e3)  # longer than a suspicion lives
    net.still.clear()
    net.play(10e3)
    assert net.views() == {tuple(range(20))}
    assert not [c for c in net.members[3].changes if c.state == State.DEAD]


def test_a_member_that_is_cut_off_one_way_doubts_itself_and_the_halves_of_a_split_find_each_other() -> None:
    net = Net(12)
    net.play(5e3)
    net.cut = {(other, 0) for other in range(12)}  # it is not heard by itself to be deaf
    net.play(20e3)
    assert net.members[0].doubt > 0
    assert len(net.members[0].alive()) == 12  # who hears nobody buries nobody
    net.cut = {(a, b) for a, b in product(range(12), repeat=2) if (a < 6) != (b < 6)}
    net.play(40e3)
    assert net.views() == {tuple(range(6)), tuple(range(6, 12))}
    net.cut.clear()
    net.play(60e3)
    assert net.views() == {tuple(range(12))}


def test_a_third_lost_at_once_is_found_by_those_that_hear_one_another() -> None:
    net = Net(30)
    net.play(5e3)
    net.down = set(range(0, 30, 3))
    net.play(30e3)
    assert net.views() == {tuple(n for n in range(30) if n % 3)}


def test_a_liar_is_refuted_and_moves_nothing_for_long() -> None:
    net = Net(10)
    net.play(5e3)
    lie = Message(
        Kind.PING, 1, 7, news=tuple(News(n, State.DEAD, net.members[n].known[n].incarnation + 5) for n in (2, 3))
    )
    far = Message(Kind.PING, 1, 8, news=(News(4, State.DEAD, wire.MAX_INCARNATION),))
    for message in (lie, far):
        net.members[0].receive(net.now, 1, encode(message, KEY))
    assert net.members[0].refused == {"incarnation": 1}
    net.play(20e3)
    assert net.views() == {tuple(range(10))}


def test_what_is_wrong_old_or_foreign_is_counted_and_changes_nothing() -> None:
    member = Net(3).members[0]
    good = encode(Message(Kind.PING, 1, 5, news=(News(2, State.SUSPECT, int(BEGIN / 1000)),)), KEY)
    bad = {
        b"": "length",
        good[:-1]: "length",
        b"\x01" + good[1:]: "version",
        good[:-1] + b"\x00": "key",
        encode(Message(Kind.PING, 1, 5), OTHER): "key",
        encode(Message(Kind.PING, 2, 5), KEY): "sender",
        encode(Message(Kind.PING, 1, 5, news=(News(9, State.ALIVE, 0),)), KEY): "member",
    }
    for data in bad:
        member.receive(BEGIN, 1, data)
    assert sum(member.refused.values()) == len(bad) and set(member.refused) == set(bad.values())
    assert all(k.state == State.ALIVE for k in member.known)
    member.receive(BEGIN, 1, good)
    assert member.known[2].state == State.SUSPECT
    assert decode(encode(Message(Kind.ACK, 1, 5), OTHER), (KEY, OTHER), 3).kind == Kind.ACK  # while keys change


def test_who_asks_for_help_on_end_fills_no_memory_and_asks_for_nobody_in_vain() -> None:
    net = Net(4)
    for number in range(1000):
        net.members[0].receive(BEGIN, 1, encode(Message(Kind.ASK, 1, number, 2), KEY))
    assert len(net.members[0]._for) <= 64
    before = net.sent
    for subject in (0, 1):
        net.members[0].receive(BEGIN, 1, encode(Message(Kind.ASK, 1, 5, subject), KEY))
    assert net.sent == before


@given(st.binary(max_size=300))
def test_no_bytes_raise_anything_but_a_wire_error(data: bytes) -> None:
    with pytest.raises(WireError):
        decode(data, (KEY,), 10)


def test_beliefs_are_the_same_in_whatever_order_and_however_often_news_comes() -> None:
    """All states within reach of two incarnations, in every order, some of them twice."""
    pieces = [News(0, state, incarnation) for state in State for incarnation in (1, 2)]
    for chosen in permutations(pieces, 3):
        ends = set()
        for order in permutations((*chosen, chosen[0])):
            known = Known()
            for piece in order:
                if wins(piece, known.state, known.incarnation):
                    known.state, known.incarnation = piece.state, piece.incarnation
            ends.add((known.state, known.incarnation))
        assert len(ends) == 1


def test_what_it_costs_does_not_grow_with_the_fleet() -> None:
    rates = []
    for count in (10, 100):
        net = Net(count)
        net.play(60e3)  # at first all tell all that they are there
        before = net.bytes
        net.play(20e3)
        rates.append((net.bytes - before) / count / 20.0)
    assert rates[1] < 1.5 * rates[0] < 200.0  # bytes a second a member
