"""Records of what is known of a server, a key, a request and an attempt. Times are clock times in ms."""

from __future__ import annotations

import math
from collections import OrderedDict
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

COUNT_HALF_LIFE_MS = 10000.0  # ms; of counts: about as long as a cache keeps a value without requests
HIT_BIAS_GAIN = 0.5  # how far one observed hit or miss moves the hit bias
MAX_KEYS = 20000  # keys with counts; bounds memory, far above what one router sees in a cache's lifetime
KEY_RETENTION_MS = 35000.0  # ms; the counts of a key without requests for so long have faded
MAX_EVICTIONS_PER_NEW_KEY = 2  # for each new key: the table shrinks again after a crowd of keys


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

    def at(self, now: float) -> AffinityCount:
        """Return the count decayed up to now."""
        request_count = self.request_count * math.exp2((self.updated_at - now) / COUNT_HALF_LIFE_MS)
        return AffinityCount(request_count, now, self.hit_bias)


NO_COUNT = AffinityCount(0.0, 0.0, 0.0)


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

    def count_request(self, now: float, server: int) -> None:
        """Count a request for the key that was sent to a server."""
        self._update(now, server, 1.0, 0.0)

    def count_hit(self, now: float, server: int) -> None:
        """Note that a server has the key cached, or is about to."""
        self._update(now, server, 0.0, 1.0)

    def count_miss(self, now: float, server: int, fetch_failed: bool) -> None:
        """Note that a server did not have the key cached; take back its count if the fetch failed as well."""
        self._update(now, server, -1.0 if fetch_failed else 0.0, -1.0)

    def _update(self, now: float, server: int, added_count: float, observation: float) -> None:
        """Add to a count, and move the hit bias towards the observation (1: hit, -1: miss, 0: none)."""
        request_count, _, hit_bias = self.counts.get(server, NO_COUNT).at(now)
        if observation:
            hit_bias += (observation - hit_bias) * HIT_BIAS_GAIN
        self.counts[server] = AffinityCount(max(0.0, request_count + added_count), now, hit_bias)


class KeyTable(OrderedDict[int, KeyState]):
    """The states of the keys requested lately, by key, the least recently used one first."""

    def get_or_add(self, now: float, key: int) -> KeyState:
        """Return the state of a key that is requested now, a new one if it has none."""
        state = self.get(key)
        if state is None:
            state = self[key] = KeyState()
            self._evict(now)
        else:
            self.move_to_end(key)
        state.used_at = now
        return state

    def _evict(self, now: float) -> None:
        for _ in range(MAX_EVICTIONS_PER_NEW_KEY):
            key, state = next(iter(self.items()))
            is_expired = len(self) > MAX_KEYS or now - state.used_at > KEY_RETENTION_MS
            if not is_expired or state.waiting or state.fetching_request:
                break
            del self[key]


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
