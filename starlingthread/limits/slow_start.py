"""What one router may send to a server that has just started: a share of the keys, and a budget of requests.

No router can see what the others send there, so the figures are such that the sum over all of them is right. The keys
are the same at every router. The budget is the router's part of what the server's ramp can bear, also where that part
is far less than one request in the time in which a server falls over: it is saved up, from a first saving drawn at
random, so that routers that were told of a server in the same moment do not all send in that moment.
"""

from __future__ import annotations

import math

from ..settings import Settings

MARGIN = 1.0  # of what the ramp can bear at the least: the figures told are the lowest share and the longest time
BURST = 0.5  # of the multiple at which a server falls over: this many times its part, as keys are not asked for evenly
SAVED = 0.5  # of a window's part may be saved up, so that no window gets more than 0.75 of that multiple
WARM_LIFE = 100.0  # ms for which the sum over all servers is good


def warm_share(now: float, started: float, cold_from: float, cold_time: float) -> float:
    """Return the least share of its capacity that a server has by now; 1 once it is warm. Times in ms."""
    age = now - started
    if started <= 0 or age >= cold_time:
        return 1.0
    return cold_from + (1 - cold_from) * max(0.0, age) / cold_time


def slow_start_rate(part: float, served: float, warm: float, rules: Settings) -> float:
    """Return how many requests a ms this router may send to a cold server.

    part: what the server can do now, and warm: what all can do, both in warm servers of the quickest kind; served:
    what this router is served, in requests a ms. What it is *asked* tells nothing of what servers can do: clients
    that are refused ask again, and so the budget grew just when all were full. The least is one request a window by
    all routers together, as nobody is served where all servers are cold.
    """
    least = 1.0 / (rules.overload_window * rules.router_count) if rules.overload_window > 0 else 0.0
    return max(least, BURST * rules.overload_factor * part * served / max(warm, part, 1e-9))


class ServedRate:
    """How many requests this router is served, from a decaying count that knows how long it has counted."""

    __slots__ = ("updated_at", "started_at", "count", "half_life")

    def __init__(self, half_life: float) -> None:
        self.half_life, self.count, self.updated_at, self.started_at = half_life, 0.0, 0.0, 0.0

    def start(self, now: float) -> None:
        """Start to count."""
        self.updated_at = self.started_at = now

    def record(self, now: float) -> None:
        """Count one request."""
        self.count, self.updated_at = self.count * math.exp2((self.updated_at - now) / self.half_life) + 1, now

    def per_ms(self, now: float) -> float:
        """Return the requests a ms; what is not seen yet is taken as none for the first ms only."""
        seen = self.half_life / math.log(2) * (1 - math.exp2((self.started_at - now) / self.half_life))
        return self.count * math.exp2((self.updated_at - now) / self.half_life) / max(1.0, seen)


def first_tokens(chance: float, routers: int) -> float:
    """Return what a router has saved up for a server that it just heard of, from a number in [0, 1) drawn at random.

    One of all the routers may send at once, as a lone one may; the others come one by one.
    """
    return 1.0 if chance * routers < 1 else (chance * routers - 1) / max(1, routers - 1)


class SlowStartBudget:
    """The requests that this router may send to one cold server; counted in requests of mean cost."""

    __slots__ = ("updated_at", "tokens")

    def __init__(self, first: float) -> None:
        self.tokens = first  # in [0, 1), at random
        self.updated_at = math.inf  # when it was last added to

    def allows(self, now: float, rate: float, window: float, cost: float) -> bool:
        """Tell whether one of this cost may go now, at so many requests a ms, no more saved than in a window (ms)."""
        self.tokens = min(max(1.0, SAVED * rate * window), self.tokens + rate * max(0.0, now - self.updated_at))
        self.updated_at = now
        return self.tokens >= min(cost, max(1.0, SAVED * rate * window))

    def spend(self, cost: float) -> None:
        """Take in that one was sent. What is dearer than all that may be saved is paid off later."""
        self.tokens -= cost
