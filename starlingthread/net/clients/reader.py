"""Reads a client's commands, with back-pressure."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from .. import meta
from ..streams import PEER_CLOSED_EVENTS, has_open_window, has_poll_event, paused_reading, unread_bytes
from .class_history import MAX_PEER_SEND_BUFFER_BYTES, RequestClasses
from .context import ConnectionState, ListenerContext
from .limits import READ_BYTES
from .read_ahead import ReadAhead
from .requests import ClientRequests, IncomingValue
from .responses import ResponseQueue


class ClientReader:
    """Reads commands from a client's stream and passes them to its :class:`ClientRequests`."""

    __slots__ = (
        "_listener",
        "_on_disconnect",
        "_parser",
        "_requests",
        "_responses",
        "_state",
        "_stop_position",
        "_stream",
        "_writer",
        "ahead",
        "ahead_bytes",
        "processed_bytes",
        "stream_bytes",
    )

    def __init__(
        self,
        listener: ListenerContext,
        state: ConnectionState,
        requests: ClientRequests,
        responses: ResponseQueue,
        stream: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        on_disconnect: Callable[[], None],
    ) -> None:
        self._listener = listener
        self._state = state
        self._requests = requests
        self._responses = responses
        self._stream = stream
        self._writer = writer
        self._on_disconnect = on_disconnect
        self._parser = meta.CommandParser()
        self.ahead = ReadAhead(listener, state, self._parser, writer, on_disconnect)
        self.ahead_bytes = 0  # bytes that were read ahead, which went to the parser at once
        self.stream_bytes = 0  # bytes received for the stream, and bytes read from it
        self.processed_bytes = 0
        self._stop_position: int | None = None  # nothing is read any more once the input was parsed up to here
        requests.input = self

    def position(self) -> int:
        """Return the position in the client's input up to which it was parsed."""
        return self.ahead_bytes + self.processed_bytes - self._parser.unread_bytes()

    def received_end(self) -> int:
        """Return the position up to which the input was received, by this process or by the operating system."""
        return self.position() + self._unprocessed_bytes() + (unread_bytes(self._writer) or 0)

    def take_ahead(self, data: bytes) -> bool:
        """Handle data just received while commands wait; return False if the stream's reader must get them."""
        if not self.ahead.take(data):
            return False
        self.ahead_bytes += len(data)
        return True

    @property
    def has_current_classes(self) -> bool:
        """Whether the current request classes apply to all further input."""
        return self._requests.class_history.is_empty

    def on_classes_replaced(self, classes: RequestClasses) -> None:
        """Keep the replaced request classes for what was sent before now; call this before any later byte is read."""
        position, certain_end = self.position(), self.received_end()
        possible_end = certain_end if has_open_window(self._writer) else certain_end + MAX_PEER_SEND_BUFFER_BYTES
        if possible_end > position:
            self._requests.class_history.add(classes, certain_end, possible_end)
        self._requests.keep_class_of_incoming(position + self._parser.missing_value_bytes() <= certain_end)

    def on_accepted_late(self, classes: RequestClasses) -> None:
        """Let replaced request classes apply to what has arrived, as the client may have sent it before the reload."""
        possible_end = self.received_end()
        if not has_open_window(self._writer):
            possible_end += MAX_PEER_SEND_BUFFER_BYTES
        if possible_end:
            self._requests.class_history.add(classes, 0, possible_end)

    def stop(self) -> None:
        """Read no more, except for the rest of a value that is being received; handle what was read.

        This ends the requests of a client that always sends the next one before it has all answers.
        """
        if self._stop_position is not None:
            return
        self._stop_position = self.position() + self._parser.missing_value_bytes()
        if not self._parser.is_receiving_value():
            self.ahead.stop()
        self._listener.watch_for_disconnect(self)

    async def run(self) -> None:
        """Read commands until the client closes; once framing is lost, discard what it sends."""
        try:
            await self._read_commands()
            while self._state.framing_lost and await self._stream.read(READ_BYTES):
                pass
        except OSError:
            self._listener.counters.increment("clients.reset")
        self._on_disconnect()
        self._responses.mailbox.wake()

    async def _read_commands(self) -> None:
        while not self._state.framing_lost and await self._read():
            incoming = self._requests.incoming
            if incoming is not None:
                incoming.pipe.reserve_read(READ_BYTES)
                incoming.arrival.update(self._unprocessed_bytes())

    async def _read(self) -> bool:
        """Read and process the next bytes; return whether to continue to read. No copy of the bytes is kept."""
        self.ahead.resume()
        data = await self._stream.read(READ_BYTES)
        if not data or (len(data) == READ_BYTES and self._has_closed()):
            return False
        self.processed_bytes += len(data)
        if not await self._process(self._parser.feed(data)):
            return False
        self._update_partial_since()
        self.ahead.account()
        if self._stop_position is not None and self.position() >= self._stop_position:
            self.ahead.stop()
        if self._listener.buffers.is_exceeded():
            self._parser.discard_value()
            self.ahead.account()
        return True

    def _has_closed(self) -> bool:
        """Return whether the client has closed, as it may have sent much more than was read."""
        return has_poll_event(self._writer, PEER_CLOSED_EVENTS)

    async def _process(self, items: Iterable[meta.ParsedInput]) -> bool:
        """Process parsed input; return False if the client has disconnected before a response slot was free."""
        for item in items:
            if isinstance(item, meta.ValueChunk):
                self._requests.accept_chunk(item)
                incoming = self._requests.incoming
                if incoming is not None and incoming.pipe.is_full():
                    await self._wait_for_pipe(incoming)
                continue
            if self._responses.is_full() and not await self._wait_for_slot():
                return False
            self._state.partial_since = None
            self._requests.accept(item)
            if self._state.framing_lost:
                break
        return True

    async def _wait_for_slot(self) -> bool:
        """Wait for a free response slot; return False if the client disconnects first.

        This bounds the memory that a client takes by sending commands without reading its responses. What it sends
        meanwhile is read ahead, so that its end of file is seen.
        """
        self.ahead.begin()
        await self._read_stream_ahead()
        while self._responses.is_full() and not self._state.disconnected:
            self._responses.has_free_slot.clear()
            self._listener.watch_for_disconnect(self)
            await self._responses.has_free_slot.wait()
        self.ahead.end()
        return not self._responses.is_full()

    async def _read_stream_ahead(self) -> None:
        """Pass what the stream's reader holds to the parser, as it precedes what is read ahead."""
        while self.processed_bytes < self.stream_bytes:
            data = await self._stream.read(READ_BYTES)
            self.processed_bytes += len(data)
            self.ahead.take(data)

    def _unprocessed_bytes(self) -> int:
        """Return how many bytes this process has received and not processed."""
        return self.stream_bytes - self.processed_bytes + self._parser.unread_bytes()

    def _update_partial_since(self) -> None:
        """Record since when a command is partial; a value that arrives slowly counts from its last bytes."""
        if not self._parser.has_partial_input():
            self._state.partial_since = None
        elif self._state.partial_since is None or self._parser.is_receiving_value():
            self._state.partial_since = self._listener.clock.now()

    async def _wait_for_pipe(self, incoming: IncomingValue) -> None:
        """Wait until the pipe of the incoming value accepts more data."""
        self._listener.watch_for_disconnect(self)
        self.ahead.pause()
        incoming.arrival.on_paused()
        with paused_reading(self._writer):
            await incoming.pipe.wait_until_not_full()
        self._state.partial_since = self._listener.clock.now()

    def check_for_disconnect(self) -> bool:
        """Poll whether the client has closed while reading is paused; return whether to continue polling."""
        transport = self._writer.transport
        if self._state.disconnected or transport.is_closing():
            return False
        if not transport.is_reading():  # type: ignore[attr-defined]
            self.ahead.look_for_disconnect()
            if self._requests.incoming is not None:
                self._requests.incoming.arrival.update(self._unprocessed_bytes())
        is_paused = self._responses.is_full() or self._requests.incoming is not None or self._stop_position is not None
        return is_paused and not self._state.disconnected
