"""Tests of the socket handover: the offer, the resource shares while both processes run, and the exit of either."""

from __future__ import annotations

import asyncio
import gc
import os
import socket
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from starlingthread.core.counters import Counters
from starlingthread.core.messages import Rejected
from starlingthread.core.task_supervisor import TaskSupervisor
from starlingthread.handover.actor import Handover
from starlingthread.handover.channel import SOCKET_NAME, HandoverListener, request_handover, send_offer
from starlingthread.net import meta
from starlingthread.net.clients import ClientConnectionActor, ClientListener
from starlingthread.net.clients.listener import bind
from starlingthread.net.peers import PeerActor

from .balancer_driver import THROUGH
from .fakes import READS, ClientHarness, run_client_script
from .router_harness import RouterHarness


class FakeProcess:
    """A serving process with one socket to hand over; it records the calls of its handover."""

    def __init__(self, folder: Path, inherited: Any = None) -> None:
        self.calls: list[object] = []
        self.listening = socket.create_server(("127.0.0.1", 0))
        self.supervisor = TaskSupervisor()
        self.handover = Handover(self, self.supervisor, Counters(), folder, inherited)

    def sockets(self) -> dict[str, socket.socket]:
        return {"clients": self.listening}

    def apply_resource_share(self, share: float) -> None:
        self.calls.append(share)

    def pause_accepting(self) -> None:
        self.calls.append("pause")

    def resume_accepting(self) -> None:
        self.calls.append("resume")

    async def close(self) -> None:
        self.handover.close()
        self.listening.close()
        await self.supervisor.stop()


async def until(condition: Callable[[], bool]) -> None:
    """Run the event loop until a condition holds; fail if it does not hold within some seconds."""
    for _ in range(2000):
        if condition():
            return
        await asyncio.sleep(0.001)
    raise AssertionError("the condition did not hold in 2000 iterations")


async def start_both(folder: Path) -> tuple[FakeProcess, FakeProcess]:
    """Return an old process and a new one that has received its sockets."""
    old = FakeProcess(folder)
    old.handover.on_serving()
    new = FakeProcess(folder, await asyncio.to_thread(request_handover, folder))
    await new.handover.start()
    return old, new


def test_each_process_has_half_of_the_limits_until_the_other_ends(tmp_path: Path) -> None:
    async def run() -> None:
        old, new = await start_both(tmp_path)
        assert new.handover.inherited is not None
        inherited_socket = new.handover.inherited.sockets["clients"]
        assert inherited_socket.getsockname() == old.listening.getsockname()
        assert old.calls == [0.5] and new.handover.resource_share == 0.5
        new.handover.on_serving()
        await until(lambda: "pause" in old.calls)
        # Connections that wait to be accepted when the old process closes are not reset, as both share the queue.
        with socket.create_connection(inherited_socket.getsockname()) as client:
            await old.close()
            accepted, _ = inherited_socket.accept()
            accepted.sendall(b"x")
            assert client.recv(1) == b"x"
            accepted.close()
        old.handover._on_successor_exited()  # In a real upgrade the exit of the process causes this.
        await until(lambda: new.calls == [1.0])
        assert (tmp_path / SOCKET_NAME).is_socket()  # The socket of the new process, for the next upgrade.
        inherited_socket.close()
        await new.close()
        assert not (tmp_path / SOCKET_NAME).exists()

    asyncio.run(run())


def test_the_last_of_three_processes_gets_all_of_the_limits(tmp_path: Path) -> None:
    """Guards against a router that keeps half of its limits, as an upgrade began before the one before it had ended."""

    async def run() -> None:
        first, second = await start_both(tmp_path)
        second.handover.on_serving()
        await until(lambda: "pause" in first.calls)
        third = FakeProcess(tmp_path, await asyncio.to_thread(request_handover, tmp_path))
        await third.handover.start()
        await until(lambda: second.handover._successor is not None)
        assert (second.handover.resource_share, third.handover.resource_share) == (0.25, 0.25)
        second.handover._on_predecessor_exited()  # In a real upgrade the exit of the process causes this.
        await until(lambda: third.handover.resource_share == second.handover.resource_share == 0.5)
        third.handover._on_predecessor_exited()
        assert third.calls == [0.5, 1.0]
        for process in (third, second, first):
            await process.close()

    asyncio.run(run())


@pytest.mark.parametrize("serves", [False, True])
def test_an_old_process_serves_as_before_after_its_successor_crashed(tmp_path: Path, serves: bool) -> None:
    async def run() -> None:
        old, new = await start_both(tmp_path)
        if serves:
            new.handover.on_serving()
            await until(lambda: "pause" in old.calls)
        assert new.handover._predecessor is not None
        # After a crash the socket file stays, but no process listens on it.
        if (listener := new.handover._listener) is not None:
            asyncio.get_running_loop().remove_reader(listener.socket.fileno())
            listener.socket.close()
            new.handover._listener = None
        new.handover._predecessor.transport.abort()
        await until(lambda: not old.handover._has_successor)
        assert old.calls == ([0.5, "pause", 1.0, "resume"] if serves else [0.5, 1.0])
        assert old.handover.resource_share == 1.0 and not old.handover.has_handed_over
        # Another successor can connect, as the old process listens on the path again.
        inherited = await asyncio.to_thread(request_handover, tmp_path)
        assert inherited is not None and inherited.resource_share == 0.5
        for each in (inherited.channel, *inherited.sockets.values()):
            each.close()
        await new.close()
        await old.close()

    asyncio.run(run())


