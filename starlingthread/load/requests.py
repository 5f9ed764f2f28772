"""Requests of clients in the meta dialect, and what their answers mean."""

from __future__ import annotations

import contextlib
import zlib

from ..experiment.records import ClientAttempt, Operation
from ..experiment.scenario import RequestClass
from .connection import Answer
from .traffic import key_name

REJECTED_ANSWER = [b"SERVER_ERROR", b"busy"]  # Retry-After in ms may follow
FAILED_ANSWER = [b"SERVER_ERROR", b"failed"]
MAX_QUOTED = 60  # bytes of an unexpected answer in the records
MAX_SURPLUS_QUOTED = 40


def request_id(operation: int, retry_index: int, seed: int) -> str:
    """Return the id of one attempt of an operation, unique in a run."""
    return f"{operation:08x}{retry_index:02x}{zlib.crc32(b'%d/%d' % (operation, seed)):08x}"


def encode_request(
    spec: RequestClass, operation: Operation, key: int, attempt: ClientAttempt, deadline_ms: int, value: bytes
) -> bytes:
    """Return an attempt as bytes; ``deadline_ms`` is what the router has for it, ``value`` is for writes."""
    fields = f"Pc={spec.name},d={deadline_ms}"
    if spec.effect == "by_key":
        fields += f",k={zlib.crc32(b'k%d' % operation.number):08x}{operation.number:08x}"
    if spec.write:
        line = f"ms {key_name(key)} {len(value)} O{attempt.request_id} {fields}\r\n"
        return line.encode() + value + b"\r\n"
    return f"mg {key_name(key)} v O{attempt.request_id} {fields}\r\n".encode()


def record_answer(attempt: ClientAttempt, answer: Answer) -> None:
    """Enter into an attempt's record what its answer says and what is wrong with it."""
    words = answer.words
    if words[0] in (b"VA", b"HD"):
        _record_result(attempt, answer)
    elif words[:2] == REJECTED_ANSWER:
        attempt.outcome = "busy"
        with contextlib.suppress(IndexError, ValueError):
            attempt.retry_after_ms = float(words[2])
    elif words == FAILED_ANSWER:
        attempt.outcome = "failed"
    else:
        attempt.outcome = "other"
        attempt.protocol_error = b" ".join(words)[:MAX_QUOTED].decode("latin-1")
    if answer.surplus:
        attempt.protocol_error = f"bytes behind the answer: {answer.surplus[:MAX_SURPLUS_QUOTED]!r}"


def _record_result(attempt: ClientAttempt, answer: Answer) -> None:
    """Enter a value or the receipt of a write, with its checksum."""
    ids = [word[1:].decode("latin-1") for word in answer.words if word[:1] == b"O"]
    if ids != [attempt.request_id]:
        attempt.protocol_error = f"answer for {','.join(ids) or 'nobody'}"
    if answer.words[0] == b"VA":
        attempt.outcome = "value"
        attempt.checksum = zlib.crc32(answer.value)
    else:
        attempt.outcome = "receipt"
        receipt = next((word[1:] for word in answer.words if word[:1] == b"c"), b"")
        attempt.checksum = zlib.crc32(receipt)
