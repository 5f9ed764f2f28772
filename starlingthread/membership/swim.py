"""Who is alive, by probing: SWIM (Das, Gupta, Motivala 2002) with the local health of Lifeguard (Dadgar et al. 2018).

Each period a member pings another, drawn in rounds so that all have their turn. If no answer comes in time, some others
are asked to ping it; if none of them hears it either, it is suspected, and told so on the next occasion. A member that
hears that it is suspected raises its incarnation, which refutes it. One that stays suspected is held to be dead. News
rides on the datagrams that go anyway, the least told first.

A member that stood still doubts itself and not the others: what ran out while it did counts for nothing, and while its
own answers are late it waits longer. The dead are pinged now and then too, so that the halves of a split fleet find
each other again; the news that they are dead goes with it, and they refute it.

Times are ms.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from random import Random
from typing import NamedTuple

from .wire import MAX_INCARNATION, MOST_NEWS, VERSION, Kind, Message, News, State, WireError, decode, encode

PERIOD = 1000.0  # between two probes of this member
ANSWER = 0.3  # of the period, for a direct answer; the rest is for the indirect ones
HELPERS = 3  # members that are asked to ping for us
SUSPECTED = 4.0  # periods, times the log10 of the members, before a suspicion becomes a death
TOLD = 3.0  # times the log2 of the members that a piece of news is told
DEAD_EVERY = 8  # periods between pings of the dead
STOOD_STILL = 0.5  # of a period by which a tick is late: we stood still
AHEAD = 3600.0  # s by which an incarnation may be ahead of our clock: it begins with the time, and rises by one
MOST_HELPED = 64  # pings for others whose answers are waited for
MOST_DOUBT = 8  # of ourselves; periods and waits are so many times longer, plus one


class Change(NamedTuple):
    """A belief has changed."""

    at: float
    member: int
    state: State


class Known:
    """What is believed of one member."""

    __slots__ = ("incarnation", "since", "state")

    def __init__(self) -> None:
        self.state, self.incarnation, self.since = State.ALIVE, 0, 0.0


class Probe:
    """The probe that is out."""

    __slots__ = ("asked", "heard", "number", "sent_at", "target")

    def __init__(self, target: int, number: int, sent_at: float) -> None:
        self.target, self.number, self.sent_at = target, number, sent_at
        self.asked = -1  # how many others were asked to ping it; -1: not yet
        self.heard = 0  # of those that told us at least that they hear us


def wins(new: News, state: State, incarnation: int) -> bool:
    """Tell whether a piece of news goes over a belief: by incarnation, then by the graver state.

    An order, so that all who have heard the same believe the same, whatever came first or twice.
    """
    return (new.incarnation, new.state) > (incarnation, state)


class Membership:
    """One member's view. Datagrams and times go in, datagrams come out through 'send'."""

    def __init__(
        self,
        me: int,
        members: int,
        keys: tuple[bytes, ...],
        seed: int,
        send: Callable[[int, bytes], None],
        period: float = PERIOD,
    ) -> None:
        self.me, self.members, self.keys, self.period = me, members, keys, period
        self.rng, self._send = Random(seed), send
        self.known = [Known() for _ in range(members)]
        self.changes: list[Change] = []  # taken out by who shows them
        self.refused: dict[str, int] = {}  # datagrams that changed nothing, by why
        self.doubt = 0  # of ourselves
        self._told: dict[int, int] = {}  # how often each member's present news was told
        self._round: list[int] = []
        self._probe: Probe | None = None
        self._for: dict[int, tuple[int, int]] = {}  # pings that we send for others: number, to whom and which
        self._number = self.rng.randrange(1 << 31)
        self._turn = 0
        self.due = math.inf  # when to call tick

    # views

    def alive(self) -> list[int]:
        """Return the members that are not held to be dead, ourselves among them."""
        return [n for n, known in enumerate(self.known) if known.state != State.DEAD]

    # time

    def start(self, now: float) -> None:
        """Begin, at a moment of our own within the first period, with an incarnation above any that we had before.

        now: ms of the wall clock; a member that starts anew in the same second refutes what is told of the old one.
        """
        self.known[self.me].incarnation = min(MAX_INCARNATION, int(now / 1000.0) & MAX_INCARNATION)
        self._told[self.me] = 0
        self.due = now + self.rng.uniform(0.0, self.period)

    def leave(self) -> None:
        """Tell some others that we end, so that they need not find out."""
        self.known[self.me].state, self._told[self.me] = State.DEAD, 0
        others = [n for n in self.alive() if n != self.me]
        for other in self.rng.sample(others, min(HELPERS, len(others))):
            self._tell(other, Kind.ASKED, 0)

    def tick(self, now: float) -> None:
        """Do what is due."""
        if now < self.due:
            return
        if now - self.due > STOOD_STILL * self.period:
            self._stood_still(now)
        probe = self._probe
        if probe is not None and probe.asked < 0 and self.known[probe.target].state != State.DEAD:
            self._ask_others(probe)
            return
        if probe is not None:
            self._missed(now, probe)
        self._bury(now)
        self._next(now)

    def _stood_still(self, now: float) -> None:
        """What ran out meanwhile says nothing of the others."""
        self.doubt = min(MOST_DOUBT, self.doubt + 1)
        self._probe = None
        for known in self.known:
            if known.state == State.SUSPECT:
                known.since = now

    def _wait(self) -> float:
        return 1.0 + self.doubt

    def _next(self, now: float) -> None:
        self._turn += 1
        target = self._drawn()
        if target is None:
            self.due = now + self.period
            return
        self._number += 1
        self._probe = Probe(target, self._number, now)
        self._tell(target, Kind.PING, self._number)
        self.due = now + ANSWER * self.period * self._wait()

    def _drawn(self) -> int | None:
        """Return whom to ping: the living in rounds, now and then one of the dead."""
        dead = [n for n, known in enumerate(self.known) if known.state == State.DEAD and n != self.me]
        if dead and self._turn % DEAD_EVERY == 0:
            return self.rng.choice(dead)
        while self._round:
            target = self._round.pop()
            if self.known[target].state != State.DEAD:
                return target
        self._round = [n for n in self.alive() if n != self.me]
        self.rng.shuffle(self._round)
        return self._round.pop() if self._round else (self.rng.choice(dead) if dead else None)

    def _ask_others(self, probe: Probe) -> None:
        others = [
            n for n, known in enumerate(self.known) if known.state == State.ALIVE and n not in (self.me, probe.target)
        ]
        helpers = self.rng.sample(others, min(HELPERS, len(others)))
        probe.asked = len(helpers)
        for helper in helpers:
            self._tell(helper, Kind.ASK, probe.number, probe.target)
        self.due = probe.sent_at + self.period * self._wait()

    def _missed(self, now: float, probe: Probe) -> None:
        self._probe = None
        known = self.known[probe.target]
        if probe.asked > 0 and not probe.heard:
            self.doubt = min(MOST_DOUBT, self.doubt + 1)  # nobody hears us: so it says nothing of the target
        elif known.state == State.ALIVE:
            self._believe(now, News(probe.target, State.SUSPECT, known.incarnation))

    def _bury(self, now: float) -> None:
        patience = SUSPECTED * max(1.0, math.log10(self.members)) * self.period * self._wait()
        for number, known in enumerate(self.known):
            if known.state == State.SUSPECT and now - known.since > patience:
                self._believe(now, News(number, State.DEAD, known.incarnation))

    # datagrams

    @staticmethod
    def is_meant(data: bytes) -> bool:
        """Tell whether a datagram is of this kind, good or not; others go elsewhere."""
        return data[:1] == VERSION.to_bytes()

    def receive(self, now: float, sender: int, data: bytes) -> None:
        """Take in a datagram that came from a member's address; one that is no good is counted and changes nothing."""
        try:
            message = decode(data, self.keys, self.members)
            if message.sender != sender or sender == self.me:
                raise WireError("sender")
        except WireError as error:
            why = str(error)
            self.refused[why] = self.refused.get(why, 0) + 1
            return
        for piece in message.news:
            if piece.incarnation > now / 1000.0 + AHEAD:
                self.refused["incarnation"] = self.refused.get("incarnation", 0) + 1
            else:
                self._believe(now, piece)
        if self.known[sender].state != State.ALIVE:
            self._told[sender] = 0  # it should hear that, and refute it
        if message.kind == Kind.PING:
            self._tell(sender, Kind.ACK, message.number)
        elif message.kind == Kind.ASK:
            self._help(sender, message)
        elif message.kind == Kind.ACK and message.number in self._for:
            requester, number = self._for.pop(message.number)
            self._tell(requester, Kind.HEARD, number, sender)
        elif (probe := self._probe) is None or message.number != probe.number:
            return  # an answer that comes too late
        elif message.kind == Kind.ASKED:
            probe.heard += 1
        elif probe.target == (sender if message.kind == Kind.ACK else message.subject):
            self._probe = None
            self.doubt = max(0, self.doubt - 1)
            self.due = max(now, probe.sent_at + self.period * self._wait())

    def _help(self, requester: int, message: Message) -> None:
        """Ping a member for another one."""
        if message.subject in (self.me, requester):
            return  # nobody asks that
        if len(self._for) >= MOST_HELPED:
            del self._for[next(iter(self._for))]  # the oldest: its answer comes no more
        self._number += 1
        self._for[self._number] = (requester, message.number)
        self._tell(requester, Kind.ASKED, message.number)
        self._tell(message.subject, Kind.PING, self._number)

    def _tell(self, to: int, kind: Kind, number: int, subject: int = 0) -> None:
        self._send(to, encode(Message(kind, self.me, number & 0xFFFFFFFF, subject, self._news(to)), self.keys[0]))

    def _enough(self) -> float:
        """Return how often a piece of news is told."""
        return TOLD * max(1.0, math.log2(self.members))

    def _news(self, to: int) -> tuple[News, ...]:
        """Return what to tell with a datagram: of the receiver what it must refute, else the least told."""
        most = self._enough()
        told = sorted((times, member) for member, times in self._told.items() if times < most)
        chosen = [member for _, member in told[:MOST_NEWS]]
        if self.known[to].state != State.ALIVE and to not in chosen:
            chosen = [to, *chosen[: MOST_NEWS - 1]]
        for member in chosen:
            self._told[member] = self._told.get(member, 0) + 1
        self._told = {member: times for member, times in self._told.items() if times < most}
        return tuple(News(m, self.known[m].state, self.known[m].incarnation) for m in chosen)

    # beliefs

    def _believe(self, now: float, piece: News) -> None:
        known = self.known[piece.member]
        if piece.member == self.me:
            if piece.state != State.ALIVE:
                if piece.incarnation >= known.incarnation:
                    known.incarnation = min(MAX_INCARNATION, piece.incarnation + 1)  # we live
                    self.doubt = min(MOST_DOUBT, self.doubt + 1)
                self._told[self.me] = 0
            return
        if not wins(piece, known.state, known.incarnation):
            if (piece.state, piece.incarnation) != (known.state, known.incarnation):
                self._told.setdefault(piece.member, int(self._enough()) - 1)  # once more: some have not heard
            return
        if piece.state != known.state:
            self.changes.append(Change(now, piece.member, piece.state))
            known.since = now
        known.state, known.incarnation = piece.state, piece.incarnation
        self._told[piece.member] = 0
