"""One connection to a cache server and the exchange that is in flight on it."""

from __future__ import annotations

import asyncio
from typing import TypeAlias

from ...core.deadlines import Deadline
from ...core.messages import Attempt
from ...core.pipe import Pipe
from .. import meta

READ_SIZE = 65536  # bytes that are read at once
STRAY_BUSY_WINDOW_MS = 50.0  # after an answer; a 'busy' in it may be a stray line that belongs to that answer


class PendingHealthCheck:
    """A health check in flight; it takes the place of an attempt on a connection."""

    __slots__ = ("load", "sent_at", "timeout_timer")

    def __init__(self, sent_at: float) -> None:
        self.sent_at = sent_at
        self.timeout_timer: Deadline | None = None
        self.load: dict[str, float] = {}  # figures of the load report received so far


Exchange: TypeAlias = Attempt | PendingHealthCheck


class Connection:
    """One connection to a cache server, owned by the pool of that server."""

    __slots__ = (
        "address",
        "answered_at",
        "awaiting_response",
        "closed",
        "exchange",
        "idle_since",
        "out_of_sync",
        "parser",
        "read_timer",
        "reader",
        "request_body",
        "response_pipe",
        "writer",
        "written_at",
    )

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, address: tuple[str, int]) -> None:
        self.reader = reader
        self.writer = writer
        self.address = address
        self.parser = meta.AnswerParser()
        self.exchange: Exchange | None = None
        self.awaiting_response = False  # something was written that is not answered in full yet
        self.out_of_sync = False  # more has come than was asked for: answers can't be matched any more
        self.idle_since = 0.0
        self.written_at = 0.0
        self.answered_at = -STRAY_BUSY_WINDOW_MS
        self.read_timer: Deadline | None = None  # by when the rest of a partial answer must arrive
        self.closed = False
        self.request_body: Pipe | None = None  # the streamed value being written, until its last byte is out
        self.response_pipe: Pipe | None = None  # the streamed value being read, until its last byte is in

    @property
    def idle_before_write(self) -> float | None:
        """How long (ms) it was idle before the last write; None if that was the first."""
        return self.written_at - self.answered_at if self.answered_at > 0 else None

    @property
    def may_see_stray_busy(self) -> bool:
        """Whether the last write followed an answer so soon that a 'busy' may be a stray line behind that answer."""
        return self.written_at - self.answered_at < STRAY_BUSY_WINDOW_MS

    def is_reusable(self, address: tuple[str, int]) -> bool:
        """Whether it can still carry a request: in sync, not ended, and to the server's current address."""
        return not (
            self.out_of_sync
            or self.closed
            or self.reader.at_eof()
            or self.writer.transport.is_closing()
            or self.address != address
        )
