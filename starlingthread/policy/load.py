"""The load estimate: how long requests take and wait at servers, and how hard the origin is pressed."""

from __future__ import annotations

from ..balance.load import CORES, LoadEstimates
from ..interface import Note, Outcome, Result
from ..limits.origin_limit import OriginLimit
from ..limits.origin_throttle import OriginThrottle
from ..limits.service_time import ServiceTime
from ..limits.slow_start import Pace
from ..limits.speed import Speeds
from ..state.fleet import Fleet
from ..state.records import Server, Tracked

FETCH_SHARE = 0.15  # of the aim: first guess of an origin fetch's time
LATE_FETCH = 0.9  # of the aim; a fetch that takes longer earns nothing: the origin has too many
HALF_LIFE = 10000.0  # ms; a count halves in this time: about as long as a cache keeps what nobody asks for


class LoadEstimate:
    """What our own attempts, answers and reports tell; times are ms."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet, self.views, self.speeds, self.fetches = fleet, LoadEstimates(), Speeds(), OriginLimit()
        self.throttle = OriginThrottle(min(c.aim for c in fleet.set.classes) * FETCH_SHARE)
        self.work: dict[str, ServiceTime] = {}  # learned times of each class
        self.tune()
        self.mean_work = self.work[fleet.set.classes[0].name].typical
        self.speed_steps = 0  # times that a kind's speed has changed: owners are drawn anew
        self.pace = Pace(HALF_LIFE)  # of what is served

    def tune(self) -> None:
        """Take in new settings; what was learned of a class stays with its name."""
        self.views.know(self.fleet.set.report_fields)
        classes = self.fleet.set.classes
        self.work = {c.name: self.work.get(c.name) or ServiceTime(c.aim * 0.1) for c in classes}

    def speed(self, server: Server) -> float:
        return self.speeds.of(server.line.kind)

    def cost(self, tracked: Tracked, server: Server) -> float:
        """Return what a request should take there."""
        return tracked.cost / self.speeds.of(server.line.kind)

    def lag(self, now: float, server: Server) -> float:
        return self.views.lag(now, server.seen)

    def load(self, now: float, server: Server, lag: float) -> float:
        """Return what our own attempts there have to wait for, and what else shows there."""
        return server.tally / server.limit.width(CORES) + max(self.views.reported(now, server.seen), lag)

    def limit(self, now: float, tracked: Tracked) -> float:
        return min(tracked.deadline - now, tracked.cls.aim)  # incident iddb886: full queues made all late

    def heavy(self, tracked: Tracked) -> float:
        return max(1.0, tracked.cost / self.mean_work)

    def fetch_chance(self, tracked: Tracked) -> float:
        """How likely the server chosen would have to ask the origin for it, as far as we know."""
        chance = 1.0 if tracked.req.is_write else 1.0 - tracked.chance if tracked.req.key else 0.0
        return chance if self.fleet.through else 0.0

    def hear(self, now: float, server: Server, report: tuple[float, ...]) -> None:
        self.views.hear(now, server.seen, report, self.mean_work)

    def waited(self, now: float, tracked: Tracked, server: Server, event: Outcome, cost: float) -> bool:
        """Take in the waiting that an attempt met; tell whether a fetch failed and nothing was stored."""
        result, sent_at = event.result, now - event.elapsed
        lag = event.elapsed - (cost if result == Result.OK else 0.0)
        # Where it has answered what was sent later, a time-out tells of one connection, no queue; nor does
        # the time at the origin.
        failed = result == Result.ERROR and (tracked.chance < 0.5 or lag > 2 * self.throttle.usual)
        missed = (
            event.note in (Note.MISS, Note.FETCH_OUT) or failed or (result == Result.TIMEOUT and tracked.chance < 0.5)
        )
        at_origin = self.fleet.through and (tracked.req.is_write or missed)
        if at_origin and missed and result in (Result.OK, Result.ERROR, Result.TIMEOUT):
            self.throttle.observe(now, result == Result.OK, max(0.0, lag), LATE_FETCH * tracked.cls.aim)
        if not at_origin and (result == Result.OK or (result == Result.TIMEOUT and sent_at > server.outliers.answered)):
            counts = server is not self.fleet.origin and server.outliers.heard_at >= sent_at
            self.views.met(now, server.seen, lag, counts)
        return failed and at_origin

    def served(self, now: float, tracked: Tracked, server: Server, event: Outcome) -> None:
        """Take in the time of an answer."""
        if work := self.work.get(tracked.cls.name):
            self.speed_steps += event.note == Note.HIT and self.speeds.observe(
                server.line.kind, event.elapsed / work.expected(tracked.req.cost)
            )
            work.observe(tracked.req.cost, event.elapsed * self.speed(server))
        self.pace.note(now)
        self.mean_work += (tracked.cost - self.mean_work) * 0.05
