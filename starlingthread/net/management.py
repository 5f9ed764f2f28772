"""Where operators call: a small HTTP/1.1 front that h11 parses, one call to a connection.

It has descriptors of its own and never waits for clients. Whoever holds a connection without a whole call loses it when
another caller needs the place, and after a time in any case.
"""

from __future__ import annotations

import asyncio
import socket
from http import HTTPStatus
from typing import NamedTuple, Protocol
from urllib.parse import parse_qsl, urlsplit

import h11
import msgspec

from ..core.clock import Clock
from ..core.counters import Counters
from ..core.deadlines import Deadlines
from ..core.watcher import Watcher

READ = 4096  # bytes read at once
MAX_HEAD = 8192  # bytes of a call's head
MAX_BODY = 65536  # bytes of a body, which no call needs: it is read and dropped
WHOLE = 6000.0  # ms in which a call must be whole
GO = 500.0  # ms in which the answer must have left
LINGER = 200.0  # ms for which we read on behind a refusal, so that a caller still sending hears it
BACKLOG = 128
MEMBER = "member"


class Reply(NamedTuple):
    """A status and what is told with it."""

    status: HTTPStatus
    body: object


class RouterControl(Protocol):
    """What calls are carried out by."""

    def ready(self) -> bool:
        """Tell whether this process is ready to serve."""

    def snapshot(self) -> dict[str, object]:
        """Return the figures."""

    def exclude(self, name: str) -> bool:
        """Leave a cache server out; False if there is none of that id."""

    def include(self, name: str) -> bool:
        """Let a cache server serve again; False if there is none of that id."""


def reply(desk: RouterControl, method: str, target: str) -> Reply:
    """Carry out one call."""
    parts = urlsplit(target)
    path = parts.path
    methods = {"/api/ready": "GET", "/api/telemetry": "GET", "/api/exclude": "POST", "/api/include": "POST"}
    if path not in methods:
        return _no(HTTPStatus.NOT_FOUND, "no such path")
    if method != methods[path]:
        return _no(HTTPStatus.METHOD_NOT_ALLOWED, f"{methods[path]} only")
    if path == "/api/ready":
        yes = desk.ready()
        return Reply(HTTPStatus.OK if yes else HTTPStatus.SERVICE_UNAVAILABLE, {"ready": yes})
    if path == "/api/telemetry":
        return Reply(HTTPStatus.OK, desk.snapshot())
    named = [value for name, value in parse_qsl(parts.query, keep_blank_values=True) if name == MEMBER]
    if len(named) != 1 or not named[0]:
        return _no(HTTPStatus.BAD_REQUEST, "one member is needed")
    done = desk.exclude(named[0]) if path == "/api/exclude" else desk.include(named[0])
    if not done:
        return _no(HTTPStatus.NOT_FOUND, "no such member")
    return Reply(HTTPStatus.OK, {MEMBER: named[0], "excluded": path == "/api/exclude"})


def _no(status: HTTPStatus, why: str) -> Reply:
    return Reply(status, {"error": why})


class Call:
    """One caller's connection."""

    def __init__(self, management: Management, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.management, self.reader, self.writer = management, reader, writer
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD)
        self.since = management.clock.now()
        self.answered = False

    async def run(self) -> None:
        """Read one call, answer it, close."""
        limit = self.management.deadlines.set(self.since + WHOLE, self.cut)
        try:
            said = await self._listen()
            if said is not None:
                await self._say(said)
        except OSError:
            self.management.counters.increment("management.reset")
        finally:
            self.management.deadlines.clear(limit)
            self.management.calls.pop(self, None)
            self.writer.transport.abort()  # what was written has been flushed, or was given up

    async def _listen(self) -> Reply | None:
        """Return what a whole call is answered, or what is no call; None if the caller left."""
        asked: h11.Request | None = None
        body = 0
        try:
            while True:
                event = self.http.next_event()
                if event is h11.NEED_DATA:
                    data = await self.reader.read(READ)
                    if not data and asked is None:
                        return None
                    self.http.receive_data(data)
                elif isinstance(event, h11.Request):
                    asked = event
                elif isinstance(event, h11.Data):
                    body += len(event.data)
                    if body > MAX_BODY:
                        return _no(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "no call has a body")
                elif isinstance(event, h11.EndOfMessage):
                    assert asked is not None
                    return reply(self.management.desk, asked.method.decode("ascii"), asked.target.decode("ascii"))
                else:
                    return None
        except h11.RemoteProtocolError as error:
            return _no(HTTPStatus(error.error_status_hint), "not understood")
        except ValueError:
            return _no(HTTPStatus.BAD_REQUEST, "not understood")

    async def _say(self, said: Reply) -> None:
        self.answered = True
        counters = self.management.counters
        counters.increment("management.yes" if said.status < HTTPStatus.BAD_REQUEST else "management.no")
        body = msgspec.json.encode(said.body) + b"\n"
        head = (
            f"HTTP/1.1 {int(said.status)} {said.status.phrase}\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        self.writer.write(head.encode("ascii") + body)
        limit = self.management.deadlines.set(self.management.clock.now() + GO, self.cut)
        try:
            await self.writer.drain()
            self.writer.write_eof()
            # A close with bytes unread is a reset, which may overtake the answer.
            async with asyncio.timeout(LINGER / 1000.0):
                while await self.reader.read(READ):
                    pass
        except (TimeoutError, OSError):
            pass
        finally:
            self.management.deadlines.clear(limit)

    def cut(self) -> None:
        """Close at once."""
        self.management.counters.increment("management.cut")
        self.writer.transport.abort()


class Management:
    """Listens for callers and owns their connections."""

    def __init__(
        self, desk: RouterControl, watcher: Watcher, clock: Clock, counters: Counters, deadlines: Deadlines, most: int
    ) -> None:
        self.desk, self.watcher, self.clock, self.counters = desk, watcher, clock, counters
        self.deadlines, self.max_connections = deadlines, most
        self.calls: dict[Call, None] = {}  # in the order in which they came
        self._server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> None:
        """Begin to accept."""
        listening = socket.create_server((host, port), backlog=BACKLOG)
        self._server = await asyncio.start_server(self.accept, sock=listening, limit=READ, backlog=self.max_connections)
        listening.listen(BACKLOG)

    def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Take in a caller; when places are out, the one who has held his longest without a call goes."""
        if len(self.calls) >= self.max_connections:
            self.counters.increment("management.crowded")
            oldest = min(self.calls, key=lambda call: call.answered)  # the first of those not answered yet
            del self.calls[oldest]
            oldest.cut()
        call = Call(self, reader, writer)
        self.calls[call] = None
        self.watcher.start(call.run(), "management-call", lambda _: writer.transport.abort())

    def close(self) -> None:
        """Accept no more and close what is open."""
        if self._server is not None:
            self._server.close()
        for call in list(self.calls):
            call.writer.transport.abort()
