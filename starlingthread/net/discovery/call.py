"""One HTTP call to discovery: a poll of the whole list, or a watch that stays open for changes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import NoReturn

import h11

from ...core.clock import Clock
from ...core.deadlines import Deadline, Deadlines
from ..late_timers import LATE_TIMER_MS, is_handled_late
from ..streams import open_stream
from .errors import DiscoveryCallError
from .json_stream import JsonObjectSplitter

CONNECT_TIMEOUT_MS = 1000.0  # for discovery to accept; a machine that is down does not answer at all
SILENCE_TIMEOUT_MS = 3000.0  # without a byte, after which a call has failed
WATCH_SILENCE_TIMEOUT_MS = 2500.0  # the same for a watch that has sent something: it sends at least every 2 s
LIST_TIMEOUT_MS = 3000.0  # in which a list on a watch must be complete, from its first byte on
MAX_LIST_BYTES = 4 << 20
READ_SIZE = 65536  # bytes
HTTP_OK = 200


class SilenceTimer:
    """Cancels a task when nothing is received in time."""

    def __init__(self, clock: Clock, deadlines: Deadlines, task: asyncio.Task[None]) -> None:
        self._clock = clock
        self._deadlines = deadlines
        self._task = task
        self._deadline: Deadline | None = None
        self.expired = False  # whether the task was cancelled by this timer

    def restart(self, timeout: float) -> None:
        """Set the time-out (ms) anew from now."""
        self.stop()
        due = self._clock.now() + timeout
        self._deadline = self._deadlines.set(due, lambda: self._on_timeout(due))

    def stop(self) -> None:
        """Stop the timer."""
        self._deadlines.clear(self._deadline)

    def _on_timeout(self, due: float) -> None:
        if is_handled_late(self._clock, due):  # this process was paused: read first what arrived meanwhile
            self.restart(2 * LATE_TIMER_MS)
            return
        self.expired = True
        self._task.cancel()


class PollResponse:
    """The body of a poll: one list, complete with the response."""

    silence_timeout = SILENCE_TIMEOUT_MS

    def __init__(self, on_list: Callable[[bytes], None]) -> None:
        self._on_list = on_list
        self._body = bytearray()

    @property
    def buffered(self) -> int:
        """Bytes that are buffered."""
        return len(self._body)

    def feed(self, data: bytes) -> None:
        """Add some bytes of the body."""
        self._body += data

    def finish(self, is_complete: bool) -> None:
        """Pass the list on; raise DiscoveryCallError if the response broke off."""
        if not is_complete:
            raise DiscoveryCallError("connection closed")
        self._on_list(bytes(self._body))


class WatchResponse:
    """The body of a watch: lists one after the other, with empty lines as heartbeats in between."""

    def __init__(self, clock: Clock, on_list: Callable[[bytes], None]) -> None:
        self._clock = clock
        self._on_list = on_list
        self._objects = JsonObjectSplitter()
        self._list_began_at = 0.0  # clock time of the first byte of the partial list
        self.silence_timeout = SILENCE_TIMEOUT_MS

    @property
    def buffered(self) -> int:
        """Bytes that are buffered."""
        return len(self._objects)

    def feed(self, data: bytes) -> None:
        """Pass on the lists that are complete by now; raise DiscoveryCallError if one takes too long."""
        continues_list = self._objects.has_partial_object()
        for text in self._objects.feed(data):
            self._on_list(text)
            continues_list = False
        self.silence_timeout = WATCH_SILENCE_TIMEOUT_MS  # heartbeats count too: they say that nothing has changed
        now = self._clock.now()
        if not continues_list:
            self._list_began_at = now
        if self._objects.has_partial_object() and now - self._list_began_at > LIST_TIMEOUT_MS:
            raise DiscoveryCallError("incomplete list")

    def finish(self, is_complete: bool) -> NoReturn:
        """Raise DiscoveryCallError: a watch is not supposed to end."""
        raise DiscoveryCallError("watch closed")


class DiscoveryCall:
    """One GET request and its response. A call that fails ends with an exception, and so does every watch."""

    def __init__(self, clock: Clock, deadlines: Deadlines, address: tuple[str, int], path: str) -> None:
        self._clock = clock
        self._deadlines = deadlines
        self._address = address
        self._path = path
        self._http = h11.Connection(h11.CLIENT)

    async def run(self, response: PollResponse | WatchResponse) -> None:
        """Make the call. Raises DiscoveryCallError, OSError, h11.RemoteProtocolError and what the response raises."""
        task = asyncio.current_task()
        assert task is not None
        silence = SilenceTimer(self._clock, self._deadlines, task)
        writer: asyncio.StreamWriter | None = None
        try:
            silence.restart(CONNECT_TIMEOUT_MS)
            reader, writer = await open_stream(*self._address, READ_SIZE)
            silence.restart(response.silence_timeout)
            self._send_request(writer)
            await self._receive(reader, response, silence)
        except asyncio.CancelledError:
            if not silence.expired:
                raise
            raise DiscoveryCallError("read timeout") from None
        finally:
            silence.stop()
            if writer is not None:
                writer.transport.abort()

    def _send_request(self, writer: asyncio.StreamWriter) -> None:
        host = f"{self._address[0]}:{self._address[1]}"
        request = h11.Request(method="GET", target=self._path, headers=[("Host", host)])
        writer.write(self._http.send(request) or b"")
        writer.write(self._http.send(h11.EndOfMessage()) or b"")

    async def _receive(
        self, reader: asyncio.StreamReader, response: PollResponse | WatchResponse, silence: SilenceTimer
    ) -> None:
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                data = await reader.read(READ_SIZE)
                silence.restart(response.silence_timeout)
                self._http.receive_data(data)
            elif isinstance(event, h11.Response) and event.status_code != HTTP_OK:
                raise DiscoveryCallError(f"status {event.status_code}")
            elif isinstance(event, h11.Data):
                response.feed(bytes(event.data))
                silence.restart(response.silence_timeout)
                if response.buffered > MAX_LIST_BYTES:
                    raise DiscoveryCallError("list too large")
            elif isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                response.finish(is_complete=isinstance(event, h11.EndOfMessage))
                return
