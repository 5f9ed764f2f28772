"""How the outcome of an attempt adjusts the limits of its server and of the origin."""

from __future__ import annotations

from ..events import AttemptResult, CacheStatus, Outcome
from .concurrency import ConcurrencyLimit
from .origin_limit import OriginLimit

LATE_SHARE = 0.5  # of the latency objective; a longer wait at one server leaves no time for another attempt


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

    in_flight: the attempt's number among those in flight at the server; fetch_probability: that it had to fetch from
    the origin, as estimated when it was sent; expected_time: as estimated then; latency_objective: of its class;
    typical_fetch_time: infinite if the server has been silent since. An attempt that failed faster than a fetch never
    reached the origin, and the silence of a server says nothing about the origin. Counted as failed fetches, a few
    servers that fail at once, or a lost zone, would make all routers reject fetches.
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
