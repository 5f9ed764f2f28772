"""The events that the decision module handles. Times are in milliseconds; equal events compare equal."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple, TypeAlias

from .settings import Settings


class ServerState(IntEnum):
    """The state of a server in the endpoint list."""

    GONE = 0
    READY = 1
    DRAINING = 2


class EndpointListKind(IntEnum):
    """What an EndpointList event holds."""

    CACHED = 1  # a complete list from an earlier run
    FAILED = 2  # no list: discovery failed
    FULL = 3
    DELTA = 4


class AttemptResult(IntEnum):
    """How an attempt ended; NEVER_EXECUTED holds the results that prove that the server did not execute it."""

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
    """What a server's answer says of the key."""

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
    started: float = 0.0  # clock time; 0: long ago


class EndpointList(NamedTuple):
    """Event: the endpoint list, or changes to it."""

    kind: EndpointListKind
    version: int
    endpoints: tuple[Endpoint, ...] = ()


class Request(NamedTuple):
    """Event: a client's request has come in; it must get one final answer."""

    id: int
    class_index: int
    budget: float  # ms until its client gives up
    key: int = 0
    tenant: int = 0
    cost_hint: float = 0.0  # the client's estimate of the work, in an unknown unit; 0: no hint
    size: float = 0.0
    is_retry: bool = False
    is_write: bool = False
    single_use: bool = False  # its value is streamed, not buffered, so it can be sent once only
    queue_time: float = 0.0  # ms that it waited for this router's own core


class Outcome(NamedTuple):
    """Event: how an attempt ended."""

    id: int
    attempt: int
    server: int
    result: AttemptResult
    elapsed: float
    request_finished: bool
    cache_status: CacheStatus = CacheStatus.NONE
    load_report: tuple[float, ...] = ()
    own_delay: float = 0.0  # ms of the time elapsed for which this router's process was stopped or had no CPU

    @property
    def response_time(self) -> float:
        """The time (ms) that the server took, as far as is known."""
        return self.elapsed - self.own_delay

    @property
    def is_lost_here(self) -> bool:
        """Whether it timed out mainly because this router's process did not run; that says nothing of the server."""
        return self.result == AttemptResult.TIMEOUT and self.own_delay > self.elapsed / 2


class FirstByte(NamedTuple):
    """Event: a streamed answer has begun; no other attempt may replace it."""

    id: int
    attempt: int
    server: int
    elapsed: float


class RequestCancelled(NamedTuple):
    """Event: the client has left and needs no answer."""

    id: int


class Timer(NamedTuple):
    """Event: a timer is due."""

    label: int


class HealthCheckResult(NamedTuple):
    """Event: how a health check ended."""

    server: int
    result: AttemptResult
    elapsed: float
    load_report: tuple[float, ...] = ()


class Maintenance(NamedTuple):
    """Event: an operator takes a server out of service, whatever the endpoint list says, or puts it back."""

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
