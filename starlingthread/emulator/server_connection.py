"""A connection of a router to an emulated server: parses commands of the meta protocol and answers them in order."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections import deque
from typing import NamedTuple, Protocol, cast

from ..experiment.records import ANSWERED, DISCONNECTED, EXECUTED, FAILED, PENDING, REJECTED, Delivery, Ledger
from .schedule import Schedule
from .server_answers import (
    BAD_COMMAND_ANSWER,
    BUSY_ANSWER,
    DRAINING_ANSWER,
    FAILED_ANSWER,
    LINE_TOO_LONG_ANSWER,
    NOOP_ANSWER,
    UNKNOWN_COMMAND_ANSWER,
    AnswerFault,
    AnswerFaults,
    render_answer,
    render_stats,
)
from .server_links import LinkDirection, ServerLink
from .server_model import Command, CommandOutcome, ServerModel

MAX_LINE_BYTES = 4096
MAX_VALUE_BYTES = 1 << 20
_LINE_END = b"\r\n"
_ZERO_LINGER = struct.pack("ii", 1, 0)  # SO_LINGER: closing resets the connection


class RequestFlags(NamedTuple):
    """What the flags of a command say about its request."""

    request_id: str
    idempotency_key: str


def parse_flags(words: list[str]) -> RequestFlags:
    """Return the opaque id and the fields that a command's flags carry; what is missing is empty."""
    request_id = ""
    fields: dict[str, str] = {}
    for word in words:
        if word[0] == "O":
            request_id = word[1:]
        elif word[0] == "P":
            fields = dict(item.partition("=")[::2] for item in word[1:].split(","))
    return RequestFlags(request_id, fields.get("k", ""))


class PendingAnswer:
    """The place of one answer in the order of a connection."""

    __slots__ = ("command", "data", "delivery")

    def __init__(self, data: bytes | None = None, delivery: Delivery | None = None) -> None:
        self.data = data  # None until the command has ended
        self.command: Command | None = None
        self.delivery = delivery


class ConnectionHost(Protocol):
    """The server, as far as its connections know it."""

    model: ServerModel
    schedule: Schedule
    ledger: Ledger
    connections: set[ServerConnection]
    answer_faults: AnswerFaults
    padding: bytes
    malformed: int
    is_unreachable: bool
    is_frozen: bool

    def defer_input(self, connection: ServerConnection, data: bytes) -> None:
        """Keep bytes that arrived at a frozen server until it resumes."""

    def defer_output(self, connection: ServerConnection, data: bytes) -> None:
        """Keep bytes that a frozen server would send until it resumes."""


