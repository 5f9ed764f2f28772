"""Actions that the decision module returns. Times are in milliseconds; actions with equal fields compare equal."""

from __future__ import annotations

import math
from typing import NamedTuple, TypeAlias


class Send(NamedTuple):
    """Action: start an attempt at a server."""

    id: int
    server: int
    timeout: float = 0.0  # 0: until the client's deadline
    # Clock time from which the attempt must no longer be written, as servers would execute a duplicate from then on.
    write_deadline: float = math.inf


class Reject(NamedTuple):
    """Action: answer the client that its request is rejected; the client may safely retry it."""

    id: int
    retry_after: float = 0.0  # ms


class Fail(NamedTuple):
    """Action: answer the client that its request failed; the request may or may not have been executed."""

    id: int


class Cancel(NamedTuple):
    """Action: cancel an attempt in flight."""

    id: int
    attempt: int


class SetTimer(NamedTuple):
    """Action: request a Timer event at a clock time."""

    at: float
    label: int


class HealthCheck(NamedTuple):
    """Action: check the health of a server."""

    server: int


class CloseConnections(NamedTuple):
    """Action: close the idle connections to a server."""

    server: int


class SendToPeer(NamedTuple):
    """Action: send a message to one peer router, or to all of them if peer is None."""

    peer: int | None
    payload: bytes


class Log(NamedTuple):
    """Action: write a line to the operators' log."""

    text: str


class WatchEndpoints(NamedTuple):
    """Action: subscribe to changes of the endpoint list, or unsubscribe."""

    active: bool


class FetchEndpoints(NamedTuple):
    """Action: fetch the complete endpoint list once."""


Action: TypeAlias = (
    Send
    | Reject
    | Fail
    | Cancel
    | SetTimer
    | HealthCheck
    | CloseConnections
    | SendToPeer
    | Log
    | WatchEndpoints
    | FetchEndpoints
)
