"""What one outcome says of how many may be out: at the server that gave it, or at the origin behind it."""

from __future__ import annotations

from ..events import AttemptResult, CacheStatus, Outcome
from .concurrency import ConcurrencyLimit
from .origin_limit import OriginLimit

LATE = 0.5  # of the aim; who waits longer at a server than this leaves no time to make up for it elsewhere


def adjust_limits(
    server: ConcurrencyLimit,
    fetches: OriginLimit,
    event: Outcome,
    out: int,
    fetch: float,
    cost: float,
    aim: float,
    usual: float,
) -> None:
    """Take in an outcome of an attempt.

    out: its number among those out at the server; fetch: the chance, as it was seen, that it had to ask the origin;
    cost: the time that it was expected to take there, and aim: that of its class, in ms; usual: that of a fetch,
    infinite where the server has said nothing since. What failed in less never was at the origin, and what a silent
    server owes tells nothing of it: a few servers that fail at once, or a lost zone, made all routers refuse fetches.
    """
    result = event.result
    if result == AttemptResult.FULL:
        server.on_rejection(out)
    elif result == AttemptResult.OK and (
        event.cache_status == CacheStatus.MISS or (fetch >= 1 and event.cache_status != CacheStatus.HIT)
    ):
        fetches.on_fetch(True, event.elapsed, aim)
    elif result == AttemptResult.ERROR or (result == AttemptResult.TIMEOUT and fetch > 0.5):
        if event.elapsed >= usual:
            fetches.on_fetch(False, event.elapsed, aim)
    elif result in (AttemptResult.TIMEOUT, AttemptResult.CONNECT_FAILED) or (
        result == AttemptResult.OK and event.elapsed > max(cost, LATE * aim)
    ):
        server.on_failure(out)
    elif result == AttemptResult.OK:
        server.on_success(out)
