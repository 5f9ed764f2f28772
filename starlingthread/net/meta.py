"""The meta commands of the memcache text protocol: a pure parser and writer, no sockets.

Parsers are fed whatever the socket gave, in any cuts, and give back what is whole. They never raise on what a
peer sent: what makes no sense comes back as MalformedCommand (from a client) or as OTHER (from a server).
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from enum import Enum
from typing import NamedTuple, TypeAlias

MAX_VALUE_BYTES = 4 << 20  # bytes, in either direction
MAX_UNCHUNKED_BYTES = 64 * 1024  # bytes of a value that is held whole; what is larger comes in pieces
MAX_HEAD_BYTES = 2048
CRLF = b"\r\n"

# One head in one match, with the places of its parts: they are read where they lie, and a head is written
# out again as the bytes around the one figure that changes.
HEAD = re.compile(rb"m(?:g ([!-~]{1,250}) v|s ([!-~]{1,250}) (\d{1,9}))((?: [!-~]+)*) *")
SET_LENGTH = re.compile(rb"ms [!-~]+ (\d{1,9})(?: |$)")
FLAG_ID = re.compile(rb" O([!-~]{1,64})(?= |$)")
FLAG_LIST = re.compile(rb" P([!-~]+)(?= |$)")
WAIT = re.compile(rb"(?:^|,)d=(\d{1,9}(?:\.\d{1,9})?)(?=,|$)")
NUMBER = re.compile(r"\d{1,15}(?:\.\d{1,9})?")
FIGURE = re.compile(rb"\d{1,6}(?:\.\d{1,9})?")  # of a load report; no server holds a million requests
FIELD = re.compile(rb"[a-z0-9_]{1,32}")
RECEIPT = re.compile(rb"c[!-~]{1,64}")
BUSY_PAUSE = re.compile(rb"\d{1,9}")


class Command(NamedTuple):
    """A client's mg or ms, whole; value holds the bytes of an ms with their CRLF."""

    head: bytes
    key: bytes
    request_id: bytes
    timeout_ms: float
    timeout_span: tuple[int, int]  # where the figure of d stands in the head
    fields: dict[str, str]  # the other names and values of the P list
    value: bytes | None  # None too where the value comes in pieces
    length: int = -1  # bytes of the value of an ms, without its CRLF

    @property
    def is_write(self) -> bool:
        """Whether it is an ms."""
        return self.length >= 0

    @property
    def is_chunked(self) -> bool:
        """Whether its value follows in pieces."""
        return self.length > MAX_UNCHUNKED_BYTES


class ValueChunk(NamedTuple):
    """A piece of a value that is too large to be held whole; the last one ends with the value's CRLF."""

    data: bytes
    last: bool


class ControlCommand(Enum):
    """A bare command."""

    READY = "mn"
    LOAD = "stats load"


class MalformedCommand(NamedTuple):
    """Something that is no command, and the line that answers it."""

    line: bytes
    framing_lost: bool


Input: TypeAlias = Command | ValueChunk | ControlCommand | MalformedCommand


def client_error(why: str, framing_lost: bool = False) -> MalformedCommand:
    """Return the answer to a malformed command."""
    return MalformedCommand(b"CLIENT_ERROR " + why.encode() + CRLF, framing_lost)


