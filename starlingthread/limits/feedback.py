"""What one outcome says of how many may be out: at the server that gave it, or at the origin behind it."""

from __future__ import annotations

from ..interface import Note, Outcome, Result
from .concurrency import Concurrency
from .origin_limit import OriginLimit

LATE = 0.5  # of the aim; who waits longer at a server than this leaves no time to make up for it elsewhere


def adjust_limits(
    server: Concurrency,
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
    if result == Result.FULL:
        server.full(out)
    elif result == Result.OK and (event.note == Note.MISS or (fetch >= 1 and event.note != Note.HIT)):
        fetches.fetched(True, event.elapsed, aim)
    elif result == Result.ERROR or (result == Result.TIMEOUT and fetch > 0.5):
        if event.elapsed >= usual:
            fetches.fetched(False, event.elapsed, aim)
    elif result in (Result.TIMEOUT, Result.CONNECT_FAILED) or (
        result == Result.OK and event.elapsed > max(cost, LATE * aim)
    ):
        server.bad(out)
    elif result == Result.OK:
        server.good(out)
