"""Refusal: what is not worth sending, and how a request ends that is not served."""

from __future__ import annotations

from ..balance.rendezvous import MASK, mix
from ..interface import Cancel, Effect, Fail, Refuse, SetTimer
from ..limits.reserve import Reserve
from ..limits.shedding import LoadShedder
from ..state.records import Server, Tracked
from .affinity import Affinity
from .attempts import Attempts

LET_TRY = 0.1  # share of the hopeless sent all the same, to learn when a server has recovered
COME_BACK = 0.2  # of the aim; mean of the pause that a refused client is asked for: a retry can still earn


class Refusal:
    """Gives requests up, closes them, and holds those that wait."""

    def __init__(self, affinity: Affinity, attempts: Attempts) -> None:
        self.affinity, self.attempts = affinity, attempts
        self.fleet, self.load = affinity.fleet, affinity.load
        self.shedder, self.reserve = LoadShedder(), Reserve()
        self.held: dict[int, Tracked] = {}

    def is_beyond_us(self, now: float, tracked: Tracked) -> bool:
        """Tell whether this request is one of those that our own core is too small for; worth least first."""
        shed = self.shedder.shed_share(now, tracked.req.waited)
        return shed > 0 and self.fleet.rng.random() < shed ** (tracked.cls.worth / self.fleet.least_worth)

    def is_hopeless(self, now: float, tracked: Tracked, server: Server) -> bool:
        """Tell whether an answer would come too late to earn anything (guards against queues of those)."""
        late = self.load.lag(now, server) + self.load.cost(tracked, server) > self.load.limit(now, tracked)
        fetch = self.load.fetch_chance(tracked)
        kept = self.reserve.kept(server.limit.width(0.0), fetch, tracked.req.is_write)
        self.reserve.chosen(not server.limit.allows(server.out))
        return not server.limit.allows(server.out + kept) or (late and self.fleet.rng.random() > LET_TRY)

    def is_too_much(self, now: float, tracked: Tracked) -> bool:
        """Tell whether the origin is better spared this fetch.

        Guards against a jam at the origin, in which its fetches hold the servers' places until they fail and
        what is cached can't be served either. What is worth least is let through last.
        """
        draw, throttle = self.fleet.rng.random(), self.load.throttle
        if self.fleet.through:
            chance, write = self.load.fetch_chance(tracked), tracked.req.is_write
            return not self.load.fetches.allows(now, chance, draw, write)
        if draw >= throttle.now(now) ** (tracked.cls.worth / self.fleet.least_worth):
            return False
        throttle.turned_away(now)
        return True

    def give_up(self, now: float, tracked: Tracked) -> None:
        """Answer a request that is not served: refuse if the client may safely try again, else fail."""
        effect = tracked.cls.effect
        clean = tracked.out == 0 and tracked.ran_at < 0
        within = now - tracked.ran_at < tracked.cls.memory_span and tracked.cls.group == "all"
        if effect == Effect.REPEATABLE or clean or (effect == Effect.KEYED and within):
            # When to come again is spread by its id, that a crowd is not back in step.
            pause = COME_BACK * tracked.cls.aim * (0.5 + mix(tracked.req.id) / MASK)
            self.fleet.todo.append(Refuse(tracked.req.id, min(self.fleet.set.max_retry_after, pause)))
        else:
            self.fleet.todo.append(Fail(tracked.req.id))
        self.close(now, tracked)

    def close(self, now: float, tracked: Tracked) -> None:
        """The one place where a request ends; it is kept until its last attempt has come back."""
        if not tracked.ended:
            tracked.ended = True
            self.held.pop(tracked.req.id, None)
            for number, attempt in enumerate(tracked.tries):
                if attempt is not None and self.fleet.set.can_cancel and not tracked.streaming:
                    self.fleet.todo.append(Cancel(tracked.req.id, number))
        if tracked.out == 0:
            self.fleet.live.pop(tracked.req.id, None)
        self._fetched(now, tracked)

    def hold(self, tracked: Tracked, until: float) -> None:
        """Let a request wait; a timer says when it goes on."""
        tracked.wake = until
        self.held[tracked.req.id] = tracked
        self.fleet.todo.append(SetTimer(until, tracked.req.id + 1))

    def _fetched(self, now: float, tracked: Tracked) -> None:
        """A fetch is over: those that waited ask the server where the value was stored."""
        entry = self.affinity.keys.get(tracked.req.key)
        if entry is None or entry.fetcher != tracked.req.id:
            return
        entry.fetcher = 0
        waiting, entry.waiting = entry.waiting, []
        for other in waiting:
            if self.held.pop(other.req.id, None) is not None:
                owner = self.fleet.servers[other.missed[0]]
                if not self.attempts.send(now, other, owner):
                    self.give_up(now, other)
