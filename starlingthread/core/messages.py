"""What the router's actor exchanges with its clients and servers: requests, attempts, answers and mailbox messages."""

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
    """Final answer: what a server made for this request, in the dialect's own form."""

    payload: object
    pipe: Pipe | None = None  # where its value follows in pieces


class Rejected(NamedTuple):
    """Final answer: turned away, come again after so many ms (0: no advice)."""

    retry_after: float = 0.0


class Failed(NamedTuple):
    """Final answer: failed, with no promise."""


Answer: TypeAlias = Served | Rejected | Failed


class Requester(Protocol):
    """Whoever is owed a final answer."""

    def answer(self, request: PendingRequest, answer: Answer) -> None:
        """Take the one final answer of a request."""


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that was taken and is owed one final answer."""

    requester: Requester
    request_class: RequestClass
    key: int
    deadline: float  # clock time at which the client gives up
    payload: object  # in the dialect's own form
    received_at: float  # clock time at which it was whole
    size: float = 0.0
    cost_hint: float = 0.0  # the client's guess at the work, in whatever unit; 0: none
    is_retry: bool = False
    is_write: bool = False
    id: int = 0
    finished: bool = False
    cancelled: bool = False  # whoever asked has left, and the message that says so is on its way: begin nothing more
    attempts_started: int = 0
    attempts_in_flight: int = 0
    deadline_timer: Deadline | None = None
    body: Pipe | None = None  # where its value follows in pieces: it can be sent once only


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt: it is out until its one outcome."""

    request: PendingRequest
    number: int
    server: int
    sent_at: float
    deadline: float  # clock time at which we stop waiting for it
    write_deadline: float = math.inf  # clock time from which on it must not be written any more
    pending: bool = True  # false once it has its outcome: whoever is about to write it must not
    timeout_timer: Deadline | None = None


class RequestReceived(NamedTuple):
    """Message: a request has come in."""

    request: PendingRequest


class BodyReceived(NamedTuple):
    """Message: the last byte of a request's value has come; its time runs from now, and ends at 'ends'."""

    request: PendingRequest
    deadline: float


class ClientDisconnected(NamedTuple):
    """Message: the client of a request has left."""

    request: PendingRequest


class AttemptEnded(NamedTuple):
    """Message: how an attempt ended."""

    attempt: Attempt
    result: AttemptResult
    cache_status: CacheStatus = CacheStatus.NONE
    load_report: tuple[float, ...] = ()
    payload: object = None
    pipe: Pipe | None = None


class EndpointsReceived(NamedTuple):
    """Message: what discovery told, with each server's address where it is known."""

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
