"""The messages of the membership protocol and the member states that they carry."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

MAX_INCARNATION = 0xFFFFFFFF


class MessageKind(IntEnum):
    """The purpose of a message; the values are those on the wire."""

    PING = 1
    ACK = 2
    PING_REQUEST = 3  # asks the receiver to ping the subject on the sender's behalf
    INDIRECT_ACK = 4  # the subject has answered the ping that the receiver requested
    PING_REQUEST_ACK = 5  # the ping request has arrived, which shows the requester that its own link works


class MemberState(IntEnum):
    """The believed state of a member. Within one incarnation the greater value takes precedence."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


class MemberUpdate(NamedTuple):
    """A gossiped belief about one member. Only the member itself raises its incarnation."""

    member: int
    state: MemberState
    incarnation: int


class Message(NamedTuple):
    """One datagram. The sender chooses the sequence number; a reply repeats that of the message it answers."""

    kind: MessageKind
    sender: int
    sequence: int
    subject: int = 0
    updates: tuple[MemberUpdate, ...] = ()
