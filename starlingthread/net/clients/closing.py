"""Closing a client's connection without losing what crosses the close."""

from __future__ import annotations

import asyncio
import select
from collections.abc import Callable

from ..streams import has_poll_event
from .context import ConnectionState, ListenerContext
from .limits import LINGER_TIMEOUT_MS, MAX_LINGER_BYTES, READ_BYTES, WRITE_STALL_TIMEOUT_MS


async def linger(
    listener: ListenerContext,
    state: ConnectionState,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    reading: asyncio.Task[None],
) -> None:
    """Send our end of file and read to the client's, within bounds; what still arrives is discarded.

    Guards the last responses: a close over unread bytes resets the connection, and what the client has not read yet
    is lost with it. A request that arrives now crossed our end of file, so its client sends it again elsewhere.
    reading: the task that reads the stream; it is cancelled already.
    """
    state.lingering = True
    state.last_used_at = listener.clock.now()
    transport = writer.transport
    # What is unsent goes out before our end of file.
    timeout = WRITE_STALL_TIMEOUT_MS if transport.get_write_buffer_size() else LINGER_TIMEOUT_MS
    timer = listener.deadlines.set(state.last_used_at + timeout, transport.abort)
    try:
        # With bytes unsent asyncio would send the end of file from a callback of its own, and a reset between the
        # last byte and that would be an exception that nobody handles. With none this does not wait: it is the step
        # in which nothing more was owed or lay unread.
        transport.set_write_buffer_limits(0)
        await writer.drain()
        writer.write_eof()
        await asyncio.gather(reading, return_exceptions=True)  # until it has released the stream
        transport.resume_reading()  # type: ignore[attr-defined]
        remaining = MAX_LINGER_BYTES
        while remaining > 0 and (data := await reader.read(READ_BYTES)):
            remaining -= len(data)
    finally:
        listener.deadlines.clear(timer)


async def has_nothing_unread(writer: asyncio.StreamWriter, is_done: Callable[[], bool]) -> bool:
    """Return whether the connection can be closed: nothing is owed and nothing lies unread. If so, reading is paused.

    Guards the request that crosses our close: what was taken off the socket is owed a response.

    What still lies in the socket is taken too: after we stood still for a while, all connections look idle,
    and those whose requests nobody has read yet were closed. No more is taken after that, and the reader
    gets one turn; what crosses even this the client sends again.
    """
    transport = writer.transport
    if not transport.is_closing():
        transport.pause_reading()  # type: ignore[attr-defined]
    await asyncio.sleep(0)
    if is_done() and not has_poll_event(writer, select.POLLIN):
        return True
    if not transport.is_closing():
        transport.resume_reading()  # type: ignore[attr-defined]
    return False
