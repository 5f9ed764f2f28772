"""The byte format of membership messages.

Fields in network order: version 1 byte, kind 1, sender 2, sequence number 4, subject 2, then up to 24 updates of 8
bytes each (member 2, state 1, reserved 1, incarnation 4), then the tag of `membership/datagram.py`.
"""

from __future__ import annotations

import struct

from .datagram import DatagramError, DatagramFormat, RejectReason, seal
from .messages import MemberState, MemberUpdate, Message, MessageKind

VERSION = 0xA1
MAX_UPDATES = 24  # The maximum number of updates in one datagram.
_SEQUENCE_MASK = 0xFFFFFFFF
_FORMAT = DatagramFormat(VERSION, struct.Struct("!BBHIH"), struct.Struct("!HBxI"), min_records=0)


def encode(message: Message, key: bytes) -> bytes:
    """Return the datagram with a message; updates beyond MAX_UPDATES are left out."""
    body = _FORMAT.header.pack(
        VERSION, message.kind, message.sender, message.sequence & _SEQUENCE_MASK, message.subject
    )
    body += b"".join(_FORMAT.record.pack(*update) for update in message.updates[:MAX_UPDATES])
    return seal(body, key)


def decode(data: bytes, keys: tuple[bytes, ...], member_count: int) -> Message:
    """Return the message of a datagram that was authenticated with any of the keys.

    Raise a DatagramError if it is malformed, fails authentication, or names an unknown member.
    """
    body = _FORMAT.open(data, keys)
    _, kind, sender, sequence, subject = _FORMAT.header.unpack_from(body)
    try:
        updates = tuple(
            MemberUpdate(member, MemberState(state), incarnation)
            for member, state, incarnation in _FORMAT.records(body)
        )
        if max((sender, subject, *(update.member for update in updates))) >= member_count:
            raise DatagramError(RejectReason.MEMBER)
        return Message(MessageKind(kind), sender, sequence, subject, updates)
    except ValueError:
        raise DatagramError(RejectReason.VALUE) from None
