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

# Initial estimate of the time of a fetch from the origin, as a share of the latency objective.
INITIAL_FETCH_TIME_SHARE = 0.15
# Share of the latency objective; a slower fetch is too late to be of use, and may indicate an overloaded origin.
LATE_FETCH_SHARE = 0.9
LIKELY_HIT_PROBABILITY = 0.5  # lowest hit probability at which an attempt is assumed to be a hit
# An error that takes longer than this many typical fetch times is attributed to the origin.
ORIGIN_ERROR_FETCH_TIMES = 2.0
FETCH_RESULTS = frozenset((AttemptResult.OK, AttemptResult.ERROR, AttemptResult.TIMEOUT))


class LoadEstimate:
    """Load estimates from this router's own attempts, their outcomes and load reports. Times are ms."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.wait_estimates = WaitEstimates()
        self.machine_speeds = MachineSpeeds()
        self.speed_version = 0  # number of observations that changed a machine speed
        self.origin_limit = OriginLimit()
        classes = fleet.settings.classes
        self.origin_throttle = OriginThrottle(min(c.latency_objective for c in classes) * INITIAL_FETCH_TIME_SHARE)
        self.service_times = ServiceTimes(classes)
        self.apply_settings()
        self.served_rate = ServedRate(COUNT_HALF_LIFE_MS)

    def apply_settings(self) -> None:
        """Apply changed settings; the learned service times of a class are kept under its name."""
        settings = self.fleet.settings
        self.wait_estimates.set_report_fields(settings.load_report_fields)
        self.service_times.apply_classes(settings.classes)

    def speed(self, server: Server) -> float:
        """Return the speed of a server's kind of machine, relative to the fastest kind."""
        return self.machine_speeds.speed(server.endpoint.kind)

    def expected_service_time(self, state: RequestState, server: Server) -> float:
        """Return the service time (ms) expected for a request at a server."""
        return state.expected_cost / self.machine_speeds.speed(server.endpoint.kind)

    def time_without_wait(self, state: RequestState, server: Server, event: Outcome, expected_time: float) -> float:
        """Return the part of a response's time (ms) that was not spent waiting.

        expected_time: the service time (ms) expected when the attempt was sent.
        """
        name, hint, speed = state.request_class.name, state.request.cost_hint, self.speed(server)
        return self.service_times.time_without_wait(name, hint, event.response_time, expected_time, speed)

    def is_late(self, now: float, state: RequestState, server: Server, wait: float) -> bool:
        """Return whether a request that waits for this time (ms) at a server is expected to be late.

        Until the service time of a class has converged, only the wait counts, as otherwise one slow first response
        would have all further requests of the class rejected.
        """
        if self.service_times.has_converged(state.request_class.name):
            wait += self.expected_service_time(state, server)
        return wait > self.time_limit(now, state)

    def expected_wait(self, now: float, server: Server) -> float:
        """Return the wait (ms) at a server, estimated from its recent outcomes."""
        return self.wait_estimates.expected_wait(now, server.load)

    def queueing_delay(self, now: float, server: Server, expected_wait: float) -> float:
        """Return the delay (ms) at a server by this router's attempts in flight and by the observed load of others."""
        own_delay = server.cost_in_flight / server.concurrency.slots(ASSUMED_CORES)
        reported_wait = self.wait_estimates.reported_queue(now, server.load) * self.service_times.mean_time
        return own_delay + max(reported_wait, expected_wait)

    def time_limit(self, now: float, state: RequestState) -> float:
        """Return the time (ms) left for an answer before the deadline, at most the latency objective."""
        return min(state.deadline - now, state.request_class.latency_objective)

    def relative_cost(self, state: RequestState) -> float:
        """Return a request's cost relative to the mean cost of a request, at least 1."""
        return self.service_times.relative_cost(state.request_class.name, state.expected_cost)

    def fetch_probability(self, state: RequestState) -> float:
        """Return the probability that the server chosen last has to fetch from the origin."""
        if not self.fleet.read_through:
            return 0.0
        if state.request.is_write:
            return 1.0
        return 1.0 - state.hit_probability if state.request.key else 0.0

    def on_load_report(self, now: float, server: Server, report: tuple[float, ...]) -> None:
        """Update the estimates with a server's load report; an empty report is ignored."""
        self.wait_estimates.on_report(now, server.load, report)

    def on_attempt_ended(
        self, now: float, state: RequestState, server: Server, event: Outcome, expected_time: float
    ) -> bool:
        """Learn the wait (ms) of an ended attempt; return whether its fetch failed, so that no value was stored."""
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
            late_fetch_time = LATE_FETCH_SHARE * state.request_class.latency_objective
            self.origin_throttle.observe(now, result == AttemptResult.OK, max(0.0, wait), late_fetch_time)
        return fetch_failed and reached_origin

    def _is_failed_fetch(self, state: RequestState, result: AttemptResult, wait: float) -> bool:
        if result != AttemptResult.ERROR:
            return False
        return (
            state.hit_probability < LIKELY_HIT_PROBABILITY
            or wait > ORIGIN_ERROR_FETCH_TIMES * self.origin_throttle.typical_fetch_time
        )

    def _is_miss(self, state: RequestState, event: Outcome) -> bool:
        if event.cache_status in (CacheStatus.MISS, CacheStatus.FETCH_IN_FLIGHT):
            return True
        return event.result == AttemptResult.TIMEOUT and state.hit_probability < LIKELY_HIT_PROBABILITY

    def _observe_server_wait(self, now: float, server: Server, event: Outcome, wait: float) -> None:
        """Learn a wait (ms) at the server itself, not at the origin.

        If the server has answered attempts that were sent later, a time-out indicates a dead connection, not a queue.
        """
        sent_at = now - event.elapsed
        outliers = server.outliers
        timed_out = event.result == AttemptResult.TIMEOUT and sent_at > outliers.last_answered_sent_at
        timed_out = timed_out and not event.is_local_timeout
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
