"""Values that are not buffered completely: both parsers pass them on in chunks, as they arrive."""

from __future__ import annotations

from typing import NamedTuple

from .buffer import LineBuffer
from .responses import CRLF

# Maximum size of a chunk of buffered bytes, so that no more is passed on than the receiver of a value has room for.
MAX_CHUNK_BYTES = 16384


class ValueChunk(NamedTuple):
    """A chunk of a value over MAX_UNCHUNKED_BYTES; the last one ends with the value's CRLF."""

    data: bytes
    last: bool

    @property
    def is_malformed(self) -> bool:
        """Whether this is the last chunk and no CRLF follows the value."""
        return self.last and not self.data.endswith(CRLF)


class ChunkedValue:
    """The value that a parser is receiving in chunks, if there is one."""

    def __init__(self) -> None:
        self._bytes_left = 0  # bytes that have not been received, with the CRLF

    @property
    def is_receiving(self) -> bool:
        """Whether more of the value, or its CRLF, has to arrive."""
        return self._bytes_left > 0

    @property
    def bytes_left(self) -> int:
        """Number of bytes that have not been received, with the CRLF."""
        return self._bytes_left

    def begin(self, length: int) -> None:
        """Begin to receive a value of a length in bytes, without its CRLF."""
        self._bytes_left = length + len(CRLF)

    def take_whole(self, data: bytes, buffer: LineBuffer) -> ValueChunk | None:
        """Return received bytes as a chunk, without a copy, if all belong to the value and none are buffered before."""
        if buffer.unread_bytes() or len(data) > self._bytes_left - len(CRLF):
            return None
        self._bytes_left -= len(data)
        return ValueChunk(data, False)

    def read_from(self, buffer: LineBuffer) -> ValueChunk | None:
        """Read the buffered bytes of the value as a chunk; return None if there are none.

        The two bytes of the CRLF are never split over two chunks.
        """
        available = min(self._bytes_left, buffer.unread_bytes(), MAX_CHUNK_BYTES)
        is_last = available == self._bytes_left
        size = available if is_last else max(0, min(available, self._bytes_left - len(CRLF)))
        data = buffer.read_block(size) or b""
        self._bytes_left -= len(data)
        return ValueChunk(data, is_last) if data else None
