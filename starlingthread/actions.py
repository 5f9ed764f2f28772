"""The actions that the decision module returns. Times are in milliseconds; equal actions compare equal."""

from __future__ import annotations

import math
from typing import NamedTuple, TypeAlias


class Send(NamedTuple):
    """Action: start an attempt."""

    id: int
    server: int
    timeout: float = 0.0  # 0: until the client gives up
    write_deadline: float = math.inf  # clock time from which on it must not be written: a repeat would be executed


class Reject(NamedTuple):
    """Action: final answer, rejected; the client may safely retry."""

    id: int
    retry_after: float = 0.0  # ms


class Fail(NamedTuple):
    """Action: final answer, failed; the request may have been executed or not."""

    id: int


class Cancel(NamedTuple):
    """Action: stop waiting for an attempt."""

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
    """Action: close idle connections to a server."""

    server: int


class SendToPeer(NamedTuple):
    """Action: send a message to one router, or to all (peer None)."""

    peer: int | None
    payload: bytes


class Log(NamedTuple):
    """Action: log a line for the operators."""

    text: str


class WatchEndpoints(NamedTuple):
    """Action: subscribe to changes of the endpoint list, or unsubscribe."""

    active: bool


class FetchEndpoints(NamedTuple):
    """Action: request the complete endpoint list once."""


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
