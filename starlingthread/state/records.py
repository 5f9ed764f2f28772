"""What is known of a server, a key and a request."""

from __future__ import annotations

import math

from ..balance.key import KeyOwners
from ..balance.load import ServerLoad
from ..balance.rendezvous import mix
from ..events import Endpoint, Request, ServerState
from ..limits.concurrency import ConcurrencyLimit
from ..limits.outliers import OutlierDetector
from ..limits.slow_start import SlowStartBudget
from ..settings import RequestClass


class Server:
    """What this balancer knows of one server."""

    __slots__ = (
        "slow_start",
        "concurrency",
        "endpoint",
        "attempts_in_flight",
        "outliers",
        "salt",
        "load",
        "unavailable_since",
        "cold_since",
        "cost_in_flight",
        "unavailable",
    )

    def __init__(self, line: Endpoint, tokens: float, since: float) -> None:
        self.endpoint, self.cold_since = line, since  # since: when it was as cold as at its start; 0: long ago
        self.slow_start = SlowStartBudget(tokens)  # while it is cold
        self.unavailable = line.state != ServerState.READY
        self.cost_in_flight, self.attempts_in_flight = 0.0, 0  # cost and number of our attempts that are out
        self.concurrency, self.load, self.outliers = ConcurrencyLimit(), ServerLoad(), OutlierDetector()
        self.unavailable_since = math.inf  # when we were told that it drains or is gone
        self.salt = mix(line.server + 1)


class Key:
    """Our counts of one key: per server the count, when it was last decayed, and the nudge of the chance."""

    __slots__ = ("counts", "fetching_request", "owners", "used_at", "waiting")

    def __init__(self) -> None:
        self.used_at, self.owners = math.inf, KeyOwners()
        self.counts: dict[int, tuple[float, float, float]] = {}
        self.fetching_request = 0  # the request whose fetch from the origin is out
        self.waiting: list[RequestState] = []


class RequestState:
    """A request that is owed an answer, or whose attempts are still out."""

    __slots__ = (
        "request",
        "request_class",
        "hit_probability",
        "deadline",
        "last_failed_server",
        "expected_cost",
        "attempts",
        "attempts_in_flight",
        "may_have_run_at",
        "may_have_run_attempt",
        "may_have_run_on",
        "missed_servers",
        "finished",
        "failed_servers",
        "checked_for_hedge",
        "streaming",
        "owner_group",
        "resume_at",
        "origin_waits",
    )

    def __init__(self, req: Request, cls: RequestClass, now: float, cost: float) -> None:
        self.request, self.request_class, self.expected_cost, self.deadline = req, cls, cost, now + req.budget
        # Server, sent at, cost there, its number among those out there, chance of a fetch; None: over.
        self.attempts: list[tuple[int, float, float, int, float] | None] = []
        self.attempts_in_flight = 0
        self.may_have_run_at, self.may_have_run_on, self.may_have_run_attempt = (
            -1.0,
            0,
            -1,
        )  # the first attempt that may have run
        self.finished = self.streaming = self.checked_for_hedge = False  # looked at: it may be on a dead connection
        self.missed_servers: list[int] = []
        self.failed_servers: list[int] = []  # servers that failed this request
        self.last_failed_server = -1  # the server that failed it last, and may be asked once more
        self.hit_probability = 1.0  # that the server chosen last has the key cached
        self.resume_at, self.origin_waits = (
            0.0,
            0,
        )  # when a held request goes on, and how often it waited for the origin
        self.owner_group = -1  # the last attempt went to an uncounted owner: 0 of the fleet's, 1 of our zone's
