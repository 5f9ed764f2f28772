"""Detects clients that have stopped reading, by the bytes that their systems have not acknowledged."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ...core.clock import Clock
from ...core.deadlines import Deadline, Deadlines
from ..streams import unacknowledged_bytes
from .limits import WRITE_STALL_CHECK_INTERVAL_MS, WRITE_STALL_TIMEOUT_MS


class WriteStallTimer:
    """Calls back once a client has taken none of the bytes written to it for WRITE_STALL_TIMEOUT_MS.

    A client that takes some is not stalled, however slowly it reads. That is not seen from the transport alone: the
    operating system buffers up to some megabytes, and takes more only when a large part of them is acknowledged.
    Nothing may be written while the timer runs.
    """

    __slots__ = ("_check_timer", "_clock", "_deadlines", "_on_stalled", "_progressed_at", "_remaining_bytes", "_writer")

    def __init__(
        self, clock: Clock, deadlines: Deadlines, writer: asyncio.StreamWriter, on_stalled: Callable[[], None]
    ) -> None:
        self._clock = clock
        self._deadlines = deadlines
        self._writer = writer
        self._on_stalled = on_stalled
        self._check_timer: Deadline | None = None
        self._progressed_at = 0.0  # clock time
        self._remaining_bytes = 0

    def start(self) -> None:
        """Start the timer, or start it anew."""
        self.stop()
        self._progressed_at = self._clock.now()
        self._remaining_bytes = unacknowledged_bytes(self._writer)
        self._schedule_check()

    def stop(self) -> None:
        """Stop the timer if it runs."""
        self._deadlines.clear(self._check_timer)
        self._check_timer = None

    def _schedule_check(self) -> None:
        due = self._clock.now() + WRITE_STALL_CHECK_INTERVAL_MS
        self._check_timer = self._deadlines.set(due, self._check)

    def _check(self) -> None:
        now = self._clock.now()
        remaining_bytes = unacknowledged_bytes(self._writer)
        if remaining_bytes < self._remaining_bytes:
            self._progressed_at = now
            self._remaining_bytes = remaining_bytes
        if now - self._progressed_at >= WRITE_STALL_TIMEOUT_MS:
            self._check_timer = None
            self._on_stalled()
        else:
            self._schedule_check()
