"""The input buffer of both parsers, and the size limits of the protocol."""

from __future__ import annotations

from typing import NamedTuple

from .responses import CRLF

MAX_VALUE_BYTES = 4 << 20  # maximum size of a value, in either direction
MAX_UNCHUNKED_BYTES = 64 * 1024  # larger values are not buffered completely, but forwarded in chunks
MAX_HEAD_BYTES = 2048  # maximum size of a line


class ValueChunk(NamedTuple):
    """A chunk of a value over MAX_UNCHUNKED_BYTES; the last one ends with the value's CRLF."""

    data: bytes
    last: bool


def is_inside_value(data: bytes, remaining: int) -> bool:
    """Return whether all received bytes belong to a value of which 'remaining' bytes, with its CRLF, are missing.

    None of them is part of the CRLF, so they can be passed on as they are.
    """
    return len(data) <= remaining - 2


class LineBuffer:
    """An input buffer that is read in lines and blocks; no byte is scanned twice for a line end."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._position = 0  # start of the unread bytes
        self._scanned = 0  # no unread line ends before this position

    def append(self, data: bytes) -> None:
        """Append received bytes; drop those that were read."""
        if self._position:
            del self._buffer[: self._position]
            self._scanned = max(0, self._scanned - self._position)
            self._position = 0
        self._buffer += data

    def unread_bytes(self) -> int:
        """Return the number of bytes that have not been read yet."""
        return len(self._buffer) - self._position

    def read_line(self) -> bytes | None:
        """Read the next line, without its CRLF; return None if it is incomplete."""
        end = self._buffer.find(CRLF, max(self._position, self._scanned))
        if end < 0:
            self._scanned = max(self._position, len(self._buffer) - 1)
            return None
        line = bytes(self._buffer[self._position : end])
        self._position = self._scanned = end + 2
        return line

    def read_block(self, size: int) -> bytes | None:
        """Read exactly size bytes; return None if fewer are available."""
        if len(self._buffer) - self._position < size:
            return None
        with memoryview(self._buffer) as view:
            data = bytes(view[self._position : self._position + size])
        self._position += size
        if not self.unread_bytes():
            self._clear()
        return data

    def _clear(self) -> None:
        """Release the memory of the buffer, as it may be long until more bytes arrive."""
        self._buffer.clear()
        self._position = self._scanned = 0

    def read_available(self, limit: int) -> bytes:
        """Read the available bytes, at most limit of them."""
        return self.read_block(min(limit, self.unread_bytes())) or b""

    def read_chunk(self, remaining: int) -> ValueChunk | None:
        """Read the available bytes of a value as a chunk; return None if there are none.

        remaining: bytes of the value that have not been read, including its CRLF. The two bytes of the CRLF are never
        split over two chunks. The last chunk does not end with CRLF if the value is malformed.
        """
        available = min(remaining, self.unread_bytes())
        if available == remaining:
            return ValueChunk(self.read_block(remaining) or b"", True)
        data = self.read_block(max(0, min(available, remaining - 2))) or b""
        return ValueChunk(data, False) if data else None
