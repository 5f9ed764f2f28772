"""Encoding of client requests in the meta protocol, and interpretation of the answers."""

from __future__ import annotations

import contextlib
import zlib

from ..experiment.records import ClientAttempt, Operation
from ..experiment.scenario import RequestClass
from .connection import Answer
from .traffic import key_name

REJECTED_ANSWER = [b"SERVER_ERROR", b"busy"]  # a Retry-After value in ms may follow
FAILED_ANSWER = [b"SERVER_ERROR", b"failed"]
MAX_QUOTED_BYTES = 60  # an unexpected answer is truncated to this length in the records
MAX_QUOTED_TRAILING_BYTES = 40


def request_id(operation: int, retry_index: int, seed: int) -> str:
    """Return the id of one attempt of an operation, unique within a run."""
    return f"{operation:08x}{retry_index:02x}{zlib.crc32(b'%d/%d' % (operation, seed)):08x}"


def encode_request(
    request_class: RequestClass, operation: Operation, key: int, attempt: ClientAttempt, deadline_ms: int, value: bytes
) -> bytes:
    """Return the request of an attempt as bytes.

    ``deadline_ms`` is the time that the router has for the request; ``value`` is used by writes only.
    """
    fields = f"Pc={request_class.name},d={deadline_ms}"
    if request_class.effect == "by_key":
        fields += f",k={zlib.crc32(b'k%d' % operation.number):08x}{operation.number:08x}"
    if request_class.write:
        line = f"ms {key_name(key)} {len(value)} O{attempt.request_id} {fields}\r\n"
        return line.encode() + value + b"\r\n"
    return f"mg {key_name(key)} v O{attempt.request_id} {fields}\r\n".encode()


def record_answer(attempt: ClientAttempt, answer: Answer) -> None:
    """Enter the outcome of an answer and any protocol error in it into an attempt's record."""
    tokens = answer.tokens
    if tokens[0] in (b"VA", b"HD"):
        _record_result(attempt, answer)
    elif tokens[:2] == REJECTED_ANSWER:
        attempt.outcome = "busy"
        with contextlib.suppress(IndexError, ValueError):
            attempt.retry_after_ms = float(tokens[2])
    elif tokens == FAILED_ANSWER:
        attempt.outcome = "failed"
    else:
        attempt.outcome = "other"
        attempt.protocol_error = b" ".join(tokens)[:MAX_QUOTED_BYTES].decode("latin-1")
    if answer.trailing_data:
        attempt.protocol_error = f"bytes behind the answer: {answer.trailing_data[:MAX_QUOTED_TRAILING_BYTES]!r}"


def _record_result(attempt: ClientAttempt, answer: Answer) -> None:
    """Enter a value or the receipt of a write into an attempt's record, with its checksum."""
    ids = [token[1:].decode("latin-1") for token in answer.tokens if token[:1] == b"O"]
    if ids != [attempt.request_id]:
        attempt.protocol_error = f"answer for {','.join(ids) or 'nobody'}"
    if answer.tokens[0] == b"VA":
        attempt.outcome = "value"
        attempt.checksum = zlib.crc32(answer.value)
    else:
        attempt.outcome = "receipt"
        receipt = next((token[1:] for token in answer.tokens if token[:1] == b"c"), b"")
        attempt.checksum = zlib.crc32(receipt)
