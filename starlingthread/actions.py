"""The actions that the decision module calls for. Times are in milliseconds; equal actions compare equal."""

from __future__ import annotations

import math
from typing import NamedTuple, TypeAlias


class Send(NamedTuple):
    """Action: start an attempt."""

    id: int
    server: int
    timeout: float = 0.0  # 0: until the client gives up
    write_deadline: float = (
        math.inf
    )  # clock time from which on it must not be written any more, as a repeat would run again


class Reject(NamedTuple):
    """Action: final answer, turned away; the client may safely try again."""

    id: int
    retry_after: float = 0.0


class Fail(NamedTuple):
    """Action: final answer, failed; nothing is promised."""

    id: int


class Cancel(NamedTuple):
    """Action: stop waiting for an attempt."""

    id: int
    attempt: int


class SetTimer(NamedTuple):
    """Action: ask for a Timer event at a clock time."""

    at: float
    label: int


class HealthCheck(NamedTuple):
    """Action: look at a server."""

    server: int


class CloseConnections(NamedTuple):
    """Action: close idle connections to a server."""

    server: int


class SendToPeer(NamedTuple):
    """Action: a message to one balancer, or to all (peer None)."""

    peer: int | None
    payload: bytes


class Log(NamedTuple):
    """Action: a line for the operators."""

    text: str


class WatchEndpoints(NamedTuple):
    """Action: subscribe to list changes, or stop."""

    active: bool


class FetchEndpoints(NamedTuple):
    """Action: ask for the whole list once."""


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
