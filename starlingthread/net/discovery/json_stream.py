"""Incremental splitting of a byte stream into JSON objects."""

from __future__ import annotations

import re
from collections.abc import Iterator

from .errors import EndpointListError

_TOKEN = re.compile(rb'"(?:[^"\\\n]|\\[^\n])*"|["{}]')  # a complete string, an opening quote, or a brace
_OBJECT_BOUNDARY = re.compile(rb"}\s*{")  # whitespace between two objects; also matches in a string


class JsonObjectSplitter:
    """Splits a stream into JSON objects by their braces, independently of the chunks in which the bytes arrive.

    An object may span many lines, and the last one before a pause may lack a line end. Raises EndpointListError on
    bytes that can't be part of an object; otherwise a corrupt object would absorb the objects that follow it.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._scanned_bytes = 0  # number of leading bytes of the buffer that have been scanned for tokens
        self._depth = 0  # number of open braces at the scan position

    def __len__(self) -> int:
        """Return the number of buffered bytes."""
        return len(self._buffer)

    def has_partial_object(self) -> bool:
        """Return whether the buffer holds the start of an incomplete object."""
        return self._depth > 0

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Append bytes to the buffer; yield each object that is complete."""
        self._buffer += data
        if self._depth == 0:
            yield from self._take_single_lines()
        while (token := _TOKEN.search(self._buffer, self._scanned_bytes)) is not None:
            if self._depth == 0 and (token[0] != b"{" or self._buffer[: token.start()].strip()):
                raise EndpointListError("unexpected bytes outside a JSON object")
            if token[0] == b'"':
                self._check_open_string(token.end())
                break
            self._scanned_bytes = token.end()
            self._depth += (token[0] == b"{") - (token[0] == b"}")
            if self._depth == 0:
                yield self._take_scanned()
        if self._depth == 0:
            self._drop_whitespace()

    def _take_single_lines(self) -> Iterator[bytes]:
        """Yield the leading objects of one line each without scanning for tokens: a fast path for the usual form."""
        while (end := self._buffer.find(b"\n")) >= 0:
            line = bytes(self._buffer[:end]).strip()
            is_balanced = line.startswith(b"{") and line.endswith(b"}") and line.count(b"{") == line.count(b"}")
            if line and (not is_balanced or _OBJECT_BOUNDARY.search(line)):
                return
            del self._buffer[: end + 1]
            if line:
                yield line

    def _take_scanned(self) -> bytes:
        """Remove the object that ends at the scan position from the buffer, and return it."""
        complete = bytes(self._buffer[: self._scanned_bytes])
        del self._buffer[: self._scanned_bytes]
        self._scanned_bytes = 0
        return complete

    def _check_open_string(self, start: int) -> None:
        """Raise EndpointListError if the line of an unclosed string has ended: JSON strings do not span lines."""
        if b"\n" in self._buffer[start:]:
            raise EndpointListError("unterminated string in a JSON object")

    def _drop_whitespace(self) -> None:
        if self._buffer.strip():
            raise EndpointListError("unexpected bytes outside a JSON object")
        self._buffer.clear()
