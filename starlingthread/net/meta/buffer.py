"""The input buffer of both parsers, and the bounds on what it takes in."""

from __future__ import annotations

from typing import NamedTuple

from .responses import CRLF

MAX_VALUE_BYTES = 4 << 20  # of a value, in either direction
MAX_UNCHUNKED_BYTES = 64 * 1024  # of a value that is buffered whole; a larger one is passed through in chunks
MAX_HEAD_BYTES = 2048  # of a line


class ValueChunk(NamedTuple):
    """A chunk of a value that is too large to be buffered whole; the last one ends with the value's CRLF."""

    data: bytes
    last: bool


class LineBuffer:
    """A buffer that is cut into lines and blocks; no byte is scanned twice."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._position = 0  # where the unread part begins
        self._scanned = 0  # no line ends before it

    def append(self, data: bytes) -> None:
        """Add bytes behind the unread ones."""
        if self._position:
            del self._buffer[: self._position]
            self._scanned = max(0, self._scanned - self._position)
            self._position = 0
        self._buffer += data

    def unread_bytes(self) -> int:
        """Return how many bytes have not been read yet."""
        return len(self._buffer) - self._position

    def read_line(self) -> bytes | None:
        """Read the next line, without its CRLF; None if it is incomplete."""
        end = self._buffer.find(CRLF, max(self._position, self._scanned))
        if end < 0:
            self._scanned = max(self._position, len(self._buffer) - 1)
            return None
        line = bytes(self._buffer[self._position : end])
        self._position = self._scanned = end + 2
        return line

    def read_block(self, size: int) -> bytes | None:
        """Read so many bytes, or None if they are not all there."""
        if len(self._buffer) - self._position < size:
            return None
        with memoryview(self._buffer) as view:
            data = bytes(view[self._position : self._position + size])
        self._position += size
        return data

    def read_available(self, limit: int) -> bytes:
        """Read what is there, up to a limit."""
        return self.read_block(min(limit, self.unread_bytes())) or b""

    def read_chunk(self, remaining: int) -> ValueChunk | None:
        """Read what is there of a value; None if nothing is.

        remaining: bytes of the value that are still to come, with its CRLF. The CRLF is given only when it is complete;
        the last chunk lacks it where the value does not end so.
        """
        available = min(remaining, self.unread_bytes())
        if available == remaining:
            return ValueChunk(self.read_block(remaining) or b"", True)
        data = self.read_block(max(0, min(available, remaining - 2))) or b""
        return ValueChunk(data, False) if data else None
