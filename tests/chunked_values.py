"""A value that is large enough to be forwarded in chunks, and the heads of the write and the answer that carry it."""

from __future__ import annotations

from starlingthread.core.pipe import Pipe
from starlingthread.net import meta

VALUE_LENGTH_BYTES = meta.MAX_UNCHUNKED_BYTES + 5000
VALUE = bytes(n % 251 for n in range(VALUE_LENGTH_BYTES))
WRITE_HEAD = b"ms a %d O1 Pc=keyed,d=500,k=1\r\n" % VALUE_LENGTH_BYTES
ANSWER_HEAD = b"VA %d O1 h1\r\n" % VALUE_LENGTH_BYTES


def take_all(pipe: Pipe) -> bytes:
    """Take all buffered pieces of a pipe and release them, as a consumer does that passes them on at once."""
    pieces = []
    while pipe.has_more():
        pieces.append(pipe.take())
    pipe.release()
    return b"".join(pieces)
