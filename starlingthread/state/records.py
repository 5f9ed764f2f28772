"""Records of what is known of a server, a key, a request and an attempt. Times are clock times in ms."""

from __future__ import annotations

import math
from enum import IntEnum
from typing import NamedTuple

from ..balance.key import KeyOwners
from ..balance.load import ServerLoad
from ..balance.rendezvous import mix
from ..events import Endpoint, Request, ServerState
from ..limits.concurrency import ConcurrencyLimit
from ..limits.outliers import OutlierDetector
from ..limits.slow_start import SlowStartBudget
from ..settings import RequestClass


class OwnerGroup(IntEnum):
    """The group of owners for which a server was chosen that has no affinity count for the key yet."""

    FLEET = 0  # an owner among all servers
    ZONE = 1  # an owner among the servers of this router's zone


class AttemptRecord(NamedTuple):
    """An attempt in flight."""

    server: int
    sent_at: float
    expected_time: float  # ms of service time expected at that server
    in_flight_at_server: int  # this router's attempts in flight there, this one included, as it was sent
    fetch_probability: float  # that the server has to fetch the value from the origin


class PossibleExecution(NamedTuple):
    """The first attempt of a request that the server may have executed."""

    server: int
    sent_at: float
    attempt: int


class AffinityCount(NamedTuple):
    """How often this router sent a key to one server lately."""

    request_count: float  # decayed up to updated_at
    updated_at: float
    hit_bias: float  # from observed hits and misses: -1 (missed lately) to 1 (hit lately)


class Server:
    """What this router knows of one server."""

    __slots__ = (
        "attempts_in_flight",
        "concurrency",
        "cost_in_flight",
        "endpoint",
        "load",
        "outliers",
        "salt",
        "slow_start",
        "unavailable",
        "unavailable_since",
        "warming_since",
    )

    def __init__(self, endpoint: Endpoint, tokens: float, warming_since: float) -> None:
        """Begin with a server that was as empty as at its start at warming_since (0: long ago)."""
        self.endpoint = endpoint
        self.warming_since = warming_since
        self.slow_start = SlowStartBudget(tokens)
        self.unavailable = endpoint.state != ServerState.READY
        self.unavailable_since = math.inf  # when the endpoint list first called it draining or gone
        self.attempts_in_flight = 0
        self.cost_in_flight = 0.0  # ms of service time expected for all attempts in flight
        self.concurrency = ConcurrencyLimit()
        self.load = ServerLoad()
        self.outliers = OutlierDetector()
        self.salt = mix(endpoint.server + 1)


class KeyState:
    """What this router knows of one key."""

    __slots__ = ("counts", "fetching_request", "owners", "used_at", "waiting")

    def __init__(self) -> None:
        self.used_at = math.inf
        self.owners = KeyOwners()
        self.counts: dict[int, AffinityCount] = {}  # by server
        self.fetching_request = 0  # id of the request whose fetch from the origin is in flight
        self.waiting: list[RequestState] = []  # requests that wait for that fetch


class RequestState:
    """A request that is owed an answer, or whose attempts are still in flight."""

    __slots__ = (
        "attempts",
        "attempts_in_flight",
        "deadline",
        "expected_cost",
        "failed_servers",
        "finished",
        "hit_probability",
        "is_loss_sample",
        "last_failed_server",
        "missed_servers",
        "origin_waits",
        "owner_group",
        "possible_execution",
        "request",
        "request_class",
        "resume_at",
        "streaming",
    )

    def __init__(self, request: Request, request_class: RequestClass, now: float, expected_cost: float) -> None:
        """Begin with a request that comes in now and takes expected_cost ms at the fastest kind of server."""
        self.request = request
        self.request_class = request_class
        self.expected_cost = expected_cost
        self.deadline = now + request.budget
        self.finished = False
        self.streaming = False  # its answer has begun to reach the client
        self.attempts: list[AttemptRecord | None] = []  # None: ended
        self.attempts_in_flight = 0
        self.possible_execution: PossibleExecution | None = None
        self.missed_servers: list[int] = []  # servers that answered with a miss
        self.failed_servers: list[int] = []  # servers that are not tried again
        self.last_failed_server = -1  # the server of the last failed attempt, which may be tried once more
        self.hit_probability = 1.0  # that the server chosen last has the key cached
        self.owner_group: OwnerGroup | None = None  # of the server chosen last; None: it has a count, or is no owner
        self.is_loss_sample = False  # its outcome shows whether slow requests are lost or late
        self.resume_at = 0.0  # when it is routed again, while it waits
        self.origin_waits = 0  # times that it waited for a full origin
