"""Two events that cross, on real sockets: who leaves, who closes, what is on its way just then."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import select
import signal
import socket
import subprocess
import sys
import threading
import tomllib
from pathlib import Path
from typing import Any

import pytest

from starlingthread.core.messages import AttemptEnded
from starlingthread.events import AttemptResult
from starlingthread.net.clients import limits
from starlingthread.net.clients.limits import MAX_PIPELINED
from starlingthread.net.upstreams import messages
from starlingthread.router_process import shutdown

from .peers import CLASSES, LIMIT, Peer, RouterHarness, free_port, running_router, step, until


def read(number: int, key: str = "k", wait: float = 5000.0) -> bytes:
    """Return a command that reads."""
    return b"mg %b%d v O%d Pc=read,d=%d\r\n" % (key.encode(), number, number, wait)


def value(number: int) -> bytes:
    """Return a cache server's answer to it."""
    return b"VA 1 O%d h1\r\nx\r\n" % number


async def asked(now: RouterHarness, number: int = 1) -> tuple[Peer, Peer]:
    """Have a client ask, and the request reach the cache server; return both ends."""
    client = await now.client()
    await client.send(read(number))
    server = await now.server.accept()
    await server.until(b"\r\n")
    return client, server


# a client leaves


@pytest.mark.parametrize("how", ["close", "reset", "half_close"])
def test_a_client_that_leaves_while_its_connection_is_not_read_is_seen(tmp_path: Path, how: str) -> None:
    """Its commands wait for room, so nobody reads on: what it asked was sent on, and again when it failed."""

    async def play() -> None:
        async with running_router(tmp_path) as now:
            client = await now.client()
            await client.send(b"".join(read(n) for n in range(MAX_PIPELINED + 4)))
            await until(lambda: now.counters["attempts.started"] == MAX_PIPELINED)
            getattr(client, how)()
            await until(lambda: now.counters["requests.withdrawn"] == MAX_PIPELINED)
            await step()
            assert now.counters["attempts.started"] == MAX_PIPELINED and not now.router.requests

    asyncio.run(play())


@pytest.mark.parametrize("how", ["close", "reset"])
def test_a_client_that_sends_more_than_is_read_and_goes_is_seen(tmp_path: Path, how: str) -> None:
    """Its end of file lies behind bytes that nobody reads, so only the system can tell of it."""

    async def play() -> None:
        async with running_router(tmp_path) as now:
            client = await now.client()
            client.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 20)
            await client.send(b"".join(read(n) for n in range(5000)))
            transport: Any = now.actor_of(client).writer.transport
            await until(lambda: not transport.is_reading())
            getattr(client, how)()
            await step()
            now.router.clock._base += limits.DISCONNECT_CHECK_INTERVAL_MS
            now.router.mailbox.wake()
            await until(lambda: now.counters["requests.withdrawn"] == MAX_PIPELINED)
            await until(lambda: not now.program.actors.clients.connections)
            assert now.counters["attempts.started"] == MAX_PIPELINED and not now.router.requests

    asyncio.run(play())


def test_a_client_that_leaves_while_its_answer_waits_for_it_to_read_is_seen(tmp_path: Path) -> None:
    """The writer waited up to 10 s for it to read on, and its other requests went out meanwhile."""

    async def play() -> None:
        async with running_router(tmp_path) as now:
            client = await now.client(buffer=4096)
            (actor,) = now.program.actors.clients.connections
            actor.writer.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            actor.writer.transport.set_write_buffer_limits(0)
            await client.send(read(1) + read(2))
            first = await now.server.accept()
            second = await now.server.accept()
            said = {await peer.until(b"\r\n"): peer for peer in (first, second)}
            (one,) = (peer for line, peer in said.items() if b" O1 " in line)
            await one.send(b"VA 60000 O1 h1\r\n" + b"x" * 60000 + b"\r\n")
            await until(
                lambda: (
                    actor.writer.transport.get_write_buffer_size() > limits.MAX_UNSENT_BYTES
                    and now.counters["attempts.ok"] == 1
                )
            )
            await step()
            client.half_close()  # it reads nothing, so the writer goes on waiting
            await until(lambda: now.counters["requests.withdrawn"] == 1)
            assert not now.router.requests and actor in now.program.actors.clients.connections

    asyncio.run(play())


