"""What streams of both sides need beyond asyncio's own."""

from __future__ import annotations

import asyncio
import contextlib
import select
import socket
from collections.abc import Callable

# What a poll says of a connection whose other side has closed or reset it, also while bytes before that lie unread.
PEER_CLOSED_EVENTS = select.POLLHUP | select.POLLERR | getattr(select, "POLLRDHUP", 0)


def limit_read_size(writer: asyncio.StreamWriter, size: int) -> None:
    """Have a stream read so many bytes at once. Guards memory: 256 KB is usual, for each connection that waits."""
    if hasattr(writer.transport, "max_size"):
        writer.transport.max_size = size


def disable_nagle(writer: asyncio.StreamWriter) -> None:
    """Have small writes leave at once (TCP_NODELAY).

    asyncio does this for connections that we open; of those that we accept it can't tell that they are TCP. What the
    system still holds back is lost when a connection is reset, and answers wait for the other side's ACK.
    """
    with contextlib.suppress(OSError):  # a socket that is no TCP socket holds nothing back
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def has_poll_event(writer: asyncio.StreamWriter, what: int) -> bool:
    """Ask the system whether a connection is in one of these states now."""
    if writer.transport.is_closing():
        return False
    waiting = select.poll()
    waiting.register(writer.get_extra_info("socket"), what)
    return any(seen & what for _, seen in waiting.poll(0))


class DisconnectAwareProtocol(asyncio.StreamReaderProtocol):
    """Tells of the other side's end of file, or of a reset, at once: whoever reads the stream may wait elsewhere."""

    def __init__(self, accepted: Callable[[asyncio.StreamReader, asyncio.StreamWriter], None], limit: int) -> None:
        super().__init__(asyncio.StreamReader(limit=limit), accepted)
        self.on_disconnect: Callable[[], None] = lambda: None

    def eof_received(self) -> bool | None:
        """Take in an end of file."""
        stays = super().eof_received()
        self.on_disconnect()
        return stays

    def connection_lost(self, exc: Exception | None) -> None:
        """Take in that the connection is over."""
        super().connection_lost(exc)
        self.on_disconnect()
