"""Authenticated datagrams between routers: at most 256 bytes, with a body and its keyed BLAKE2b tag.

The membership and the zone failover share this envelope and the key. Each has its own version byte and record format.
"""

from __future__ import annotations

import hashlib
import hmac
import struct
from enum import StrEnum
from typing import NamedTuple

MAX_DATAGRAM_BYTES = 256
# Forging a tag without the key takes 2**63 datagrams on average, and each datagram with a wrong tag is counted.
TAG_BYTES = 8


class RejectReason(StrEnum):
    """The reason for which a datagram, or one of its records, was rejected."""

    LENGTH = "length"
    VERSION = "version"
    KEY = "key"
    SENDER = "sender"
    MEMBER = "member"
    ZONE = "zone"
    VALUE = "value"
    INCARNATION = "incarnation"


class DatagramError(Exception):
    """A datagram is malformed, has another version, or is not from a member of this fleet."""

    def __init__(self, reason: RejectReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


class DatagramFormat(NamedTuple):
    """The layout of a protocol's body: a header, whose first byte is the version, and records of a fixed size."""

    version: int
    header: struct.Struct
    record: struct.Struct
    min_records: int

    def open(self, data: bytes, keys: tuple[bytes, ...]) -> bytes:
        """Return the body of a datagram that was authenticated with any of the keys. Raise a DatagramError."""
        records_size = len(data) - self.header.size - TAG_BYTES
        if len(data) > MAX_DATAGRAM_BYTES or records_size < self.min_records * self.record.size:
            raise DatagramError(RejectReason.LENGTH)
        if records_size % self.record.size:
            raise DatagramError(RejectReason.LENGTH)
        body = data[:-TAG_BYTES]
        if body[0] != self.version:
            raise DatagramError(RejectReason.VERSION)
        if not any(hmac.compare_digest(_tag(body, key), data[-TAG_BYTES:]) for key in keys):
            raise DatagramError(RejectReason.KEY)
        return body

    def records(self, body: bytes) -> list[tuple[int, ...]]:
        """Return the fields of each record of a body."""
        return list(self.record.iter_unpack(body[self.header.size :]))


def seal(body: bytes, key: bytes) -> bytes:
    """Return a datagram: the body followed by its tag. With an empty key the tag is only a checksum."""
    return body + _tag(body, key)


def _tag(body: bytes, key: bytes) -> bytes:
    return hashlib.blake2b(body, digest_size=TAG_BYTES, key=key).digest()
