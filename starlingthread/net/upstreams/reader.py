"""What comes on the connections of one cache server: answers, values in pieces, and what belongs to nothing."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from ...core.pipe import Pipe
from .. import meta
from .connection import Connection
from .messages import Answered, Broken, Delivered, Message, Stalled
from .opening import READ

if TYPE_CHECKING:
    from .fleet import ServerFleet

STALL = 100.0  # ms for which a part of an answer may wait for the rest of it; it is looked at twice
PIECES_STALL = 10000.0  # ms for which a value in pieces may stand still while we would read it


class Reader:
    """Reads connections and tells the actor what has come."""

    def __init__(self, fleet: ServerFleet, tell: Callable[[Message], None]) -> None:
        self.fleet, self.tell = fleet, tell

    async def run(self, connection: Connection) -> None:
        """Read a connection until it ends, busy or idle: so an idle one's end is seen at once."""
        try:
            while data := await connection.reader.read(READ):
                if not self.heard(connection, data):
                    break
                if connection.pipe is not None and not await self.until_not_full(connection, connection.pipe):
                    break
        except OSError:
            pass
        self.tell(Broken(connection))

    async def until_not_full(self, connection: Connection, pipe: Pipe) -> bool:
        """Wait until more of a value may be read; False if nobody takes it any more."""
        if pipe.is_full():
            self.fleet.deadlines.clear(connection.stall)
            connection.stall = None
            await pipe.until_not_full()
            self.await_rest(connection, connection.parser.has_partial_input(), sure=False)
        return not pipe.abandoned

    def heard(self, connection: Connection, data: bytes) -> bool:
        """Take in what has come; False once nothing more on this connection can be believed.

        Guards against a second copy, noise or a stray line behind an answer: the answer stands, and the
        connection is not used again, so that what follows can't pass for the answer to the next request.
        """
        for item in connection.parser.feed(data):
            if not connection.owed:
                connection.spoilt = True
                break
            if isinstance(item, meta.ValueChunk):
                self._part(connection, item)
                continue
            # Of STAT the END is still to come, and of a value in pieces the pieces.
            connection.owed = item.kind == meta.AnswerKind.STAT or item.is_chunked
            if connection.pipe is not None:
                # What came instead of the value's end is no answer: the value has broken off.
                connection.spoilt = True
                connection.pipe.finish(False)
                break
            connection.pipe = Pipe(self.fleet.budget) if item.is_chunked else None
            self.tell(Answered(connection, item, connection.pipe))
        midway = connection.parser.has_partial_input()
        if midway and not connection.owed:
            connection.spoilt = True
        if connection.spoilt:
            self.fleet.counters.increment("servers.stray_answers")
            return False
        if midway or connection.stall is not None:
            self.await_rest(connection, midway, sure=False)
        return True

    def _part(self, connection: Connection, part: meta.ValueChunk) -> None:
        """Take in a piece of a value."""
        assert connection.pipe is not None
        connection.pipe.put(part.data)
        if part.last:
            connection.owed = False
            connection.pipe.finish(True)
            connection.pipe = None
            self.tell(Delivered(connection))

    def await_rest(self, connection: Connection, midway: bool, sure: bool) -> None:
        """Give the rest of a part of an answer its time; no part, none."""
        self.fleet.deadlines.clear(connection.stall)
        connection.stall = None
        if midway and not connection.closed:
            due = self.fleet.clock.now() + (STALL if connection.pipe is None else PIECES_STALL) / 2
            connection.stall = self.fleet.deadlines.set(due, lambda: self.tell(Stalled(connection, sure, due)))
