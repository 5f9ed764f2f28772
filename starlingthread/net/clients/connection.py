"""The actor of one client connection: its life from accept to close."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from .closing import has_nothing_unread, linger
from .context import ConnectionState, ListenerContext
from .idle import EvictionRank, eviction_rank
from .limits import COMMAND_TIMEOUT_MS, IDLE_TIMEOUT_MS, SHORT_IDLE_TIMEOUT_MS
from .reader import ClientReader
from .requests import ClientRequests
from .responses import ResponseQueue
from .shedding import EarlyRejector
from .writer import ResponseWriter


class ClientConnectionActor:
    """One client's connection. It reads on while requests are in flight, and writes responses in order."""

    def __init__(
        self,
        listener: ListenerContext,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        on_closed: Callable[[ClientConnectionActor], None],
        on_eviction_undone: Callable[[ClientConnectionActor], None] = lambda _: None,
    ) -> None:
        self.listener = listener
        self.reader = reader
        self.writer = writer
        self.state = ConnectionState(listener.clock.now())
        self.responses = ResponseQueue(listener)
        self.requests = ClientRequests(listener, self.state, self.responses)
        self._command_reader = ClientReader(
            listener, self.state, self.requests, self.responses, reader, writer, self.on_disconnect
        )
        self.early_rejector = EarlyRejector(
            listener, self.state, self.responses, self._command_reader, writer.transport
        )
        self._response_writer = ResponseWriter(listener, self.state, writer)
        self._on_closed = on_closed
        self._on_eviction_undone = on_eviction_undone

    async def run(self) -> None:
        """Write responses in order until the client has closed, or until we are closing and nothing is owed."""
        reading = self.listener.supervisor.start(
            self._command_reader.run(), "client-reader", lambda _: self.on_disconnect()
        )
        try:
            await self._write_responses()
            reading.cancel()
            if not self.state.disconnected and not self.writer.transport.is_closing():
                if not self.state.evicted:
                    await linger(self.listener, self.state, self.reader, self.writer, reading)
                elif not self.writer.transport.get_write_buffer_size():
                    # At once, as a transport closes its socket a turn of the loop later only: what arrives until then
                    # would count as taken off the socket, and a turn is long on a core that is too small.
                    self.writer.write_eof()
        except OSError:
            self.listener.counters.increment("clients.reset")
        finally:
            reading.cancel()
            self.close()

    async def _write_responses(self) -> None:
        """Return once nothing more is to be written."""
        responses = self.responses
        while True:
            responses.collect_ready()
            if responses.slots:
                self._stay_open()
            while responses.slots and (ready := responses.slots[0].parts) is not None:
                await self._response_writer.write(responses.slots[0], ready)
                if responses.remove_first().closes_connection:
                    return
                # Right behind a response no request can be on its way yet, unless the client pipelines.
                self.state.closing = self.state.closing or self.listener.draining
            if self.state.disconnected:
                return
            if self._is_done():
                if await has_nothing_unread(self.writer, self._is_done):
                    return
                self._stay_open()
            await responses.mailbox.wait()

    def _is_done(self) -> bool:
        state = self.state
        is_closing = state.closing or state.closing_if_idle
        return is_closing and not self.responses.slots and state.partial_since is None

    def _stay_open(self) -> None:
        """Don't close for idleness, as a command has arrived: its client's next one would cross the close."""
        if self.state.closing_if_idle:
            self.state.closing_if_idle = False
            self.state.evicted = False
            self._on_eviction_undone(self)

    def on_disconnect(self) -> None:
        """Withdraw all requests at once, as the client has closed, whatever reader and writer wait for just now."""
        if self.state.disconnected:
            return
        self.state.disconnected = True
        self.requests.cancel_all()
        self._response_writer.abandon_value()
        self.responses.has_room.set()
        self.responses.mailbox.wake()

    # idle connections

    def check_idle(self, now: float, crowded: bool) -> None:
        """Close a connection that is silent, idle or amid a command for too long: it takes a descriptor and memory."""
        state = self.state
        if state.framing_lost or state.disconnected or state.lingering:
            return
        if state.partial_since is not None:
            if now - state.partial_since >= COMMAND_TIMEOUT_MS and not self._is_reading_paused():
                self.listener.counters.increment("clients.partial_command_timeout")
                self.requests.fail_partial_command()
            return
        allowed_ms = SHORT_IDLE_TIMEOUT_MS if crowded or not state.commands else IDLE_TIMEOUT_MS
        if not state.is_ending and not self.responses.slots and now - state.last_used_at >= allowed_ms:
            self.listener.counters.increment("clients.idle_closed" if state.commands else "clients.silent_closed")
            self._close_if_idle()

    def _is_reading_paused(self) -> bool:
        """Return whether the rest of a command may be here, but we do not read it."""
        incoming = self.requests.incoming
        return self.responses.is_full() or (incoming is not None and incoming.pipe.is_full())

    def eviction_rank(self, now: float) -> EvictionRank | None:
        """Return the place in the order of eviction; None if something is owed or the connection is being closed."""
        is_core_saturated = self.listener.router.core_load.is_saturated
        return eviction_rank(
            self.state, bool(self.responses.slots), is_core_saturated, now, now < self.listener.crowded_until
        )

    def idle_since(self) -> float | None:
        """Return the clock time of the last use; None if something is owed or under way."""
        state = self.state
        is_busy = self.responses.slots or state.partial_since is not None
        return None if is_busy or state.is_ending or state.lingering else state.last_used_at

    def evict(self) -> None:
        """Close, as the descriptor is needed for another client; a partial command is answered."""
        self.state.evicted = True
        if self.state.lingering:
            self.writer.transport.abort()
        elif self.state.partial_since is None:
            self._close_if_idle()
        else:
            self.requests.fail_partial_command()

    # closing

    def _close_if_idle(self) -> None:
        """Close unless a command arrives before we have closed."""
        self.state.closing_if_idle = True
        self.responses.mailbox.wake()

    def close_when_idle(self) -> None:
        """Close once nothing is owed."""
        self.state.closing = True
        self.responses.mailbox.wake()

    def close(self) -> None:
        """Release the connection, here and nowhere else; requests in flight are cancelled."""
        self.requests.close()
        self._on_closed(self)
        self._response_writer.close()