class ServerConnection(asyncio.Protocol):
    """One connection of a router to a server. Answers are sent in the order of the commands."""

    def __init__(self, server: ConnectionHost, link: ServerLink) -> None:
        self.server = server
        self.link = link
        self.inbound = LinkDirection(link, False, server.schedule, self._on_data)
        self.outbound = LinkDirection(link, True, server.schedule, self._send)
        self.transport: asyncio.Transport
        self.is_dead = False  # nothing is read or written any more
        self._buffer = bytearray()
        self._first_byte_at = 0.0  # when the command at the front of the buffer began to arrive
        self._pending: deque[PendingAnswer] = deque()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register with the server; at an unreachable one, never read."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's are not of that class
        if self.server.is_unreachable:
            self.is_dead = True
            self.transport.pause_reading()
        self.server.connections.add(self)
        self.server.model.handshake()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the commands that are still pending."""
        self.is_dead = True
        self.server.connections.discard(self)
        for pending in self._pending:
            self._abandon(pending)
        self._pending.clear()

    def _abandon(self, pending: PendingAnswer) -> None:
        command, delivery = pending.command, pending.delivery
        if delivery is not None and delivery.outcome == PENDING:
            self._end_delivery(delivery, DISCONNECTED)
            if command is not None and command.is_started:  # after waiting in the queue
                delivery.disposition = EXECUTED
        if command is not None:
            self.server.model.cancel(command)

    def eof_received(self) -> bool:
        """Close the connection: a router that ends its sending gives up its attempts."""
        return False

    def data_received(self, data: bytes) -> None:
        """Pass received bytes through the emulated link."""
        self.inbound.push(data)

    # commands

    def _on_data(self, data: bytes) -> None:
        if self.server.is_frozen:
            self.server.defer_input(self, data)
        elif not self.is_dead:
            self.receive(data, self.server.schedule.now())

    def receive(self, data: bytes, at: float) -> None:
        """Handle bytes that arrived at a time; a server that was frozen does so even if the connection has ended."""
        if not self._buffer:
            self._first_byte_at = at
        self._buffer += data
        while self._handle_next_command():
            self._first_byte_at = at

    def _handle_next_command(self) -> bool:
        """Take one command off the buffer; return False if it isn't complete."""
        line_length = self._buffer.find(_LINE_END)
        if line_length < 0:
            if len(self._buffer) > MAX_LINE_BYTES:
                self._buffer.clear()
                self._answer_now(LINE_TOO_LONG_ANSWER)
                self.transport.close()
            return False
        words = self._buffer[:line_length].decode("latin-1").split(" ")
        body_size = 0
        command_size = line_length + len(_LINE_END)
        if words[0] == "ms" and len(words) > 2 and words[2].isdigit():
            body_size = int(words[2]) + len(_LINE_END)
            if body_size > MAX_VALUE_BYTES or len(self._buffer) < command_size + body_size:
                return False
        del self._buffer[: command_size + body_size]
        self._dispatch(words)
        return True

    def _dispatch(self, words: list[str]) -> None:
        name = words[0]
        model = self.server.model
        if name in ("mg", "ms") and len(words) > 3:
            self._submit(words, is_write=name == "ms")
        elif name == "mn":
            self._answer_now(DRAINING_ANSWER if model.draining else NOOP_ANSWER)
        elif name == "stats" and words[1:] == ["load"] and model.spec.probes:
            self._answer_now(render_stats(model.report()))
        else:
            self.server.malformed += 1
            self._answer_now(BAD_COMMAND_ANSWER if name in ("mg", "ms") else UNKNOWN_COMMAND_ANSWER)

    def _submit(self, words: list[str], is_write: bool) -> None:
        server = self.server
        flags = parse_flags(words[2:])
        delivery = Delivery(flags.request_id, server.model.number, self._first_byte_at, server.schedule.now())
        server.ledger.deliveries.append(delivery)
        pending = PendingAnswer(delivery=delivery)
        self._pending.append(pending)
        if self._exceeds_limits():
            self._end_delivery(delivery, REJECTED)
            pending.data = BUSY_ANSWER
            self._flush()
            return

        def on_finish(command: Command, outcome: CommandOutcome) -> None:
            self._finish(pending, delivery, command, outcome)

        command = Command(flags.request_id, words[1], is_write, flags.idempotency_key, on_finish)
        pending.command = command
        server.model.submit(command)
        if command.is_started:
            delivery.disposition = EXECUTED

    def _exceeds_limits(self) -> bool:
        spec = self.server.model.spec
        return len(self.server.connections) > spec.connections or len(self._pending) > spec.streams

    # answers

    def _finish(self, pending: PendingAnswer, delivery: Delivery, command: Command, outcome: CommandOutcome) -> None:
        """Answer a command that has ended, with the faults of the server and the link."""
        answer = self._render(delivery, command, outcome)
        delivery.ended_at = self.server.schedule.now()
        if self.is_dead or command.is_cancelled:
            delivery.outcome = DISCONNECTED
            return
        faults = self.server.answer_faults
        fault = faults.draw(outcome is CommandOutcome.SERVED, self.link.truncation_rate)
        if fault in (AnswerFault.NONE, AnswerFault.CORRUPTED):
            is_corrupted = fault is AnswerFault.CORRUPTED
            pending.data = faults.corrupt(answer, command.request_id) if is_corrupted else answer
            self._flush()
            return
        delivery.outcome = DISCONNECTED
        if fault is AnswerFault.RESET:
            self.reset()
            return
        self.write(answer[: len(answer) // 2])
        if fault is AnswerFault.TRUNCATED_BY_CLOSE:
            self.transport.close()  # what is written is still sent, then the connection ends
        self.is_dead = True

    def _render(self, delivery: Delivery, command: Command, outcome: CommandOutcome) -> bytes:
        """Return the answer of a command, and record the outcome in its delivery."""
        if outcome is CommandOutcome.BUSY:
            delivery.outcome = REJECTED
            return BUSY_ANSWER
        delivery.disposition = EXECUTED
        if outcome is CommandOutcome.FAILED:
            delivery.outcome = FAILED
            return FAILED_ANSWER
        delivery.outcome = ANSWERED
        model = self.server.model
        answer = render_answer(command, model.number, model.report(), self.server.padding)
        delivery.checksum = answer.digest
        return answer.data

    def _end_delivery(self, delivery: Delivery, end: str) -> None:
        delivery.outcome = end
        delivery.ended_at = self.server.schedule.now()

    def _answer_now(self, answer: bytes) -> None:
        self._pending.append(PendingAnswer(answer))
        self._flush()

    def _flush(self) -> None:
        """Send the answers that no earlier one is missing for."""
        if self.is_dead:
            return
        ready = []
        while self._pending and (data := self._pending[0].data) is not None:
            self._pending.popleft()
            ready.append(data)
        if ready:
            self.write(b"".join(ready))

    def write(self, data: bytes) -> None:
        """Send bytes through the emulated link, or when the server resumes if it is frozen."""
        if self.server.is_frozen:
            self.server.defer_output(self, data)
        elif not self.is_dead:
            self.outbound.push(data)

    def _send(self, data: bytes) -> None:
        if not self.is_dead:
            self.transport.write(data)

    def reset(self) -> None:
        """Close the connection with a TCP reset."""
        self.is_dead = True
        with contextlib.suppress(OSError, AttributeError):
            self.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _ZERO_LINGER)
        self.transport.abort()
