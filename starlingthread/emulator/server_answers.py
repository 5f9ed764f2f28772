"""Answers of an emulated server in the meta protocol, and the faults that are injected into them."""

from __future__ import annotations

import enum
import zlib
from typing import NamedTuple

from ..experiment.randomness import UniformDraws
from .load_reports import LoadReport
from .server_model import Command

BUSY_ANSWER = b"SERVER_ERROR busy\r\n"
FAILED_ANSWER = b"SERVER_ERROR failed\r\n"
DRAINING_ANSWER = b"SERVER_ERROR draining\r\n"
NOOP_ANSWER = b"MN\r\n"
UNKNOWN_COMMAND_ANSWER = b"ERROR\r\n"
BAD_COMMAND_ANSWER = b"CLIENT_ERROR bad command\r\n"
LINE_TOO_LONG_ANSWER = b"CLIENT_ERROR line too long\r\n"


class RenderedAnswer(NamedTuple):
    """The bytes of an answer, and the CRC-32 of the value or receipt that it contains."""

    data: bytes
    checksum: int


def render_answer(command: Command, server: int, report: LoadReport, padding: bytes) -> RenderedAnswer:
    """Return the answer to a served command; a value is padded to the length of ``padding``."""
    load = ",".join(f"{name}={value:.3f}" for name, value in report.wire_fields())
    request_id = command.request_id
    if command.is_write:
        receipt = f"{zlib.crc32(f'{request_id}/{server}/{command.version}'.encode()):08x}"
        return RenderedAnswer(f"HD O{request_id} c{receipt} L{load}\r\n".encode(), zlib.crc32(receipt.encode()))
    value = f"{request_id} {command.key} v{command.version} b{server} ".encode()
    value += padding[: max(0, len(padding) - len(value))]
    header = f"VA {len(value)} O{request_id} {command.flags} L{load}\r\n".encode()
    return RenderedAnswer(header + value + b"\r\n", zlib.crc32(value))


def render_stats(report: LoadReport) -> bytes:
    """Return the answer to the command ``stats load``."""
    return "".join(f"STAT {name} {value:.4f}\r\n" for name, value in report.wire_fields()).encode() + b"END\r\n"


class AnswerFault(enum.Enum):
    """Fault injected into one answer."""

    NONE = enum.auto()
    RESET = enum.auto()  # the connection is reset instead of an answer
    TRUNCATED_BY_CLOSE = enum.auto()  # half of the answer is sent, then the connection is closed
    TRUNCATED_BY_STALL = enum.auto()  # half of the answer is sent, and the connection stays open
    CORRUPTED = enum.auto()


class _Corruption(enum.IntEnum):
    """The ways in which a server, or a proxy in front of it, corrupts an answer."""

    GARBAGE = 0
    OTHER_REQUEST_ID = 1
    UNREQUESTED_ANSWER = 2
    WRONG_LENGTH = 3
    OVERLONG_ERROR = 4


class AnswerFaults:
    """Rates at which faults are injected into the answers of a server."""

    def __init__(self, draws: UniformDraws) -> None:
        self.reset_rate = 0.0
        self.truncation_rate = 0.0
        self.corruption_rate = 0.0
        self._draws = draws

    def draw(self, is_served: bool, link_truncation_rate: float) -> AnswerFault:
        """Draw the fault of an answer at random; the only fault of an answer to a command not served is a reset."""
        if self._occurs(self.reset_rate):
            return AnswerFault.RESET
        if not is_served:
            return AnswerFault.NONE
        if self._occurs(link_truncation_rate):
            return AnswerFault.TRUNCATED_BY_CLOSE
        if self._occurs(self.truncation_rate):
            return AnswerFault.TRUNCATED_BY_STALL
        if self._occurs(self.corruption_rate):
            return AnswerFault.CORRUPTED
        return AnswerFault.NONE

    def _occurs(self, rate: float) -> bool:
        return rate > 0.0 and self._draws.next() < rate

    def corrupt(self, answer: bytes, request_id: str) -> bytes:
        """Return the answer, corrupted in a randomly drawn way."""
        corruption = _Corruption(int(self._draws.next() * len(_Corruption)))
        if corruption is _Corruption.GARBAGE:
            return b"\x00\xffgarbage\r\n"
        if corruption is _Corruption.OTHER_REQUEST_ID:
            return answer.replace(b"O" + request_id.encode(), b"O" + request_id[::-1].encode() + b"z", 1)
        if corruption is _Corruption.UNREQUESTED_ANSWER:
            return answer + BUSY_ANSWER
        if corruption is _Corruption.WRONG_LENGTH:
            return answer.replace(b"VA ", b"VA 1", 1)
        return b"SERVER_ERROR busy and more\r\n"
