"""Refusal: what is not worth sending, and how a request ends that is not served."""

from __future__ import annotations

from ..actions import Cancel, Fail, Reject, SetTimer
from ..balance.rendezvous import MASK, mix
from ..limits.shedding import LoadShedder
from ..limits.trunk_reservation import TrunkReservation
from ..settings import Idempotency
from ..state.records import RequestState, Server
from .affinity import Affinity
from .attempts import Attempts

LET_TRY = 0.1  # share of the hopeless sent all the same, to learn when a server has recovered
COME_BACK = 0.2  # of the aim; mean of the pause that a refused client is asked for: a retry can still earn


class Refusal:
    """Gives requests up, closes them, and holds those that wait."""

    def __init__(self, affinity: Affinity, attempts: Attempts) -> None:
        self.affinity, self.attempts = affinity, attempts
        self.fleet, self.load = affinity.fleet, affinity.load
        self.shedder, self.reserve = LoadShedder(), TrunkReservation()
        self.held: dict[int, RequestState] = {}

    def is_beyond_us(self, now: float, tracked: RequestState) -> bool:
        """Tell whether this request is one of those that our own core is too small for; worth least first."""
        shed = self.shedder.shed_share(now, tracked.request.queue_time)
        return shed > 0 and self.fleet.rng.random() < shed ** (
            tracked.request_class.priority_weight / self.fleet.min_priority_weight
        )

    def is_hopeless(self, now: float, tracked: RequestState, server: Server) -> bool:
        """Tell whether an answer would come too late to earn anything (guards against queues of those)."""
        late = self.load.lag(now, server) + self.load.cost(tracked, server) > self.load.limit(now, tracked)
        fetch = self.load.fetch_chance(tracked)
        kept = self.reserve.reserved_slots(server.concurrency.slots(0.0), fetch, tracked.request.is_write)
        self.reserve.observe(not server.concurrency.allows(server.attempts_in_flight))
        return not server.concurrency.allows(server.attempts_in_flight + kept) or (
            late and self.fleet.rng.random() > LET_TRY
        )

    def is_too_much(self, now: float, tracked: RequestState) -> bool:
        """Tell whether the origin is better spared this fetch.

        Guards against a jam at the origin, in which its fetches hold the servers' places until they fail and
        what is cached can't be served either. What is worth least is let through last.
        """
        draw, throttle = self.fleet.rng.random(), self.load.throttle
        if self.fleet.read_through:
            chance, write = self.load.fetch_chance(tracked), tracked.request.is_write
            return not self.load.fetches.allows(now, chance, draw, write)
        if draw >= throttle.pressure(now) ** (tracked.request_class.priority_weight / self.fleet.min_priority_weight):
            return False
        throttle.on_rejection(now)
        return True

    def give_up(self, now: float, tracked: RequestState) -> None:
        """Answer a request that is not served: refuse if the client may safely try again, else fail."""
        effect = tracked.request_class.idempotency
        clean = tracked.attempts_in_flight == 0 and tracked.may_have_run_at < 0
        within = (
            now - tracked.may_have_run_at < tracked.request_class.idempotency_window
            and tracked.request_class.deduplication_scope == "all"
        )
        if effect == Idempotency.IDEMPOTENT or clean or (effect == Idempotency.IDEMPOTENCY_KEY and within):
            # When to come again is spread by its id, that a crowd is not back in step.
            pause = COME_BACK * tracked.request_class.latency_objective * (0.5 + mix(tracked.request.id) / MASK)
            self.fleet.actions.append(Reject(tracked.request.id, min(self.fleet.settings.max_retry_after, pause)))
        else:
            self.fleet.actions.append(Fail(tracked.request.id))
        self.close(now, tracked)

    def close(self, now: float, tracked: RequestState) -> None:
        """The one place where a request ends; it is kept until its last attempt has come back."""
        if not tracked.finished:
            tracked.finished = True
            self.held.pop(tracked.request.id, None)
            for number, attempt in enumerate(tracked.attempts):
                if attempt is not None and self.fleet.settings.can_cancel and not tracked.streaming:
                    self.fleet.actions.append(Cancel(tracked.request.id, number))
        if tracked.attempts_in_flight == 0:
            self.fleet.requests.pop(tracked.request.id, None)
        self._fetched(now, tracked)

    def hold(self, tracked: RequestState, until: float) -> None:
        """Let a request wait; a timer says when it goes on."""
        tracked.resume_at = until
        self.held[tracked.request.id] = tracked
        self.fleet.actions.append(SetTimer(until, tracked.request.id + 1))

    def _fetched(self, now: float, tracked: RequestState) -> None:
        """A fetch is over: those that waited ask the server where the value was stored."""
        entry = self.affinity.keys.get(tracked.request.key)
        if entry is None or entry.fetching_request != tracked.request.id:
            return
        entry.fetching_request = 0
        waiting, entry.waiting = entry.waiting, []
        for other in waiting:
            if self.held.pop(other.request.id, None) is not None:
                owner = self.fleet.servers[other.missed_servers[0]]
                if not self.attempts.send(now, other, owner):
                    self.give_up(now, other)
