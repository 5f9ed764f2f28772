"""Reads the connections of one cache server: answers, streamed values and stray data."""

from __future__ import annotations

from collections.abc import Callable

from ...core.pipe import Pipe
from .. import meta
from .connection import READ_SIZE, Connection
from .context import UpstreamContext
from .messages import AnswerReceived, ConnectionLost, Message, ReadTimedOut, ValueReceived

# How long the rest of an answer may take once a part of it is here. The timer runs twice, each time for half of it.
PARTIAL_ANSWER_TIMEOUT_MS = 100.0
STREAM_STALL_TIMEOUT_MS = 10000.0  # the same for a streamed value while we are ready to read it


class ConnectionReader:
    """Reads connections and posts what arrives to the server's actor."""

    def __init__(self, context: UpstreamContext, post: Callable[[Message], None]) -> None:
        self._context = context
        self._post = post

    async def run(self, connection: Connection) -> None:
        """Read a connection until it ends, idle ones too, so that their end is noticed at once."""
        try:
            while data := await connection.reader.read(READ_SIZE):
                if not self.on_data(connection, data):
                    break
                pipe = connection.response_pipe
                if pipe is not None and not await self.wait_until_not_full(connection, pipe):
                    break
        except OSError:
            pass
        self._post(ConnectionLost(connection))

    async def wait_until_not_full(self, connection: Connection, pipe: Pipe) -> bool:
        """Wait until more of a streamed value may be read; False if its reader has abandoned it."""
        if pipe.is_full():
            self._clear_read_timeout(connection)
            await pipe.wait_until_not_full()
            self.set_read_timeout(connection, connection.parser.has_partial_input(), is_recheck=False)
        return not pipe.abandoned

    def on_data(self, connection: Connection, data: bytes) -> bool:
        """Process received bytes; False once the connection is out of sync and nothing more on it can be trusted.

        Guards against a duplicate, noise or a stray line behind an answer: the answer stands, and the connection is
        not reused, so that what follows can't pass for the answer to the next request.
        """
        for item in connection.parser.feed(data):
            self._on_item(connection, item)
            if connection.out_of_sync:
                break
        is_partial = connection.parser.has_partial_input()
        if is_partial and not connection.awaiting_response:
            connection.out_of_sync = True
        if connection.out_of_sync:
            self._context.counters.increment("servers.unexpected_answers")
            return False
        if is_partial or connection.read_timer is not None:
            self.set_read_timeout(connection, is_partial, is_recheck=False)
        return True

    def _on_item(self, connection: Connection, item: meta.ServerAnswer | meta.ValueChunk) -> None:
        """Process one parsed item; set the connection's out_of_sync if it does not belong there."""
        if not connection.awaiting_response:
            connection.out_of_sync = True
        elif isinstance(item, meta.ValueChunk):
            self._on_chunk(connection, item)
        else:
            self._on_answer(connection, item)

    def _on_answer(self, connection: Connection, answer: meta.ServerAnswer) -> None:
        # The END is still to come after a STAT, and the chunks after the head of a streamed value.
        connection.awaiting_response = answer.kind == meta.AnswerKind.STAT or answer.is_chunked
        if connection.response_pipe is not None:
            # Another answer in place of the value's end: the value has broken off.
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
        """Restart the timer for the rest of a partial answer, or stop it if there is none."""
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
