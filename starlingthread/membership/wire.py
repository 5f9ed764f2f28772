"""The datagrams between routers: at most 256 bytes, versioned, with a tag of a key that the fleet shares.

Fields in network order: version 1 byte, kind 1, sender 2, number 4, subject 2, then up to 24 pieces of news of 8 bytes
(member 2, state 1, reserved 1, incarnation 4), then a tag of 8 bytes: keyed BLAKE2b of all before it.
"""

from __future__ import annotations

import hashlib
import hmac
import struct
from enum import IntEnum
from typing import NamedTuple

VERSION = 0xA1
HEAD = struct.Struct("!BBHIH")
PIECE = struct.Struct("!HBxI")
TAG = 8  # bytes; who has no key can only guess, and a guess is counted
MOST_NEWS = 24
MAX_DATAGRAM = 256
MAX_INCARNATION = 0xFFFFFFFF


class WireError(Exception):
    """A datagram that is wrong, old or foreign; the text says which."""


class Kind(IntEnum):
    """What a datagram asks or answers."""

    PING = 1
    ACK = 2
    ASK = 3  # ping the subject for me
    HEARD = 4  # the subject has answered the ping that you asked for
    ASKED = 5  # your question has come: so you are not the one who hears nothing


class State(IntEnum):
    """What is believed of a member. A greater one wins within one incarnation."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


class News(NamedTuple):
    """One belief. Only a member itself raises its incarnation."""

    member: int
    state: State
    incarnation: int


class Message(NamedTuple):
    """One datagram. The number is the sender's; an answer repeats the one it answers."""

    kind: Kind
    sender: int
    number: int
    subject: int = 0
    news: tuple[News, ...] = ()


def sign(body: bytes, key: bytes) -> bytes:
    """Return the tag of a datagram's body; without a key it is a checksum only."""
    return hashlib.blake2b(body, digest_size=TAG, key=key).digest()


def check(body: bytes, tag: bytes, keys: tuple[bytes, ...]) -> None:
    """Raise a WireError unless the tag was made with one of the keys."""
    if not any(hmac.compare_digest(sign(body, key), tag) for key in keys):
        raise WireError("key")


def encode(message: Message, key: bytes) -> bytes:
    """Return the bytes of a datagram; news beyond what it holds is left out."""
    body = HEAD.pack(VERSION, message.kind, message.sender, message.number & 0xFFFFFFFF, message.subject)
    body += b"".join(PIECE.pack(*piece) for piece in message.news[:MOST_NEWS])
    return body + sign(body, key)


def decode(data: bytes, keys: tuple[bytes, ...], members: int) -> Message:
    """Read a datagram of a fleet of so many members; any of the keys is good. Raise a WireError."""
    if not HEAD.size + TAG <= len(data) <= MAX_DATAGRAM or (len(data) - HEAD.size - TAG) % PIECE.size:
        raise WireError("length")
    body, tag = data[:-TAG], data[-TAG:]
    if body[0] != VERSION:
        raise WireError("version")
    check(body, tag, keys)
    _, kind, sender, number, subject = HEAD.unpack_from(body)
    try:
        news = tuple(
            News(member, State(state), incarnation)
            for member, state, incarnation in PIECE.iter_unpack(body[HEAD.size :])
        )
        if max((sender, subject, *(piece.member for piece in news))) >= members:
            raise WireError("member")
        return Message(Kind(kind), sender, number, subject, news)
    except ValueError:
        raise WireError("value") from None
