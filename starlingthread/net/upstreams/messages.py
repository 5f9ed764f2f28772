"""Messages to the actor of a cache server."""

from __future__ import annotations

from typing import NamedTuple, TypeAlias

from ...core.pipe import Pipe
from .. import meta
from .connection import Connection, Exchange


class StartExchange(NamedTuple):
    """Start an attempt or a health check."""

    exchange: Exchange


class AbandonExchange(NamedTuple):
    """Stop an attempt or health check whose outcome is decided already."""

    exchange: Exchange


class ConnectTimedOut(NamedTuple):
    """A connection was not established by the due time (clock ms)."""

    exchange: Exchange
    due: float


class ConnectCompleted(NamedTuple):
    """A connection for an exchange was established, or has failed: then connection is None."""

    exchange: Exchange
    connection: Connection | None


class AnswerReceived(NamedTuple):
    """A complete answer, a line of the answer to 'stats load', or the head of a streamed value has arrived."""

    connection: Connection
    answer: meta.ServerAnswer
    pipe: Pipe | None = None  # pipe of the streamed value; None if no streamed value follows


class ValueReceived(NamedTuple):
    """The last byte of a streamed value has arrived."""

    connection: Connection


class ConnectionLost(NamedTuple):
    """A connection was closed or reset, or is out of sync."""

    connection: Connection


class ReadTimedOut(NamedTuple):
    """The rest of a partial answer did not arrive by the due time (clock ms)."""

    connection: Connection
    is_recheck: bool  # whether this is the second timeout in a row; only that one closes the connection
    due: float


class CloseIdle(NamedTuple):
    """Close the connections that have been idle for min_idle (ms) or longer."""

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
