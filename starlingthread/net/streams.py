"""Socket options and disconnect detection that asyncio streams lack, for connections of clients and cache servers."""

from __future__ import annotations

import array
import asyncio
import contextlib
import fcntl
import select
import socket
import termios
from collections.abc import Callable, Iterator
from typing import Any

# Poll events of a connection that its peer has closed or reset; they are reported even while received bytes are unread.
PEER_CLOSED_EVENTS = select.POLLHUP | select.POLLERR | getattr(select, "POLLRDHUP", 0)
# With at most this share of a receive buffer unread, the receive window is open. The system counts its own data for
# each packet in the buffer too, so only a small share is sure.
OPEN_WINDOW_SHARE = 1 / 8


def limit_read_size(writer: asyncio.StreamWriter, max_bytes: int) -> None:
    """Limit the number of bytes that a stream reads at once.

    This bounds the memory use: asyncio by default allocates 256 KB for each connection that waits for data.
    """
    if hasattr(writer.transport, "max_size"):
        writer.transport.max_size = max_bytes


def pause_reading(writer: asyncio.StreamWriter) -> None:
    """Leave received bytes in the operating system from now on, unless the connection is being closed."""
    transport: Any = writer.transport
    if not transport.is_closing():
        transport.pause_reading()


def resume_reading(writer: asyncio.StreamWriter) -> None:
    """Read again, unless the connection is being closed."""
    transport: Any = writer.transport
    if not transport.is_closing():
        transport.resume_reading()


@contextlib.contextmanager
def paused_reading(writer: asyncio.StreamWriter) -> Iterator[None]:
    """Leave received bytes in the operating system meanwhile, where they count in no budget of this process."""
    pause_reading(writer)
    try:
        yield
    finally:
        resume_reading(writer)


def unread_bytes(writer: asyncio.StreamWriter) -> int | None:
    """Return how many received bytes the operating system holds; None if it does not tell."""
    unread = array.array("i", [0])
    try:
        fcntl.ioctl(writer.get_extra_info("socket").fileno(), termios.FIONREAD, unread)
    except (OSError, ValueError):  # the socket is of another kind, or closed
        return None
    return unread[0]


def has_open_window(writer: asyncio.StreamWriter) -> bool:
    """Return whether the peer can send more although its bytes are not read.

    If so, all that it has sent was received, and its end of file is reported once it is sent.
    """
    unread = unread_bytes(writer)
    if unread is None:
        return False
    buffer_bytes = writer.get_extra_info("socket").getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)
    return bool(unread <= buffer_bytes * OPEN_WINDOW_SHARE)


def takes_more(writer: asyncio.StreamWriter) -> bool:
    """Return whether the operating system would take more bytes at once, as much of its send buffer is free."""
    return not writer.transport.get_write_buffer_size() and has_poll_event(writer, select.POLLOUT)


def unacknowledged_bytes(writer: asyncio.StreamWriter) -> int:
    """Return how many written bytes the peer's system has not acknowledged.

    Where the operating system does not tell, these are only the bytes that it has not taken.
    """
    unsent_bytes = writer.transport.get_write_buffer_size()
    send_queue_bytes = array.array("i", [0])
    with contextlib.suppress(OSError, ValueError):  # the socket is of another kind, or closed
        fcntl.ioctl(writer.get_extra_info("socket").fileno(), termios.TIOCOUTQ, send_queue_bytes)
    return unsent_bytes + send_queue_bytes[0]


def drain_completely(writer: asyncio.StreamWriter) -> None:
    """Have drain() wait until all written bytes are passed to the operating system.

    By default it returns while up to 64 KB are unsent.
    """
    writer.transport.set_write_buffer_limits(0)


def disable_nagle(writer: asyncio.StreamWriter) -> None:
    """Disable Nagle's algorithm (TCP_NODELAY), so that small writes are sent at once.

    asyncio does this only for outgoing connections, as it can't tell that an accepted connection is TCP. With Nagle's
    algorithm, an answer waits for the peer's ACK, and bytes that still wait when a connection is reset are lost.
    """
    with contextlib.suppress(OSError):  # the socket is not a TCP socket, so the algorithm does not apply
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def has_poll_event(writer: asyncio.StreamWriter, events: int) -> bool:
    """Return whether poll() currently reports one of these events for a connection."""
    if writer.transport.is_closing():
        return False
    poll = select.poll()
    poll.register(writer.get_extra_info("socket"), events)
    return any(reported & events for _, reported in poll.poll(0))


class StreamProtocol(asyncio.StreamReaderProtocol):
    """A stream protocol that prevents a traceback in the log after a connection reset.

    asyncio stores the reset as the exception of a future, and marks it as retrieved when the protocol is finalized. If
    the protocol is in an older generation of the garbage collector than the future, the collector may finalize the
    future first, and asyncio then logs that its exception was never retrieved.
    """

    def connection_lost(self, exc: Exception | None) -> None:
        """Handle the end of the connection."""
        super().connection_lost(exc)
        closed: asyncio.Future[None] | None = getattr(self, "_closed", None)
        if closed is not None and closed.done() and not closed.cancelled():
            closed.exception()


async def open_stream(host: str, port: int, limit: int) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Connect to an address and return the connection's streams; raise an OSError if that fails.

    limit: the reader's limit in bytes; reading from the socket pauses when more than twice as many are unread.
    """
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=limit)
    protocol = StreamProtocol(reader)
    transport, _ = await loop.create_connection(lambda: protocol, host, port)
    return reader, asyncio.StreamWriter(transport, protocol, reader, loop)


class DisconnectAwareProtocol(StreamProtocol):
    """A stream protocol that reports the peer's end of file or reset at once, even while nothing reads the stream."""

    def __init__(self, on_connected: Callable[[asyncio.StreamReader, asyncio.StreamWriter], None], limit: int) -> None:
        super().__init__(asyncio.StreamReader(limit=limit), on_connected)
        self.on_disconnect: Callable[[], None] = lambda: None
        # Handles received data before the stream's reader does; returns True if the reader must not get the data.
        self.consume: Callable[[bytes], bool] | None = None

    def data_received(self, data: bytes) -> None:
        """Pass received data to the stream's reader unless the consume callback has handled it."""
        if self.consume is None or not self.consume(data):
            super().data_received(data)

    def eof_received(self) -> bool | None:
        """Handle the peer's end of file; return whether the transport stays open."""
        stays_open = super().eof_received()
        self.on_disconnect()
        return stays_open

    def connection_lost(self, exc: Exception | None) -> None:
        """Handle the end of the connection."""
        super().connection_lost(exc)
        self.on_disconnect()
