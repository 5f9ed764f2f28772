"""Slow start of a server that has just started: a share of the keys, and a request budget for each router.

A router does not see what the others send to the server, so the limits are chosen to be right in sum over all routers.
The share of the keys is the same at every router. The budget is this router's part of the load that the warming server
can carry, which may be far less than one request in the window in which an overloaded server fails. Tokens therefore
accumulate from a random initial value, so that routers that discover a server at the same time do not all send to it at
that time.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from ..settings import Settings

# Factor on the guaranteed capacity; 1, as the settings give the lowest share and the longest duration.
WARM_SHARE_FACTOR = 1.0
# Share of the overload factor: the budget allows this multiple of the server's part of the load, as the demand for keys
# is uneven.
BURST_SHARE = 0.5
# Share of one window's tokens that may be saved, so that no window gets more than 0.75 of the overload factor.
SAVED_TOKENS_SHARE = 0.5
# Lower bound that avoids a division by zero.
MIN_TOTAL_CAPACITY = 1e-9
# Time for which the sum of the warm shares of all servers is cached.
WARM_CAPACITY_CACHE_MS = 100.0


def warm_share(now: float, started: float, initial_share: float, duration: float) -> float:
    """Return the share of its capacity that a server has reached at least; 1 once it is warm. Times are ms."""
    age = now - started
    if started <= 0 or age >= duration:
        return 1.0
    return initial_share + (1 - initial_share) * max(0.0, age) / duration


def slow_start_rate(capacity: float, served_rate: float, total_capacity: float, settings: Settings) -> float:
    """Return how many requests per ms this router may send to a server that is warming up.

    capacity: of the server now, and total_capacity: of all servers, both in units of one warm server of the fastest
    kind; served_rate: served requests of this router per ms.

    The rate of incoming requests does not show the capacity: rejected clients retry, so a budget based on that rate
    would grow exactly when all servers are full. The minimum is one request per overload window from all routers
    together, as otherwise no request would be served while all servers are warming up.
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
    """The rate of served requests, from an exponentially decaying count corrected for the time since its start."""

    __slots__ = ("count", "half_life", "started_at", "updated_at")

    def __init__(self, half_life: float) -> None:
        self.half_life = half_life  # ms
        self.count = 0.0
        self.updated_at = 0.0
        self.started_at = 0.0

    def start(self, now: float) -> None:
        """Start counting at a time (ms)."""
        self.started_at = now
        self.updated_at = now

    def record(self, now: float) -> None:
        """Count one request."""
        self.count = self._count_at(now) + 1
        self.updated_at = now

    def per_ms(self, now: float) -> float:
        """Return the requests per ms since the start; a duration below 1 ms counts as 1 ms."""
        effective_duration = self.half_life / math.log(2) * (1 - math.exp2((self.started_at - now) / self.half_life))
        return self._count_at(now) / max(1.0, effective_duration)

    def _count_at(self, now: float) -> float:
        return self.count * math.exp2((self.updated_at - now) / self.half_life)


def first_tokens(random: float, router_count: int) -> float:
    """Return the initial tokens of a router for a new server, from a random number in [0, 1).

    On average one of all routers may send immediately, as a single router always may; the others follow one by one.
    """
    if random * router_count < 1:
        return 1.0
    return (random * router_count - 1) / max(1, router_count - 1)


class SlowStartBudget:
    """A token bucket for the requests of this router to one warming server; a request of mean cost uses one token."""

    __slots__ = ("tokens", "updated_at")

    def __init__(self, initial_tokens: float) -> None:
        self.tokens = initial_tokens
        self.updated_at = math.inf  # time (ms) at which tokens were last added

    def allows(self, now: float, rate: float, window: float, cost: float) -> bool:
        """Return whether a request of a cost may be sent now.

        cost: in tokens; rate: tokens per ms; window: the overload window (ms). The bucket holds SAVED_TOKENS_SHARE of
        the tokens of one window, but at least one token.
        """
        capacity = max(1.0, SAVED_TOKENS_SHARE * rate * window)
        self.tokens = min(capacity, self.tokens + rate * max(0.0, now - self.updated_at))
        self.updated_at = now
        return self.tokens >= min(cost, capacity)

    def spend(self, cost: float) -> None:
        """Record that a request was sent. If it costs more tokens than there are, the balance becomes negative."""
        self.tokens -= cost


class WarmCapacity:
    """The capacity of all ready servers, in warm servers of the fastest kind; cached for WARM_CAPACITY_CACHE_MS."""

    __slots__ = ("_capacity", "_summed_at", "_version")

    def __init__(self) -> None:
        self._capacity = 0.0
        self._summed_at = -math.inf
        self._version = -1  # version of the endpoint list from which the sum was computed

    def at(self, now: float, version: int, sum_capacity: Callable[[], float]) -> float:
        """Return the capacity at a time (ms) for a version of the endpoint list."""
        if now - self._summed_at > WARM_CAPACITY_CACHE_MS or self._version != version:
            self._summed_at = now
            self._version = version
            self._capacity = sum_capacity()
        return self._capacity