class _Lines:
    """A buffer that is cut into lines and blocks; nothing is scanned twice."""

    def __init__(self) -> None:
        self.buffer = bytearray()
        self.at = 0  # where the unread part begins
        self._seen = 0  # up to where there is no line end

    def add(self, data: bytes) -> None:
        if self.at:
            del self.buffer[: self.at]
            self._seen = max(0, self._seen - self.at)
            self.at = 0
        self.buffer += data

    def line(self) -> bytes | None:
        """Return the next line without its CRLF; None if it is not whole yet."""
        end = self.buffer.find(CRLF, max(self.at, self._seen))
        if end < 0:
            self._seen = max(self.at, len(self.buffer) - 1)
            return None
        line = bytes(self.buffer[self.at : end])
        self.at = self._seen = end + 2
        return line

    def block(self, size: int) -> bytes | None:
        """Return that many bytes, or None if they are not all there."""
        if len(self.buffer) - self.at < size:
            return None
        with memoryview(self.buffer) as view:
            data = bytes(view[self.at : self.at + size])
        self.at += size
        return data

    def unread(self) -> int:
        return len(self.buffer) - self.at

    def part(self, left: int) -> ValueChunk | None:
        """Return what is there of a value of which so many bytes are to come, with its CRLF; None if nothing is.

        The CRLF is given only when it is whole; the last part lacks it where the value does not end so.
        """
        here = min(left, self.unread())
        if here == left:
            data = self.block(left) or b""
            return ValueChunk(data, True)
        data = self.block(max(0, min(here, left - 2))) or b""
        return ValueChunk(data, False) if data else None


def parse_head(head: bytes) -> Command | MalformedCommand:
    """Parse the head of an mg or ms; the value is still to come."""
    found = HEAD.fullmatch(head)
    if not found:
        return client_error("bad command line format")
    flags = found.start(4)
    rid, listed = FLAG_ID.findall(head, flags), list(FLAG_LIST.finditer(head, flags))
    if len(rid) != 1 or len(listed) != 1:
        return client_error("one O and one P are needed")
    begin, text = listed[0].start(1), listed[0].group(1)
    wait = list(WAIT.finditer(text))
    if len(wait) != 1:
        return client_error("one d is needed")
    fields = dict(item.partition("=")[::2] for item in text.decode("ascii").split(","))
    place = (begin + wait[0].start(1), begin + wait[0].end(1))
    key = found.group(1) or found.group(2)
    return Command(head, key, rid[0], float(wait[0].group(1)), place, fields, None)


class CommandParser:
    """What a client sends."""

    def __init__(self) -> None:
        self._lines = _Lines()
        self._head: Command | None = None  # of an ms whose value is not whole yet
        self._size = 0
        self._left = 0  # bytes that are to come of a value in pieces
        self._skip = 0  # bytes of the value of an ms that was answered already
        self._lost = False

    def has_partial_input(self) -> bool:
        """Whether a part of a command has come, and not yet the rest."""
        return self._head is not None or self._skip > 0 or self._left > 0 or self._lines.unread() > 0

    def feed(self, data: bytes) -> Iterator[Input]:
        """Take in some bytes; give what is whole. After framing is lost the rest is dropped."""
        if self._lost:
            return
        self._lines.add(data)
        while (item := self._next()) is not None:
            self._lost = isinstance(item, MalformedCommand) and item.framing_lost
            yield item
            if self._lost:
                self._lines = _Lines()
                return

    def _next(self) -> Input | None:
        if self._skip:
            # The value of a hopeless head is dropped as it comes; if it doesn't end as it said, all is lost.
            self._skip -= len(self._lines.block(min(self._skip - 2, self._lines.unread())) or b"")
            if self._skip > 2 or (end := self._lines.block(2)) is None:
                return None
            self._skip = 0
            if end != CRLF:
                return client_error("bad data chunk", True)
        if self._left:
            part = self._lines.part(self._left)
            if part is None:
                return None
            self._left -= len(part.data)
            return part if not part.last or part.data.endswith(CRLF) else client_error("bad data chunk", True)
        if self._head is None:
            line = self._lines.line()
            # Guards memory: a peer that never ends its line is cut off, as is one whose line is too long.
            if line is None:
                return client_error("line too long", True) if self._lines.unread() > MAX_HEAD_BYTES else None
            if len(line) > MAX_HEAD_BYTES:
                return client_error("line too long", True)
            if line == b"mn":
                return ControlCommand.READY
            if line == b"stats load":
                return ControlCommand.LOAD
            if line.startswith(b"mg "):
                return parse_head(line)
            if not line.startswith(b"ms "):
                return MalformedCommand(b"ERROR" + CRLF, False)
            length = SET_LENGTH.match(line)
            if length is None:
                return client_error("bad data length", True)  # nobody knows where the value ends
            if int(length.group(1)) > MAX_VALUE_BYTES:
                return client_error("value too large", True)
            head = parse_head(line)
            if isinstance(head, MalformedCommand):
                self._skip = int(length.group(1)) + 2
                return head
            head = head._replace(length=int(length.group(1)))
            if head.is_chunked:
                self._left = head.length + 2
                return head
            self._head, self._size = head, head.length + 2
        value = self._lines.block(self._size)
        if value is None:
            return None
        head, self._head = self._head, None
        if not value.endswith(CRLF):
            return client_error("bad data chunk", True)
        return head._replace(value=value)


