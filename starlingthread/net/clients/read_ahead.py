"""Reads what a client sends while its commands wait, so that its end of file is seen behind them.

A socket that is not read hides the end of its client: the end of file follows the unread bytes, and once the receive
window is shut it stays at the client's system, where polling does not see it. So the bytes are read on while there is
memory for them. Where there is none, :meth:`ReadAhead.is_end_visible` tells that the client may have left unseen, and
no attempt starts for it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from .. import meta
from ..streams import PEER_CLOSED_EVENTS, has_open_window, has_poll_event, pause_reading, resume_reading
from .context import ConnectionState, ListenerContext
from .limits import FREE_READ_AHEAD_SHARE, MAX_READ_AHEAD_BYTES, MAX_UNSEEN_MS, READ_AHEAD_SHARE, READ_BYTES


class ReadAhead:
    """The unprocessed input of one client connection: what its parser holds, and whether more of it is read."""

    __slots__ = (
        "_held_bytes",
        "_hidden_since",
        "_is_active",
        "_is_ahead",
        "_is_behind",
        "_is_paused",
        "_is_stopped",
        "_listener",
        "_on_disconnect",
        "_parser",
        "_state",
        "_writer",
    )

    def __init__(
        self,
        listener: ListenerContext,
        state: ConnectionState,
        parser: meta.CommandParser,
        writer: asyncio.StreamWriter,
        on_disconnect: Callable[[], None],
    ) -> None:
        self._listener = listener
        self._state = state
        self._parser = parser
        self._writer = writer
        self._on_disconnect = on_disconnect
        self._is_active = False  # whether received bytes go to the parser at once, as no response slot is free
        self._is_ahead = False  # whether the held bytes count in the listener's read-ahead
        self._is_paused = False  # whether reading is paused for lack of memory
        self._is_stopped = False  # whether nothing is read any more
        self._held_bytes = 0  # bytes that the parser holds or has made room for
        self._is_behind = False  # whether the client may have sent, and closed, since reading was paused
        self._hidden_since = 0.0  # clock time from which on a close may not have been seen, while this is behind

    # bytes

    def begin(self) -> None:
        """Pass received bytes to the parser from now on, as the reader waits for a response slot."""
        self._is_active = True
        self.account()

    def end(self) -> None:
        """Leave the bytes that are received from now on to the stream's reader again."""
        self._is_active = False

    def resume(self) -> None:
        """Read again if reading is paused, as the parser needs more bytes."""
        if self._is_paused and not self._is_stopped:
            self._is_paused = False
            resume_reading(self._writer)

    def stop(self) -> None:
        """Read nothing more, whatever the client sends."""
        self._is_stopped = True
        self.pause()

    def take(self, data: bytes) -> bool:
        """Handle received bytes; return False if the stream's reader must get them."""
        if self._is_behind and len(data) < READ_BYTES:
            self._is_behind = False  # all that the operating system had was read, so that the client can send more
        if not self._is_active:
            return False
        self._parser.append(data)
        self.account()
        return True

    def account(self) -> None:
        """Count what the parser holds, and read no more ahead if there is no memory for it."""
        held_bytes = self._parser.held_bytes()
        if held_bytes or self._held_bytes:
            self._count(held_bytes, self._is_active)
        if not self._is_active:
            return
        if self._held_bytes < self._max_ahead_bytes():
            self.resume()
        else:
            self._is_paused = True
            self.pause()  # the stream's reader may have resumed reading

    def _max_ahead_bytes(self) -> int:
        """Return how much this connection may read ahead; many connections get a small part of the memory each."""
        listener = self._listener
        free_bytes = listener.buffers.limit * READ_AHEAD_SHARE - listener.read_ahead_bytes + self._held_bytes
        return min(MAX_READ_AHEAD_BYTES, int(free_bytes * FREE_READ_AHEAD_SHARE))

    def _count(self, held_bytes: int, is_ahead: bool) -> None:
        listener = self._listener
        if self._is_ahead:
            listener.read_ahead_bytes -= self._held_bytes
        if is_ahead:
            listener.read_ahead_bytes += held_bytes
        listener.buffers.used += held_bytes - self._held_bytes
        self._held_bytes = held_bytes
        self._is_ahead = is_ahead

    def close(self) -> None:
        """Release all bytes, as the connection is being released."""
        self._is_active = False
        self._parser.clear()
        self._count(0, False)

    # the client's end

    def pause(self) -> None:
        """Leave further bytes in the operating system; the client's end may be hidden behind them from now on."""
        if not self._is_behind:
            self._is_behind = True
            self._hidden_since = self._listener.clock.now()
        pause_reading(self._writer)

    def look_for_disconnect(self) -> None:
        """Handle the client's end if the operating system has received it, although the socket is not read."""
        if has_poll_event(self._writer, PEER_CLOSED_EVENTS):
            self._on_disconnect()
        elif has_open_window(self._writer):
            self._hidden_since = self._listener.clock.now()

    def is_end_visible(self) -> bool:
        """Return whether the client's end would have been seen if it closed more than MAX_UNSEEN_MS ago."""
        if not self._is_behind:
            return True
        self.look_for_disconnect()
        return not self._state.disconnected and self._listener.clock.now() - self._hidden_since <= MAX_UNSEEN_MS