def test_nothing_is_begun_for_a_client_whose_withdrawal_is_still_in_the_mailbox(tmp_path: Path) -> None:
    """A failure that was told before it had the module try again; the message that the client left came behind."""

    async def play() -> None:
        async with running_router(tmp_path, 2) as now:
            client, _ = await asked_any(now)
            (request,) = now.router.requests.values()
            (attempt,) = now.router.attempts[request.id]
            (actor,) = now.program.actors.clients.connections
            now.router.mailbox.must_put(AttemptEnded(attempt, AttemptResult.RESET))
            actor.on_disconnect()
            began = now.counters["attempts.started"]
            now.router.turn()
            await until(lambda: not now.router.requests)
            assert now.counters["attempts.started"] == began
            client.close()

    asyncio.run(play())


async def asked_any(now: RouterHarness) -> tuple[Peer, Peer]:
    """Have a client ask; return its end, and that of whichever cache server was asked."""
    client = await now.client()
    await client.send(read(1))
    await until(lambda: any(actor.pool.busy for actor in now.program.actors.fleet.actors.values()))
    actor = next(actor for actor in now.program.actors.fleet.actors.values() if actor.pool.busy)
    (listener,) = (s for s in now.servers if s.port == actor.pool.address[1])
    server = await listener.accept()
    await server.until(b"\r\n")
    return client, server


def test_nothing_is_written_on_a_connection_that_comes_up_after_the_client_left(tmp_path: Path) -> None:
    async def play() -> None:
        async with running_router(tmp_path) as now:
            held: list[messages.Opened] = []
            (server,) = now.program.actors.fleet.actors.values()
            tell = server.tell

            def hold(message: Any) -> None:
                held.append(message) if isinstance(message, messages.Opened) else tell(message)

            server.opening.tell = hold
            client = await now.client()
            await client.send(read(1))
            await until(lambda: bool(held))
            (actor,) = now.program.actors.clients.connections
            request = next(iter(actor.requests.slots_by_request))
            request.cancelled = True  # the client has left; the router has not taken that in
            tell(held[0])
            await until(lambda: now.counters["attempts.not_sent"] == 1)
            peer = await now.server.accept()
            await step()
            with pytest.raises(BlockingIOError):
                peer.socket.recv(100)
            client.close()

    asyncio.run(play())


def test_a_command_that_its_client_left_behind_is_not_begun(tmp_path: Path) -> None:
    async def play() -> None:
        async with running_router(tmp_path) as now:
            client = await now.client()
            (actor,) = now.program.actors.clients.connections
            actor.on_disconnect()
            await client.send(read(1))
            await until(lambda: not now.program.actors.clients.connections)
            await step()
            assert now.counters["attempts.started"] == 0 and not now.router.requests

    asyncio.run(play())


# we close


def test_small_answers_leave_at_once(tmp_path: Path) -> None:
    """What the system holds back is lost with a reset; of accepted sockets asyncio does not see that they are TCP."""

    async def play() -> None:
        async with running_router(tmp_path) as now:
            socket_of_ours = now.actor_of(await now.client()).writer.get_extra_info("socket")
            assert socket_of_ours.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
            await asked(now)
            (actor,) = now.program.actors.fleet.actors.values()
            (connection,) = actor.pool.busy.values()
            to_server = connection.writer.get_extra_info("socket")
            assert to_server.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)

    asyncio.run(play())


def test_the_last_answer_arrives_though_more_lies_unread_behind_its_command(tmp_path: Path) -> None:
    """A close over unread bytes is a reset, and takes what the client has not read yet with it."""

    async def play() -> None:
        async with running_router(tmp_path) as now:
            client = await now.client()
            await client.send(b"mn\r\nms k nine O1\r\n" + b"x" * 60000)
            actor = now.actor_of(client)
            await until(lambda: actor.state.lingering)
            await client.send(b"x" * 60000)
            assert await client.rest() == b"MN\r\nCLIENT_ERROR bad data length\r\n"
            client.half_close()
            await until(lambda: not now.program.actors.clients.connections)

    asyncio.run(play())


async def resting(now: RouterHarness) -> Peer:
    """Return a client that has had an answer and rests."""
    client = await now.client()
    await client.send(b"mn\r\n")
    assert await client.until(b"\r\n") == b"MN\r\n"
    return client


