"""The worker processes of a run, which play the servers and the clients, as the coordinator sees them."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec

from ..emulator.child_processes import parent_death_hook
from ..emulator.messages import Hello, WorkerMessage
from ..emulator.rpc_channel import RpcChannel
from ..experiment.scenario import Scenario
from .client_worker import ClientWorker
from .errors import RunError
from .server_worker import ServerWorker

START_TIMEOUT_S = 30.0  # for all workers to introduce themselves
STOP_TIMEOUT_S = 3.0  # for a worker to end after its channel was closed
HELLO_TAG = "hello"


class WorkerId(NamedTuple):
    """A worker: its role, and its number among those of the role."""

    role: str
    number: int


class WorkerProcesses:
    """Starts the workers, keeps a channel to each, and notices when one ends early."""

    def __init__(
        self, scenario: Scenario, has_clients: bool, on_message: Callable[[RpcChannel, WorkerMessage], None]
    ) -> None:
        machine = scenario.machine
        client_workers = machine.load_processes if has_clients else 0
        self._ids = [WorkerId(ServerWorker.role, number) for number in range(machine.server_processes)]
        self._ids += [WorkerId(ClientWorker.role, number) for number in range(client_workers)]
        self._server_processes = machine.server_processes
        self._on_message = on_message
        self._channels: dict[WorkerId, RpcChannel] = {}
        self._processes: list[asyncio.subprocess.Process] = []
        self._listener: asyncio.Server | None = None
        self._all_joined = asyncio.Event()
        self._is_stopping = False
        self.failed: asyncio.Future[None] = asyncio.get_running_loop().create_future()  # when a worker ends early

    # channels

    @property
    def all(self) -> list[RpcChannel]:
        """The channels to all workers."""
        return list(self._channels.values())

    @property
    def servers(self) -> list[RpcChannel]:
        """The channels to the workers that play servers."""
        return self._of_role(ServerWorker.role)

    @property
    def clients(self) -> list[RpcChannel]:
        """The channels to the workers that play clients."""
        return self._of_role(ClientWorker.role)

    def _of_role(self, role: str) -> list[RpcChannel]:
        return [self._channels[worker] for worker in self._ids if worker.role == role and worker in self._channels]

    def server_worker(self, server: int) -> RpcChannel:
        """Return the channel to the worker that plays a server."""
        return self._channels[WorkerId(ServerWorker.role, server % self._server_processes)]

    # start and stop

    async def start(self) -> None:
        """Start all workers and wait until they are connected. Raise a RunError if one is not."""
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(lambda: RpcChannel(self._handle, self._ended), "127.0.0.1", 0)
        port = self._listener.sockets[0].getsockname()[1]
        for worker in self._ids:
            self._processes.append(await self._spawn(worker, port))
        joined = asyncio.create_task(self._all_joined.wait())
        ends = [asyncio.create_task(process.wait()) for process in self._processes]
        done, _ = await asyncio.wait({joined, *ends}, timeout=START_TIMEOUT_S, return_when=asyncio.FIRST_COMPLETED)
        for task in (joined, *ends):
            task.cancel()
        if done & set(ends):
            raise RunError("a process of the emulator ended at its start; see its trace above")
        if not done:
            raise RunError("the emulator's processes did not come up in time; is the machine overloaded?")

    async def _spawn(self, worker: WorkerId, port: int) -> asyncio.subprocess.Process:
        command = [sys.executable, "-m", "starlingthread.testbed.worker", str(port), worker.role, str(worker.number)]
        return await asyncio.create_subprocess_exec(
            *command, stdin=asyncio.subprocess.DEVNULL, preexec_fn=parent_death_hook()
        )

    def expect_end(self) -> None:
        """From now on no end of a worker is a failure."""
        self._is_stopping = True

    async def stop(self) -> None:
        """Close the channels, upon which the workers end; kill those that do not."""
        self.expect_end()
        for channel in self.all:
            channel.transport.close()
        for process in self._processes:
            if process.returncode is None:
                try:
                    await asyncio.wait_for(process.wait(), STOP_TIMEOUT_S)
                except TimeoutError:
                    process.kill()
                    await process.wait()
        if self._listener is not None:
            self._listener.close()

    # messages

    def _handle(self, channel: RpcChannel, parts: list[Any]) -> None:
        if not channel.name and parts[0] != HELLO_TAG:
            channel.transport.abort()  # no worker of this run
            return
        message: WorkerMessage = msgspec.convert(parts, WorkerMessage)
        if isinstance(message, Hello):
            self._join(channel, message)
        else:
            self._on_message(channel, message)

    def _join(self, channel: RpcChannel, hello: Hello) -> None:
        channel.name = f"{hello.role}-{hello.number}"
        self._channels[WorkerId(hello.role, hello.number)] = channel
        if len(self._channels) == len(self._ids):
            self._all_joined.set()

    def _ended(self, channel: RpcChannel) -> None:
        if channel.name and not self._is_stopping and not self.failed.done():
            error = RunError(f"process {channel.name} of the emulator has ended; see its trace above")
            self.failed.set_exception(error)
