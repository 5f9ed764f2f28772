"""Admission control: decides which requests are rejected instead of sent. It sends nothing itself."""

from __future__ import annotations

from enum import Enum, auto

from ..limits.core_overload import CoreOverload
from ..limits.trunk_reservation import TrunkReservation
from ..settings import RequestClass
from ..state.records import RequestState, Server
from .load_estimate import LoadEstimate

# Share of the requests expected to be late that is sent anyway, to detect that a server has recovered.
LATE_PROBE_SHARE = 0.1


class Rejection(Enum):
    """The reason for which a request is not admitted."""

    ROUTER_OVERLOADED = auto()
    SERVER_FULL = auto()
    TOO_LATE = auto()
    ORIGIN_OVERLOADED = auto()


class Admission:
    """Sheds load above the capacity of this router, a server or the origin, starting with the lowest priority weight.

    Except for check_queue, each check returns None if the request is admitted, else the reason for its rejection.
    """

    def __init__(self, load: LoadEstimate) -> None:
        self.fleet = load.fleet
        self.load = load
        self.core = CoreOverload()
        self.trunk_reservation = TrunkReservation()

    def check_queue(self, now: float, request_class: RequestClass, budget: float, queued: int) -> float | None:
        """Return the Retry-After (ms) of a request that may not be queued for this core, or None if it may be queued.

        The check precedes the request's event. budget: ms until the client's deadline; queued: requests in the queue.
        """
        if self.core.allows_queueing(request_class, self._relative_weight(request_class), budget, queued):
            return None
        retry_after = self.core.retry_after(now, request_class, self.fleet.rng.random())
        return min(self.fleet.settings.max_retry_after, retry_after)

    def check_arrival(self, now: float, state: RequestState) -> Rejection | None:
        """Check whether this router's own core and its request table have capacity for a new request."""
        if len(self.fleet.requests) >= self.fleet.settings.max_open_requests:
            return Rejection.ROUTER_OVERLOADED
        shed_share = self.core.update_shed_share(now, state.request.queue_time)
        if shed_share > 0 and self.fleet.rng.random() < shed_share ** self._relative_weight(state.request_class):
            return Rejection.ROUTER_OVERLOADED
        return None

    def check_server(self, now: float, state: RequestState, server: Server) -> Rejection | None:
        """Check whether a server can answer in time, so that it does not queue requests that would be late anyway."""
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
        """Check whether the origin has capacity for the fetch that a request may cause.

        Fetches from an overloaded origin occupy the servers' slots until they time out, so that cached values cannot
        be served either.
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
