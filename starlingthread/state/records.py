"""Records of the state of a server, a key, a request and an attempt. Times are clock times in ms."""

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
from .executions import PossibleExecution

# Half-life of counts, about the time for which a cache keeps a value without requests.
COUNT_HALF_LIFE_MS = 10000.0
# Weight of one observed hit or miss in the hit bias.
HIT_BIAS_GAIN = 0.5
# Maximum number of keys with counts. It bounds the memory, and is far more than the keys for which one router gets
# requests during the lifetime of a cached value.
MAX_KEYS = 20000
# Time without requests after which the counts of a key have decayed so far that they no longer matter.
KEY_RETENTION_MS = 35000.0
# Maximum number of evictions for each new key; more than one, so that the table shrinks again after a surge of keys.
MAX_EVICTIONS_PER_NEW_KEY = 2


class OwnerGroup(IntEnum):
    """The group of owners from which a server without an affinity count of the key was chosen."""

    FLEET = 0  # an owner among all servers
    ZONE = 1  # an owner among the servers of this router's zone


class AttemptRecord(NamedTuple):
    """An attempt in flight."""

    server: int
    sent_at: float
    expected_time: float  # expected service time (ms) at the server
    in_flight_at_server: int  # attempts of this router in flight at the server when this one was sent, including it
    fetch_probability: float  # probability that the server has to fetch the value from the origin


class AffinityCount(NamedTuple):
    """How often this router recently sent requests for a key to one server."""

    request_count: float  # count of requests, decayed up to updated_at
    updated_at: float
    hit_bias: float  # bias from observed hits and misses: -1 (recent miss) to 1 (recent hit)

    def at(self, now: float) -> AffinityCount:
        """Return the count decayed up to now."""
        request_count = self.request_count * math.exp2((self.updated_at - now) / COUNT_HALF_LIFE_MS)
        return AffinityCount(request_count, now, self.hit_bias)


NO_COUNT = AffinityCount(0.0, 0.0, 0.0)


class Server:
    """The state of one server as observed by this router."""

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
        """Create the state of a server.

        tokens: the initial slow-start tokens; warming_since: the time at which its cache was empty (0: long ago).
        """
        self.endpoint = endpoint
        self.warming_since = warming_since
        self.slow_start = SlowStartBudget(tokens)
        self.unavailable = endpoint.state != ServerState.READY
        self.unavailable_since = math.inf  # time from which the endpoint list does not list the server as ready
        self.attempts_in_flight = 0
        self.cost_in_flight = 0.0  # sum of the expected service times (ms) of all attempts in flight
        self.concurrency = ConcurrencyLimit()
        self.load = ServerLoad()
        self.outliers = OutlierDetector()
        self.salt = mix(endpoint.server + 1)


class KeyState:
    """The state of one key as observed by this router."""

    __slots__ = ("counts", "fetching_request", "owners", "used_at", "waiting")

    def __init__(self) -> None:
        self.used_at = math.inf
        self.owners = KeyOwners()
        self.counts: dict[int, AffinityCount] = {}  # request counts by server number
        self.fetching_request = 0  # id of the request whose fetch from the origin is in flight; 0: none
        self.waiting: list[RequestState] = []  # requests that wait for the fetch in flight

    def count_request(self, now: float, server: int) -> None:
        """Record that a request for the key was sent to a server."""
        self._update(now, server, 1.0, 0.0)

    def count_hit(self, now: float, server: int) -> None:
        """Record that a server has the key cached, or will have it soon."""
        self._update(now, server, 0.0, 1.0)

    def count_miss(self, now: float, server: int, fetch_failed: bool) -> None:
        """Record that a server did not have the key cached; if the fetch also failed, undo the count of the request."""
        self._update(now, server, -1.0 if fetch_failed else 0.0, -1.0)

    def _update(self, now: float, server: int, added_count: float, observation: float) -> None:
        """Add to a count, and move the hit bias towards the observation (1: hit, -1: miss, 0: none)."""
        request_count, _, hit_bias = self.counts.get(server, NO_COUNT).at(now)
        if observation:
            hit_bias += (observation - hit_bias) * HIT_BIAS_GAIN
        self.counts[server] = AffinityCount(max(0.0, request_count + added_count), now, hit_bias)


class KeyTable(OrderedDict[int, KeyState]):
    """The states of recently requested keys, by key, the least recently used one first."""

    def get_or_add(self, now: float, key: int) -> KeyState:
        """Return the state of a key that is requested now; a new state if the table has none."""
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
    """A request that has not been answered, or whose attempts are still in flight."""

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
        "possible_executions",
        "request",
        "request_class",
        "resume_at",
        "streaming",
    )

    def __init__(
        self,
        request: Request,
        request_class: RequestClass,
        now: float,
        expected_cost: float,
        possible_executions: list[PossibleExecution],
    ) -> None:
        """Create the state of a request that is received now.

        expected_cost: ms at the fastest machine kind; possible_executions: those of its identity, shared with the
        history of executions
        """
        self.request = request
        self.request_class = request_class
        self.expected_cost = expected_cost
        self.deadline = now + request.budget
        self.finished = False
        self.streaming = False  # whether a part of the answer has been sent to the client
        self.attempts: list[AttemptRecord | None] = []  # attempts by attempt number; None: the attempt has ended
        self.attempts_in_flight = 0
        self.possible_executions = possible_executions  # in the order in which the attempts were sent
        self.missed_servers: list[int] = []  # servers that answered with a miss
        self.failed_servers: list[int] = []  # servers that get no further attempt
        self.last_failed_server = -1  # server of the last failed attempt, which may get one more attempt
        self.hit_probability = 1.0  # probability that the server chosen last has the key cached
        # Owner group of the server chosen last; None: that server has an affinity count or is not an owner.
        self.owner_group: OwnerGroup | None = None
        self.is_loss_sample = False  # whether the outcome shows if slow requests are lost or late
        self.resume_at = 0.0  # time at which a waiting request is routed again
        self.origin_waits = 0  # number of times the request has waited because the origin was full
