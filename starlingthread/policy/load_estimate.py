"""Estimates of service times, waits at servers and the origin's load, learned from outcomes and load reports."""

from __future__ import annotations

from ..balance.load import ASSUMED_CORES, WaitEstimates
from ..events import AttemptResult, CacheStatus, Outcome
from ..limits.machine_speed import MachineSpeeds
from ..limits.origin_limit import OriginLimit
from ..limits.origin_throttle import OriginThrottle
from ..limits.service_times import ServiceTimes
from ..limits.slow_start import ServedRate
from ..state.fleet import Fleet
from ..state.records import COUNT_HALF_LIFE_MS, RequestState, Server

FETCH_SHARE = 0.15  # of the latency objective: first estimate of an origin fetch's time
LATE_FETCH = 0.9  # of the latency objective; a slower fetch is worth nothing: the origin is overloaded
LIKELY = 0.5  # probability above which a hit is taken for granted
FETCH_TIMEOUTS = 2.0  # typical fetch times after which an error is taken for the origin's
FETCH_RESULTS = frozenset((AttemptResult.OK, AttemptResult.ERROR, AttemptResult.TIMEOUT))


class LoadEstimate:
    """What this router's own attempts, their outcomes and load reports show; times are ms."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.wait_estimates = WaitEstimates()
        self.machine_speeds = MachineSpeeds()
        self.speed_version = 0  # counts changes of the machine speeds
        self.origin_limit = OriginLimit()
        classes = fleet.settings.classes
        self.origin_throttle = OriginThrottle(min(c.latency_objective for c in classes) * FETCH_SHARE)
        self.service_times = ServiceTimes(classes)
        self.apply_settings()
        self.served_rate = ServedRate(COUNT_HALF_LIFE_MS)

    def apply_settings(self) -> None:
        """Apply changed settings; service times learned for a class stay with its name."""
        settings = self.fleet.settings
        self.wait_estimates.set_report_fields(settings.load_report_fields)
        self.service_times.apply_classes(settings.classes)

    def speed(self, server: Server) -> float:
        """Return the speed of a server's kind of machine, relative to the fastest kind."""
        return self.machine_speeds.speed(server.endpoint.kind)

    def expected_service_time(self, state: RequestState, server: Server) -> float:
        """Return the service time (ms) that a request should take at a server."""
        return state.expected_cost / self.machine_speeds.speed(server.endpoint.kind)

    def time_without_wait(self, state: RequestState, server: Server, event: Outcome, expected_time: float) -> float:
        """Return the part of a response's time (ms) that was no wait; expected_time: as expected when it was sent."""
        name, hint, speed = state.request_class.name, state.request.cost_hint, self.speed(server)
        return self.service_times.time_without_wait(name, hint, event.response_time, expected_time, speed)

    def is_late(self, now: float, state: RequestState, server: Server, wait: float) -> bool:
        """Return whether a request that waits so long (ms) at a server would be late, as far as is known.

        Until a class is settled only the wait counts: one slow first response must not make it look hopeless.
        """
        if self.service_times.has_converged(state.request_class.name):
            wait += self.expected_service_time(state, server)
        return wait > self.time_limit(now, state)

    def expected_wait(self, now: float, server: Server) -> float:
        """Return the wait (ms) that recent outcomes of a server show."""
        return self.wait_estimates.expected_wait(now, server.load)

    def queueing_delay(self, now: float, server: Server, expected_wait: float) -> float:
        """Return the delay (ms) by this router's attempts in flight, and by the other load that shows there."""
        own_delay = server.cost_in_flight / server.concurrency.slots(ASSUMED_CORES)
        reported_wait = self.wait_estimates.reported_queue(now, server.load) * self.service_times.mean_time
        return own_delay + max(reported_wait, expected_wait)

    def time_limit(self, now: float, state: RequestState) -> float:
        """Return the time (ms) within which an answer is of use."""
        return min(state.deadline - now, state.request_class.latency_objective)

    def relative_cost(self, state: RequestState) -> float:
        """Return a request's cost in requests of mean cost, at least 1."""
        return self.service_times.relative_cost(state.request_class.name, state.expected_cost)

    def fetch_probability(self, state: RequestState) -> float:
        """Return the probability that the server chosen last has to ask the origin."""
        if not self.fleet.read_through:
            return 0.0
        if state.request.is_write:
            return 1.0
        return 1.0 - state.hit_probability if state.request.key else 0.0

    def on_load_report(self, now: float, server: Server, report: tuple[float, ...]) -> None:
        """Learn from a server's load report; an empty one is ignored."""
        self.wait_estimates.on_report(now, server.load, report)

    def on_attempt_ended(
        self, now: float, state: RequestState, server: Server, event: Outcome, expected_time: float
    ) -> bool:
        """Learn the wait (ms) that an attempt met; return whether a fetch failed, so that nothing was stored."""
        result = event.result
        wait = event.response_time
        if result == AttemptResult.OK:
            wait -= self.time_without_wait(state, server, event, expected_time)
        fetch_failed = self._is_failed_fetch(state, result, wait)
        missed = fetch_failed or self._is_miss(state, event)
        reached_origin = self.fleet.read_through and (state.request.is_write or missed)
        if not reached_origin:
            self._observe_server_wait(now, server, event, wait)
        elif missed and result in FETCH_RESULTS:
            in_time = LATE_FETCH * state.request_class.latency_objective
            self.origin_throttle.observe(now, result == AttemptResult.OK, max(0.0, wait), in_time)
        return fetch_failed and reached_origin

    def _is_failed_fetch(self, state: RequestState, result: AttemptResult, wait: float) -> bool:
        if result != AttemptResult.ERROR:
            return False
        return state.hit_probability < LIKELY or wait > FETCH_TIMEOUTS * self.origin_throttle.typical_fetch_time

    def _is_miss(self, state: RequestState, event: Outcome) -> bool:
        if event.cache_status in (CacheStatus.MISS, CacheStatus.FETCH_IN_FLIGHT):
            return True
        return event.result == AttemptResult.TIMEOUT and state.hit_probability < LIKELY

    def _observe_server_wait(self, now: float, server: Server, event: Outcome, wait: float) -> None:
        """Learn a wait at the server itself, not at the origin.

        Where the server has answered what was sent later, a timeout shows a dead connection and not a queue.
        """
        sent_at = now - event.elapsed
        outliers = server.outliers
        timed_out = event.result == AttemptResult.TIMEOUT and sent_at > outliers.last_answered_sent_at
        timed_out = timed_out and not event.is_lost_here
        if event.result == AttemptResult.OK or timed_out:
            counts_for_mean = server is not self.fleet.origin and outliers.last_response_at >= sent_at
            self.wait_estimates.on_wait(now, server.load, wait, counts_for_mean)

    def on_served(self, now: float, state: RequestState, server: Server, event: Outcome) -> None:
        """Learn the service time of a successful attempt."""
        name, hint = state.request_class.name, state.request.cost_hint
        service_time = self.service_times.get(name)
        if service_time and service_time.is_learned and event.cache_status == CacheStatus.HIT:
            relative_time = event.response_time / service_time.expected_time(hint)
            self.speed_version += self.machine_speeds.observe(server.endpoint.kind, relative_time)
        self.service_times.observe(name, hint, event.response_time * self.speed(server))
        self.served_rate.record(now)
