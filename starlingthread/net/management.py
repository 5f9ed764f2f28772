"""The management interface for operators: a small HTTP/1.1 server based on h11, with one request per connection.

It has reserved file descriptors and never waits for clients. A connection without a complete request is closed when a
new connection exceeds the limit, and after :data:`REQUEST_TIMEOUT_MS` in any case.
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
from ..core.task_supervisor import TaskSupervisor
from .streams import StreamProtocol

READ_BYTES = 4096
MAX_HEAD_BYTES = 8192
MAX_BODY_BYTES = 65536  # the body of a request is read and ignored
REQUEST_TIMEOUT_MS = 6000.0  # time limit from accepting a connection to the end of its request
RESPONSE_TIMEOUT_MS = 500.0  # time limit for sending the response
# After the response, input is read and discarded for up to this long, so that a caller that is still sending receives
# the response before the connection is reset.
LINGER_TIMEOUT_MS = 200.0
BACKLOG = 128

READY_PATH = "/api/ready"
TELEMETRY_PATH = "/api/telemetry"
EXCLUDE_PATH = "/api/exclude"
INCLUDE_PATH = "/api/include"
METHOD_BY_PATH = {READY_PATH: "GET", TELEMETRY_PATH: "GET", EXCLUDE_PATH: "POST", INCLUDE_PATH: "POST"}
MEMBER_PARAMETER = "member"  # the query parameter that names a cache server


class Response(NamedTuple):
    """A response: its status, and its body before the encoding as JSON."""

    status: HTTPStatus
    body: object


class RouterControl(Protocol):
    """The operations on a router that operators can request."""

    def ready(self) -> bool:
        """Return whether this process is ready to serve."""

    def snapshot(self) -> dict[str, object]:
        """Return the telemetry report."""

    def exclude(self, name: str) -> bool:
        """Put a cache server in maintenance; return False if the name is unknown."""

    def include(self, name: str) -> bool:
        """End a cache server's maintenance; return False if the name is unknown."""


def handle_request(control: RouterControl, method: str, target: str) -> Response:
    """Perform one request and return the response."""
    url = urlsplit(target)
    path = url.path
    if path not in METHOD_BY_PATH:
        return _error(HTTPStatus.NOT_FOUND, "no such path")
    if method != METHOD_BY_PATH[path]:
        return _error(HTTPStatus.METHOD_NOT_ALLOWED, f"{METHOD_BY_PATH[path]} only")
    if path == READY_PATH:
        is_ready = control.ready()
        return Response(HTTPStatus.OK if is_ready else HTTPStatus.SERVICE_UNAVAILABLE, {"ready": is_ready})
    if path == TELEMETRY_PATH:
        return Response(HTTPStatus.OK, control.snapshot())
    return _set_maintenance(control, url.query, excluded=path == EXCLUDE_PATH)


def _set_maintenance(control: RouterControl, query: str, excluded: bool) -> Response:
    names = [value for name, value in parse_qsl(query, keep_blank_values=True) if name == MEMBER_PARAMETER]
    if len(names) != 1 or not names[0]:
        return _error(HTTPStatus.BAD_REQUEST, "one member is needed")
    is_known = control.exclude(names[0]) if excluded else control.include(names[0])
    if not is_known:
        return _error(HTTPStatus.NOT_FOUND, "no such member")
    return Response(HTTPStatus.OK, {MEMBER_PARAMETER: names[0], "excluded": excluded})


def _error(status: HTTPStatus, reason: str) -> Response:
    return Response(status, {"error": reason})


