"""The meta commands of the memcache text protocol: parsers and writers without I/O.

Parsers accept the received bytes in any fragments and yield complete items. They never raise on a peer's input:
malformed input of a client is yielded as a MalformedCommand, that of a cache server as an answer of the kind OTHER.
"""

from .answers import AnswerKind, AnswerParser, ServerAnswer
from .buffer import MAX_HEAD_BYTES, MAX_UNCHUNKED_BYTES, MAX_VALUE_BYTES
from .chunked_value import ValueChunk
from .commands import (
    NUMBER_PATTERN,
    Command,
    CommandParser,
    ControlCommand,
    MalformedCommand,
    ParsedInput,
    client_error,
    forward_command,
    parse_plain_read,
)
from .responses import CRLF, ERROR_LINE, FAILED_LINE, READY_LINE, STARTING_LINE, busy_line

__all__ = [
    "CRLF",
    "ERROR_LINE",
    "FAILED_LINE",
    "MAX_HEAD_BYTES",
    "MAX_UNCHUNKED_BYTES",
    "MAX_VALUE_BYTES",
    "NUMBER_PATTERN",
    "READY_LINE",
    "STARTING_LINE",
    "AnswerKind",
    "AnswerParser",
    "Command",
    "CommandParser",
    "ControlCommand",
    "MalformedCommand",
    "ParsedInput",
    "ServerAnswer",
    "ValueChunk",
    "busy_line",
    "client_error",
    "forward_command",
    "parse_plain_read",
]
