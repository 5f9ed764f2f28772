"""Parser of the commands of clients, and their writer for cache servers."""

from __future__ import annotations

import re
from collections.abc import Iterator
from enum import Enum
from typing import NamedTuple, TypeAlias

from .buffer import MAX_HEAD_BYTES, MAX_UNCHUNKED_BYTES, MAX_VALUE_BYTES, LineBuffer
from .chunked_value import ChunkedValue, ValueChunk
from .responses import CRLF, ERROR_LINE

NUMBER_PATTERN = re.compile(r"\d{1,15}(?:\.\d{1,9})?")  # pattern of a number in the fields of a command

# One match parses a whole head and gives the positions of its parts, so that the head can be forwarded with only the
# number of its timeout replaced.
_HEAD = re.compile(rb"m(?:g ([!-~]{1,250}) v|s ([!-~]{1,250}) (\d{1,9}))((?: [!-~]+)*) *")
_SET_LENGTH = re.compile(rb"ms [!-~]+ (\d{1,9})(?: |$)")
_ID_FLAG = re.compile(rb" O([!-~]{1,64})(?= |$)")
_FIELDS_FLAG = re.compile(rb" P([!-~]+)(?= |$)")
# The form of most reads: the class (c) is the first field, the timeout (d) the second, and neither is repeated.
_PLAIN_READ = re.compile(
    rb"mg [!-~]{1,250} v O([!-~]{1,64}) Pc=([!-+\--~]+),d=(\d{1,9}(?:\.\d{1,9})?)(?:,(?![cd]=)[!-+\--~]*)*\r\n"
)
# The fields that are used apart from the timeout; others are forwarded and not kept, as a head has room for hundreds.
_USED_FIELD = re.compile(rb"(?:^|,)(c|h|k|r|size)(?:=([^,]*))?(?=,|$)")
_TIMEOUT_FIELD = re.compile(rb"(?:^|,)d=(\d{1,9}(?:\.\d{1,9})?)(?=,|$)")


class Command(NamedTuple):
    """An mg (read) or ms (write) of a client."""

    head: bytes
    key: bytes
    request_id: bytes
    timeout_ms: float
    timeout_span: tuple[int, int]  # start and end of the number of d in the head
    fields: dict[str, str]  # the values of the P flag's fields that are used, by name
    # The value with its CRLF; None for an mg, and for an ms whose value follows in chunks or was discarded.
    value: bytes | None
    length: int = -1  # bytes of the value of an ms, without its CRLF; -1 for an mg
    is_value_discarded: bool = False  # whether there was no memory for the value

    @property
    def is_write(self) -> bool:
        """Whether the command is an ms."""
        return self.length >= 0

    @property
    def is_chunked(self) -> bool:
        """Whether the value is large, and follows in chunks."""
        return self.length > MAX_UNCHUNKED_BYTES


class ControlCommand(Enum):
    """A command without arguments."""

    READY = "mn"
    LOAD = "stats load"


class MalformedCommand(NamedTuple):
    """Input that is not a valid command."""

    line: bytes  # the response to the client
    framing_lost: bool  # whether the start of the next command is unknown


ParsedInput: TypeAlias = Command | ValueChunk | ControlCommand | MalformedCommand


def client_error(reason: str, framing_lost: bool = False) -> MalformedCommand:
    """Return a malformed command that is answered with CLIENT_ERROR and a reason."""
    return MalformedCommand(b"CLIENT_ERROR " + reason.encode() + CRLF, framing_lost)


def forward_command(command: Command, timeout_ms: float) -> tuple[bytes, ...]:
    """Return the parts of a command for a cache server: as received, but with the timeout of the attempt."""
    begin, end = command.timeout_span
    parts = (command.head[:begin], b"%d" % max(1, int(timeout_ms)), command.head[end:], CRLF)
    return parts if command.value is None else (*parts, command.value)


def _parse_head(head: bytes) -> Command | MalformedCommand:
    """Parse the head of an mg or ms, without its value."""
    match = _HEAD.fullmatch(head)
    if not match:
        return client_error("bad command line format")
    flags_start = match.start(4)
    ids = _ID_FLAG.findall(head, flags_start)
    field_lists = list(_FIELDS_FLAG.finditer(head, flags_start))
    if len(ids) != 1 or len(field_lists) != 1:
        return client_error("one O and one P are needed")
    start = field_lists[0].start(1)
    text = field_lists[0].group(1)
    timeouts = list(_TIMEOUT_FIELD.finditer(text))
    if len(timeouts) != 1:
        return client_error("one d is needed")
    fields = {match[1].decode("ascii"): (match[2] or b"").decode("ascii") for match in _USED_FIELD.finditer(text)}
    timeout = timeouts[0]
    span = (start + timeout.start(1), start + timeout.end(1))
    key = match.group(1) or match.group(2)
    return Command(head, key, ids[0], float(timeout.group(1)), span, fields, None)


class PlainRead(NamedTuple):
    """The parts of an mg that are needed to reject it."""

    request_id: bytes
    class_name: str
    timeout_ms: float


def parse_plain_read(data: bytes) -> PlainRead | None:
    """Return the read if the data are exactly one complete mg of the most common form, None otherwise.

    This takes a fraction of the time of :class:`CommandParser`, which accepts all forms.
    """
    match = _PLAIN_READ.fullmatch(data)
    if match is None or len(data) > MAX_HEAD_BYTES:
        return None
    request_id, class_name, timeout = match.groups()
    return PlainRead(request_id, class_name.decode("ascii"), float(timeout))


