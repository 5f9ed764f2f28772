"""Adjustment of the limits of a server and of the origin by the outcome of an attempt."""

from __future__ import annotations

from ..events import AttemptResult, CacheStatus, Outcome
from .concurrency import ConcurrencyLimit
from .origin_limit import OriginLimit

# Share of the latency objective above which a response is late, as it would leave no time for another attempt.
LATE_SHARE = 0.5


def adjust_limits(
    server: ConcurrencyLimit,
    origin: OriginLimit,
    event: Outcome,
    in_flight: int,
    fetch_probability: float,
    expected_time: float,
    latency_objective: float,
    typical_fetch_time: float,
) -> None:
    """Adjust the limits by the outcome of an attempt. Times are ms.

    in_flight: the attempts in flight at the server when this one was sent, including itself; fetch_probability: the
    probability that it had to be fetched from the origin, as estimated when it was sent; expected_time: the service
    time as estimated then; latency_objective: of the request's class; typical_fetch_time: infinite if the server has
    sent no response since the attempt was sent.

    An attempt that failed faster than a fetch did not reach the origin, and missing responses of a server are no
    evidence about the origin. If they counted as failed fetches, a few servers that fail immediately, or a lost zone,
    would make all routers reject fetches.
    """
    result = event.result
    if result == AttemptResult.FULL:
        server.on_rejection(in_flight)
    elif result == AttemptResult.OK and _was_fetch(event.cache_status, fetch_probability):
        origin.on_fetch(True, event.response_time, latency_objective)
    elif result == AttemptResult.ERROR or (result == AttemptResult.TIMEOUT and fetch_probability > 0.5):
        if event.response_time >= typical_fetch_time:
            origin.on_fetch(False, event.response_time, latency_objective)
    elif result in (AttemptResult.TIMEOUT, AttemptResult.CONNECT_FAILED):
        server.on_failure(in_flight)
    elif result == AttemptResult.OK:
        if event.response_time > max(expected_time, LATE_SHARE * latency_objective):
            server.on_failure(in_flight)
        else:
            server.on_success(in_flight)


def _was_fetch(status: CacheStatus | None, fetch_probability: float) -> bool:
    return status == CacheStatus.MISS or (fetch_probability >= 1 and status != CacheStatus.HIT)
