"""Closes a client's connection without losing responses or requests that cross the close."""

from __future__ import annotations

import asyncio
import select
from collections.abc import Callable

from ...core.deadlines import Deadline
from ..streams import has_poll_event, unacknowledged_bytes
from .context import ConnectionState, ListenerContext
from .limits import LINGER_TIMEOUT_MS, MAX_LINGER_BYTES, READ_BYTES, WRITE_STALL_TIMEOUT_MS

# What our end of file adds to the bytes that a client's system has not taken.
END_OF_FILE_BYTES = 1


class LingerTimer:
    """Aborts a connection some time after our end of file, once its client has taken all responses or has stalled.

    A socket that is closed before that still sends what it holds, but drops it once the client sends another command.
    """

    def __init__(self, listener: ListenerContext, writer: asyncio.StreamWriter) -> None:
        """Start the timer, as our end of file is being sent."""
        self._clock = listener.clock
        self._deadlines = listener.deadlines
        self._writer = writer
        self._undelivered_bytes = unacknowledged_bytes(writer)
        self._progressed_at = self._clock.now()
        self._deadline = self._schedule()

    def stop(self) -> None:
        """Stop the timer."""
        self._deadlines.clear(self._deadline)

    def _schedule(self) -> Deadline:
        return self._deadlines.set(self._clock.now() + LINGER_TIMEOUT_MS, self._check)

    def _check(self) -> None:
        now = self._clock.now()
        undelivered_bytes = unacknowledged_bytes(self._writer)
        if undelivered_bytes < self._undelivered_bytes:
            self._undelivered_bytes = undelivered_bytes
            self._progressed_at = now
        elif undelivered_bytes <= END_OF_FILE_BYTES or now - self._progressed_at >= WRITE_STALL_TIMEOUT_MS:
            self._writer.transport.abort()
            return
        self._deadline = self._schedule()


async def linger(
    listener: ListenerContext,
    state: ConnectionState,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    reading: asyncio.Task[None],
) -> None:
    """Send our end of file, and read and discard data up to the client's, within bounds of time and size.

    This protects the last responses: closing a socket with unread data resets the connection, and the client loses
    the responses that it has not read yet. A request that arrives now crossed our end of file, so its client sends it
    again on another connection. Nothing may be unsent: asyncio would send the end of file from its own callback, where
    a reset after the last byte raises an exception that nothing handles.
    reading: the task that reads the stream, which is already cancelled
    """
    state.lingering = True
    state.last_used_at = listener.clock.now()
    transport = writer.transport
    timer = LingerTimer(listener, writer)
    try:
        writer.write_eof()
        await asyncio.gather(reading, return_exceptions=True)  # the task releases the stream
        transport.resume_reading()  # type: ignore[attr-defined]
        remaining = MAX_LINGER_BYTES
        while remaining > 0 and (data := await reader.read(READ_BYTES)):
            remaining -= len(data)
    finally:
        timer.stop()


async def has_nothing_unread(
    writer: asyncio.StreamWriter, is_done: Callable[[], bool], reading_stopped: bool = False
) -> bool:
    """Return whether the connection can be closed: nothing is unread or unanswered. If so, reading is paused.

    This protects a request that crosses our close: a request that was read from the socket must be answered.

    Data that is still in the socket counts as unread: after the process was stalled for a while, all connections look
    idle, and those with unread requests used to be closed. Reading is paused and the reader gets one turn of the event
    loop. A request that arrives later than that is sent again by its client.

    reading_stopped: nothing more is read, so only what was read before counts as unread
    """
    transport = writer.transport
    if not transport.is_closing():
        transport.pause_reading()  # type: ignore[attr-defined]
    await asyncio.sleep(0)
    if is_done() and (reading_stopped or not has_poll_event(writer, select.POLLIN)):
        return True
    if not reading_stopped and not transport.is_closing():
        transport.resume_reading()  # type: ignore[attr-defined]
    return False
