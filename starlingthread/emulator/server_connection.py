"""Server side of a router's connection: parses commands of the meta protocol and answers them in order."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections import deque
from typing import NamedTuple, Protocol, cast

from ..experiment.records import ANSWERED, DISCONNECTED, EXECUTED, FAILED, PENDING, REJECTED, Delivery, Ledger
from .schedule import Scheduler
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
# Longest pause between two reads of a server that reads slowly, after which it counts as stopped.
MAX_READ_PAUSE_MS = 4000.0
_LINE_END = b"\r\n"
# Value of SO_LINGER with which closing a socket resets its connection.
_ZERO_LINGER = struct.pack("ii", 1, 0)


class RequestFlags(NamedTuple):
    """Properties of a request that the flags of its command carry."""

    request_id: str
    idempotency_key: str


def parse_flags(tokens: list[str]) -> RequestFlags:
    """Parse the flags of a command: the request id from the opaque flag, and the idempotency key; empty if missing."""
    request_id = ""
    fields: dict[str, str] = {}
    for token in tokens:
        if token[0] == "O":
            request_id = token[1:]
        elif token[0] == "P":
            fields = dict(item.partition("=")[::2] for item in token[1:].split(","))
    return RequestFlags(request_id, fields.get("k", ""))


class PendingAnswer:
    """One entry in the ordered queue of answers of a connection."""

    __slots__ = ("command", "data", "delivery")

    def __init__(self, data: bytes | None = None, delivery: Delivery | None = None) -> None:
        self.data = data  # bytes of the answer, None until the command has ended
        self.command: Command | None = None
        self.delivery = delivery


class ConnectionHost(Protocol):
    """Interface through which a connection uses its server."""

    model: ServerModel
    scheduler: Scheduler
    ledger: Ledger
    connections: set[ServerConnection]
    answer_faults: AnswerFaults
    padding: bytes
    malformed_commands: int
    is_unreachable: bool
    is_frozen: bool
    read_bytes_per_s: float

    def defer_input(self, connection: ServerConnection, data: bytes) -> None:
        """Hold bytes that arrive at a frozen server until it resumes."""

    def defer_output(self, connection: ServerConnection, data: bytes) -> None:
        """Hold bytes that a frozen server would send until it resumes."""


class ServerConnection(asyncio.Protocol):
    """One connection of a router to a server. Answers are sent in the order of the commands."""

    def __init__(self, server: ConnectionHost, link: ServerLink) -> None:
        self.server = server
        self.link = link
        self.inbound = LinkDirection(link, False, server.scheduler, self._on_data)
        self.outbound = LinkDirection(link, True, server.scheduler, self._send)
        self.transport: asyncio.Transport
        self.is_dead = False  # whether reading and writing have stopped permanently
        self._buffer = bytearray()
        self._first_byte_at = 0.0  # arrival time of the first byte of the command at the front of the buffer
        self._pending: deque[PendingAnswer] = deque()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection with the server; an unreachable server never reads from it."""
        # Transports of uvloop are not instances of asyncio.Transport.
        self.transport = cast(asyncio.Transport, transport)
        if self.server.is_unreachable:
            self.is_dead = True
            self.transport.pause_reading()
        self.server.connections.add(self)
        self.server.model.charge_handshake()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the commands that are still pending."""
        self.is_dead = True
        self.server.connections.discard(self)
        for pending in self._pending:
            self._cancel_pending(pending)
        self._pending.clear()

    def _cancel_pending(self, pending: PendingAnswer) -> None:
        command, delivery = pending.command, pending.delivery
        if delivery is not None and delivery.outcome == PENDING:
            self._end_delivery(delivery, DISCONNECTED)
            if command is not None and command.is_started:  # the command has started after waiting in the queue
                delivery.disposition = EXECUTED
        if command is not None:
            self.server.model.cancel(command)

    def eof_received(self) -> bool:
        """Close the connection: a router that closes its sending direction cancels its attempts."""
        return False

    def data_received(self, data: bytes) -> None:
        """Pass received bytes through the emulated link, and read no more until the server's pace allows it."""
        self.inbound.push(data)
        if self.server.read_bytes_per_s > 0 and not self.is_dead:
            self.transport.pause_reading()
            delay_ms = min(MAX_READ_PAUSE_MS, 1000.0 * len(data) / self.server.read_bytes_per_s)
            self.server.scheduler.after(delay_ms, self._resume_reading)

    def _resume_reading(self) -> None:
        if not self.is_dead and not self.transport.is_closing():
            with contextlib.suppress(RuntimeError):
                self.transport.resume_reading()

    # commands

    def _on_data(self, data: bytes) -> None:
        if self.server.is_frozen:
            self.server.defer_input(self, data)
        elif not self.is_dead:
            self.receive(data, self.server.scheduler.now())

    def receive(self, data: bytes, arrived_at: float) -> None:
        """Handle bytes that arrived at the given time.

        Input deferred while the server was frozen is handled even if the connection has ended meanwhile.
        """
        if not self._buffer:
            self._first_byte_at = arrived_at
        self._buffer += data
        while self._handle_next_command():
            self._first_byte_at = arrived_at

    def _handle_next_command(self) -> bool:
        """Remove one command from the buffer and handle it; return False if no complete command is buffered."""
        line_length = self._buffer.find(_LINE_END)
        if line_length < 0:
            if len(self._buffer) > MAX_LINE_BYTES:
                self._buffer.clear()
                self._answer_now(LINE_TOO_LONG_ANSWER)
                self.transport.close()
            return False
        tokens = self._buffer[:line_length].decode("latin-1").split(" ")
        body_size = 0
        command_size = line_length + len(_LINE_END)
        if tokens[0] == "ms" and len(tokens) > 2 and tokens[2].isdigit():
            body_size = int(tokens[2]) + len(_LINE_END)
            if body_size > MAX_VALUE_BYTES or len(self._buffer) < command_size + body_size:
                return False
        del self._buffer[: command_size + body_size]
        self._dispatch(tokens)
        return True

    def _dispatch(self, tokens: list[str]) -> None:
        command_name = tokens[0]
        model = self.server.model
        if command_name in ("mg", "ms") and len(tokens) > 3:
            self._submit(tokens, is_write=command_name == "ms")
        elif command_name == "mn":
            self._answer_now(DRAINING_ANSWER if model.draining else NOOP_ANSWER)
        elif command_name == "stats" and tokens[1:] == ["load"] and model.spec.probes:
            self._answer_now(render_stats(model.report()))
        else:
            self.server.malformed_commands += 1
            self._answer_now(BAD_COMMAND_ANSWER if command_name in ("mg", "ms") else UNKNOWN_COMMAND_ANSWER)

    def _submit(self, tokens: list[str], is_write: bool) -> None:
        server = self.server
        flags = parse_flags(tokens[2:])
        delivery = Delivery(flags.request_id, server.model.number, self._first_byte_at, server.scheduler.now())
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

        command = Command(flags.request_id, tokens[1], is_write, flags.idempotency_key, on_finish)
        pending.command = command
        server.model.submit(command)
        if command.is_started:
            delivery.disposition = EXECUTED

    def _exceeds_limits(self) -> bool:
        spec = self.server.model.spec
        return len(self.server.connections) > spec.connections or len(self._pending) > spec.streams

    # answers

    def _finish(self, pending: PendingAnswer, delivery: Delivery, command: Command, outcome: CommandOutcome) -> None:
        """Answer a command that has ended, subject to the faults of the server and the link."""
        answer = self._render(delivery, command, outcome)
        delivery.ended_at = self.server.scheduler.now()
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
            # Data that has been written is still sent before the connection ends.
            self.transport.close()
        self.is_dead = True

    def _render(self, delivery: Delivery, command: Command, outcome: CommandOutcome) -> bytes:
        """Return the answer to a command, and record the outcome in its delivery."""
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
        delivery.checksum = answer.checksum
        return answer.data

    def _end_delivery(self, delivery: Delivery, outcome: str) -> None:
        delivery.outcome = outcome
        delivery.ended_at = self.server.scheduler.now()

    def _answer_now(self, answer: bytes) -> None:
        self._pending.append(PendingAnswer(answer))
        self._flush()

    def _flush(self) -> None:
        """Send the answers at the front of the queue that are complete, up to the first command in progress."""
        if self.is_dead:
            return
        ready = []
        while self._pending and (data := self._pending[0].data) is not None:
            self._pending.popleft()
            ready.append(data)
        if ready:
            self.write(b"".join(ready))

    def write(self, data: bytes) -> None:
        """Send bytes through the emulated link; a frozen server sends them when it resumes."""
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
