"""The slow start of a server that has just started: a share of the keys, and a budget of requests from one router.

No router sees what the others send there, so the figures are such that the sum over all routers is right. The keys are
the same at every router. The budget is this router's part of the load that the warming server can bear, also where
that is far less than one request in the window in which an overloaded server fails: tokens are saved up, from a random
start, so that routers that learn of a server at the same moment do not all send at that moment.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from ..settings import Settings

WARM_SHARE_FACTOR = 1.0  # of the guaranteed capacity: the settings give the lowest share and the longest duration
BURST_SHARE = 0.5  # of the overload factor: this multiple of the server's part, as the demand for keys is uneven
SAVED_TOKENS_SHARE = (
    0.5  # of one window's tokens that may be saved, so that no window gets over 0.75 of the overload factor
)
MIN_TOTAL_CAPACITY = 1e-9
WARM_CAPACITY_CACHE_MS = 100.0  # ms for which the sum of the warm shares of all servers is cached


def warm_share(now: float, started: float, initial_share: float, duration: float) -> float:
    """Return the least share of its capacity that a server has reached; 1 once it is warm. Times are ms."""
    age = now - started
    if started <= 0 or age >= duration:
        return 1.0
    return initial_share + (1 - initial_share) * max(0.0, age) / duration


def slow_start_rate(capacity: float, served_rate: float, total_capacity: float, settings: Settings) -> float:
    """Return how many requests per ms this router may send to a server that is warming up.

    capacity: of the server now, and total_capacity: of all servers, both in warm servers of the fastest kind;
    served_rate: requests per ms of this router that are served. The rate of *incoming* requests says nothing of the
    capacity: rejected clients retry, so a budget by that rate would grow just when all servers are full. The
    minimum is one request per window from all routers together, as otherwise nothing is served while all servers are
    warming up.
    """
    minimum = 0.0
    if settings.overload_window > 0:
        minimum = 1.0 / (settings.overload_window * settings.router_count)
    return max(
        minimum,
        BURST_SHARE
        * settings.overload_factor
        * capacity
        * served_rate
        / max(total_capacity, capacity, MIN_TOTAL_CAPACITY),
    )


class ServedRate:
    """The rate of served requests, from an exponentially decaying count that allows for the time since its start."""

    __slots__ = ("count", "half_life", "started_at", "updated_at")

    def __init__(self, half_life: float) -> None:
        self.half_life = half_life  # ms
        self.count = 0.0
        self.updated_at = 0.0
        self.started_at = 0.0

    def start(self, now: float) -> None:
        """Start to count."""
        self.started_at = now
        self.updated_at = now

    def record(self, now: float) -> None:
        """Count one request."""
        self.count = self._count_at(now) + 1
        self.updated_at = now

    def per_ms(self, now: float) -> float:
        """Return the requests per ms since the start; the first ms counts as complete."""
        effective_duration = self.half_life / math.log(2) * (1 - math.exp2((self.started_at - now) / self.half_life))
        return self._count_at(now) / max(1.0, effective_duration)

    def _count_at(self, now: float) -> float:
        return self.count * math.exp2((self.updated_at - now) / self.half_life)


def first_tokens(random: float, router_count: int) -> float:
    """Return the tokens that a router starts with for a new server, from a random number in [0, 1).

    One router of all may send at once, as a single router may; the others follow one by one.
    """
    if random * router_count < 1:
        return 1.0
    return (random * router_count - 1) / max(1, router_count - 1)


class SlowStartBudget:
    """A token bucket for the requests of this router to one warming server; a request of mean cost takes one token."""

    __slots__ = ("tokens", "updated_at")

    def __init__(self, initial_tokens: float) -> None:
        self.tokens = initial_tokens
        self.updated_at = math.inf  # ms; when tokens were last added

    def allows(self, now: float, rate: float, window: float, cost: float) -> bool:
        """Tell whether a request of this cost may be sent now.

        rate: tokens per ms; window: ms, of whose tokens SAVED_TOKENS_SHARE may be saved.
        """
        capacity = max(1.0, SAVED_TOKENS_SHARE * rate * window)
        self.tokens = min(capacity, self.tokens + rate * max(0.0, now - self.updated_at))
        self.updated_at = now
        return self.tokens >= min(cost, capacity)

    def spend(self, cost: float) -> None:
        """Record that a request was sent. One that costs more than can be saved leaves a debt."""
        self.tokens -= cost


class WarmCapacity:
    """The capacity of all ready servers, in warm servers of the fastest kind; cached for WARM_CAPACITY_CACHE_MS."""

    __slots__ = ("_capacity", "_summed_at", "_version")

    def __init__(self) -> None:
        self._capacity = 0.0
        self._summed_at = -math.inf
        self._version = -1  # of the endpoint list that it was summed over

    def at(self, now: float, version: int, sum_capacity: Callable[[], float]) -> float:
        """Return the capacity at a time (ms) with a version of the endpoint list."""
        if now - self._summed_at > WARM_CAPACITY_CACHE_MS or self._version != version:
            self._summed_at = now
            self._version = version
            self._capacity = sum_capacity()
        return self._capacity
