"""Admission control: which requests are rejected rather than sent. It decides only, and sends nothing."""

from __future__ import annotations

from enum import Enum, auto

from ..limits.queue_limit import QueueLimit
from ..limits.shedding import LoadShedder
from ..limits.trunk_reservation import TrunkReservation
from ..settings import RequestClass
from ..state.records import RequestState, Server
from .load_estimate import LoadEstimate

LATE_PROBE_SHARE = 0.1  # of the requests that would be late, sent all the same to learn when a server has recovered
FRESHNESS_EXPONENT = 4.0  # of the share of the deadline that is left; what has waited longest is shed first
MIN_RETRY_AFTER_SHARE = 0.2  # of the latency objective: a retry after a short overload can still be in time
RETRY_AFTER_GROWTH = 4.0  # ms of Retry-After for each ms of the overload so far


class Rejection(Enum):
    """Why a request is not admitted."""

    ROUTER_OVERLOADED = auto()
    SERVER_FULL = auto()
    TOO_LATE = auto()
    ORIGIN_OVERLOADED = auto()


class Admission:
    """Sheds load that this router, a server or the origin can't bear; the lowest priority weight goes first.

    Each check returns None if the request is admitted, else the reason of its rejection.
    """

    def __init__(self, load: LoadEstimate) -> None:
        self.fleet = load.fleet
        self.load = load
        self.queue_limit = QueueLimit()
        self.shedder = LoadShedder()
        self.trunk_reservation = TrunkReservation()

    @property
    def is_core_overloaded(self) -> bool:
        """Whether requests are rejected as this router's own core is overloaded."""
        return self.queue_limit.is_limited or self.shedder.share > 0

    def allows_queueing(self, request_class: RequestClass, budget: float, queued: int) -> bool:
        """Return whether a new request may be queued for this router's core.

        Of what clients have sent the freshest is taken, as the rest would be served too late for them.
        budget: ms until its client gives up; queued: requests that are queued already.
        """
        freshness = min(1.0, budget / request_class.deadline) ** FRESHNESS_EXPONENT
        return self.queue_limit.allows(queued, freshness * self._relative_weight(request_class))

    def retry_after_overload(self, now: float, request_class: RequestClass) -> float:
        """Return the Retry-After (ms) of a request that is not queued: the longer the overload lasts, the later.

        It is spread, so that clients do not come back in step.
        """
        overloaded_for = max(0.0, now - self.queue_limit.limited_since)
        shortest = MIN_RETRY_AFTER_SHARE * request_class.latency_objective
        delay = max(shortest, min(request_class.deadline, RETRY_AFTER_GROWTH * overloaded_for))
        return min(self.fleet.settings.max_retry_after, delay * (0.5 + self.fleet.rng.random()))

    def check_arrival(self, now: float, state: RequestState) -> Rejection | None:
        """Check whether this router's own core and tables can take a new request."""
        if len(self.fleet.requests) >= self.fleet.settings.max_open_requests:
            return Rejection.ROUTER_OVERLOADED
        self.queue_limit.observe(now, state.request.queue_time)
        shed_share = self.shedder.shed_share(now, state.request.queue_time)
        if shed_share > 0 and self.fleet.rng.random() < shed_share ** self._relative_weight(state.request_class):
            return Rejection.ROUTER_OVERLOADED
        return None

    def check_server(self, now: float, state: RequestState, server: Server) -> Rejection | None:
        """Check whether a server can answer in time; guards against queues of requests that are late anyway."""
        load = self.load
        concurrency = server.concurrency
        in_flight = server.attempts_in_flight
        fetch_probability = load.fetch_probability(state)
        reserved = self.trunk_reservation.reserved_slots(
            concurrency.slots(0.0), fetch_probability, state.request.is_write
        )
        self.trunk_reservation.observe(not concurrency.allows(in_flight))
        if not concurrency.allows(in_flight + reserved):
            return Rejection.SERVER_FULL
        is_late = load.is_late(now, state, server, load.expected_wait(now, server))
        if is_late and self.fleet.rng.random() > LATE_PROBE_SHARE:
            return Rejection.TOO_LATE
        return None

    def check_fetch(self, now: float, state: RequestState) -> Rejection | None:
        """Check whether the origin can bear the fetch that a request may cause.

        Guards against a jam at the origin, in which its fetches occupy the servers until they fail and what is cached
        can't be served either.
        """
        draw = self.fleet.rng.random()
        if self.fleet.read_through:
            probability = self.load.fetch_probability(state)
            is_allowed = self.load.origin_limit.allows(now, probability, draw, state.request.is_write)
            return None if is_allowed else Rejection.ORIGIN_OVERLOADED
        throttle = self.load.origin_throttle
        if draw >= throttle.pressure(now) ** self._relative_weight(state.request_class):
            return None
        throttle.on_rejection(now)
        return Rejection.ORIGIN_OVERLOADED

    def _relative_weight(self, request_class: RequestClass) -> float:
        return request_class.priority_weight / self.fleet.min_priority_weight