def test_a_request_that_crosses_our_end_of_file_is_not_begun_and_not_answered_by_a_reset(tmp_path: Path) -> None:
    """Its client sends it again elsewhere: sent on as well, it would run twice, and its answer be lost."""

    async def play() -> None:
        async with running_router(tmp_path) as now:
            client = await resting(now)
            now.actor_of(client).close_when_idle()
            assert await client.receive() == b""  # our end of file
            await client.send(read(1))
            await step()
            assert now.counters["requests.taken"] == 0 and len(now.program.actors.clients.connections) == 1
            client.half_close()
            await until(lambda: not now.program.actors.clients.connections)
            assert await client.receive() == b"" and now.counters["attempts.started"] == 0

    asyncio.run(play())


def test_a_client_that_never_closes_in_turn_is_let_go(tmp_path: Path) -> None:
    async def play() -> None:
        async with running_router(tmp_path) as now:
            client = await resting(now)
            now.actor_of(client).close_when_idle()
            assert await client.receive() == b""
            await step()
            assert now.program.actors.clients.connections
            now.router.clock._base += limits.LINGER_TIMEOUT_MS
            now.router.mailbox.wake()
            await until(lambda: not now.program.actors.clients.connections)

    asyncio.run(play())


def exceptions() -> list[dict[str, Any]]:
    """Return what callbacks of this loop raise from now on, which nobody else takes."""
    raised: list[dict[str, Any]] = []
    asyncio.get_running_loop().set_exception_handler(lambda _, context: raised.append(context))
    return raised


async def closing_with_bytes_unsent(now: RouterHarness) -> tuple[Peer, Any]:
    """Have a client be closed behind an answer that it has not read; return it, and the router's transport to it."""
    client = await now.client(buffer=4096)
    actor = now.actor_of(client)
    actor.writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    await client.send(read(1))
    server = await now.server.accept()
    await server.until(b"\r\n")
    await server.send(b"VA 60000 O1 h1\r\n" + b"x" * 60000 + b"\r\n")
    await until(lambda: now.counters["attempts.ok"] == 1 and not actor.responses.slots)
    assert actor.writer.transport.get_write_buffer_size()
    actor.close_when_idle()
    await step()
    return client, actor.writer.transport


@pytest.mark.parametrize("how", ["reset", "close"])
def test_a_client_that_breaks_off_while_its_last_answer_goes_out_raises_nothing(tmp_path: Path, how: str) -> None:
    """Our end of file waits behind what is unsent; it was sent from a callback then, which may fail."""

    async def play() -> None:
        raised = exceptions()
        async with running_router(tmp_path) as now:
            client, _ = await closing_with_bytes_unsent(now)
            await client.receive()
            getattr(client, how)()
            await until(lambda: not now.program.actors.clients.connections)
            await step()
        assert not raised

    asyncio.run(play())


class BreaksOff:
    """Stands before a socket: its other side resets in the moment in which the last byte has gone out."""

    def __init__(self, sock: Any, client: Peer) -> None:
        self.socket, self.client = sock, client

    def __getattr__(self, name: str) -> Any:
        return getattr(self.socket, name)

    def send(self, data: bytes) -> int:
        sent = int(self.socket.send(data))
        if sent == len(data):
            self.client.reset()
            ended = select.poll()
            ended.register(self.socket.fileno(), select.POLLHUP)
            assert ended.poll(LIMIT * 1000.0)
        return sent


def test_a_reset_between_the_last_byte_and_our_end_of_file_raises_nothing(tmp_path: Path) -> None:
    async def play() -> None:
        raised = exceptions()
        async with running_router(tmp_path) as now:
            client, transport = await closing_with_bytes_unsent(now)
            transport._sock = BreaksOff(transport._sock, client)
            while client.socket.fileno() >= 0:
                with contextlib.suppress(BlockingIOError):
                    client.socket.recv(65536)
                await step()
            await until(lambda: not now.program.actors.clients.connections)
            await step()
        assert not raised

    asyncio.run(play())


def test_who_is_closed_for_the_descriptor_is_told_in_the_step_in_which_nothing_lay_unread(tmp_path: Path) -> None:
    """What came between that step and the close of the socket, a turn later, was lost with no end of file before."""

    async def play() -> None:
        async with running_router(tmp_path) as now:
            client = await resting(now)
            actor, told = now.actor_of(client), []
            close = actor.writer.close

            def closes() -> None:
                ended = select.poll()
                ended.register(client.socket, select.POLLRDHUP)
                told.append(bool(ended.poll(0)))
                close()

            actor.writer.close = closes  # type: ignore[method-assign]
            actor.evict()
            await until(lambda: bool(told))
            assert told == [True]

    asyncio.run(play())


