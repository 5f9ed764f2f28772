"""The messages that the actor of a cache server handles."""

from __future__ import annotations

from typing import NamedTuple, TypeAlias

from ...core.pipe import Pipe
from .. import meta
from .connection import Connection, Exchange


class StartExchange(NamedTuple):
    """Start an attempt or a health check."""

    exchange: Exchange


class AbandonExchange(NamedTuple):
    """Stop waiting for an attempt or health check that has its outcome already."""

    exchange: Exchange


class ConnectTimedOut(NamedTuple):
    """A connection was not established by the time that it was due (clock ms)."""

    exchange: Exchange
    due: float


class ConnectCompleted(NamedTuple):
    """Opening a connection for an exchange has ended; connection is None if it failed."""

    exchange: Exchange
    connection: Connection | None


class AnswerReceived(NamedTuple):
    """An answer has arrived: all of it, a line of 'stats load', or the head of a streamed value."""

    connection: Connection
    answer: meta.ServerAnswer
    pipe: Pipe | None = None  # where a streamed value follows


class ValueReceived(NamedTuple):
    """The last byte of a streamed value has arrived."""

    connection: Connection


class ConnectionLost(NamedTuple):
    """A connection has ended, or is out of sync."""

    connection: Connection


class ReadTimedOut(NamedTuple):
    """The rest of a partial answer did not arrive by the time that it was due (clock ms)."""

    connection: Connection
    is_recheck: bool  # the second time-out in a row: a connection is given up on this one only
    due: float


class CloseIdle(NamedTuple):
    """Close the connections that have been idle for this long (ms)."""

    min_idle: float


Message: TypeAlias = (
    StartExchange
    | AbandonExchange
    | ConnectTimedOut
    | ConnectCompleted
    | AnswerReceived
    | ValueReceived
    | ConnectionLost
    | ReadTimedOut
    | CloseIdle
)
