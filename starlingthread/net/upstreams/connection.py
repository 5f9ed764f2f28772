"""A connection to a cache server, and the exchange in flight on it: an attempt or a health check."""

from __future__ import annotations

import asyncio
from typing import TypeAlias

from ...core.deadlines import Deadline
from ...core.messages import Attempt
from ...core.pipe import ByteBudget, Pipe, Reservation
from .. import meta
from ..streams import limit_read_size

READ_BYTES = 65536  # maximum size of one read
# A 'busy' for a request written this soon after the previous answer may be a stray line that belongs to that answer.
STRAY_BUSY_WINDOW_MS = 50.0


class PendingHealthCheck:
    """A health check in flight; it occupies a connection as an attempt does."""

    __slots__ = ("load", "sent_at", "timeout_timer")

    def __init__(self, sent_at: float) -> None:
        self.sent_at = sent_at
        self.timeout_timer: Deadline | None = None
        self.load: dict[str, float] = {}  # fields of the load report received so far


Exchange: TypeAlias = Attempt | PendingHealthCheck


class Connection:
    """A connection to a cache server, owned by the pool of that server."""

    __slots__ = (
        "_buffered",
        "_first_read",
        "address",
        "answered_at",
        "awaiting_response",
        "closed",
        "exchange",
        "generation",
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

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, address: tuple[str, int], generation: int = 0
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.address = address
        self.generation = generation
        self.parser = meta.AnswerParser()
        self._first_read: Reservation | None = None
        self._buffered: Reservation | None = None  # a command that is not sent yet, or an answer that is not complete
        self.exchange: Exchange | None = None
        self.awaiting_response = False  # an exchange was written and its answer is not complete yet
        self.out_of_sync = False  # data arrived that was not requested: answers can't be matched any more
        self.idle_since = 0.0
        self.written_at = 0.0
        self.answered_at = -STRAY_BUSY_WINDOW_MS
        self.read_timer: Deadline | None = None  # timeout for the rest of a partial answer
        self.closed = False
        self.request_body: Pipe | None = None  # the streamed value being written; None from its last byte on
        self.response_pipe: Pipe | None = None  # the streamed value being read; None from its last byte on

    @property
    def idle_before_write(self) -> float | None:
        """Idle time (ms) of the connection before the last write; None if that was the first write."""
        return self.written_at - self.answered_at if self.answered_at > 0 else None

    @property
    def busy_may_be_stray(self) -> bool:
        """Whether the last write followed an answer so soon that a 'busy' may be a stray line after that answer."""
        return self.written_at - self.answered_at < STRAY_BUSY_WINDOW_MS

    def reserve_first_read(self, budget: ByteBudget) -> None:
        """Reserve the first read of an answer, as its value may turn out to be streamed."""
        self.release_first_read()
        read_bytes = min(READ_BYTES, budget.window_bytes())
        self._first_read = Reservation(budget)
        self._first_read.set(read_bytes)
        limit_read_size(self.writer, read_bytes)

    def release_first_read(self) -> None:
        """Return the reserved bytes, as they were read or will not arrive."""
        if self._first_read is not None:
            self._first_read.set(0)
            self._first_read = None

    def reserve_buffered(self, budget: ByteBudget) -> None:
        """Reserve what this process holds of the exchange: the unsent part of the command and of the answer so far."""
        held_bytes = self.writer.transport.get_write_buffer_size() if self.request_body is None else 0
        held_bytes += self.parser.held_bytes()
        if held_bytes and self._buffered is None:
            self._buffered = Reservation(budget)
        if self._buffered is not None:
            self._buffered.set(held_bytes)

    def release_buffered(self) -> None:
        """Return the reserved bytes, as the exchange has ended."""
        if self._buffered is not None:
            self._buffered.set(0)
            self._buffered = None

    def limit_next_read(self) -> None:
        """Limit the next read of an answer that has arrived in part; reserve it if the value is streamed."""
        if self.response_pipe is not None:
            limit_read_size(self.writer, self.response_pipe.reserve_read(READ_BYTES))
        elif self.parser.has_partial_input():
            limit_read_size(self.writer, READ_BYTES)

    def is_reusable(self, generation: int) -> bool:
        """Whether another request can be sent: the connection is open, in sync, and to the server's current process."""
        return not (
            self.out_of_sync
            or self.closed
            or self.reader.at_eof()
            or self.writer.transport.is_closing()
            or self.generation != generation
        )