def test_who_lingers_makes_room_before_anybody_else(tmp_path: Path) -> None:
    async def play() -> None:
        async with running_router(tmp_path) as now:
            first, other = await resting(now), await resting(now)
            now.actor_of(first).close_when_idle()
            assert await first.receive() == b""
            now.program.actors.clients.max_clients = 2
            await now.client()
            await until(lambda: now.find_actor(first) is None)
            assert now.find_actor(other) is not None

    asyncio.run(play())


# a process ends


def test_connections_that_wait_when_the_listening_socket_closes_are_served(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """They are reset with it, and so were those that were taken but had not become connections yet."""
    monkeypatch.setattr(shutdown, "ACCEPT_AFTER_STOP_S", 0.0)

    async def play() -> None:
        async with running_router(tmp_path) as now:
            now.program.stop_requested.set()
            peers = []
            for number in range(60):  # in one step of the loop: nobody accepts meanwhile
                sock = socket.create_connection(("127.0.0.1", now.port))
                sock.sendall(read(number))
                peers.append(Peer(sock))
            now.clients += peers
            for _ in peers:
                server = await now.server.accept()
                line = await server.until(b"\r\n")
                await server.send(value(int(line.split(b" O")[1].split()[0])))
            assert [await peer.until(b"x\r\n") for peer in peers] == [
                b"VA 1 O%d\r\nx\r\n" % number for number in range(60)
            ]

    asyncio.run(play())


def test_what_comes_late_on_a_connection_that_owes_something_is_answered_before_the_process_must_be_gone(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(shutdown, "ACCEPT_AFTER_STOP_S", 0.0)

    async def play() -> None:
        async with running_router(tmp_path) as now:
            client, _ = await asked(now)
            now.program.stop_requested.set()
            await until(lambda: now.program.actors.clients._server is None)
            await client.send(read(2))
            late = await now.server.accept()
            wait = float((await late.until(b"\r\n")).split(b"d=")[1])
            assert 3000.0 < wait < shutdown.MAX_DEADLINE_MS + shutdown.EXTRA_LIFETIME_MS

    asyncio.run(play())


def test_what_nobody_answers_before_the_process_ends_is_answered_as_failed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(shutdown, "ACCEPT_AFTER_STOP_S", 0.0)
    monkeypatch.setattr(shutdown, "DRAIN_TIMEOUT_S", 0.05)

    async def play() -> None:
        async with running_router(tmp_path) as now:
            client, _ = await asked(now)
            classes = tuple(cls._replace(deadline=1.0) for cls in now.router.settings.classes)
            now.router.settings = now.router.settings._replace(classes=classes)
            now.program.stop_requested.set()
            assert await client.rest() == b"SERVER_ERROR failed\r\n"

    asyncio.run(play())


def test_the_longest_deadline_is_waited_for(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """A class may have a longer one than a process usually takes to end."""
    monkeypatch.setattr(shutdown, "ACCEPT_AFTER_STOP_S", 0.0)
    monkeypatch.setattr(shutdown, "DRAIN_TIMEOUT_S", 0.0)

    async def play() -> None:
        async with running_router(tmp_path) as now:
            client, server = await asked(now)
            now.program.stop_requested.set()
            await until(lambda: now.program.actors.clients._server is None)
            await step(200)
            await server.send(value(1))
            assert await client.rest() == b"VA 1 O1\r\nx\r\n"

    asyncio.run(play())


# retries


def test_a_repeat_whose_connection_comes_up_after_the_window_is_not_written(tmp_path: Path) -> None:
    """The module decided within the window in which servers drop repeats; the connection took the rest of it."""

    async def play() -> None:
        grades = [{**CLASSES[1], "memorySpanMs": 1500.0}]
        async with running_router(tmp_path, settings__grades=grades) as now:
            client = await now.client()
            await client.send(b"ms k 1 O1 Pc=keyed,d=5000\r\nx\r\n")
            first = await now.server.accept()
            await first.until(b"x\r\n")
            (actor,) = now.program.actors.fleet.actors.values()
            held: list[messages.Opened] = []
            tell = actor.tell

            def hold(message: Any) -> None:
                held.append(message) if isinstance(message, messages.Opened) else tell(message)

            actor.opening.tell = hold
            first.reset()  # it may have run
            await until(lambda: bool(held))
            assert now.counters["attempts.started"] == 2
            now.router.clock._base += 1500.0
            tell(held[0])
            await until(lambda: now.counters["attempts.not_sent"] >= 1)
            second = await now.server.accept()
            await step()
            with pytest.raises(BlockingIOError):
                second.socket.recv(100)
            assert await client.until(b"\r\n") == b"SERVER_ERROR failed\r\n"

    asyncio.run(play())


# settings change


def test_a_class_that_is_gone_once_enough_of_a_value_is_here_costs_that_request_alone(tmp_path: Path) -> None:
    """The module's actor ended by it, and the process with it."""

    async def play() -> None:
        async with running_router(tmp_path) as now:
            client = await now.client()
            await client.send(b"ms k 100000 O1 Pc=keyed,d=5000\r\n")
            actor = now.actor_of(client)
            await until(lambda: actor.requests.unsubmitted is not None)
            now.reload(CLASSES[:1])
            await client.send(b"x" * 100000 + b"\r\n")
            assert await client.until(b"\r\n") == b"SERVER_ERROR failed\r\n"
            await client.send(read(2))
            server = await now.server.accept()
            await server.until(b"\r\n")
            await server.send(value(2))
            assert await client.until(b"x\r\n") == b"VA 1 O2\r\nx\r\n"

    asyncio.run(play())


def test_requests_of_an_older_class_table_end_as_they_began(tmp_path: Path) -> None:
    async def play() -> None:
        async with running_router(tmp_path) as now:
            client = await now.client()
            await client.send(b"ms k 1 O1 Pc=once,d=5000\r\nx\r\n")
            server = await now.server.accept()
            await server.until(b"x\r\n")
            now.reload([{**CLASSES[2], "effect": "repeatable"}])
            server.reset()
            assert await client.until(b"\r\n") == b"SERVER_ERROR failed\r\n"  # it may have run, and must not again
            assert now.counters["attempts.started"] == 1 and now.counters["module.errors"] == 0

    asyncio.run(play())


def test_a_reload_that_is_asked_for_while_the_process_starts_neither_ends_it_nor_is_lost(tmp_path: Path) -> None:
    """The signal's own effect ends a program; the file may have been read just before it."""
    deploy = tomllib.loads((Path(__file__).parent.parent / "deploy" / "balancer.toml").read_text())
    command = deploy["run"].replace(".venv/bin/python", sys.executable)
    path, port = tmp_path / "config.json", free_port()
    os.mkfifo(path)  # opening it waits for the other side, so the process is held where it reads its file
    config = {
        "listen": f"127.0.0.1:{port}",
        "discovery": "127.0.0.1:1",
        "settings": {"grades": CLASSES, "permissions": {}, "rules": {"drainGraceMs": 1.0, "askWithinMs": 1e9}},
    }
    with subprocess.Popen(
        ["/bin/sh", "-c", command], stderr=subprocess.PIPE, text=True, env={**os.environ, "LB_CONFIG": str(path)}
    ) as router:
        assert router.stderr is not None
        watchdog = threading.Timer(LIMIT, router.kill)
        watchdog.start()
        with path.open("w") as file:
            router.send_signal(signal.SIGHUP)
            file.write(json.dumps(config))
            new = tmp_path / "new.json"
            new.write_text(json.dumps({**config, "discovery": "127.0.0.1:2"}))
            new.replace(path)  # what it has open is the old one
        assert any("reloaded discovery=127.0.0.1:2" in line for line in router.stderr)
        watchdog.cancel()
        router.kill()


def test_a_signal_before_the_process_can_read_its_file_does_not_end_it() -> None:
    """The interpreter takes some 0.1 s before any line of ours runs."""
    deploy = tomllib.loads((Path(__file__).parent.parent / "deploy" / "balancer.toml").read_text())
    held = deploy["run"].replace("exec ", "kill -HUP $$; kill -USR1 $$; exec true || exec ", 1)
    assert subprocess.run(["/bin/sh", "-c", held], check=False, timeout=LIMIT).returncode == 0