def forward_command(command: Command, wait: float) -> tuple[bytes, ...]:
    """Return the parts of a command for a cache server: as it came, but for how long we will wait."""
    begin, end = command.timeout_span
    parts = (command.head[:begin], b"%d" % max(1, int(wait)), command.head[end:], CRLF)
    return parts if command.value is None else (*parts, command.value)


class AnswerKind(Enum):
    """What a line of a cache server says."""

    VALUE = 1
    RECEIPT = 2
    BUSY = 3
    FAILED = 4
    READY = 5
    STAT = 6
    END = 7
    OTHER = 8


class ServerAnswer(NamedTuple):
    """One answer of a cache server. text is what a client gets of it, in parts; OTHER holds the line."""

    kind: AnswerKind
    request_id: bytes = b""
    parts: tuple[bytes, ...] = ()
    cache_note: str = ""  # "h1", "h0" or "h0 Z"
    load: dict[str, float] | None = None
    length: int = -1  # bytes of its value

    @property
    def is_chunked(self) -> bool:
        """Whether its value follows in pieces."""
        return self.length > MAX_UNCHUNKED_BYTES


def parse_load(text: bytes) -> dict[str, float] | None:
    """Return the figures of a load report, or None if any of it can't be read: then none is believed."""
    load = {}
    for item in text.split(b","):
        name, _, value = item.partition(b"=")
        if not FIGURE.fullmatch(value) or not FIELD.fullmatch(name):
            return None
        load[name.decode("ascii")] = float(value)
    return load


