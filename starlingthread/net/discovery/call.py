"""One HTTP call to discovery: a poll of the whole list, or a watch that stays open for changes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import NoReturn

import h11

from ...core.clock import Clock
from ...core.deadlines import Deadline, Deadlines
from ..late_timers import LATE_THRESHOLD_MS, is_handled_late
from ..streams import open_stream
from .errors import DiscoveryCallError, DiscoveryTimeoutError
from .json_stream import JsonObjectSplitter

CONNECT_TIMEOUT_MS = 1000.0  # time limit for connecting, as a host that is down does not answer at all
IDLE_TIMEOUT_MS = 3000.0  # a call fails if discovery sends no byte for this long
# Replaces the general idle timeout once a watch has received data: discovery sends at least every 2 s on a watch.
WATCH_IDLE_TIMEOUT_MS = 2500.0
LIST_TIMEOUT_MS = 3000.0  # time limit from the first to the last byte of a list on a watch
MAX_LIST_BYTES = 4 << 20
READ_BYTES = 65536
HTTP_OK = 200


class IdleTimer:
    """Cancels the task of a call if discovery sends nothing before a timeout."""

    def __init__(self, clock: Clock, deadlines: Deadlines, task: asyncio.Task[None]) -> None:
        self._clock = clock
        self._deadlines = deadlines
        self._task = task
        self._deadline: Deadline | None = None
        self.expired = False  # True if this timer has cancelled the task

    def restart(self, timeout_ms: float) -> None:
        """Start the timeout again from now."""
        self.stop()
        due = self._clock.now() + timeout_ms
        self._deadline = self._deadlines.set(due, lambda: self._on_timeout(due))

    def stop(self) -> None:
        """Stop the timer, so that it does not cancel the task."""
        self._deadlines.clear(self._deadline)

    def _on_timeout(self, due: float) -> None:
        if is_handled_late(self._clock, due):  # the process was paused: first read what has arrived
            self.restart(2 * LATE_THRESHOLD_MS)
            return
        self.expired = True
        self._task.cancel()


class PollResponse:
    """The response to a poll: its body is one endpoint list, complete when the response ends."""

    idle_timeout_ms = IDLE_TIMEOUT_MS

    def __init__(self, on_list: Callable[[bytes], None]) -> None:
        self._on_list = on_list
        self._body = bytearray()

    @property
    def buffered_bytes(self) -> int:
        """Number of body bytes that are not yet delivered as a list."""
        return len(self._body)

    def feed(self, data: bytes) -> None:
        """Append bytes of the body."""
        self._body += data

    def finish(self, is_complete: bool) -> None:
        """Deliver the list; raise DiscoveryCallError if the response was truncated."""
        if not is_complete:
            raise DiscoveryCallError(f"response truncated: connection closed after {len(self._body)} bytes of the list")
        self._on_list(bytes(self._body))


class WatchResponse:
    """The response to a watch: its body is a sequence of lists, with empty lines between them as heartbeats."""

    def __init__(
        self, clock: Clock, on_list: Callable[[bytes], None], on_heartbeat: Callable[[], None] = lambda: None
    ) -> None:
        self._clock = clock
        self._on_list = on_list
        self._on_heartbeat = on_heartbeat
        self._splitter = JsonObjectSplitter()
        self._list_began_at = 0.0  # clock time of the first byte of the partial list
        self.idle_timeout_ms = IDLE_TIMEOUT_MS

    @property
    def buffered_bytes(self) -> int:
        """Number of body bytes that are not yet delivered as a list."""
        return len(self._splitter)

    def feed(self, data: bytes) -> None:
        """Deliver each list that is complete; raise DiscoveryCallError if one arrives too slowly."""
        continues_list = self._splitter.has_partial_object()
        list_count = 0
        for complete_list in self._splitter.feed(data):
            self._on_list(complete_list)
            list_count += 1
            continues_list = False
        if not list_count and not self._splitter.has_partial_object():
            self._on_heartbeat()
        self.idle_timeout_ms = WATCH_IDLE_TIMEOUT_MS  # a heartbeat counts, too: it confirms that nothing has changed
        now = self._clock.now()
        if not continues_list:
            self._list_began_at = now
        if self._splitter.has_partial_object() and now - self._list_began_at > LIST_TIMEOUT_MS:
            raise DiscoveryCallError(f"list is incomplete {now - self._list_began_at:.0f} ms after its first byte")

    def finish(self, is_complete: bool) -> NoReturn:
        """Raise DiscoveryCallError, as any end of a watch is a failure."""
        raise DiscoveryCallError("watch ended by discovery")


class DiscoveryCall:
    """One GET request and its response. A failed call ends with an exception, and so does every watch."""

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
        idle_timer = IdleTimer(self._clock, self._deadlines, task)
        writer: asyncio.StreamWriter | None = None
        try:
            idle_timer.restart(CONNECT_TIMEOUT_MS)
            reader, writer = await open_stream(*self._address, READ_BYTES)
            idle_timer.restart(response.idle_timeout_ms)
            self._send_request(writer)
            await self._receive(reader, response, idle_timer)
        except asyncio.CancelledError:
            if not idle_timer.expired:
                raise
            raise DiscoveryTimeoutError("no connection to discovery or no data from it within the timeout") from None
        finally:
            idle_timer.stop()
            if writer is not None:
                writer.transport.abort()

    def _send_request(self, writer: asyncio.StreamWriter) -> None:
        host = f"{self._address[0]}:{self._address[1]}"
        request = h11.Request(method="GET", target=self._path, headers=[("Host", host)])
        writer.write(self._http.send(request) or b"")
        writer.write(self._http.send(h11.EndOfMessage()) or b"")

    async def _receive(
        self, reader: asyncio.StreamReader, response: PollResponse | WatchResponse, idle_timer: IdleTimer
    ) -> None:
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                data = await reader.read(READ_BYTES)
                idle_timer.restart(response.idle_timeout_ms)
                self._http.receive_data(data)
            elif isinstance(event, h11.Response) and event.status_code != HTTP_OK:
                raise DiscoveryCallError(f"HTTP status {event.status_code}, expected {HTTP_OK}")
            elif isinstance(event, h11.Data):
                response.feed(bytes(event.data))
                idle_timer.restart(response.idle_timeout_ms)
                if response.buffered_bytes > MAX_LIST_BYTES:
                    raise DiscoveryCallError(f"list too large: {response.buffered_bytes} bytes, limit {MAX_LIST_BYTES}")
            elif isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                response.finish(is_complete=isinstance(event, h11.EndOfMessage))
                return
