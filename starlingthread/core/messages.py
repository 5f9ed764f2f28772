"""The data that the router's actor exchanges with clients and servers: requests, attempts, answers and messages.

Times are in milliseconds of the router's clock, sizes in bytes.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import NamedTuple, Protocol, TypeAlias

from ..events import (
    AttemptResult,
    CacheStatus,
    EndpointList,
    HealthCheckResult,
    Maintenance,
    PeerMessage,
    SettingsChanged,
)
from ..settings import RequestClass
from .deadlines import Deadline
from .pipe import Pipe


class Served(NamedTuple):
    """Final answer: a server's response, in a form that depends on the protocol."""

    payload: object
    pipe: Pipe | None = None  # The rest of the value if the response is streamed.


class Rejected(NamedTuple):
    """Final answer: the request was rejected before it was executed; the client may retry it."""

    retry_after: float = 0.0  # The client should retry no earlier than after this time (ms); 0: no advice.


class Failed(NamedTuple):
    """Final answer: the request failed, and may have been executed."""


Answer: TypeAlias = Served | Rejected | Failed


class Requester(Protocol):
    """The sender of a request, which receives its final answer."""

    def answer(self, request: PendingRequest, answer: Answer) -> None:
        """Receive the final answer of a request; called at most once for each."""

    def may_start_attempt(self) -> bool:
        """Return whether the requester is known to wait still; if not, no attempt may start for its requests."""


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that was accepted and gets at most one final answer."""

    requester: Requester
    request_class: RequestClass
    key: int
    # The client stops waiting at this time. While a streamed value is received, each piece moves it into the future.
    deadline: float
    payload: object  # The request in a form that depends on the protocol.
    received_at: float  # The time when the last byte was read; if the value is streamed, the last byte of the head.
    size: float = 0.0
    cost_hint: float = 0.0  # The client's estimate of the work, in an arbitrary unit; 0: no hint.
    is_retry: bool = False
    is_write: bool = False
    # What tells whether the request has come before, as it must not run twice; 0: it may run any number of times.
    identity: int = 0
    id: int = 0  # The request has the id 0 until the actor has processed its arrival.
    finished: bool = False  # The request was answered, or its client has disconnected.
    # The client has disconnected, and ClientDisconnected is in the mailbox: no further attempt may start.
    cancelled: bool = False
    # The request was received before a reload, and keeps its class although the reload may have changed or removed it.
    keeps_class: bool = False
    attempts_started: int = 0
    attempts_in_flight: int = 0
    deadline_timer: Deadline | None = None
    body: Pipe | None = None  # The value if it is streamed; it can be sent only once.

    @property
    def is_receiving(self) -> bool:
        """Whether more of a streamed value may arrive."""
        return self.body is not None and self.body.complete is None and not self.body.abandoned


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt to have a request answered by one server."""

    request: PendingRequest
    number: int  # The first attempt of a request has the number 0.
    server: int
    sent_at: float
    idle_time_at_start: float  # The total idle time of this process (ms) when the attempt was sent.
    deadline: float  # The attempt times out at this time.
    write_deadline: float = math.inf  # The attempt must not be written to the server after this time.
    pending: bool = True  # The attempt has no outcome yet; once it has one, it must not be written to the server.
    timeout_timer: Deadline | None = None


class RequestReceived(NamedTuple):
    """Message: a client has sent a request."""

    request: PendingRequest


class BodyReceived(NamedTuple):
    """Message: the last byte of a request's streamed value was read, which sets the request's deadline."""

    request: PendingRequest
    deadline: float


class DeadlinePassed(NamedTuple):
    """Message: the deadline of a request whose streamed value is being received has passed, as we left it unread."""

    request: PendingRequest


class ClientDisconnected(NamedTuple):
    """Message: the client of a request has disconnected."""

    request: PendingRequest


class AttemptEnded(NamedTuple):
    """Message: the outcome of an attempt."""

    attempt: Attempt
    result: AttemptResult
    cache_status: CacheStatus = CacheStatus.NONE
    load_report: tuple[float, ...] = ()
    payload: object = None
    pipe: Pipe | None = None


class EndpointsReceived(NamedTuple):
    """Message: an endpoint list or a change to it, with the known addresses of the servers by their ids."""

    event: EndpointList
    addresses: dict[int, tuple[str, int]]


Message: TypeAlias = (
    RequestReceived
    | BodyReceived
    | DeadlinePassed
    | ClientDisconnected
    | AttemptEnded
    | EndpointsReceived
    | HealthCheckResult
    | PeerMessage
    | Maintenance
    | SettingsChanged
)