class AnswerParser:
    """What a cache server sends."""

    def __init__(self) -> None:
        self._lines = _Lines()
        self._value: ServerAnswer | None = None  # whose value is not whole yet
        self._parts: list[bytes] = []  # of that value, as they came: large ones are never put together
        self._size = 0  # bytes that are still to come, with their CRLF
        self._left = 0  # the same, of a value in pieces
        self._lost = False

    def has_partial_input(self) -> bool:
        """Whether there is more than whole answers: a part of one, or what nobody asked for."""
        return self._value is not None or self._left > 0 or self._lines.unread() > 0

    def feed(self, data: bytes) -> Iterator[ServerAnswer | ValueChunk]:
        """Take in some bytes; give what is whole. After OTHER the connection is of no more use, nor the rest.

        Guards against a line that never ends: it was told for ever, as nothing was taken from the buffer.
        """
        if self._lost:
            return
        self._lines.add(data)
        while not self._lost and (answer := self._next()) is not None:
            self._lost = isinstance(answer, ServerAnswer) and answer.kind == AnswerKind.OTHER
            yield answer

    def _next(self) -> ServerAnswer | ValueChunk | None:
        if self._left:
            part = self._lines.part(self._left)
            if part is None:
                return None
            self._left -= len(part.data)
            spoilt = part.last and not part.data.endswith(CRLF)
            return ServerAnswer(AnswerKind.OTHER, parts=(b"bad data chunk",)) if spoilt else part
        if self._value is None:
            line = self._lines.line()
            if line is None or len(line) > MAX_HEAD_BYTES:
                too_long = line is not None or self._lines.unread() > MAX_HEAD_BYTES
                return ServerAnswer(AnswerKind.OTHER, parts=(b"line too long",)) if too_long else None
            answer = self._line(line)
            if answer.kind != AnswerKind.VALUE:
                return answer
            if answer.is_chunked:
                self._left, self._size = self._size, 0
                return answer
            self._value = answer
        if block := self._lines.block(min(self._size, self._lines.unread())):
            self._parts.append(block)
            self._size -= len(block)
        if self._size:
            return None
        answer, self._value, parts = self._value, None, self._parts
        self._parts = []
        if not b"".join(part[-2:] for part in parts[-2:]).endswith(CRLF):
            return ServerAnswer(AnswerKind.OTHER, parts=(b"bad data chunk",))
        return answer._replace(parts=(*answer.parts, *parts))

    def _line(self, line: bytes) -> ServerAnswer:
        other = ServerAnswer(AnswerKind.OTHER, parts=(line[:80],))
        words = line.split(b" ")
        load = None
        if len(words) > 1 and words[-1][:1] == b"L":
            load = parse_load(words.pop()[1:])  # one that can't be read spoils nothing but itself
        first, flags = words[0], words[1:]
        if first == b"VA" and len(words) > 2 and words[1].isdigit() and len(words[1]) < 8:
            size, flags = int(words[1]), words[2:]
        elif first == b"HD":
            size = -1
        else:
            return self._plain_line(words, load) or other
        ids, receipts = [w for w in flags if w[:1] == b"O"], [w for w in flags if w[:1] == b"c"]
        if len(ids) != 1 or size > MAX_VALUE_BYTES:
            return other
        rid = ids[0]
        hits = [w for w in flags if w in (b"h0", b"h1")]
        note = hits[0].decode() + (" Z" if b"Z" in flags else "") if hits else ""
        if size >= 0:
            self._size = size + 2
            return ServerAnswer(AnswerKind.VALUE, rid[1:], (b"VA %d %b\r\n" % (size, rid),), note, load, size)
        if len(receipts) != 1 or not RECEIPT.fullmatch(receipts[0]):
            return other
        return ServerAnswer(AnswerKind.RECEIPT, rid[1:], (b"HD %b %b\r\n" % (rid, receipts[0]),), note, load)

    def _plain_line(self, words: list[bytes], load: dict[str, float] | None) -> ServerAnswer | None:
        """Read a line that holds no value and no receipt; None if it says nothing we know.

        Guards the never-twice rule: 'busy' proves that a request never ran, so it must say that and no more.
        """
        first = words[0]
        if (
            first == b"SERVER_ERROR"
            and words[1:2] == [b"busy"]
            and (len(words) == 2 or (len(words) == 3 and BUSY_PAUSE.fullmatch(words[2])))
        ):
            return ServerAnswer(AnswerKind.BUSY, load=load)
        if words == [b"SERVER_ERROR", b"failed"]:
            return ServerAnswer(AnswerKind.FAILED, load=load)
        if words == [b"MN"]:
            return ServerAnswer(AnswerKind.READY, load=load)
        if words == [b"END"]:
            return ServerAnswer(AnswerKind.END)
        if first == b"STAT" and len(words) == 3:
            return ServerAnswer(AnswerKind.STAT, load=parse_load(words[1] + b"=" + words[2]))
        return None


READY_LINE = b"MN" + CRLF
ERROR_LINE = b"ERROR" + CRLF
FAILED_LINE = b"SERVER_ERROR failed" + CRLF
STARTING_LINE = b"SERVER_ERROR starting" + CRLF


def busy_line(retry_after: float) -> bytes:
    """Return the line of a refusal."""
    return b"SERVER_ERROR busy %d\r\n" % retry_after if retry_after >= 1 else b"SERVER_ERROR busy\r\n"
