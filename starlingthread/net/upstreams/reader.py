"""Reads answers and streamed values from the connections to one cache server, and detects stray data."""

from __future__ import annotations

from collections.abc import Callable

from ...core.pipe import Pipe
from .. import meta
from ..streams import paused_reading
from .connection import READ_BYTES, Connection
from .context import UpstreamContext
from .messages import AnswerReceived, ConnectionLost, Message, ReadTimedOut, ValueReceived

# The rest of a partial answer must arrive within this time. The timer runs twice, each time for half of it.
PARTIAL_ANSWER_TIMEOUT_MS = 100.0
# More of a streamed value must arrive within this time unless its pipe is full. The timer runs twice here too.
STREAM_STALL_TIMEOUT_MS = 10000.0


class ConnectionReader:
    """Reads connections and posts the received answers to the server's actor."""

    def __init__(self, context: UpstreamContext, post: Callable[[Message], None]) -> None:
        self._context = context
        self._post = post

    async def run(self, connection: Connection) -> None:
        """Read a connection until it ends, also while it is idle, so that its end is noticed at once."""
        try:
            while await self._read(connection):
                pipe = connection.response_pipe
                if pipe is not None and not await self.wait_until_not_full(connection, pipe):
                    break
        except OSError:
            pass
        self._post(ConnectionLost(connection))

    async def _read(self, connection: Connection) -> bool:
        """Read and process the next bytes; return whether to continue to read. No copy of the bytes is kept."""
        connection.limit_next_read()
        data = await connection.reader.read(READ_BYTES)
        return bool(data) and self.on_data(connection, data)

    async def wait_until_not_full(self, connection: Connection, pipe: Pipe) -> bool:
        """Wait until more of a streamed value may be read; return False if its consumer has abandoned it."""
        if pipe.is_full():
            self._clear_read_timeout(connection)
            with paused_reading(connection.writer):
                await pipe.wait_until_not_full()
            self.set_read_timeout(connection, connection.parser.has_partial_input(), is_recheck=False)
        return not pipe.abandoned

    def on_data(self, connection: Connection, data: bytes) -> bool:
        """Process received bytes; return False once the connection is out of sync, when no more data on it is trusted.

        A duplicate, noise or a stray line after an answer does not invalidate that answer, but the connection is not
        reused: otherwise the extra data could be mistaken for the answer to the next request.
        """
        connection.release_first_read()
        for item in connection.parser.feed(data):
            self._on_item(connection, item)
            if connection.out_of_sync:
                break
        is_partial = connection.parser.has_partial_input()
        if is_partial:
            connection.reserve_buffered(self._context.buffers)
        if is_partial and not connection.awaiting_response:
            connection.out_of_sync = True
        if connection.out_of_sync:
            self._context.counters.increment("servers.unexpected_answers")
            return False
        if is_partial or connection.read_timer is not None:
            self.set_read_timeout(connection, is_partial, is_recheck=False)
        return True

    def _on_item(self, connection: Connection, item: meta.ServerAnswer | meta.ValueChunk) -> None:
        """Process one parsed item; mark the connection out of sync if no answer was expected."""
        if not connection.awaiting_response:
            connection.out_of_sync = True
        elif isinstance(item, meta.ValueChunk):
            self._on_chunk(connection, item)
        else:
            self._on_answer(connection, item)

    def _on_answer(self, connection: Connection, answer: meta.ServerAnswer) -> None:
        # A STAT line is followed by more lines up to END, and the head of a streamed value by its chunks.
        connection.awaiting_response = answer.kind == meta.AnswerKind.STAT or answer.is_chunked
        if connection.response_pipe is not None:
            # Another answer arrived before the streamed value was complete: the value is truncated.
            connection.out_of_sync = True
            connection.response_pipe.finish(False)
            return
        connection.response_pipe = Pipe(self._context.value_budget) if answer.is_chunked else None
        self._post(AnswerReceived(connection, answer, connection.response_pipe))

    def _on_chunk(self, connection: Connection, chunk: meta.ValueChunk) -> None:
        assert connection.response_pipe is not None
        connection.response_pipe.put(chunk.data)
        if chunk.last:
            connection.awaiting_response = False
            connection.response_pipe.finish(True)
            connection.response_pipe = None
            self._post(ValueReceived(connection))

    def set_read_timeout(self, connection: Connection, is_partial: bool, is_recheck: bool) -> None:
        """Restart the timer for the rest of a partial answer; stop it if the input is not partial."""
        self._clear_read_timeout(connection)
        if is_partial and not connection.closed:
            is_streamed = connection.response_pipe is not None
            timeout = STREAM_STALL_TIMEOUT_MS if is_streamed else PARTIAL_ANSWER_TIMEOUT_MS
            due = self._context.clock.now() + timeout / 2
            message = ReadTimedOut(connection, is_recheck, due)
            connection.read_timer = self._context.deadlines.set(due, lambda: self._post(message))

    def _clear_read_timeout(self, connection: Connection) -> None:
        self._context.deadlines.clear(connection.read_timer)
        connection.read_timer = None
