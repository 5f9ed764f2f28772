"""The messages of the membership protocol and the member states that they carry."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

MAX_INCARNATION = 0xFFFFFFFF


class MessageKind(IntEnum):
    """The purpose of a message; the values are those on the wire."""

    PING = 1
    ACK = 2
    # A request that the receiver ping the subject on the sender's behalf.
    PING_REQUEST = 3
    # The subject has answered the ping that the receiver of this message requested.
    INDIRECT_ACK = 4
    # The ping request has arrived, which shows the requester that its own link works.
    PING_REQUEST_ACK = 5


class MemberState(IntEnum):
    """The state of a member in another one's view. Within one incarnation the greater value takes precedence."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


class MemberUpdate(NamedTuple):
    """A gossiped state of one member. Only the member itself raises its incarnation."""

    member: int
    state: MemberState
    incarnation: int


class Message(NamedTuple):
    """The content of one datagram. The sender chooses the sequence number; a reply repeats that of its request."""

    kind: MessageKind
    sender: int
    sequence: int
    subject: int = 0
    updates: tuple[MemberUpdate, ...] = ()
