"""What the decision module asks: may this key go to that zone now? From the fleet's plan, and from what we see.

A zone that this router alone can't see it leaves alone as well, whatever the plan: it spills no more than its own part
then. Who finds out that a zone is back: while the plan has it lost, its witnesses, one request each in a while; else
every router that left it alone by itself.
"""

from __future__ import annotations

from collections.abc import Iterable

from ..events import AttemptResult
from .evidence import ZoneSeen
from .plan import Change, Plan, Says, Word
from .topology import Topology

TRY_EVERY = 250.0  # ms between requests that a router risks in a zone that it leaves alone
MOST_TRY = 4000.0  # ms; the pause is doubled with each that comes to nothing
SILENT = (AttemptResult.TIMEOUT, AttemptResult.CONNECT_FAILED)
FRESH = 3000.0  # ms for which a word from a zone shows that it is there


class Zones:
    """One router's evidence and plan."""

    def __init__(self, me: int, members: Iterable[int]) -> None:
        self.plan = Plan(me, members)
        self.topology = Topology((), {})
        self.far = 0.0  # ms that it takes longer, there and back, in another region
        self.drained: frozenset[int] = frozenset()  # by operators
        self.seen: dict[int, ZoneSeen] = {}
        self.sizes: dict[int, int] = {}  # listed servers by zone
        self.telling: list[Word] = []  # taken out by who tells them to all
        self._shut: dict[int, tuple[float, float]] = {}  # left alone by ourselves: when to try next, and the pause

    def listed(self, servers: Iterable[tuple[int, int]]) -> None:
        """Take in zone and number of each server that is ready; what others owe tells nothing of their zone."""
        self.sizes, listed = {}, {*servers}
        for zone, _ in listed:
            self.sizes[zone] = self.sizes.get(zone, 0) + 1
        for zone, seen in self.seen.items():
            seen.forget_all_but({server for where, server in listed if where == zone})

    def heard(self, now: float, zone: int, server: int, elapsed: float) -> None:
        """Take in a word from a server of a zone."""
        self._of(zone).heard(now, server, elapsed)
        if self._shut.pop(zone, None) is not None or self._is_lost(zone):
            self._say(now, zone)  # while it is only in question, the tick does

    def ended(self, now: float, zone: int, server: int, result: AttemptResult, sent_at: float) -> None:
        """Take in how an attempt ended."""
        if result in SILENT:
            self.owes(now, zone, server, sent_at)
        elif result not in (AttemptResult.CANCELLED, AttemptResult.NOT_SENT):
            self.heard(now, zone, server, now - sent_at)
        else:
            self._of(zone).out.pop(server, None)

    def owes(self, now: float, zone: int, server: int, sent_at: float) -> None:
        """Take in that what was sent to a server then stayed without an answer or found no connection."""
        self._of(zone).owes(server, sent_at)
        self._look(now, zone)

    def _look(self, now: float, zone: int) -> None:
        if self._of(zone).is_lost(self.sizes.get(zone, 0)):
            self._shut.setdefault(zone, (now + TRY_EVERY, TRY_EVERY))
            self._say(now, zone)

    def _of(self, zone: int) -> ZoneSeen:
        return self.seen.setdefault(zone, ZoneSeen())

    def is_open(self, now: float, zone: int, key: int) -> bool:
        """Tell whether a request for a key (a 64-bit hash) may go to a zone now, be it to find out if it is back.

        Where all zones would be left alone none is: then it is we who see nothing, or nothing is better than the rest.
        What operators close stays closed all the same.
        """
        if zone in self.drained:
            return False
        return self._may(now, zone, key) or not any(self._may(now, other, key) for other in self.sizes)

    def cost(self, here: int, there: int) -> float:
        """Return the ms that a request takes longer for leaving the region."""
        return self.far if self.topology.step(here, there) > 1 else 0.0

    def _may(self, now: float, zone: int, key: int) -> bool:
        if zone in self.drained:
            return False
        if self._is_lost(zone) and self.plan.me not in self.plan.chosen(zone):
            return False  # the witnesses find out for all
        if zone in self._shut:
            return now >= self._shut[zone][0]
        return self._is_lost(zone) or self.plan.is_open(now, zone, key)

    def _is_lost(self, zone: int) -> bool:
        plan = self.plan.zones.get(zone)
        return plan is not None and plan.lost

    def sent(self, now: float, zone: int, server: int) -> None:
        """Take in that a request goes to a server: if its zone is left alone, the next one waits for longer."""
        self._of(zone).sent(now, server)
        if zone in self._shut or self._is_lost(zone):
            _, pause = self._shut.get(zone, (now, TRY_EVERY))
            self._shut[zone] = (now + pause, min(MOST_TRY, 2 * pause))

    # what is told and heard

    def _say(self, now: float, zone: int) -> None:
        seen = self._of(zone)
        says: Says | None = Says.LOST
        if not seen.is_lost(self.sizes.get(zone, 0)):  # what was heard before it was called lost is old
            says = Says.WELL if seen.heard_at > max(now - FRESH, self.plan.lost_since(now, zone)) else None
        if (word := self.plan.say(now, zone, says)) is not None:
            self.telling.append(word)
        was_lost = self._is_lost(zone)
        self.plan.decide(now, zone)
        if was_lost and not self._is_lost(zone) and zone in self._shut:
            self._shut[zone] = (now, TRY_EVERY)  # the others hear it again: see for ourselves

    def hear(self, now: float, words: Iterable[Word]) -> None:
        """Take in the words of another router, and say what we see of the same zones."""
        for word in words:
            if self.plan.hear(now, word):
                self._say(now, word.zone)

    def tick(self, now: float) -> None:
        """Do what time brings, a few times a second: words run out, and are told again while a zone is in question."""
        for zone, seen in self.seen.items():
            seen.look(now)
            self._look(now, zone)
        for zone in {zone for zone, _ in self.plan.words} | set(self.plan.zones) | set(self._shut):
            self._say(now, zone)

    def know(self, members: Iterable[int]) -> None:
        """Take in which routers live."""
        self.plan.know(members)

    def changes(self) -> list[Change]:
        """Return what has changed in the plan since it was asked last."""
        done, self.plan.changes = self.plan.changes, []
        return done

    def state(self, now: float) -> dict[int, float]:
        """Return for each zone that is not wholly open the share of keys that it may have."""
        shares = {zone: plan.share(now) for zone, plan in self.plan.zones.items()}
        shares.update(dict.fromkeys((*self._shut, *self.drained), 0.0))
        return {zone: share for zone, share in shares.items() if share < 1}
