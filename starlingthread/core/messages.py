"""What the router's actor exchanges with its clients and servers: requests, attempts, answers and mailbox messages.

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
    """Final answer: a server's response, in the dialect's own form."""

    payload: object
    pipe: Pipe | None = None  # the rest of the value, where the response is streamed


class Rejected(NamedTuple):
    """Final answer: rejected before it ran; the client may retry."""

    retry_after: float = 0.0  # 0: no advice


class Failed(NamedTuple):
    """Final answer: failed, and it may have run."""


Answer: TypeAlias = Served | Rejected | Failed


class Requester(Protocol):
    """The owner of a request, who is owed its final answer."""

    def answer(self, request: PendingRequest, answer: Answer) -> None:
        """Receive the one final answer of a request."""


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that was accepted and is owed one final answer."""

    requester: Requester
    request_class: RequestClass
    key: int
    deadline: float  # when the client gives up
    payload: object  # in the dialect's own form
    received_at: float  # when its last byte was read; of a streamed value, that of its head
    size: float = 0.0
    cost_hint: float = 0.0  # the client's estimate of the work, in a unit of its own; 0: none
    is_retry: bool = False
    is_write: bool = False
    id: int = 0  # 0 until the actor has processed its arrival
    finished: bool = False  # it was answered, or its client has disconnected
    cancelled: bool = False  # its client has disconnected and ClientDisconnected is under way: start no attempt
    attempts_started: int = 0
    attempts_in_flight: int = 0
    deadline_timer: Deadline | None = None
    body: Pipe | None = None  # its value, where that is streamed: it can be sent only once


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request at one server."""

    request: PendingRequest
    number: int  # 0 for the first attempt of the request
    server: int
    sent_at: float
    idle_time_at_start: float  # ms for which this process had been idle when it was sent
    deadline: float  # when we stop waiting for it
    write_deadline: float = math.inf  # from then on it must not be written any more
    pending: bool = True  # it has no outcome yet; once it has one it must not be written any more
    timeout_timer: Deadline | None = None


class RequestReceived(NamedTuple):
    """Message: a client has sent a request."""

    request: PendingRequest


class BodyReceived(NamedTuple):
    """Message: the last byte of a request's streamed value was read; its deadline counts from there."""

    request: PendingRequest
    deadline: float


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
    """Message: an endpoint list or a change to it, with the servers' addresses as far as they are known."""

    event: EndpointList
    addresses: dict[int, tuple[str, int]]


Message: TypeAlias = (
    RequestReceived
    | BodyReceived
    | ClientDisconnected
    | AttemptEnded
    | EndpointsReceived
    | HealthCheckResult
    | PeerMessage
    | Maintenance
    | SettingsChanged
)