def test_a_second_successor_is_rejected(tmp_path: Path) -> None:
    async def run() -> None:
        old, new = await start_both(tmp_path)
        with pytest.raises(OSError):
            await asyncio.to_thread(request_handover, tmp_path)
        assert old.calls == [0.5]
        await new.close()
        await old.close()

    asyncio.run(run())


def test_a_missing_or_dead_predecessor_gives_no_handover(tmp_path: Path) -> None:
    assert request_handover(None) is None and request_handover(tmp_path) is None
    (tmp_path / SOCKET_NAME).write_text("a file")
    assert request_handover(tmp_path) is None
    listener = HandoverListener(tmp_path)
    listener.socket.close()  # As after SIGKILL: the socket file stays, but no process listens on it.
    assert (tmp_path / SOCKET_NAME).is_socket() and request_handover(tmp_path) is None


@pytest.mark.parametrize(
    "offer",
    [
        b"",
        b"{}\n",
        b"noise\n",
        b'{"version":9,"share":0.5,"sockets":[]}\n',
        b'{"version":1,"share":0.5,"sockets":["a"]}\n',
        b"x" * 9000,
    ],
)
def test_an_invalid_offer_raises_and_leaks_no_descriptors(tmp_path: Path, offer: bytes) -> None:
    listener = HandoverListener(tmp_path)
    gc.collect()
    descriptors = len(os.listdir("/proc/self/fd"))

    def send_invalid_offer() -> None:
        listener.socket.setblocking(True)
        channel, _ = listener.socket.accept()
        channel.sendall(offer)
        channel.close()

    async def run() -> None:
        pending_request = asyncio.to_thread(request_handover, tmp_path)
        _, result = await asyncio.gather(asyncio.to_thread(send_invalid_offer), pending_request, return_exceptions=True)
        assert isinstance(result, OSError)

    asyncio.run(run())
    gc.collect()
    assert len(os.listdir("/proc/self/fd")) == descriptors
    listener.close()


def test_handover_in_a_folder_with_a_long_path(tmp_path: Path) -> None:
    folder = tmp_path / ("a" * 120)
    folder.mkdir()
    listener = HandoverListener(folder)
    results: list[Any] = []
    listening = socket.create_server(("127.0.0.1", 0))

    async def run() -> None:
        pending_request = asyncio.get_running_loop().run_in_executor(None, request_handover, folder)
        await until(lambda: _offer_if_connected(listener, listening))
        results.append(await pending_request)

    asyncio.run(run())
    (inherited_socket,) = results[0].sockets.values()
    assert inherited_socket.getsockname() == listening.getsockname()
    for each in (inherited_socket, results[0].channel, listening):
        each.close()
    listener.close()


def _offer_if_connected(listener: HandoverListener, listening: socket.socket) -> bool:
    try:
        channel, _ = listener.socket.accept()
    except BlockingIOError:
        return False
    send_offer(channel, 0.5, {"clients": listening})
    channel.close()
    return True


def test_after_a_pause_each_connection_is_closed_once_its_answer_is_written() -> None:
    async def script(harness: ClientHarness) -> None:
        harness.reader.feed_data(READS.split(b"\r\n")[0] + b"\r\n")
        (received,) = await harness.settle()
        harness.listener.pause_accepting()
        await harness.settle()
        assert not harness.writer.transport.closed
        harness.actor.requests.answer(received.request, Rejected(0.0))
        await harness.settle()
        assert harness.writer.transport.closed

    assert run_client_script(script) == b"SERVER_ERROR busy\r\n"


def test_unread_commands_are_answered_before_the_close() -> None:
    async def script(harness: ClientHarness) -> None:
        harness.listener.pause_accepting()
        harness.reader.feed_data(b"mn\r\n")
        harness.writer.remote_socket.send(b"x")  # The next command is already in the receive buffer.
        await harness.settle()
        assert not harness.writer.transport.closed
        harness.writer.local_socket.recv(1)
        harness.reader.feed_data(b"mn\r\n")
        await harness.settle()
        assert harness.writer.transport.closed

    assert run_client_script(script) == 2 * meta.READY_LINE


def test_a_paused_listener_accepts_again_once_resumed() -> None:
    async def run() -> None:
        harness = RouterHarness()
        listener = ClientListener(THROUGH, harness.router, TaskSupervisor(), 4, 4, 1 << 20, lambda: True)
        await listener.listen("127.0.0.1", 0)
        assert listener.socket is not None
        address = listener.socket.getsockname()
        listener.pause_accepting()
        with socket.create_connection(address):  # The connection waits in the accept queue.
            for _ in range(20):
                await asyncio.sleep(0)
            assert not listener.connections
            await listener.resume_accepting()
            await until(lambda: len(listener.connections) == 1)
        actor: ClientConnectionActor = next(iter(listener.connections))
        actor.close()
        await listener.drain()
        await listener.supervisor.stop()

    asyncio.run(run())


def test_datagrams_reach_the_serving_process() -> None:
    async def run() -> None:
        old, new = (PeerActor(RouterHarness().router, [], None, 0) for _ in range(2))
        await old.listen("127.0.0.1", 0)
        assert old.socket is not None
        await new.listen("127.0.0.1", 0, old.socket.dup())
        old.pause_receiving()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            sender.sendto(b"x", old.socket.getsockname())
            await until(lambda: new.counters["peers.unknown_sender"] == 1)
        assert old.counters["peers.unknown_sender"] == 0
        old.close()
        new.close()

    asyncio.run(run())


def test_two_processes_can_bind_the_same_address_without_a_handover() -> None:
    with bind("127.0.0.1", 0) as first, bind(*first.getsockname()) as second:
        assert first.getsockname() == second.getsockname()
