"""Bounds the time at which a client has written the last byte of a streamed value that is not read as it arrives.

While a value's server reads slowly, its client's socket is not read, and the end of the command is not known. The
time for which bytes are left unread is the router's own, so it counts against the request's deadline. It does not count
while the client is seen to be sending: bytes arrive although nothing was read, or the receive window is open and bytes
of the value are still missing.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ...core.clock import Clock
from ...core.deadlines import Deadline, Deadlines
from ..streams import has_open_window, unread_bytes


class ValueArrival:
    """The arrival of one streamed value: since when its last byte may have been waiting unread."""

    def __init__(
        self,
        clock: Clock,
        deadlines: Deadlines,
        writer: asyncio.StreamWriter,
        length: int,
        timeout_ms: float,
        on_overdue: Callable[[], None],
    ) -> None:
        """Begin with nothing read of a value.

        length: bytes of the value, with its CRLF; timeout_ms: the client's time-out, which starts at the last byte;
        on_overdue: called once if the last byte may have been waiting for so long
        """
        self._clock = clock
        self._deadlines = deadlines
        self._writer = writer
        self._missing_bytes = length
        self._timeout_ms = timeout_ms
        self._on_overdue = on_overdue
        self._timer: Deadline | None = None
        self._buffered_bytes = 0  # bytes of the connection that this process has received and not processed
        self._unread_at_last_poll: int | None = None  # None: no poll since the socket was last read
        # Clock time from which on the last byte may be unread; None: all that has arrived was read.
        self.unread_since: float | None = None

    def on_read(self, size: int) -> None:
        """Record that some bytes of the value were read."""
        self._missing_bytes -= size
        self._unread_at_last_poll = None

    def on_paused(self) -> None:
        """Record that the socket is not read from now on."""
        if self.unread_since is None:
            self.unread_since = self._clock.now()
            self._set_timer(self.unread_since)

    def update(self, buffered_bytes: int) -> None:
        """Look at what is unread while some may be.

        buffered_bytes: bytes of the connection that this process has received and not processed
        """
        self._buffered_bytes = buffered_bytes
        if self.unread_since is None or (unread := unread_bytes(self._writer)) is None:
            return
        if not unread and not buffered_bytes:
            self.close()
        elif unread + buffered_bytes < self._missing_bytes and self._is_client_sending(unread):
            self.unread_since = self._clock.now()

    def _is_client_sending(self, unread: int) -> bool:
        last_unread = self._unread_at_last_poll
        self._unread_at_last_poll = unread
        return has_open_window(self._writer) or (last_unread is not None and unread > last_unread)

    def close(self) -> None:
        """Count no time from now on, as all was read."""
        self.unread_since = None
        self._deadlines.clear(self._timer)
        self._timer = None

    def _set_timer(self, since: float) -> None:
        self._timer = self._deadlines.set(since + self._timeout_ms, self._check_overdue)

    def _check_overdue(self) -> None:
        self._timer = None
        self.update(self._buffered_bytes)
        if self.unread_since is None:
            return
        if self._clock.now() >= self.unread_since + self._timeout_ms:
            self._on_overdue()
        else:
            self._set_timer(self.unread_since)
