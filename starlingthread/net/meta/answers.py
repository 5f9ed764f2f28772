"""Parser of the answers of cache servers."""

from __future__ import annotations

import re
from collections.abc import Iterator
from enum import Enum
from typing import NamedTuple

from .buffer import MAX_HEAD_BYTES, MAX_UNCHUNKED_BYTES, MAX_VALUE_BYTES, LineBuffer
from .chunked_value import ChunkedValue, ValueChunk
from .responses import CRLF

# A load value has at most six digits before the decimal point: no server has a million requests in flight.
_LOAD_VALUE = re.compile(rb"\d{1,6}(?:\.\d{1,9})?")
_LOAD_NAME = re.compile(rb"[a-z0-9_]{1,32}")
_RECEIPT = re.compile(rb"c[!-~]{1,64}")
_RETRY_AFTER = re.compile(rb"\d{1,9}")
_MAX_LENGTH_DIGITS = 7
_MAX_QUOTED_BYTES = 80  # size of the part of a malformed line that is kept for the log


class AnswerKind(Enum):
    """The kinds of lines that a cache server sends; OTHER stands for malformed ones."""

    VALUE = 1
    RECEIPT = 2
    BUSY = 3
    FAILED = 4
    READY = 5
    STAT = 6
    END = 7
    OTHER = 8


class ServerAnswer(NamedTuple):
    """One answer of a cache server."""

    kind: AnswerKind
    request_id: bytes = b""
    parts: tuple[bytes, ...] = ()  # the bytes for the client; for OTHER the malformed bytes
    cache_flags: str = ""  # "h1", "h0", "h0 Z", or "" without such flags
    load: dict[str, float] | None = None  # the fields of the load report; None if there is none or it is malformed
    length: int = -1  # bytes of the value, without its CRLF; -1 if there is no value

    @property
    def is_chunked(self) -> bool:
        """Whether the value is large, and follows in chunks."""
        return self.length > MAX_UNCHUNKED_BYTES


def _malformed(text: bytes) -> ServerAnswer:
    return ServerAnswer(AnswerKind.OTHER, parts=(text,))


def _parse_load_report(text: bytes) -> dict[str, float] | None:
    """Return the fields of a load report, or None if any is malformed, as then the others are not trusted either."""
    load = {}
    for item in text.split(b","):
        name, _, value = item.partition(b"=")
        if not _LOAD_VALUE.fullmatch(value) or not _LOAD_NAME.fullmatch(name):
            return None
        load[name.decode("ascii")] = float(value)
    return load


def _id_flag(flags: list[bytes]) -> bytes | None:
    """Return the flag with the request id, including its letter O; None unless there is exactly one."""
    ids = [flag for flag in flags if flag[:1] == b"O"]
    return ids[0] if len(ids) == 1 else None


def _cache_flags(flags: list[bytes]) -> str:
    hits = [flag for flag in flags if flag in (b"h0", b"h1")]
    if not hits:
        return ""
    return hits[0].decode() + (" Z" if b"Z" in flags else "")


def _parse_value_head(words: list[bytes], load: dict[str, float] | None) -> ServerAnswer | None:
    """Parse the line before a value; return None if it is malformed."""
    if len(words) < 3 or not words[1].isdigit() or len(words[1]) > _MAX_LENGTH_DIGITS:
        return None
    length = int(words[1])
    flags = words[2:]
    id_flag = _id_flag(flags)
    if id_flag is None or length > MAX_VALUE_BYTES:
        return None
    head = b"VA %d %b\r\n" % (length, id_flag)
    return ServerAnswer(AnswerKind.VALUE, id_flag[1:], (head,), _cache_flags(flags), load, length)


def _parse_receipt(words: list[bytes], load: dict[str, float] | None) -> ServerAnswer | None:
    """Parse the receipt of a write; return None if it is malformed."""
    flags = words[1:]
    id_flag = _id_flag(flags)
    receipts = [flag for flag in flags if flag[:1] == b"c"]
    if id_flag is None or len(receipts) != 1 or not _RECEIPT.fullmatch(receipts[0]):
        return None
    line = b"HD %b %b\r\n" % (id_flag, receipts[0])
    return ServerAnswer(AnswerKind.RECEIPT, id_flag[1:], (line,), _cache_flags(flags), load)


def _is_busy(words: list[bytes]) -> bool:
    """Whether a line is exactly a 'busy': as it proves that the request was not executed, no other form counts."""
    if words[:2] != [b"SERVER_ERROR", b"busy"]:
        return False
    return len(words) == 2 or (len(words) == 3 and _RETRY_AFTER.fullmatch(words[2]) is not None)


