"""The pending responses of a client connection, in the order of its commands."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import NamedTuple

from ...core.mailbox import Mailbox
from ...core.messages import Answer
from ...core.pipe import Pipe
from .context import ListenerContext
from .limits import MAX_PIPELINED_COMMANDS


class ResponseSlot:
    """The position of one response in the response order of a connection."""

    __slots__ = ("closes_connection", "deferred_answer", "parts", "pipe", "reserved_bytes")

    def __init__(self) -> None:
        self.parts: tuple[bytes, ...] | None = None  # None until the response is ready
        self.reserved_bytes = 0  # size of the request's value or of the response
        self.closes_connection = False  # whether the connection is closed after this response
        self.pipe: Pipe | None = None  # the rest of a chunked value
        self.deferred_answer: Answer | None = None  # final answer to a request still being received


class ResponseReady(NamedTuple):
    """Message that the response for a slot can be written."""

    slot: ResponseSlot
    parts: tuple[bytes, ...]


class ResponseQueue:
    """The response slots of a connection in order, which accounts for the bytes that they hold."""

    __slots__ = ("_listener", "has_free_slot", "mailbox", "slots")

    def __init__(self, listener: ListenerContext) -> None:
        self._listener = listener
        self.slots: deque[ResponseSlot] = deque()
        self.mailbox: Mailbox[ResponseReady] = Mailbox(4 * MAX_PIPELINED_COMMANDS)
        # The event is set when a slot is freed, and cleared by the reader before it waits.
        self.has_free_slot = asyncio.Event()

    def is_full(self) -> bool:
        """Return whether no more commands may be accepted until a response is written."""
        return len(self.slots) >= MAX_PIPELINED_COMMANDS

    def append(self) -> ResponseSlot:
        """Append and return a new slot."""
        slot = ResponseSlot()
        self.slots.append(slot)
        return slot

    def reserve(self, slot: ResponseSlot, size: int) -> None:
        """Set the size in bytes that a slot accounts for."""
        self._listener.buffers.used += size - slot.reserved_bytes
        slot.reserved_bytes = size

    def put(self, slot: ResponseSlot, *parts: bytes) -> None:
        """Queue a slot's response for the writer."""
        self.reserve(slot, sum(map(len, parts)))
        # Each slot gets one message only, so there are never more messages than slots.
        self.mailbox.force_put(ResponseReady(slot, parts))

    def collect_ready(self) -> None:
        """Move the queued responses to their slots."""
        for slot, parts in self.mailbox.take():
            slot.parts = parts

    def remove_first(self) -> ResponseSlot:
        """Free and return the first slot, whose response has been written."""
        slot = self.slots.popleft()
        self.reserve(slot, 0)
        self.has_free_slot.set()
        return slot

    def clear(self) -> None:
        """Free all slots, as the connection is being released."""
        for slot in self.slots:
            self.reserve(slot, 0)
            if slot.pipe is not None:
                slot.pipe.abandon()
        self.slots.clear()
