"""Turns a client's commands into requests, and the answers to them into responses."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import NamedTuple, Protocol

from ...core.messages import Answer, BodyReceived, ClientDisconnected, DeadlinePassed, PendingRequest, Rejected, Served
from ...core.pipe import Pipe
from ...settings import RequestClass
from .. import meta
from ..streams import has_open_window
from .class_history import ClassHistory
from .context import ConnectionState, ListenerContext
from .limits import MAX_MALFORMED_COMMANDS, REQUEST_OVERHEAD_BYTES, RESPONSE_MARGIN_MS, VALUE_TIMEOUT_MS
from .request_fields import key_hash, number_field, request_identity
from .responses import ResponseQueue, ResponseSlot
from .value_arrival import ValueArrival


class ClientInput(Protocol):
    """The input of a client connection, in which bytes are counted from the first one."""

    def position(self) -> int:
        """Return the position after the command that is being handled."""

    def received_end(self) -> int:
        """Return the position up to which the input was received, by this process or by the operating system."""


class IncomingValue(NamedTuple):
    """A request whose value is being received in chunks."""

    slot: ResponseSlot
    request: PendingRequest
    pipe: Pipe
    arrival: ValueArrival


class ClientRequests:
    """The unanswered requests of one connection; the router delivers its answers to this requester."""

    __slots__ = (
        "_listener",
        "_responses",
        "_state",
        "_writer",
        "class_history",
        "incoming",
        "input",
        "is_end_visible",
        "slots_by_request",
        "unsubmitted",
    )

    def __init__(
        self,
        listener: ListenerContext,
        state: ConnectionState,
        responses: ResponseQueue,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._listener = listener
        self._state = state
        self._responses = responses
        self._writer = writer
        self.slots_by_request: dict[PendingRequest, ResponseSlot] = {}
        self.incoming: IncomingValue | None = None
        self.unsubmitted: PendingRequest | None = None  # the incoming request until enough of its value has arrived

        self.class_history = ClassHistory()
        self.input: ClientInput  # set by the reader of the connection
        # Returns whether the client's end would have been seen by now if the client had closed.
        self.is_end_visible: Callable[[], bool] = lambda: True

    def may_start_attempt(self) -> bool:
        """Return whether the client is known to be there still."""
        return not self._state.disconnected and self.is_end_visible()

    # commands

    def accept(self, item: meta.Command | meta.ControlCommand | meta.MalformedCommand) -> None:
        """Handle a command: submit a request or queue the response."""
        listener = self._listener
        if isinstance(item, meta.MalformedCommand) and self.incoming is not None:
            listener.counters.increment("clients.malformed")
            self._fail_incoming_value(item)
            return
        if self._state.disconnected and isinstance(item, meta.Command):
            # The client has closed, so no answer is expected.
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
        request_class = self._find_class(command)
        if request_class is None:
            listener.counters.increment("clients.unknown_class")
            self._respond_malformed(slot, meta.client_error("unknown class"))
            return
        if command.request_id in listener.open_ids:
            # The open request keeps its id, as two requests with one id could not be told apart here or at a server.
            listener.counters.increment("clients.duplicate_id")
            self._respond_malformed(slot, meta.client_error("id in use"))
            return
        identity = request_identity(command, request_class)
        is_admitted = self._state.is_next_command_admitted or command.is_chunked
        is_admitted = is_admitted or (identity != 0 and listener.router.may_have_run(identity))
        self._state.is_next_command_admitted = False
        if not is_admitted and (
            rejection := listener.router.core_load.shed(self._state.last_used_at, request_class, command.timeout_ms)
        ):
            self._responses.put(slot, meta.busy_line(rejection.retry_after))
            return
        listener.open_ids.add(command.request_id)
        body = Pipe(listener.budget) if command.is_chunked else None
        request = self._create_request(command, request_class, identity, body)
        request.keeps_class = not self.class_history.is_empty
        self.slots_by_request[request] = slot
        self._responses.reserve(slot, REQUEST_OVERHEAD_BYTES + len(command.head) + len(command.value or b""))
        if command.is_value_discarded:
            listener.counters.increment("requests.memory_full")
            listener.router.reject(request)
        elif body is None:
            self._submit(request)
        else:
            self.incoming = IncomingValue(slot, request, body, self._create_arrival(command, request))
            self.unsubmitted = request

    def _find_class(self, command: meta.Command) -> RequestClass | None:
        """Return the class of a command: the one that was in effect when its last byte arrived."""
        name = command.fields.get("c", "")
        history = self.class_history
        if history.is_empty:
            return self._listener.classes.get(name)
        position = self.input.position()
        if history.is_uncertain and has_open_window(self._writer):
            history.limit(self.input.received_end())
        if command.is_chunked:
            position += command.length + len(meta.CRLF)
        return history.find(name, position, self._listener.classes)

    def keep_class_of_incoming(self, is_received: bool) -> None:
        """Keep the class of the request whose value is not processed completely, if all of it has been received.

        Otherwise the request is failed when it is submitted, if a reload has removed its class by then.
        """
        if self.unsubmitted is not None and is_received:
            self.unsubmitted.keeps_class = True

    def _create_request(
        self, command: meta.Command, request_class: RequestClass, identity: int, body: Pipe | None
    ) -> PendingRequest:
        now = self._state.last_used_at
        if body is None:
            # The wait is bounded by the request class, and by the remaining lifetime of a process that shuts down.
            time_to_answer = self._listener.drain_limits.time_to_answer(now)
            timeout = min(command.timeout_ms, request_class.deadline, time_to_answer)
        else:
            timeout = VALUE_TIMEOUT_MS
        return PendingRequest(
            self,
            request_class,
            key_hash(command.key),
            now + timeout - RESPONSE_MARGIN_MS,
            command,
            now,
            body=body,
            size=number_field(command.fields, "size"),
            cost_hint=number_field(command.fields, "h"),
            is_retry=command.fields.get("r") == "1",
            is_write=command.is_write,
            identity=identity,
        )

    def _create_arrival(self, command: meta.Command, request: PendingRequest) -> ValueArrival:
        listener = self._listener
        timeout = min(command.timeout_ms, request.request_class.deadline) - RESPONSE_MARGIN_MS
        length = command.length + len(meta.CRLF)
        return ValueArrival(
            listener.clock, listener.deadlines, self._writer, length, timeout, lambda: self._on_value_overdue(request)
        )

    def _on_value_overdue(self, request: PendingRequest) -> None:
        """Fail a request whose time-out may have passed while its client was not read; it is answered at its end."""
        self._listener.counters.increment("clients.value_overdue")
        self._listener.router.mailbox.force_put(DeadlinePassed(request))

    def _submit(self, request: PendingRequest) -> None:
        if self._listener.buffers.is_exceeded():
            self._listener.counters.increment("requests.memory_full")
            self._listener.router.reject(request)
        elif not self.is_end_visible():
            self._listener.counters.increment("requests.client_unseen")
            self._listener.router.reject(request)
        else:
            self._listener.router.submit(request)

    def _respond_malformed(self, slot: ResponseSlot, malformed: meta.MalformedCommand) -> None:
        """Answer a malformed command, and close a connection that sends too many of them."""
        state = self._state
        state.malformed += 1
        state.framing_lost = malformed.framing_lost or state.malformed >= MAX_MALFORMED_COMMANDS
        slot.closes_connection = state.framing_lost
        self._responses.put(slot, malformed.line)

    def fail_partial_command(self) -> None:
        """Answer a command that was not completed in time; the connection is closed after the answer."""
        malformed = meta.client_error("command not finished", True)
        if self.incoming is not None:
            self._fail_incoming_value(malformed)
        else:
            self._respond_malformed(self._responses.append(), malformed)

    # chunked values

    def accept_chunk(self, chunk: meta.ValueChunk) -> None:
        """Handle a chunk of the incoming value; drop a chunk that belongs to no request."""
        if self.incoming is None:
            return
        pipe = self.incoming.pipe
        self.incoming.arrival.on_read(len(chunk.data))
        pipe.put(chunk.data)
        self.incoming.request.deadline = self._listener.clock.now() + VALUE_TIMEOUT_MS - RESPONSE_MARGIN_MS
        if self.unsubmitted is not None and (pipe.buffered > meta.MAX_UNCHUNKED_BYTES or pipe.is_full() or chunk.last):
            # Submitting is delayed so that a client that sends only the command line ties up no server connection.
            self.unsubmitted = None
            self._submit(self.incoming.request)
        if chunk.last:
            self._complete_incoming_value(self.incoming)

    def _complete_incoming_value(self, incoming: IncomingValue) -> None:
        slot, request, pipe, arrival = incoming
        pipe.finish(True)
        self.incoming = None
        self._state.partial_since = None
        now = self._listener.clock.now()
        received_at = now if arrival.unread_since is None else arrival.unread_since
        arrival.close()
        self._state.last_used_at = now
        request.received_at = received_at
        if slot.deferred_answer is not None:
            self._respond(slot, slot.deferred_answer)
        elif not request.finished and isinstance(request.payload, meta.Command):
            time_to_answer = self._listener.drain_limits.time_to_answer(received_at)
            timeout = min(request.payload.timeout_ms, request.request_class.deadline, time_to_answer)
            deadline = received_at + timeout - RESPONSE_MARGIN_MS
            self._listener.router.mailbox.force_put(BodyReceived(request, deadline))

    def _fail_incoming_value(self, malformed: meta.MalformedCommand) -> None:
        """Cancel the request whose value will not be completed, and answer it as malformed."""
        assert self.incoming is not None
        slot, request, pipe, arrival = self.incoming
        self.incoming = None
        arrival.close()
        pipe.finish(False)
        self._cancel(request)
        self._respond_malformed(slot, malformed)

    # answers

    def answer(self, request: PendingRequest, answer: Answer) -> None:
        """Accept the final answer to a request; further answers to it are discarded."""
        slot = self.slots_by_request.pop(request, None)
        if slot is None:
            if isinstance(answer, Served) and answer.pipe is not None:
                answer.pipe.abandon()
            return
        self._release_id(request)
        request.finished = True
        if self.incoming is not None and self.incoming.request is request:
            # A response must not precede the end of its command; the rest of the value is dropped.
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
        """Cancel all requests, as the client has disconnected."""
        for request in list(self.slots_by_request):
            self._cancel(request)

    def close(self) -> None:
        """Cancel all requests and end an incoming value, as the connection is being released."""
        self.cancel_all()
        self._responses.clear()
        if self.incoming is not None:
            self.incoming.arrival.close()
            self.incoming.pipe.finish(False)
            self.incoming = None

    def _cancel(self, request: PendingRequest) -> None:
        if self.slots_by_request.pop(request, None) is None:
            return
        # The request is marked as cancelled at once, as other messages precede ClientDisconnected in the mailbox.
        request.cancelled = True
        self._release_id(request)
        if request is not self.unsubmitted:
            self._listener.router.mailbox.force_put(ClientDisconnected(request))
        elif request.body is not None:
            request.body.abandon()
            self.unsubmitted = None

    def _release_id(self, request: PendingRequest) -> None:
        if isinstance(request.payload, meta.Command):
            self._listener.open_ids.discard(request.payload.request_id)
