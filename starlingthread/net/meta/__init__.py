"""The meta commands of the memcache text protocol: pure parsers and writers, no sockets.

Parsers are fed whatever the socket gave, in any fragments, and return what is complete. They never raise on what a
peer sent: what is malformed comes back as MalformedCommand (from a client) or as OTHER (from a cache server).
"""

from .answers import AnswerKind, AnswerParser, ServerAnswer
from .buffer import MAX_HEAD_BYTES, MAX_UNCHUNKED_BYTES, MAX_VALUE_BYTES, ValueChunk
from .commands import (
    NUMBER_PATTERN,
    Command,
    CommandParser,
    ControlCommand,
    MalformedCommand,
    client_error,
    forward_command,
    parse_plain_read,
)
from .responses import ERROR_LINE, FAILED_LINE, READY_LINE, STARTING_LINE, busy_line

__all__ = [
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
    "ServerAnswer",
    "ValueChunk",
    "busy_line",
    "client_error",
    "forward_command",
    "parse_plain_read",
]