class CommandParser:
    """An incremental parser of the byte stream of a client."""

    def __init__(self) -> None:
        self._buffer = LineBuffer()
        self._pending: Command | None = None  # the ms whose value is incomplete
        self._chunked_value = ChunkedValue()
        self._skip_bytes_left = 0  # bytes to skip of the value of a malformed or refused ms, with its CRLF
        self._refused: Command | None = None  # the ms whose value is skipped for lack of memory
        self._framing_lost = False

    def has_partial_input(self) -> bool:
        """Return whether a command has been received in part."""
        return (
            self._pending is not None
            or self._skip_bytes_left > 0
            or self._chunked_value.is_receiving
            or self._buffer.unread_bytes() > 0
        )

    def is_receiving_value(self) -> bool:
        """Return whether the head of an ms has been received, and its value in part."""
        return self._pending is not None or self._refused is not None or self._chunked_value.is_receiving

    def unread_bytes(self) -> int:
        """Return how many received bytes are not processed."""
        return self._buffer.unread_bytes()

    def missing_value_bytes(self) -> int:
        """Return how many bytes after the processed ones belong to the value of the last head; 0 if it has none."""
        if self._pending is not None:
            return self._pending.length + len(CRLF)
        return max(self._skip_bytes_left, self._chunked_value.bytes_left)

    def held_bytes(self) -> int:
        """Return the size of the unprocessed input, in which a value of up to MAX_UNCHUNKED_BYTES counts as a whole."""
        unread_bytes = self._buffer.unread_bytes()
        if self._pending is None:
            return unread_bytes
        return len(self._pending.head) + max(unread_bytes, self._pending.length)

    def discard_value(self) -> None:
        """Discard the incomplete value of a command as it arrives; the command follows without it."""
        if self._pending is not None:
            self._refused = self._pending._replace(is_value_discarded=True)
            self._skip_bytes_left = self._pending.length + len(CRLF)
            self._pending = None
            self._skip_bytes_left -= len(self._buffer.read_available(self._skip_bytes_left - len(CRLF)))

    def append(self, data: bytes) -> None:
        """Append received bytes to the input, for a later call of :meth:`items`."""
        if not self._framing_lost:
            self._buffer.append(data)

    def clear(self) -> None:
        """Drop all input, as the connection is closed."""
        self._framing_lost = True
        self._buffer = LineBuffer()
        self._pending = None

    def feed(self, data: bytes) -> Iterator[ParsedInput]:
        """Return the complete items of received bytes; once framing is lost all further input is ignored."""
        if self._framing_lost:
            return iter(())
        if (chunk := self._chunked_value.take_whole(data, self._buffer)) is not None:
            return iter((chunk,))
        self._buffer.append(data)
        return self.items()

    def items(self) -> Iterator[ParsedInput]:
        """Yield the complete items of the input. Bytes may be appended between two items."""
        while not self._framing_lost and (item := self._next()) is not None:
            self._framing_lost = isinstance(item, MalformedCommand) and item.framing_lost
            yield item
            if self._framing_lost:
                self._buffer = LineBuffer()
                return

    def _next(self) -> ParsedInput | None:
        if self._skip_bytes_left:
            error = self._skip_value()
            if error is not None or self._skip_bytes_left:
                return error
            if (refused := self._refused) is not None:
                self._refused = None
                return refused
        if self._chunked_value.is_receiving:
            return self._next_chunk()
        if self._pending is None:
            item = self._next_line()
            if self._pending is None:
                return item
        return self._complete_pending(self._pending)

    def _skip_value(self) -> MalformedCommand | None:
        """Discard the value of a malformed head as it arrives; framing is lost if no CRLF follows its length."""
        self._skip_bytes_left -= len(self._buffer.read_available(self._skip_bytes_left - 2))
        if self._skip_bytes_left > 2 or (end := self._buffer.read_block(2)) is None:
            return None
        self._skip_bytes_left = 0
        return None if end == CRLF else client_error("bad data chunk", True)

    def _next_chunk(self) -> ValueChunk | MalformedCommand | None:
        chunk = self._chunked_value.read_from(self._buffer)
        return client_error("bad data chunk", True) if chunk is not None and chunk.is_malformed else chunk

    def _next_line(self) -> Command | ControlCommand | MalformedCommand | None:
        """Parse the next line; return None if it is incomplete, or if the value after it must arrive first."""
        line = self._buffer.read_line()
        # Limits memory: a line that is too long is an error, also while its end has not arrived.
        if line is None:
            return client_error("line too long", True) if self._buffer.unread_bytes() > MAX_HEAD_BYTES else None
        if len(line) > MAX_HEAD_BYTES:
            return client_error("line too long", True)
        if line == b"mn":
            return ControlCommand.READY
        if line == b"stats load":
            return ControlCommand.LOAD
        if line.startswith(b"mg "):
            return _parse_head(line)
        if line.startswith(b"ms "):
            return self._begin_set(line)
        return MalformedCommand(ERROR_LINE, False)

    def _begin_set(self, line: bytes) -> Command | MalformedCommand | None:
        """Parse the head of an ms; return None if the value after it must arrive first."""
        match = _SET_LENGTH.match(line)
        if match is None:
            return client_error("bad data length", True)  # the end of the value is unknown
        length = int(match.group(1))
        if length > MAX_VALUE_BYTES:
            return client_error("value too large", True)
        command = _parse_head(line)
        if isinstance(command, MalformedCommand):
            self._skip_bytes_left = length + 2
            return command
        command = command._replace(length=length)
        if command.is_chunked:
            self._chunked_value.begin(length)
            return command
        self._pending = command
        return None

    def _complete_pending(self, command: Command) -> Command | MalformedCommand | None:
        value = self._buffer.read_block(command.length + 2)
        if value is None:
            return None
        self._pending = None
        if not value.endswith(CRLF):
            return client_error("bad data chunk", True)
        return command._replace(value=value)
