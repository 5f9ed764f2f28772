"""The end of a graceful shutdown: connections on which bytes still move are kept, and the others are ended.

Nothing bounds how long a value takes while its server gives it and its client takes it. So a shutdown has no time limit
as a whole: each connection has one, which starts anew whenever something moves on it.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import NamedTuple, Protocol

from .limits import WRITE_STALL_TIMEOUT_MS

# Interval of the checks of connections that are still open.
DRAIN_CHECK_INTERVAL_MS = 50.0
# Of the time between two checks at most this much counts, as a process that does not run sees nothing move.
MAX_COUNTED_INTERVAL_MS = 4 * DRAIN_CHECK_INTERVAL_MS
# Time for writing the error answers of a connection on which nothing moves, before it is aborted.
FAIL_TIMEOUT_MS = 1000.0


class DrainLimits(NamedTuple):
    """The time limits of a graceful shutdown, as clock times or durations in ms."""

    answer_deadline: float = math.inf  # clock time by which to answer what arrives before kill_time
    kill_time: float = math.inf  # clock time from which on the process may be killed
    quiet_timeout: float = math.inf  # a connection ends after so long without a byte that moves; see StallMonitor

    def time_to_answer(self, now: float) -> float:
        """Return the time (ms) in which to answer a request that arrives now.

        It is not limited once the process was not killed in time, as its end then depends on its answers alone.
        """
        return self.answer_deadline - now if now < self.kill_time else math.inf


class Progress(NamedTuple):
    """What has moved on a connection so far, in bytes."""

    processed: int  # read from the client and parsed
    delivered: int  # taken by the client's system


class DrainingConnection(Protocol):
    """A client connection during a graceful shutdown."""

    def progress(self) -> Progress:
        """Return what has moved so far."""

    def awaits_client(self) -> bool:
        """Return whether the client's system has still to take bytes that were written to it."""

    def fail_requests(self) -> None:
        """Answer all open requests as failed."""

    def abort(self) -> None:
        """End the connection at once."""


class _Quiet(NamedTuple):
    """For how long nothing has moved on a connection."""

    progress: Progress
    duration: float  # ms


class StallMonitor:
    """Ends connections on which nothing moves: first their requests are failed, then they are aborted.

    A client may take bytes in large steps, as its system tells of free room only when there is much of it. So while it
    has bytes to take the limit is that of any slow client, and no error answer would reach it after that.
    """

    def __init__(self, quiet_timeout: float, now: float) -> None:
        """Begin at a clock time; quiet_timeout: ms without progress after which a connection is ended."""
        self._quiet_timeout = quiet_timeout
        self._checked_at = now
        self._quiet: dict[DrainingConnection, _Quiet] = {}

    def check(self, now: float, connections: Iterable[DrainingConnection]) -> int:
        """Check all open connections and return how many were found to have stalled since the last check."""
        interval = min(now - self._checked_at, MAX_COUNTED_INTERVAL_MS)
        self._checked_at = now
        last = self._quiet
        self._quiet = {connection: self._updated(connection, last, interval) for connection in connections}
        return sum(self._end_if_stalled(connection, quiet, interval) for connection, quiet in self._quiet.items())

    @staticmethod
    def _updated(connection: DrainingConnection, last: dict[DrainingConnection, _Quiet], interval: float) -> _Quiet:
        progress = connection.progress()
        quiet = last.get(connection)
        if quiet is None or quiet.progress != progress:
            return _Quiet(progress, 0.0)
        return _Quiet(progress, quiet.duration + interval)

    def _end_if_stalled(self, connection: DrainingConnection, quiet: _Quiet, interval: float) -> bool:
        awaits_client = connection.awaits_client()
        timeout = WRITE_STALL_TIMEOUT_MS if awaits_client else self._quiet_timeout
        has_stalled_now = timeout <= quiet.duration < timeout + interval
        if has_stalled_now:
            connection.fail_requests()
        if quiet.duration >= timeout + (0.0 if awaits_client else FAIL_TIMEOUT_MS):
            connection.abort()
        return has_stalled_now
