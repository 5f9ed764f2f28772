"""The connection pool of one cache server: it alone lends, takes back and closes connections."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .connection import Connection, Job

if TYPE_CHECKING:
    from .fleet import ServerFleet

RISK_LIFE, RISK_GAIN = 10000.0, 0.1  # ms in which a seen risk halves; weight of one request
RISK_READ, RISK_WRITE = 0.15, 0.05  # beyond a new connection's: past that none that idle is used for it
REST = 3.0  # ms for which a connection rests before it is used again, if another one is at hand


class IdleRisk:
    """How often connections broke under a request, by how long they had been idle before.

    Guards against servers, or what lies between, that drop idle connections long before the limit in the
    settings and without a word: the next request on such a connection is lost, and may have run.
    """

    def __init__(self) -> None:
        self._shares = [0.0] * 18  # by the number of bits of the ms; the first is for new connections
        self._at = [0.0] * 18

    def _place(self, now: float, idle: float | None) -> int:
        place = 0 if idle is None else min(17, 1 + int(idle).bit_length())
        self._shares[place] *= 0.5 ** ((now - self._at[place]) / RISK_LIFE)  # so that it is tried again
        self._at[place] = now
        return place

    def note(self, now: float, idle: float | None, broke: bool) -> None:
        """Take in what became of a request."""
        place = self._place(now, idle)
        self._shares[place] += (broke - self._shares[place]) * RISK_GAIN

    def beyond_new(self, now: float, idle: float) -> float:
        """Return how much more often it breaks than a new connection does, as a share of requests."""
        return self._shares[self._place(now, idle)] - self._shares[self._place(now, None)]


class Pool:
    """The open connections to one server: idle, busy with a job, or delivering a value."""

    def __init__(self, fleet: ServerFleet, address: tuple[str, int]) -> None:
        self.fleet, self.address = fleet, address
        self.idle: list[Connection] = []  # the one used last at the end
        self.busy: dict[Job, Connection] = {}
        self.delivering: set[Connection] = set()  # whose value is still coming in, though its attempt has ended
        self.open = 0  # connections open or being opened

    @property
    def in_use(self) -> bool:
        """Whether anything is still owed on one of them."""
        return bool(self.busy or self.delivering)

    def take(self, is_write: bool) -> Connection | None:
        """Take the connection used last, but one that has rested if there is one; None: open a new one.

        Guards against lines that come right behind an answer: they must not pass for the next one's answer.
        """
        now = self.fleet.clock.now()
        rested = now - REST
        while self.idle:
            at = len(self.idle) - 1
            while at and self.idle[at].idle_since > rested:
                at -= 1
            at = at if self.idle[at].idle_since <= rested else len(self.idle) - 1
            connection = self.idle[at]
            risk = self.fleet.risk.beyond_new(now, now - connection.idle_since)
            if connection.is_fresh(self.address) and risk < RISK_READ:
                if is_write and risk > RISK_WRITE:
                    return None  # one that may not run twice gets a new one
                return self.idle.pop(at)
            self.discard(connection)
        return None

    def lend(self, connection: Connection, job: Job) -> None:
        """Give it to a job, which is written on it now."""
        connection.busy, connection.owed = job, True
        connection.written_at = self.fleet.clock.now()
        self.busy[job] = connection

    def deliver(self, connection: Connection) -> None:
        """Its answer is here; what follows is the delivery of a value, after which it is kept."""
        self.delivering.add(connection)
        self._release(connection)

    def _release(self, connection: Connection) -> None:
        if connection.busy is not None:
            self.busy.pop(connection.busy, None)
            connection.busy = None

    def keep(self, connection: Connection) -> None:
        """The one place where a connection that is good goes back to the pool."""
        self._release(connection)
        self.delivering.discard(connection)
        if not connection.is_fresh(self.address):
            self.discard(connection)
            return
        connection.idle_since = self.fleet.clock.now()
        self.idle.append(connection)

    def discard(self, connection: Connection) -> None:
        """The one place where an open connection is closed; at once, so no rest of a request leaves."""
        if connection.closed:
            return
        connection.closed = True
        self.fleet.deadlines.clear(connection.stall)
        if connection.pipe is not None:
            connection.pipe.finish(False)
        if connection.body is not None:
            connection.body.abandon()
        self._release(connection)
        self.delivering.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)
        self.open -= 1
        self.fleet.counters.increment("connections.closed")
        connection.writer.transport.abort()

    def retire(self, idle: float) -> None:
        """Close what has been idle for so many ms."""
        before = self.fleet.clock.now() - idle
        for connection in [c for c in self.idle if c.idle_since <= before]:
            self.discard(connection)

    def close(self) -> None:
        """Close everything."""
        for connection in [*self.idle, *self.busy.values(), *self.delivering]:
            self.discard(connection)
