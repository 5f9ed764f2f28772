"""Events that the decision module handles. Times are in milliseconds; events with equal fields compare equal."""

from __future__ import annotations

import math
from enum import IntEnum
from typing import NamedTuple, TypeAlias

from .settings import RequestClass, Settings

REMOVED_CLASS_INDEX = -1  # the index of a class that the settings do not have any more


class ServerState(IntEnum):
    """The state of a server in the endpoint list."""

    GONE = 0
    READY = 1
    DRAINING = 2


class EndpointListKind(IntEnum):
    """What an EndpointList event holds."""

    CACHED = 1  # a complete list that was stored by an earlier run
    FAILED = 2  # no list, as discovery failed
    FULL = 3
    DELTA = 4


class AttemptResult(IntEnum):
    """How an attempt ended; the results in NEVER_EXECUTED prove that the server did not execute the request."""

    OK = 1
    ERROR = 2
    FULL = 3
    TIMEOUT = 4
    CONNECT_FAILED = 5
    RESET = 6
    CANCELLED = 7
    NOT_SENT = 8
    MISS = 9


NEVER_EXECUTED = frozenset(
    (AttemptResult.FULL, AttemptResult.CONNECT_FAILED, AttemptResult.NOT_SENT, AttemptResult.MISS)
)


class CacheStatus(IntEnum):
    """Whether a server had the requested key cached, as its answer reports it."""

    NONE = 0
    HIT = 1
    MISS = 2
    FETCH_IN_FLIGHT = 3


class Endpoint(NamedTuple):
    """An entry of the endpoint list."""

    server: int
    zone: int = 0
    kind: int = 0
    cell: int = 0
    state: ServerState = ServerState.READY
    weight: float = 1.0
    started: float = 0.0  # clock time at which the server started; 0: long ago


class DiscoveryFailure(NamedTuple):
    """What is known of a failed call to discovery."""

    list_age: float = math.inf  # ms since discovery last showed that the list is current
    held_for: float = 0.0  # ms for which discovery kept the call waiting before it failed it
    is_silence: bool = False  # an open watch fell silent, so discovery has not failed any call


class EndpointList(NamedTuple):
    """Event: the endpoint list, or changes to it."""

    kind: EndpointListKind
    version: int
    endpoints: tuple[Endpoint, ...] = ()
    failure: DiscoveryFailure = DiscoveryFailure()  # with the kind FAILED


class Request(NamedTuple):
    """Event: a request has arrived from a client; it must get exactly one final answer."""

    id: int
    class_index: int
    budget: float  # ms until the client stops waiting
    key: int = 0
    tenant: int = 0
    cost_hint: float = 0.0  # the client's estimate of the service cost, in an unknown unit; 0: no hint
    size: float = 0.0
    is_retry: bool = False
    is_write: bool = False
    single_use: bool = False  # the value is streamed and not buffered, so the request can be sent only once
    queue_time: float = 0.0  # ms that the request was queued for this router's own CPU core
    # What tells whether the request has come before, as it must not run twice; 0: it may run any number of times.
    identity: int = 0
    request_class: RequestClass | None = None  # the class before a reload, which the request keeps; None: by index


class Outcome(NamedTuple):
    """Event: an attempt has ended."""

    id: int
    attempt: int
    server: int
    result: AttemptResult
    elapsed: float
    request_finished: bool
    cache_status: CacheStatus = CacheStatus.NONE
    load_report: tuple[float, ...] = ()
    own_delay: float = 0.0  # ms of the elapsed time for which this router's process was stopped or had no CPU

    @property
    def response_time(self) -> float:
        """The response time (ms) of the server: the elapsed time without this router's own delay."""
        return self.elapsed - self.own_delay

    @property
    def is_local_timeout(self) -> bool:
        """Whether the attempt timed out mainly because this router's process did not run.

        Such a time-out is no evidence about the server.
        """
        return self.result == AttemptResult.TIMEOUT and self.own_delay > self.elapsed / 2


class FirstByte(NamedTuple):
    """Event: the first byte of a streamed answer has arrived; no other attempt may replace the answer."""

    id: int
    attempt: int
    server: int
    elapsed: float


class RequestCancelled(NamedTuple):
    """Event: the client no longer waits for an answer."""

    id: int


class Timer(NamedTuple):
    """Event: a timer is due."""

    label: int


class HealthCheckResult(NamedTuple):
    """Event: a health check has ended."""

    server: int
    result: AttemptResult
    elapsed: float
    load_report: tuple[float, ...] = ()


class Maintenance(NamedTuple):
    """Event: an operator takes a server out of service, whatever its state in the endpoint list, or puts it back."""

    server: int
    in_maintenance: bool


class SettingsChanged(NamedTuple):
    """Event: new settings take effect; open requests keep their class."""

    settings: Settings


class PeerMessage(NamedTuple):
    """Event: a message from another router."""

    sender: int
    payload: bytes


Event: TypeAlias = (
    EndpointList
    | Request
    | Outcome
    | FirstByte
    | RequestCancelled
    | Timer
    | HealthCheckResult
    | PeerMessage
    | Maintenance
    | SettingsChanged
)
