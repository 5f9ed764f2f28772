"""The accept queue: connections that the system has established and that no process has accepted yet.

A client sends its request as soon as its connection is established, so each queued connection must be answered. The
queue may therefore hold no more connections than can be accepted in time. The system enforces the limit: it does not
establish further connections, so that their clients lose no request.
"""

from __future__ import annotations

import contextlib
import socket

from ...core.counters import Counters
from ..syn_filter import drop_syns, pass_syns

# Largest limit of the accept queue.
MAX_BACKLOG = 1024
# With a backlog of 0, a system without SYN cookies establishes no connection at all.
MIN_BACKLOG = 1
# Smallest capacity of an accept queue that is not shut, as the system queues one connection more than the backlog.
MIN_QUEUED_CONNECTIONS = MIN_BACKLOG + 1
# A higher limit replaces the limit in force only if it exceeds it by this ratio or by this many connections, so that
# the end of a connection does not cost a system call each time.
MIN_RAISE_RATIO = 1.5
MIN_RAISE_CONNECTIONS = 16


class AcceptQueue:
    """Limits the accept queue of a listening socket."""

    def __init__(self, listening: socket.socket, counters: Counters, is_shared: bool) -> None:
        """Limit the accept queue of a listening socket.

        is_shared: another process also uses the socket and may change its limit, so each limit is applied anew.
        """
        self._listening = listening
        self._counters = counters
        self._is_shared = is_shared
        self._limit: int | None = None

    @property
    def is_shut(self) -> bool:
        """Whether the system establishes no new connections at present."""
        return self._limit == 0

    def set_limit(self, connections: int) -> None:
        """Let the queue grow to this many connections; connections that are already queued remain.

        With a limit of 1, ``MIN_QUEUED_CONNECTIONS`` are established. Any limit is exceeded by a few connections if
        SYNs arrive on several processors at once.
        """
        limit = max(0, min(connections, MAX_BACKLOG))
        if self._limit is None or self._is_shared or limit < self._limit or self._is_large_raise(limit, self._limit):
            self._apply(limit)

    def _apply(self, limit: int) -> None:
        if limit == 0:
            self._shut()
        with contextlib.suppress(OSError):
            # The system queues one connection more than the backlog.
            self._listening.listen(max(MIN_BACKLOG, limit - 1))
        if limit and (self.is_shut or self._limit is None or self._is_shared):
            pass_syns(self._listening)
        self._limit = limit

    def _shut(self) -> None:
        if not self.is_shut:
            self._counters.increment("clients.queue_shut")
        drop_syns(self._listening)

    @staticmethod
    def _is_large_raise(limit: int, limit_in_force: int) -> bool:
        return limit > MIN_RAISE_RATIO * limit_in_force or limit >= limit_in_force + MIN_RAISE_CONNECTIONS
