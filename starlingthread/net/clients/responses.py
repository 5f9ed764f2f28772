"""The responses that a client connection owes, in the order of its commands."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import NamedTuple

from ...core.mailbox import Mailbox
from ...core.messages import Answer
from ...core.pipe import Pipe
from .context import ListenerContext
from .limits import MAX_PIPELINED


class ResponseSlot:
    """The place of one response in the order of a connection."""

    __slots__ = ("closes_connection", "deferred_answer", "parts", "pipe", "reserved_bytes")

    def __init__(self) -> None:
        self.parts: tuple[bytes, ...] | None = None  # None until the response is ready
        self.reserved_bytes = 0  # of the request's or response's value
        self.closes_connection = False  # the connection is closed behind this response
        self.pipe: Pipe | None = None  # where the rest of a chunked value follows
        self.deferred_answer: Answer | None = None  # final answer to a request whose value is still being received


class ResponseReady(NamedTuple):
    """Message: the response for a slot can be written."""

    slot: ResponseSlot
    parts: tuple[bytes, ...]


class ResponseQueue:
    """The response slots of a connection in order, and the bytes that they hold."""

    __slots__ = ("_listener", "has_room", "mailbox", "slots")

    def __init__(self, listener: ListenerContext) -> None:
        self._listener = listener
        self.slots: deque[ResponseSlot] = deque()
        self.mailbox: Mailbox[ResponseReady] = Mailbox(4 * MAX_PIPELINED)
        self.has_room = asyncio.Event()  # set when a slot is freed; the reader clears it before it waits

    def is_full(self) -> bool:
        """Return whether no more commands may be accepted until a response is written."""
        return len(self.slots) >= MAX_PIPELINED

    def append(self) -> ResponseSlot:
        """Return a new slot behind all others."""
        slot = ResponseSlot()
        self.slots.append(slot)
        return slot

    def reserve(self, slot: ResponseSlot, size: int) -> None:
        """Set the bytes that a slot holds."""
        self._listener.buffered += size - slot.reserved_bytes
        slot.reserved_bytes = size

    def put(self, slot: ResponseSlot, *parts: bytes) -> None:
        """Hand a slot's response to the writer."""
        self.reserve(slot, sum(map(len, parts)))
        # A slot gets one message in its life, so there are never more of them than slots.
        self.mailbox.force_put(ResponseReady(slot, parts))

    def collect_ready(self) -> None:
        """Move the responses that have arrived to their slots."""
        for slot, parts in self.mailbox.take():
            slot.parts = parts

    def remove_first(self) -> ResponseSlot:
        """Free the first slot, whose response is written."""
        slot = self.slots.popleft()
        self.reserve(slot, 0)
        self.has_room.set()
        return slot

    def clear(self) -> None:
        """Free all slots, as the connection is over."""
        for slot in self.slots:
            self.reserve(slot, 0)
            if slot.pipe is not None:
                slot.pipe.abandon()
        self.slots.clear()
