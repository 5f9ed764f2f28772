"""From a client's commands to requests, and from their answers to responses."""

from __future__ import annotations

import hashlib
from typing import NamedTuple

from ...core.messages import Answer, BodyReceived, ClientDisconnected, PendingRequest, Rejected, Served
from ...core.pipe import Pipe
from ...settings import RequestClass
from .. import meta
from .context import ConnectionState, ListenerContext
from .limits import MAX_MALFORMED_COMMANDS, RESPONSE_MARGIN_MS, VALUE_TIMEOUT_MS
from .responses import ResponseQueue, ResponseSlot


def key_number(key: bytes) -> int:
    """Return a key as the decision module knows it: the same number at every router, never 0 (which means none)."""
    return int.from_bytes(hashlib.blake2b(key, digest_size=8).digest(), "big") or 1


def _number_field(fields: dict[str, str], name: str) -> float:
    """Return a number that a client gave; 0 if it is absent or malformed."""
    text = fields.get(name, "")
    return float(text) if meta.NUMBER_PATTERN.fullmatch(text) else 0.0


class IncomingValue(NamedTuple):
    """A request whose value is being received in chunks."""

    slot: ResponseSlot
    request: PendingRequest
    pipe: Pipe


class ClientRequests:
    """The requests of one connection that await their answer; it is the requester whom the router answers."""

    __slots__ = ("_listener", "_responses", "_state", "incoming", "slots_by_request", "unsubmitted")

    def __init__(self, listener: ListenerContext, state: ConnectionState, responses: ResponseQueue) -> None:
        self._listener = listener
        self._state = state
        self._responses = responses
        self.slots_by_request: dict[PendingRequest, ResponseSlot] = {}
        self.incoming: IncomingValue | None = None
        self.unsubmitted: PendingRequest | None = None  # the incoming one, while too little of its value is here

    # commands

    def accept(self, item: meta.Command | meta.ControlCommand | meta.MalformedCommand) -> None:
        """Take in what the client sent: submit a request or put the response."""
        listener = self._listener
        if isinstance(item, meta.MalformedCommand) and self.incoming is not None:
            listener.counters.increment("clients.malformed")
            self._fail_incoming_value(item)
            return
        if self._state.disconnected and isinstance(item, meta.Command):
            # Its client has closed, so nobody awaits the answer.
            listener.counters.increment("clients.disconnected_unread")
            return
        slot = self._responses.append()
        self._state.last_used_at = listener.clock.now()
        self._state.commands += 1
        if isinstance(item, meta.Command):
            self._accept_command(slot, item)
        elif isinstance(item, meta.MalformedCommand):
            listener.counters.increment("clients.malformed")
            self._respond_malformed(slot, item)
        elif item is meta.ControlCommand.READY:
            self._responses.put(slot, meta.READY_LINE if listener.is_ready() else meta.STARTING_LINE)
        else:
            self._responses.put(slot, meta.ERROR_LINE)

    def _accept_command(self, slot: ResponseSlot, command: meta.Command) -> None:
        listener = self._listener
        request_class = listener.classes.get(command.fields.get("c", ""))
        if request_class is None:
            listener.counters.increment("clients.unknown_class")
            self._respond_malformed(slot, meta.client_error("unknown class"))
            return
        if command.request_id in listener.open_ids:
            # Guards the request that is open: two of one id could not be told apart, here or at a server.
            listener.counters.increment("clients.duplicate_id")
            self._respond_malformed(slot, meta.client_error("id in use"))
            return
        has_queue_place = self._state.has_queue_place or command.is_chunked
        self._state.has_queue_place = False
        if not has_queue_place and (
            rejection := listener.router.core_load.shed(self._state.last_used_at, request_class, command.timeout_ms)
        ):
            self._responses.put(slot, meta.busy_line(rejection.retry_after))
            return
        listener.open_ids.add(command.request_id)
        body = Pipe(listener.budget) if command.is_chunked else None
        request = self._create_request(command, request_class, body)
        self.slots_by_request[request] = slot
        self._responses.reserve(slot, len(command.value or b""))
        if body is None:
            self._submit(request)
        else:
            self.incoming = IncomingValue(slot, request, body)
            self.unsubmitted = request

    def _create_request(self, command: meta.Command, request_class: RequestClass, body: Pipe | None) -> PendingRequest:
        now = self._state.last_used_at
        if body is None:
            # Nobody waits longer than the class allows, nor than a process that ends lives.
            timeout = min(command.timeout_ms, request_class.deadline, self._listener.answer_by - now)
        else:
            timeout = VALUE_TIMEOUT_MS
        return PendingRequest(
            self,
            request_class,
            key_number(command.key),
            now + timeout - RESPONSE_MARGIN_MS,
            command,
            now,
            body=body,
            size=_number_field(command.fields, "size"),
            cost_hint=_number_field(command.fields, "h"),
            is_retry=command.fields.get("r") == "1",
            is_write=command.is_write,
        )

    def _submit(self, request: PendingRequest) -> None:
        if self._listener.buffered > self._listener.max_buffered:
            self._listener.counters.increment("requests.memory_full")
            self._listener.router.reject(request)
        else:
            self._listener.router.submit(request)

    def _respond_malformed(self, slot: ResponseSlot, malformed: meta.MalformedCommand) -> None:
        """Answer a malformed command; a connection that sends too many of them is closed."""
        state = self._state
        state.malformed += 1
        state.framing_lost = malformed.framing_lost or state.malformed >= MAX_MALFORMED_COMMANDS
        slot.closes_connection = state.framing_lost
        self._responses.put(slot, malformed.line)

    def fail_partial_command(self) -> None:
        """Answer a command whose rest has not come in time; the connection is closed behind it."""
        malformed = meta.client_error("command not finished", True)
        if self.incoming is not None:
            self._fail_incoming_value(malformed)
        else:
            self._respond_malformed(self._responses.append(), malformed)

    # values in chunks

    def accept_chunk(self, chunk: meta.ValueChunk) -> None:
        """Take in a chunk of the incoming value; one that belongs to no request is dropped."""
        if self.incoming is None:
            return
        pipe = self.incoming.pipe
        pipe.put(chunk.data)
        if self.unsubmitted is not None and (pipe.buffered > meta.MAX_UNCHUNKED_BYTES or pipe.is_full() or chunk.last):
            # Guards a server's connection against a client that sends a head and then nothing.
            self.unsubmitted = None
            self._submit(self.incoming.request)
        if chunk.last:
            self._complete_incoming_value(self.incoming)

    def _complete_incoming_value(self, incoming: IncomingValue) -> None:
        slot, request, pipe = incoming
        pipe.finish(True)
        self.incoming = None
        self._state.partial_since = None
        now = self._listener.clock.now()
        self._state.last_used_at = now
        request.received_at = now
        if slot.deferred_answer is not None:
            self._respond(slot, slot.deferred_answer)
        elif not request.finished and isinstance(request.payload, meta.Command):
            timeout = min(request.payload.timeout_ms, request.request_class.deadline, self._listener.answer_by - now)
            self._listener.router.mailbox.force_put(BodyReceived(request, now + timeout - RESPONSE_MARGIN_MS))

    def _fail_incoming_value(self, malformed: meta.MalformedCommand) -> None:
        """Withdraw the request whose value will never be complete, and answer it as malformed."""
        assert self.incoming is not None
        slot, request, pipe = self.incoming
        self.incoming = None
        pipe.finish(False)
        self._cancel(request)
        self._respond_malformed(slot, malformed)

    # answers

    def answer(self, request: PendingRequest, answer: Answer) -> None:
        """Take a request's one final answer."""
        slot = self.slots_by_request.pop(request, None)
        if slot is None:
            if isinstance(answer, Served) and answer.pipe is not None:
                answer.pipe.abandon()
            return
        self._release_id(request)
        request.finished = True
        if self.incoming is not None and self.incoming.request is request:
            # A response may not precede the end of its command; the rest of the value is dropped.
            slot.deferred_answer = answer
        else:
            self._respond(slot, answer)

    def _respond(self, slot: ResponseSlot, answer: Answer) -> None:
        if isinstance(answer, Served) and isinstance(answer.payload, meta.ServerAnswer):
            slot.pipe = answer.pipe
            self._responses.put(slot, *answer.payload.parts)
        elif isinstance(answer, Rejected):
            self._responses.put(slot, meta.busy_line(answer.retry_after))
        else:
            self._responses.put(slot, meta.FAILED_LINE)

    # cancellation

    def cancel_all(self) -> None:
        """Withdraw all requests, as the client has disconnected."""
        for request in list(self.slots_by_request):
            self._cancel(request)

    def close(self) -> None:
        """Withdraw all requests and end an incoming value, as the connection is over."""
        self.cancel_all()
        self._responses.clear()
        if self.incoming is not None:
            self.incoming.pipe.finish(False)
            self.incoming = None

    def _cancel(self, request: PendingRequest) -> None:
        if self.slots_by_request.pop(request, None) is None:
            return
        request.cancelled = True  # at once: other messages precede the one that reports it
        self._release_id(request)
        if request is not self.unsubmitted:
            self._listener.router.mailbox.force_put(ClientDisconnected(request))
        elif request.body is not None:
            request.body.abandon()
            self.unsubmitted = None

    def _release_id(self, request: PendingRequest) -> None:
        if isinstance(request.payload, meta.Command):
            self._listener.open_ids.discard(request.payload.request_id)
