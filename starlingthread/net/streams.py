"""Socket options and disconnect detection that asyncio's streams lack; for clients and cache servers."""

from __future__ import annotations

import asyncio
import contextlib
import select
import socket
from collections.abc import Callable

# Poll events of a connection whose peer has closed or reset it, reported also while earlier bytes lie unread.
PEER_CLOSED_EVENTS = select.POLLHUP | select.POLLERR | getattr(select, "POLLRDHUP", 0)


def limit_read_size(writer: asyncio.StreamWriter, size: int) -> None:
    """Limit the bytes that a stream reads at once.

    Guards memory: asyncio's default is 256 KB, for each connection that waits.
    """
    if hasattr(writer.transport, "max_size"):
        writer.transport.max_size = size


def disable_nagle(writer: asyncio.StreamWriter) -> None:
    """Send small writes at once (TCP_NODELAY).

    asyncio does this for connections that we open; of those that we accept it can't tell that they are TCP. What
    Nagle's algorithm delays is lost when a connection is reset, and answers wait for the peer's ACK.
    """
    with contextlib.suppress(OSError):  # a socket that is no TCP socket delays nothing
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def has_poll_event(writer: asyncio.StreamWriter, events: int) -> bool:
    """Return whether the system reports one of these poll events for a connection now."""
    if writer.transport.is_closing():
        return False
    poll = select.poll()
    poll.register(writer.get_extra_info("socket"), events)
    return any(reported & events for _, reported in poll.poll(0))


class StreamProtocol(asyncio.StreamReaderProtocol):
    """A stream protocol whose connection may be reset without a traceback in the log.

    asyncio keeps the reset in a future, and marks it as retrieved when the protocol is finalized. The garbage collector
    may finalize that future first, if the protocol was moved to an older generation before the future was created.
    """

    def connection_lost(self, exc: Exception | None) -> None:
        """Handle the end of the connection."""
        super().connection_lost(exc)
        closed: asyncio.Future[None] | None = getattr(self, "_closed", None)
        if closed is not None and closed.done() and not closed.cancelled():
            closed.exception()


async def open_stream(host: str, port: int, limit: int) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Connect to an address and return the connection's streams; raise an OSError if that fails.

    limit: bytes after which reading pauses, half of what may lie unread.
    """
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=limit)
    protocol = StreamProtocol(reader)
    transport, _ = await loop.create_connection(lambda: protocol, host, port)
    return reader, asyncio.StreamWriter(transport, protocol, reader, loop)


class DisconnectAwareProtocol(StreamProtocol):
    """A stream protocol that reports the peer's end of file or reset at once, whatever the stream's reader awaits."""

    def __init__(self, on_connected: Callable[[asyncio.StreamReader, asyncio.StreamWriter], None], limit: int) -> None:
        super().__init__(asyncio.StreamReader(limit=limit), on_connected)
        self.on_disconnect: Callable[[], None] = lambda: None
        self.consume: Callable[[bytes], bool] | None = None  # returns whether it has dealt with what was received

    def data_received(self, data: bytes) -> None:
        """Hand data to the stream's reader, unless they are dealt with already."""
        if self.consume is None or not self.consume(data):
            super().data_received(data)

    def eof_received(self) -> bool | None:
        """Handle an end of file; return whether the transport stays open."""
        stays_open = super().eof_received()
        self.on_disconnect()
        return stays_open

    def connection_lost(self, exc: Exception | None) -> None:
        """Handle the end of the connection."""
        super().connection_lost(exc)
        self.on_disconnect()
