"""The datagrams that carry a router's words on zones: at most 256 bytes, versioned, with a tag of the membership's key.

Fields in network order: version 1 byte, reserved 1, sender 2, then up to 20 words of 12 bytes (zone 2, what it says 1,
reserved 1, number 8), then a tag of 8 bytes over all before it. Nobody carries the words of others.
"""

from __future__ import annotations

import struct

from ..membership.wire import MAX_DATAGRAM, TAG, WireError, check, sign
from .plan import ZoneStatus, ZoneVote

VERSION = 0xA2
HEAD = struct.Struct("!BxH")
PIECE = struct.Struct("!HBxQ")
MOST_WORDS = 20


def encode(sender: int, words: list[ZoneVote], key: bytes) -> bytes:
    """Return the bytes of a datagram; words beyond what it holds are left out."""
    body = HEAD.pack(VERSION, sender) + b"".join(
        PIECE.pack(word.zone, word.status, word.sequence) for word in words[:MOST_WORDS]
    )
    return body + sign(body, key)


def decode(data: bytes, keys: tuple[bytes, ...], sender: int, zones: int) -> list[ZoneVote]:
    """Read a datagram that came from a router's address, in a fleet of so many zones. Raise a WireError."""
    if not HEAD.size + TAG < len(data) <= MAX_DATAGRAM or (len(data) - HEAD.size - TAG) % PIECE.size:
        raise WireError("length")
    body, tag = data[:-TAG], data[-TAG:]
    version, named = HEAD.unpack_from(body)
    if version != VERSION:
        raise WireError("version")
    check(body, tag, keys)
    if named != sender:
        raise WireError("sender")
    try:
        words = [
            ZoneVote(sender, zone, ZoneStatus(says), number)
            for zone, says, number in PIECE.iter_unpack(body[HEAD.size :])
        ]
    except ValueError:
        raise WireError("value") from None
    if any(word.zone >= zones for word in words):
        raise WireError("zone")
    return words
