"""All decisions of one router. Its types are in starlingthread/events.py, actions.py and settings.py.
Parts: load, affinity (counts), choice, attempts (the gate to the wire), refusal, retries (and second copies).
"""

from __future__ import annotations

import math

from ..actions import Action, SetTimer, WatchEndpoints
from ..events import (
    AttemptResult,
    CacheStatus,
    EndpointList,
    EndpointListKind,
    Event,
    FirstByte,
    HealthCheckResult,
    Maintenance,
    Outcome,
    PeerMessage,
    Request,
    RequestCancelled,
    SettingsChanged,
    Timer,
)
from ..limits.limit_adjustment import adjust_limits
from ..settings import Settings
from ..state.fleet import Fleet
from ..state.records import RequestState, Server
from .affinity import Affinity
from .attempts import Attempts
from .choice import Choice
from .load import LoadEstimate
from .refusal import Refusal
from .retries import LOOK, Retries

ASK_BACK_OFF = 500.0  # ms; first pause after a failed call for the list, doubled each time, jittered
MAX_ASK_DOUBLED = 1  # times that it is doubled: a refused call between two pauses is over within 6 s
ASK = 0  # timer label; that of a held request is 1 + its id


class Balancer:
    """Every read a cache serves goes to the server with the least (load + expected cost) / affinity."""

    choice_part: type[Choice] = Choice  # baselines/ sets others beside them
    load_part: type[LoadEstimate] = LoadEstimate

    def __init__(self, settings: Settings, seed: int) -> None:
        self.fleet = Fleet(settings, seed)
        self.load = self.load_part(self.fleet)
        self.affinity, self.attempts = Affinity(self.load), Attempts(self.load)
        self.choice = self.choice_part(self.affinity, self.attempts)
        self.refusal = Refusal(self.affinity, self.attempts)
        self.retries = Retries(self.choice, self.refusal)
        self.ask_fails, self.subscribed = 0, not settings.must_poll

    def start(self, now: float) -> list[Action]:
        """Begin: where the list must be asked for, do so at a random moment, that a fleet is no herd."""
        self.load.pace.start(now)
        if self.fleet.settings.must_poll:
            self._ask_at(now + self.fleet.rng.uniform(0, self.fleet.settings.poll_interval * 0.3))
        return self._flush()

    def handle(self, now: float, event: Event) -> list[Action]:
        """Take in one event and return the actions it calls for."""
        if isinstance(event, Request):
            self._on_request(now, event)
        elif isinstance(event, Outcome):
            self._on_outcome(now, event)
        elif isinstance(event, EndpointList):
            self._on_list(now, event)
        elif isinstance(event, Timer):
            self._on_timer(now, event.label)
        elif isinstance(event, RequestCancelled):
            if tracked := self.fleet.requests.get(event.id):
                self.refusal.close(now, tracked)
        elif isinstance(event, FirstByte):
            if tracked := self.fleet.requests.get(event.id):
                tracked.streaming = True
        elif isinstance(event, HealthCheckResult):
            if server := self.fleet.servers.get(event.server):
                self.load.hear(now, server, event.load_report)
        elif isinstance(event, Maintenance):
            self.fleet.set_maintenance(now, event)
        elif isinstance(event, SettingsChanged):
            self.fleet.apply_settings(event.settings)
            self.load.tune()
            self.fleet.classify_servers()
        elif not isinstance(event, PeerMessage):
            raise TypeError(f"not an event: {event!r}")
        return self._flush()

    def _flush(self) -> list[Action]:
        done, self.fleet.actions = self.fleet.actions, []
        return done

    def avoided(self, now: float) -> list[int]:
        """Return the listed servers that are left out now, by operators or by choice."""
        return [
            n
            for n, s in self.fleet.servers.items()
            if not s.unavailable and (n in self.fleet.in_maintenance or s.outliers.ejected_until > now)
        ]

    def _ask_at(self, at: float) -> None:
        self.fleet.actions.append(SetTimer(at, ASK))

    def _on_list(self, now: float, event: EndpointList) -> None:
        if event.kind == EndpointListKind.FAILED:
            self.subscribed = not self.fleet.settings.must_poll
            if self.fleet.settings.must_poll:
                doubled = float(1 << min(self.ask_fails, MAX_ASK_DOUBLED))
                self._ask_at(now + ASK_BACK_OFF * doubled * self.fleet.rng.uniform(0.5, 1.5))
                self.ask_fails += 1
            return
        if event.kind != EndpointListKind.CACHED:
            self.subscribed, self.ask_fails = True, 0
        self.fleet.apply_endpoint_list(now, event)

    def _on_timer(self, now: float, label: int) -> None:
        if label == LOOK:
            self.retries.look(now)
        elif label != ASK:
            self.retries.wake(now, label - 1)
        elif not self.subscribed:
            self.fleet.actions.append(WatchEndpoints(True))

    def _on_request(self, now: float, req: Request) -> None:
        fleet = self.fleet
        if req.id in fleet.requests or not 0 <= req.class_index < len(fleet.settings.classes):
            return
        cls = fleet.settings.classes[req.class_index]
        tracked = RequestState(req, cls, now, self.load.work[cls.name].expected(req.cost_hint))
        fleet.requests[req.id] = tracked
        if len(fleet.requests) >= fleet.settings.max_open_requests or self.refusal.is_beyond_us(now, tracked):
            self.refusal.give_up(now, tracked)
        else:
            self.retries.route(now, tracked)

    def _on_outcome(self, now: float, event: Outcome) -> None:
        tracked = self.fleet.requests.get(event.id)
        if tracked is None or (over := self.attempts.over(tracked, event)) is None:
            return
        number, sent_at, cost, out, fetch = over
        server, result = self.fleet.servers[number], event.result
        load, hedging = self.load, self.retries.hedging
        load.hear(now, server, event.load_report)
        self._learn(now, tracked, server, event, cost)
        usual = load.throttle.typical_fetch_time if server.outliers.on_outcome(now, sent_at, result) else math.inf
        if self.fleet.zones:
            self.fleet.zones.on_outcome(now, server.endpoint.zone, server.endpoint.server, result, sent_at)
        if not hedging.is_lost(result, sent_at, server.outliers):
            adjust_limits(
                server.concurrency,
                load.fetches,
                event,
                out,
                fetch,
                cost,
                tracked.request_class.latency_objective,
                usual,
            )
        load.fetches.on_finished(fetch)
        if tracked.checked_for_hedge:
            hedging.on_outcome(result, tracked.hit_probability)
        if event.request_finished or tracked.finished:
            self.refusal.close(now, tracked)
        elif tracked.attempts_in_flight == 0:
            self.retries.go_on(now, tracked, server, result)

    def _learn(self, now: float, tracked: RequestState, server: Server, event: Outcome, cost: float) -> None:
        """Take from an outcome what it tells of the server, the origin, the class and the key."""
        result, sent_at = event.result, now - event.elapsed
        failed = self.load.waited(now, tracked, server, event, cost)
        if result in (AttemptResult.CONNECT_FAILED, AttemptResult.RESET, AttemptResult.ERROR, AttemptResult.TIMEOUT):
            self.attempts.failed(now, server, result, sent_at)
        elif result in (AttemptResult.OK, AttemptResult.MISS):
            server.outliers.on_success(sent_at)
        if server is self.fleet.origin:
            return self.load.throttle.on_outcome(now, result, event.elapsed)
        if result == AttemptResult.OK:
            self.load.served(now, tracked, server, event)
        if tracked.request.key and (failed or result in (AttemptResult.OK, AttemptResult.MISS)):
            hit = result == AttemptResult.OK and event.cache_status != CacheStatus.MISS
            if tracked.owner_group >= 0:
                prior = self.affinity.prior
                prior[tracked.owner_group] += (hit - prior[tracked.owner_group]) * 0.05
            entry = self.affinity.entry(now, tracked.request.key)
            self.affinity.count(now, entry, server.endpoint.server, -1.0 if failed else 0.0, 1.0 if hit else -1.0)
