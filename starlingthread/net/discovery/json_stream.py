"""An incremental splitter of a byte stream into JSON objects."""

from __future__ import annotations

import re
from collections.abc import Iterator

from .errors import EndpointListError

_TOKEN = re.compile(rb'"(?:[^"\\\n]|\\[^\n])*"|["{}]')  # a whole string, a quote that opens one, or a brace
_OBJECT_BOUNDARY = re.compile(rb"}\s*{")  # between two objects, or within a string


class JsonObjectSplitter:
    """Splits a stream into JSON objects by their braces, however it is cut into pieces.

    An object may span many lines, and the last one before a pause may lack its end of line. Raises EndpointListError
    on what can't be part of an object, so that a corrupt one does not swallow those behind it.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._scanned = 0  # bytes of the buffer that were scanned for tokens
        self._depth = 0  # open braces at that position

    def __len__(self) -> int:
        """Return the number of buffered bytes."""
        return len(self._buffer)

    def has_partial_object(self) -> bool:
        """Whether an object has begun and is not complete."""
        return self._depth > 0

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Add some bytes; yield the objects that are complete by now."""
        self._buffer += data
        if self._depth == 0:
            yield from self._take_single_lines()
        while (token := _TOKEN.search(self._buffer, self._scanned)) is not None:
            if self._depth == 0 and (token[0] != b"{" or self._buffer[: token.start()].strip()):
                raise EndpointListError("not a JSON object")
            if token[0] == b'"':
                self._check_open_string(token.end())
                break
            self._scanned = token.end()
            self._depth += (token[0] == b"{") - (token[0] == b"}")
            if self._depth == 0:
                yield self._take_scanned()
        if self._depth == 0:
            self._drop_whitespace()

    def _take_single_lines(self) -> Iterator[bytes]:
        """Yield the objects that plainly are one line each, the usual form, without scanning their tokens."""
        while (end := self._buffer.find(b"\n")) >= 0:
            line = bytes(self._buffer[:end]).strip()
            is_balanced = line.startswith(b"{") and line.endswith(b"}") and line.count(b"{") == line.count(b"}")
            if line and (not is_balanced or _OBJECT_BOUNDARY.search(line)):
                return
            del self._buffer[: end + 1]
            if line:
                yield line

    def _take_scanned(self) -> bytes:
        """Return the object that ends where the scan is, and remove it from the buffer."""
        complete = bytes(self._buffer[: self._scanned])
        del self._buffer[: self._scanned]
        self._scanned = 0
        return complete

    def _check_open_string(self, start: int) -> None:
        """Raise if a string that is not closed yet can't be closed any more, as its line has ended."""
        if b"\n" in self._buffer[start:]:
            raise EndpointListError("unterminated string")

    def _drop_whitespace(self) -> None:
        if self._buffer.strip():
            raise EndpointListError("not a JSON object")
        self._buffer.clear()
