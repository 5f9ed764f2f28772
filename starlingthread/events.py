"""The events that the decision module takes in. Times are in milliseconds; equal events compare equal."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple, TypeAlias

from .settings import Settings


class ServerState(IntEnum):
    """What the list says of a server."""

    GONE = 0
    READY = 1
    DRAINING = 2


class EndpointListKind(IntEnum):
    """What a list event holds."""

    CACHED = 1
    FAILED = 2
    FULL = 3
    DELTA = 4


class AttemptResult(IntEnum):
    """How an attempt ended. FULL, CONNECT_FAILED, MOOT and MISS prove that it never ran."""

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
    """What a server told about the key in its answer."""

    NONE = 0
    HIT = 1
    MISS = 2
    FETCH_IN_FLIGHT = 3


class Endpoint(NamedTuple):
    """A line of the server list."""

    server: int
    zone: int = 0
    kind: int = 0
    cell: int = 0
    state: ServerState = ServerState.READY
    weight: float = 1.0
    started: float = 0.0  # clock time; 0: long ago


class EndpointList(NamedTuple):
    """Event: the server list, or changes to it."""

    kind: EndpointListKind
    version: int
    endpoints: tuple[Endpoint, ...] = ()


class Request(NamedTuple):
    """Event: a client's request has come in; it is owed one final answer."""

    id: int
    class_index: int
    budget: float
    key: int = 0
    tenant: int = 0
    cost_hint: float = 0.0  # a guess at the work, in a unit that is not told; 0: no hint
    size: float = 0.0
    is_retry: bool = False
    is_write: bool = False
    single_use: bool = False  # its value is not held whole, so it can be sent once only
    queue_time: float = 0.0  # ms that it lay here, on a core that is full, before the module saw it


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


class FirstByte(NamedTuple):
    """Event: a streamed answer has begun; its attempt belongs to the client now."""

    id: int
    attempt: int
    server: int
    elapsed: float


class RequestCancelled(NamedTuple):
    """Event: the client has left; nothing is owed any more."""

    id: int


class Timer(NamedTuple):
    """Event: a timer is due."""

    label: int


class HealthCheckResult(NamedTuple):
    """Event: what a probe found."""

    server: int
    result: AttemptResult
    elapsed: float
    load_report: tuple[float, ...] = ()


class Maintenance(NamedTuple):
    """Event: an operator leaves a server out, whatever lists say of it, or lets it serve again."""

    server: int
    in_maintenance: bool


class SettingsChanged(NamedTuple):
    """Event: new settings hold from now on; requests that are under way keep their class."""

    settings: Settings


class PeerMessage(NamedTuple):
    """Event: a message from another balancer."""

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
