"""The input buffer of both parsers, and the size limits of the protocol."""

from __future__ import annotations

from .responses import CRLF

MAX_VALUE_BYTES = 4 << 20  # maximum size of a value, in either direction
MAX_UNCHUNKED_BYTES = 64 * 1024  # larger values are not buffered completely, but forwarded in chunks
MAX_HEAD_BYTES = 2048  # maximum size of a line


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
