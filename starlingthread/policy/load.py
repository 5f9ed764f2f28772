"""The load estimate: how long requests take and wait at servers, and how hard the origin is pressed."""

from __future__ import annotations

from ..balance.load import CORES, WaitEstimates
from ..events import AttemptResult, CacheStatus, Outcome
from ..limits.machine_speed import MachineSpeeds
from ..limits.origin_limit import OriginLimit
from ..limits.origin_throttle import OriginThrottle
from ..limits.service_time import ServiceTime
from ..limits.slow_start import ServedRate
from ..state.fleet import Fleet
from ..state.records import RequestState, Server

FETCH_SHARE = 0.15  # of the aim: first guess of an origin fetch's time
LATE_FETCH = 0.9  # of the aim; a fetch that takes longer earns nothing: the origin has too many
HALF_LIFE = 10000.0  # ms; a count halves in this time: about as long as a cache keeps what nobody asks for


class LoadEstimate:
    """What our own attempts, answers and reports tell; times are ms."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet, self.views, self.speeds, self.fetches = fleet, WaitEstimates(), MachineSpeeds(), OriginLimit()
        self.throttle = OriginThrottle(min(c.latency_objective for c in fleet.settings.classes) * FETCH_SHARE)
        self.work: dict[str, ServiceTime] = {}  # learned times of each class
        self.tune()
        self.mean_work = self.work[fleet.settings.classes[0].name].typical
        self.speed_steps = 0  # times that a kind's speed has changed: owners are drawn anew
        self.pace = ServedRate(HALF_LIFE)  # of what is served

    def tune(self) -> None:
        """Take in new settings; what was learned of a class stays with its name."""
        self.views.set_report_fields(self.fleet.settings.load_report_fields)
        classes = self.fleet.settings.classes
        self.work = {c.name: self.work.get(c.name) or ServiceTime(c.latency_objective * 0.1) for c in classes}

    def speed(self, server: Server) -> float:
        return self.speeds.speed(server.endpoint.kind)

    def cost(self, tracked: RequestState, server: Server) -> float:
        """Return what a request should take there."""
        return tracked.expected_cost / self.speeds.speed(server.endpoint.kind)

    def lag(self, now: float, server: Server) -> float:
        return self.views.expected_wait(now, server.load)

    def load(self, now: float, server: Server, lag: float) -> float:
        """Return what our own attempts there have to wait for, and what else shows there."""
        return server.cost_in_flight / server.concurrency.slots(CORES) + max(
            self.views.reported_wait(now, server.load), lag
        )

    def limit(self, now: float, tracked: RequestState) -> float:
        return min(
            tracked.deadline - now, tracked.request_class.latency_objective
        )  # incident iddb886: full queues made all late

    def heavy(self, tracked: RequestState) -> float:
        return max(1.0, tracked.expected_cost / self.mean_work)

    def fetch_chance(self, tracked: RequestState) -> float:
        """How likely the server chosen would have to ask the origin for it, as far as we know."""
        chance = 1.0 if tracked.request.is_write else 1.0 - tracked.hit_probability if tracked.request.key else 0.0
        return chance if self.fleet.read_through else 0.0

    def hear(self, now: float, server: Server, report: tuple[float, ...]) -> None:
        self.views.on_report(now, server.load, report, self.mean_work)

    def waited(self, now: float, tracked: RequestState, server: Server, event: Outcome, cost: float) -> bool:
        """Take in the waiting that an attempt met; tell whether a fetch failed and nothing was stored."""
        result, sent_at = event.result, now - event.elapsed
        lag = event.elapsed - (cost if result == AttemptResult.OK else 0.0)
        # Where it has answered what was sent later, a time-out tells of one connection, no queue; nor does
        # the time at the origin.
        failed = result == AttemptResult.ERROR and (
            tracked.hit_probability < 0.5 or lag > 2 * self.throttle.typical_fetch_time
        )
        missed = (
            event.cache_status in (CacheStatus.MISS, CacheStatus.FETCH_IN_FLIGHT)
            or failed
            or (result == AttemptResult.TIMEOUT and tracked.hit_probability < 0.5)
        )
        at_origin = self.fleet.read_through and (tracked.request.is_write or missed)
        if at_origin and missed and result in (AttemptResult.OK, AttemptResult.ERROR, AttemptResult.TIMEOUT):
            self.throttle.observe(
                now, result == AttemptResult.OK, max(0.0, lag), LATE_FETCH * tracked.request_class.latency_objective
            )
        if not at_origin and (
            result == AttemptResult.OK
            or (result == AttemptResult.TIMEOUT and sent_at > server.outliers.last_answered_sent_at)
        ):
            counts = server is not self.fleet.origin and server.outliers.last_response_at >= sent_at
            self.views.on_wait(now, server.load, lag, counts)
        return failed and at_origin

    def served(self, now: float, tracked: RequestState, server: Server, event: Outcome) -> None:
        """Take in the time of an answer."""
        if work := self.work.get(tracked.request_class.name):
            self.speed_steps += event.cache_status == CacheStatus.HIT and self.speeds.observe(
                server.endpoint.kind, event.elapsed / work.expected(tracked.request.cost_hint)
            )
            work.observe(tracked.request.cost_hint, event.elapsed * self.speed(server))
        self.pace.record(now)
        self.mean_work += (tracked.expected_cost - self.mean_work) * 0.05
