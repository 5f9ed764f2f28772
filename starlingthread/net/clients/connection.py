"""The actor of one client connection, from accept to close."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from .class_history import RequestClasses
from .closing import has_nothing_unread, linger
from .context import ConnectionState, ListenerContext
from .draining import Progress
from .idle import EvictionRank, eviction_rank
from .limits import COMMAND_TIMEOUT_MS, IDLE_TIMEOUT_MS, SHORT_IDLE_TIMEOUT_MS
from .reader import ClientReader
from .requests import ClientRequests
from .responses import ResponseQueue
from .shedding import EarlyRejector
from .writer import ResponseWriter


class ClientConnectionActor:
    """One client connection, which reads while requests are in flight and writes responses in command order."""

    def __init__(
        self,
        listener: ListenerContext,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        on_closed: Callable[[ClientConnectionActor], None],
        on_eviction_cancelled: Callable[[ClientConnectionActor], None] = lambda _: None,
    ) -> None:
        self.listener = listener
        self.reader = reader
        self.writer = writer
        self.state = ConnectionState(listener.clock.now())
        self.responses = ResponseQueue(listener)
        self.requests = ClientRequests(listener, self.state, self.responses, writer)
        self._command_reader = ClientReader(
            listener, self.state, self.requests, self.responses, reader, writer, self.on_disconnect
        )
        self.requests.is_end_visible = self._command_reader.ahead.is_end_visible
        self._early_rejector = EarlyRejector(
            listener, self.state, self.responses, self._command_reader, writer.transport
        )
        self._response_writer = ResponseWriter(listener, self.state, writer)
        self._on_closed = on_closed
        self._on_eviction_cancelled = on_eviction_cancelled

    async def run(self) -> None:
        """Write responses in order until the client has closed, or until we are closing and no response is pending."""
        reading = self.listener.supervisor.start(
            self._command_reader.run(), "client-reader", lambda _: self.on_disconnect()
        )
        try:
            await self._write_responses()
            reading.cancel()
            if not self.state.disconnected and not self.writer.transport.is_closing():
                if not self.state.evicted:
                    await self._response_writer.flush()
                    await linger(self.listener, self.state, self.reader, self.writer, reading)
                elif not self.writer.transport.get_write_buffer_size():
                    # The end of file is sent at once, as the transport closes its socket one turn of the event loop
                    # later. Data that arrives until then would count as received, and a turn is long on a saturated
                    # core.
                    self.writer.write_eof()
        except OSError:
            self.listener.counters.increment("clients.reset")
        finally:
            reading.cancel()
            self.close()

    async def _write_responses(self) -> None:
        """Write responses until the connection is to be closed."""
        responses = self.responses
        while True:
            responses.collect_ready()
            if responses.slots:
                self._cancel_idle_close()
            while responses.slots and (ready := responses.slots[0].parts) is not None:
                if self.writer.transport.is_closing():
                    return
                await self._response_writer.write(responses.slots[0], ready)
                if responses.remove_first().closes_connection:
                    return
                # Right after a response no request can be in transit, unless the client pipelines.
                self.state.closing = self.state.closing or self.listener.draining
            if self.state.disconnected:
                return
            if self._is_done():
                if await has_nothing_unread(self.writer, self._is_done, self.listener.reading_stopped):
                    return
                self._cancel_idle_close()
            await responses.mailbox.wait()

    def _is_done(self) -> bool:
        state = self.state
        is_closing = state.closing or state.closing_if_idle
        return is_closing and not self.responses.slots and state.partial_since is None

    def _cancel_idle_close(self) -> None:
        """Cancel the close of an idle connection, as a command has arrived and the next one would cross the close."""
        if self.state.closing_if_idle:
            self.state.closing_if_idle = False
            self.state.evicted = False
            self._on_eviction_cancelled(self)

    def consume(self, data: bytes) -> bool:
        """Handle data just received; return False if the stream's reader must get them."""
        return self._command_reader.take_ahead(data) or self._early_rejector.consume(data)

    def on_classes_replaced(self, classes: RequestClasses) -> None:
        """Keep the request classes that a reload has just replaced for what the client has sent so far."""
        self._command_reader.on_classes_replaced(classes)

    def on_accepted_late(self, classes: RequestClasses) -> None:
        """Keep replaced request classes for what has arrived, as the connection may be older than the reload."""
        self._command_reader.on_accepted_late(classes)

    def on_disconnect(self) -> None:
        """Cancel all requests at once, as the client has closed, whatever the reader and writer are waiting for."""
        if self.state.disconnected:
            return
        self.state.disconnected = True
        self.requests.cancel_all()
        self._command_reader.ahead.close()
        self._response_writer.abandon_value()
        self.responses.has_free_slot.set()
        self.responses.mailbox.wake()

    # idle connections

    def check_idle(self, now: float, near_threshold: bool) -> None:
        """Close a connection that is idle, silent or in a command for too long, as it takes memory and a descriptor."""
        state = self.state
        if state.framing_lost or state.disconnected or state.lingering:
            return
        if state.partial_since is not None:
            if now - state.partial_since >= COMMAND_TIMEOUT_MS and not self._is_reading_paused():
                self.listener.counters.increment("clients.partial_command_timeout")
                self.requests.fail_partial_command()
            return
        allowed_ms = SHORT_IDLE_TIMEOUT_MS if near_threshold or not state.commands else IDLE_TIMEOUT_MS
        if not state.is_ending and not self.responses.slots and now - state.last_used_at >= allowed_ms:
            self.listener.counters.increment("clients.idle_closed" if state.commands else "clients.silent_closed")
            self._close_if_idle()

    def _is_reading_paused(self) -> bool:
        """Return whether the rest of a partial command may have arrived while reading is paused."""
        incoming = self.requests.incoming
        return self.responses.is_full() or (incoming is not None and incoming.pipe.is_producer_waiting())

    def eviction_rank(self, now: float) -> EvictionRank | None:
        """Return the rank in the eviction order; None if a response is pending or the connection is being closed."""
        is_core_saturated = self.listener.router.core_load.is_saturated
        return eviction_rank(
            self.state, bool(self.responses.slots), is_core_saturated, now, now < self.listener.at_capacity_until
        )

    def idle_since(self) -> float | None:
        """Return the clock time of the last use; None if the connection is in use or being closed."""
        state = self.state
        is_busy = self.responses.slots or state.partial_since is not None
        return None if is_busy or state.is_ending or state.lingering else state.last_used_at

    def evict(self) -> None:
        """Close the connection to free its descriptor for another client; a partial command is answered."""
        self.state.evicted = True
        if self.state.lingering:
            self.writer.transport.abort()
        elif self.state.partial_since is None:
            self._close_if_idle()
        else:
            self.requests.fail_partial_command()

    # closing

    def _close_if_idle(self) -> None:
        """Close unless a command arrives before the close."""
        self.state.closing_if_idle = True
        self.responses.mailbox.wake()

    def close_when_idle(self) -> None:
        """Close once all responses are written."""
        self.state.closing = True
        self.responses.mailbox.wake()

    def stop_reading(self) -> None:
        """Read no further commands, as the process shuts down; what was read is answered."""
        self._command_reader.stop()
        self.responses.mailbox.wake()

    def progress(self) -> Progress:
        """Return what has moved on the connection so far."""
        return Progress(self._command_reader.processed_bytes, self._response_writer.delivered_bytes())

    def awaits_client(self) -> bool:
        """Return whether the client's system has still to take bytes that were written to it."""
        return self._response_writer.undelivered_bytes() > 0

    def fail_blocking_requests(self) -> None:
        """Answer open requests as failed if other responses, or commands without a slot, wait behind them."""
        slots = self.responses.slots
        for request, slot in list(self.requests.slots_by_request.items()):
            if slot is not slots[-1] or (self.responses.is_full() and not request.is_receiving):
                self.listener.router.fail(request)

    def fail_requests(self) -> None:
        """Answer all open requests as failed."""
        for request in list(self.requests.slots_by_request):
            self.listener.router.fail(request)

    def abort(self) -> None:
        """End the connection at once."""
        self.listener.counters.increment("clients.stalled_at_shutdown")
        self.writer.transport.abort()

    def close(self) -> None:
        """Release the connection and cancel its requests in flight; no other code releases it."""
        self.requests.close()
        self._command_reader.ahead.close()
        self._on_closed(self)
        self._response_writer.close()