def _encode(response: Response) -> bytes:
    body = msgspec.json.encode(response.body) + b"\n"
    head = (
        f"HTTP/1.1 {int(response.status)} {response.status.phrase}\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    )
    return head.encode("ascii") + body


class ManagementConnection:
    """One connection from an operator, for one request."""

    def __init__(self, server: ManagementServer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.server = server
        self.reader = reader
        self.writer = writer
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.began_at = server.clock.now()
        self.is_answered = False

    async def run(self) -> None:
        """Read one request, respond and close."""
        deadline = self.server.deadlines.set(self.began_at + REQUEST_TIMEOUT_MS, self.abort)
        try:
            response = await self._read_request()
            if response is not None:
                await self._send(response)
        except OSError:
            self.server.counters.increment("management.reset")
        finally:
            self.server.deadlines.clear(deadline)
            self.server.connections.pop(self, None)
            self.writer.transport.abort()  # the response has been flushed, or has failed or timed out

    async def _read_request(self) -> Response | None:
        """Return the response to the request, valid or not; None if the caller closed the connection instead."""
        request: h11.Request | None = None
        body_bytes = 0
        try:
            while True:
                event = self.http.next_event()
                if event is h11.NEED_DATA:
                    data = await self.reader.read(READ_BYTES)
                    if not data and request is None:
                        return None
                    self.http.receive_data(data)
                elif isinstance(event, h11.Request):
                    request = event
                elif isinstance(event, h11.Data):
                    body_bytes += len(event.data)
                    if body_bytes > MAX_BODY_BYTES:
                        return _error(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "no call has a body")
                elif isinstance(event, h11.EndOfMessage):
                    assert request is not None
                    return self._handle(request)
                else:
                    return None
        except h11.RemoteProtocolError as error:
            return _error(HTTPStatus(error.error_status_hint), "not understood")
        except ValueError:
            return _error(HTTPStatus.BAD_REQUEST, "not understood")

    def _handle(self, request: h11.Request) -> Response:
        return handle_request(self.server.control, request.method.decode("ascii"), request.target.decode("ascii"))

    async def _send(self, response: Response) -> None:
        self.is_answered = True
        is_success = response.status < HTTPStatus.BAD_REQUEST
        self.server.counters.increment("management.succeeded" if is_success else "management.rejected")
        self.writer.write(_encode(response))
        deadline = self.server.deadlines.set(self.server.clock.now() + RESPONSE_TIMEOUT_MS, self.abort)
        try:
            await self.writer.drain()
            self.writer.write_eof()
            # Closing a socket with unread bytes sends a reset, which may arrive at the caller before the response.
            async with asyncio.timeout(LINGER_TIMEOUT_MS / 1000.0):
                while await self.reader.read(READ_BYTES):
                    pass
        except (TimeoutError, OSError):
            pass
        finally:
            self.server.deadlines.clear(deadline)

    def abort(self) -> None:
        """Close the connection at once, without flushing, and count it as aborted."""
        self.server.counters.increment("management.aborted")
        self.writer.transport.abort()


class ManagementServer:
    """Accepts and owns the connections from operators."""

    def __init__(
        self,
        control: RouterControl,
        supervisor: TaskSupervisor,
        clock: Clock,
        counters: Counters,
        deadlines: Deadlines,
        max_connections: int,
    ) -> None:
        self.control = control
        self.supervisor = supervisor
        self.clock = clock
        self.counters = counters
        self.deadlines = deadlines
        self.max_connections = max_connections
        self.connections: dict[ManagementConnection, None] = {}  # keys in the order of acceptance
        self._server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> None:
        """Bind the address and accept connections. Raise an OSError if the address can't be bound."""
        listening_socket = socket.create_server((host, port), backlog=BACKLOG)
        self._server = await asyncio.get_running_loop().create_server(
            lambda: StreamProtocol(asyncio.StreamReader(limit=READ_BYTES), self.accept),
            sock=listening_socket,
            backlog=self.max_connections,
        )
        listening_socket.listen(BACKLOG)

    def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Accept a connection; at the limit, evict the oldest one that has no response yet, or else the oldest."""
        if len(self.connections) >= self.max_connections:
            self.counters.increment("management.evicted")
            oldest = min(self.connections, key=lambda connection: connection.is_answered)
            del self.connections[oldest]
            oldest.abort()
        connection = ManagementConnection(self, reader, writer)
        self.connections[connection] = None
        self.supervisor.start(connection.run(), "management-call", lambda _: writer.transport.abort())

    def close(self) -> None:
        """Stop accepting and close all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.writer.transport.abort()
