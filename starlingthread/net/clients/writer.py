"""Writes responses to a client, with bounded buffers and time-outs for clients that read slowly."""

from __future__ import annotations

import asyncio

from ...core.pipe import Pipe
from ..streams import takes_more, unacknowledged_bytes
from .context import ConnectionState, ListenerContext
from .limits import MAX_UNSENT_BYTES
from .responses import ResponseSlot
from .write_stall import WriteStallTimer


class ResponseWriter:
    """Writes one response at a time to a client's stream."""

    __slots__ = ("_listener", "_stall_timer", "_state", "_streaming", "_writer", "_written_bytes")

    def __init__(self, listener: ListenerContext, state: ConnectionState, writer: asyncio.StreamWriter) -> None:
        self._listener = listener
        self._state = state
        self._writer = writer
        self._stall_timer = WriteStallTimer(listener.clock, listener.deadlines, writer, self._abort_stalled)
        self._streaming: Pipe | None = None  # the chunked value being written
        self._written_bytes = 0

    def delivered_bytes(self) -> int:
        """Return how many bytes of the responses the client's system has taken."""
        return self._written_bytes - self.undelivered_bytes()

    def undelivered_bytes(self) -> int:
        """Return how many bytes were written that the client's system has not taken."""
        return unacknowledged_bytes(self._writer)

    async def write(self, slot: ResponseSlot, parts: tuple[bytes, ...]) -> None:
        """Write one response; a large one is written part by part, so that little unsent data is buffered."""
        self._state.last_used_at = self._listener.clock.now()
        self._written_bytes += slot.reserved_bytes
        if slot.reserved_bytes <= MAX_UNSENT_BYTES:
            self._writer.writelines(parts)
            if self._exceeds_unsent_limit():
                await self._drain()
        else:
            for part in parts:
                if self._writer.transport.is_closing():
                    raise ConnectionResetError
                self._writer.writelines((part,))
                if self._exceeds_unsent_limit():
                    await self._drain()
        if slot.pipe is not None:
            await self._stream(slot.pipe)

    async def _stream(self, pipe: Pipe) -> None:
        """Write a chunked value as its chunks arrive.

        Raises ConnectionAbortedError if the value is truncated; the connection is aborted so that the client notices.
        """
        self._streaming = pipe
        if self._state.disconnected:
            pipe.abandon()
        while not pipe.is_finished():
            if pipe.has_more():
                await self._write_piece(pipe)
            else:
                await pipe.wait_for_data()
        self._streaming = None
        self._state.last_used_at = self._listener.clock.now()
        if not pipe.complete or pipe.abandoned:
            self._listener.counters.increment("clients.value_aborted")
            self._writer.transport.abort()
            raise ConnectionAbortedError

    async def _write_piece(self, pipe: Pipe) -> None:
        """Write the next piece of a chunked value, and wait until the operating system has all of it."""
        piece = pipe.take()
        self._written_bytes += len(piece)
        self._writer.write(piece)
        pipe.may_read_ahead = takes_more(self._writer)
        try:
            await self.flush()
        finally:
            pipe.release()

    def _exceeds_unsent_limit(self) -> bool:
        return self._writer.transport.get_write_buffer_size() > MAX_UNSENT_BYTES

    async def flush(self) -> None:
        """Wait until the operating system has all that was written; do not yield if it has."""
        if self._writer.transport.get_write_buffer_size():
            await self._drain()

    async def _drain(self) -> None:
        """Wait for a slow client as long as it reads, as it takes memory and a descriptor."""
        self._stall_timer.start()
        try:
            await self._writer.drain()
        finally:
            self._stall_timer.stop()

    def abandon_value(self) -> None:
        """Stop taking chunks of the value being written, as the client has disconnected."""
        if self._streaming is not None:
            self._streaming.abandon()

    def close(self) -> None:
        """Close the stream; unsent data is still sent as long as the client reads."""
        self._writer.close()
        if self._writer.transport.get_write_buffer_size():
            self._stall_timer.start()

    def _abort_stalled(self) -> None:
        """Abort the connection of a client that has stopped reading, unless all of its responses are sent."""
        if not self._writer.transport.is_closing() or self._writer.transport.get_write_buffer_size():
            self._listener.counters.increment("clients.write_stalled")
            self._writer.transport.abort()
