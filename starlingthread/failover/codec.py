"""The byte format of zone votes, in datagrams that are authenticated with the membership key.

Fields in network order: version 1 byte, reserved 1, sender 2, then up to 20 votes of 12 bytes each (zone 2, status 1,
reserved 1, sequence number 8), then the tag of `membership/datagram.py`. All votes are the sender's own.
"""

from __future__ import annotations

import struct

from ..membership.datagram import DatagramError, DatagramFormat, RejectReason, seal
from .votes import ZoneStatus, ZoneVote

VERSION = 0xA2
MAX_VOTES = 20  # The maximum number of votes in one datagram.
_FORMAT = DatagramFormat(VERSION, struct.Struct("!BxH"), struct.Struct("!HBxQ"), min_records=1)


def encode(sender: int, votes: list[ZoneVote], key: bytes) -> bytes:
    """Return the datagram with a router's votes; votes beyond MAX_VOTES are left out."""
    body = _FORMAT.header.pack(VERSION, sender)
    body += b"".join(_FORMAT.record.pack(vote.zone, vote.status, vote.sequence) for vote in votes[:MAX_VOTES])
    return seal(body, key)


def decode(data: bytes, keys: tuple[bytes, ...], sender: int, zone_count: int) -> list[ZoneVote]:
    """Return the votes of a datagram that came from the sender's address.

    Raise a DatagramError if it is malformed, fails authentication, or names another sender or an unknown zone.
    """
    body = _FORMAT.open(data, keys)
    _, claimed_sender = _FORMAT.header.unpack_from(body)
    if claimed_sender != sender:
        raise DatagramError(RejectReason.SENDER)
    try:
        votes = [
            ZoneVote(sender, zone, ZoneStatus(status), sequence) for zone, status, sequence in _FORMAT.records(body)
        ]
    except ValueError:
        raise DatagramError(RejectReason.VALUE) from None
    if any(vote.zone >= zone_count for vote in votes):
        raise DatagramError(RejectReason.ZONE)
    return votes