def _parse_status(words: list[bytes], load: dict[str, float] | None) -> ServerAnswer | None:
    """Parse a line that is neither a value nor a receipt; return None if it is malformed."""
    if _is_busy(words):
        return ServerAnswer(AnswerKind.BUSY, load=load)
    if words == [b"SERVER_ERROR", b"failed"]:
        return ServerAnswer(AnswerKind.FAILED, load=load)
    if words == [b"MN"]:
        return ServerAnswer(AnswerKind.READY, load=load)
    if words == [b"END"]:
        return ServerAnswer(AnswerKind.END)
    if words[0] == b"STAT" and len(words) == 3:
        return ServerAnswer(AnswerKind.STAT, load=_parse_load_report(words[1] + b"=" + words[2]))
    return None


def _parse_line(line: bytes) -> ServerAnswer:
    words = line.split(b" ")
    load = None
    if len(words) > 1 and words[-1][:1] == b"L":
        load = _parse_load_report(words.pop()[1:])  # a malformed load report does not invalidate the answer
    if words[0] == b"VA":
        answer = _parse_value_head(words, load)
    elif words[0] == b"HD":
        answer = _parse_receipt(words, load)
    else:
        answer = _parse_status(words, load)
    return answer or _malformed(line[:_MAX_QUOTED_BYTES])


class AnswerParser:
    """An incremental parser of the byte stream of a cache server."""

    def __init__(self) -> None:
        self._buffer = LineBuffer()
        self._pending: ServerAnswer | None = None  # the answer whose value is incomplete
        self._value_parts: list[bytes] = []  # parts of that value as received; large values are never joined
        self._value_bytes_left = 0  # bytes missing of that value, with its CRLF
        self._chunked_value = ChunkedValue()
        self._failed = False

    def has_partial_input(self) -> bool:
        """Return whether there is input beyond the complete answers: a partial answer or stray bytes."""
        return self._pending is not None or self._chunked_value.is_receiving or self._buffer.unread_bytes() > 0

    def held_bytes(self) -> int:
        """Return the size of an incomplete answer that is buffered; its value counts as a whole."""
        return self._buffer.unread_bytes() + (self._pending.length if self._pending is not None else 0)

    def feed(self, data: bytes) -> Iterator[ServerAnswer | ValueChunk]:
        """Parse received bytes and yield complete items; after one of the kind OTHER all further input is ignored.

        Otherwise a line over the size limit, which stays in the buffer, would be reported without end.
        """
        if self._failed:
            return
        if (chunk := self._chunked_value.take_whole(data, self._buffer)) is not None:
            yield chunk
            return
        self._buffer.append(data)
        while not self._failed and (answer := self._next()) is not None:
            self._failed = isinstance(answer, ServerAnswer) and answer.kind == AnswerKind.OTHER
            yield answer

    def _next(self) -> ServerAnswer | ValueChunk | None:
        if self._chunked_value.is_receiving:
            return self._next_chunk()
        if self._pending is None:
            answer = self._next_line()
            if self._pending is None:
                return answer
        return self._complete_pending(self._pending)

    def _next_chunk(self) -> ServerAnswer | ValueChunk | None:
        chunk = self._chunked_value.read_from(self._buffer)
        return _malformed(b"bad data chunk") if chunk is not None and chunk.is_malformed else chunk

    def _next_line(self) -> ServerAnswer | None:
        """Parse the next line; return None if it is incomplete, or if the value after it must arrive first."""
        line = self._buffer.read_line()
        if line is None:
            return _malformed(b"line too long") if self._buffer.unread_bytes() > MAX_HEAD_BYTES else None
        if len(line) > MAX_HEAD_BYTES:
            return _malformed(b"line too long")
        answer = _parse_line(line)
        if answer.kind != AnswerKind.VALUE:
            return answer
        if answer.is_chunked:
            self._chunked_value.begin(answer.length)
            return answer
        self._pending = answer
        self._value_bytes_left = answer.length + 2
        return None

    def _complete_pending(self, answer: ServerAnswer) -> ServerAnswer | None:
        if block := self._buffer.read_available(self._value_bytes_left):
            self._value_parts.append(block)
            self._value_bytes_left -= len(block)
        if self._value_bytes_left:
            return None
        parts = self._value_parts
        self._value_parts = []
        self._pending = None
        if not b"".join(part[-2:] for part in parts[-2:]).endswith(CRLF):
            return _malformed(b"bad data chunk")
        return answer._replace(parts=(*answer.parts, *parts))
