"""Fake sockets, and test harnesses for client and server actors that need no network and no waiting."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable
from typing import Any

from starlingthread.core.messages import Attempt, PendingRequest
from starlingthread.core.task_supervisor import TaskSupervisor
from starlingthread.net import meta
from starlingthread.net.clients import ClientConnectionActor, ClientListener
from starlingthread.net.upstreams import ServerFleet, messages
from starlingthread.net.upstreams.actor import ServerActor
from starlingthread.net.upstreams.connection import Connection

from .balancer_driver import THROUGH
from .router_harness import RouterHarness


class FakeTransport:
    """A fake asyncio transport that records its state and the bytes sent."""

    def __init__(self) -> None:
        self.sent = bytearray()
        self.closed = self.paused = False
        self.unsent = 0

    def is_closing(self) -> bool:
        return self.closed

    def get_write_buffer_size(self) -> int:
        return self.unsent

    def abort(self) -> None:
        self.closed = True

    def get_protocol(self) -> None:
        return None

    def is_reading(self) -> bool:
        return not self.closed and not self.paused

    def set_write_buffer_limits(self, high: int) -> None:
        pass

    def pause_reading(self) -> None:
        self.paused = True

    def resume_reading(self) -> None:
        self.paused = False


class FakeWriter:
    """A fake asyncio.StreamWriter."""

    def __init__(self) -> None:
        self.transport = FakeTransport()
        self.local_socket, self.remote_socket = socket.socketpair()  # For unread bytes in the receive buffer.
        self.on_eof: Callable[[], None] = lambda: None  # Called when the end of file is sent to the peer.

    def get_extra_info(self, name: str) -> socket.socket:
        return self.local_socket

    def writelines(self, parts: tuple[bytes, ...]) -> None:
        assert not self.transport.closed
        self.transport.sent += b"".join(parts)

    async def drain(self) -> None:
        while self.transport.unsent and not self.transport.closed:
            await asyncio.sleep(0)

    def write_eof(self) -> None:
        self.on_eof()

    def close(self) -> None:
        self.transport.closed = True
        self.local_socket.close()
        self.remote_socket.close()


async def settle() -> None:
    """Run the event loop for some iterations, which is enough for all tasks to wait."""
    for _ in range(12):
        await asyncio.sleep(0)


class ClientHarness:
    """A client connection to a listener whose router does not run; tests answer the requests in its place."""

    def __init__(self) -> None:
        harness = RouterHarness()
        self.router, self.supervisor = harness.router, TaskSupervisor()
        self.listener = ClientListener(
            THROUGH, self.router, self.supervisor, 10, 8, 1 << 20, lambda: harness.router.has_endpoints
        )
        self.reader, self.writer = asyncio.StreamReader(), FakeWriter()
        self.writer.on_eof = self.reader.feed_eof  # The peer closes its side in response.
        self.actor = ClientConnectionActor(
            self.listener,
            self.reader,
            self.writer,  # type: ignore[arg-type]
            self.listener.connections.discard,
        )
        self.listener.connections.add(self.actor)
        self.supervisor.start(self.actor.run(), "client", lambda _: None)

    async def settle(self) -> list[Any]:
        """Run all tasks until they wait; return the messages to the router."""
        await settle()
        return list(self.router.mailbox.take())


def run_client_script(script: Callable[[ClientHarness], Any]) -> bytes:
    """Run a script with a client actor; return the bytes that were written to the client."""

    async def run() -> bytes:
        harness = ClientHarness()
        await script(harness)
        await harness.settle()
        await harness.supervisor.stop()
        assert harness.listener.buffers.used == 0
        return bytes(harness.writer.transport.sent)

    return asyncio.run(run())


READS = b"mg a v O1 Pc=read,d=500\r\nmg b v O2 Pc=read,d=500\r\nmn\r\n"


class ServerActorHarness:
    """A server actor with one idle connection in its pool, to which tests pass each message."""

    def __init__(self) -> None:
        with contextlib.suppress(RuntimeError):  # Streams need an event loop, even one that does not run.
            asyncio.set_event_loop(asyncio.new_event_loop())
        self.router_harness = RouterHarness()
        self.fleet = ServerFleet(THROUGH, self.router_harness.router, TaskSupervisor(), 10, 15000.0)
        self.actor = ServerActor(self.fleet.context, 1, ("127.0.0.1", 1))
        self.reader, self.writer = asyncio.StreamReader(), FakeWriter()
        self.connection = Connection(self.reader, self.writer, self.actor.pool.address)  # type: ignore[arg-type]
        self.connection.idle_since = self.router_harness.clock.now()
        self.actor.pool.idle.append(self.connection)
        self.actor.pool.open_count = 1

    def attempt(self, text: bytes = b"mg a v O1 Pc=read,d=500\r\n") -> Attempt:
        (command,) = meta.CommandParser().feed(text)
        assert isinstance(command, meta.Command)
        now = self.router_harness.clock.now()
        request = PendingRequest(
            self.router_harness, THROUGH.classes[0], 7, now + 500.0, command, now, is_write=command.is_write
        )
        return Attempt(request, 0, 1, now, 0.0, now + 400.0)

    def deliver(self, message: messages.Message) -> list[Any]:
        self.actor.handle(message)
        return list(self.router_harness.router.mailbox.take())

    def receive(self, data: bytes) -> list[Any]:
        """Pass bytes to the connection's reader and its messages to the actor; return the messages to the router."""
        if not self.actor.reader.on_data(self.connection, data):
            self.actor.post(messages.ConnectionLost(self.connection))
        for message in self.actor.mailbox.take():
            self.actor.handle(message)
        return list(self.router_harness.router.mailbox.take())


ANSWER = b"VA 1 O1 h1\r\nx\r\n"


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])
