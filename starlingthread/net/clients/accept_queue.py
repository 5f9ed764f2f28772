"""The accept queue: connections that the system has established and that nobody has accepted yet.

A client sends its request as soon as its connection is established, so each queued connection is owed an answer. The
queue may therefore hold no more than will find a place in time. The system keeps to the limit: further connections are
not established, and their clients lose no request.
"""

from __future__ import annotations

import contextlib
import socket

from ...core.counters import Counters
from ..syn_filter import drop_syns, pass_syns

MAX_BACKLOG = 1024  # connections that the system may queue for us at most
MIN_BACKLOG = 1  # with 0 a system without SYN cookies establishes none at all
MIN_QUEUED = MIN_BACKLOG + 1  # connections that a queue holds at the least unless it is shut
RAISE_RATIO = 1.5  # of the limit in force, above which a higher one replaces it
MIN_RAISE = 16  # connections, by which it replaces it too; so that not each connection's end needs a system call


class AcceptQueue:
    """Limits the accept queue of a listening socket."""

    def __init__(self, listening: socket.socket, counters: Counters, is_shared: bool) -> None:
        """Take over a listening socket.

        is_shared: another process uses the socket too and may limit its queue, so that our limit is set each time.
        """
        self._listening = listening
        self._counters = counters
        self._is_shared = is_shared
        self._limit: int | None = None

    @property
    def is_shut(self) -> bool:
        """Whether no connection is established at present."""
        return self._limit == 0

    def set_limit(self, places: int) -> None:
        """Let the queue grow to this many connections; those that it holds already stay.

        A limit of 1 lets ``MIN_QUEUED`` come up, and any limit a few more if SYNs arrive on several processors at once.
        """
        limit = max(0, min(places, MAX_BACKLOG))
        if self._limit is None or self._is_shared or limit < self._limit or self._is_raised(limit, self._limit):
            self._apply(limit)

    def _apply(self, limit: int) -> None:
        if limit == 0:
            self._shut()
        with contextlib.suppress(OSError):
            self._listening.listen(max(MIN_BACKLOG, limit - 1))  # the system queues one more than the backlog
        if limit and (self.is_shut or self._limit is None or self._is_shared):
            pass_syns(self._listening)
        self._limit = limit

    def _shut(self) -> None:
        if not self.is_shut:
            self._counters.increment("clients.queue_shut")
        drop_syns(self._listening)

    @staticmethod
    def _is_raised(limit: int, limit_in_force: int) -> bool:
        return limit > RAISE_RATIO * limit_in_force or limit >= limit_in_force + MIN_RAISE
