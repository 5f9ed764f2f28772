"""The coordinator's side of the worker processes of a run, which run the servers and the clients."""

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

START_TIMEOUT_S = 30.0  # time for all workers to connect and send their hello message
STOP_TIMEOUT_S = 3.0  # time for a worker to end after its channel was closed
HELLO_TAG = "hello"


class WorkerId(NamedTuple):
    """A worker's role, and its number among the workers of that role."""

    role: str
    number: int


class WorkerProcesses:
    """Starts the workers, holds a channel to each, and detects when one ends early."""

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
        self._all_connected = asyncio.Event()
        self._is_stopping = False
        # Gets a RunError as its exception when a worker ends early.
        self.failed: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    # channels

    @property
    def all_channels(self) -> list[RpcChannel]:
        """The channels to all workers."""
        return list(self._channels.values())

    @property
    def server_channels(self) -> list[RpcChannel]:
        """The channels to the workers that run servers."""
        return self._channels_of_role(ServerWorker.role)

    @property
    def client_channels(self) -> list[RpcChannel]:
        """The channels to the workers that run clients."""
        return self._channels_of_role(ClientWorker.role)

    def _channels_of_role(self, role: str) -> list[RpcChannel]:
        return [self._channels[worker] for worker in self._ids if worker.role == role and worker in self._channels]

    def server_channel(self, server: int) -> RpcChannel:
        """Return the channel to the worker that runs a server."""
        return self._channels[WorkerId(ServerWorker.role, server % self._server_processes)]

    # start and stop

    async def start(self) -> None:
        """Start all workers and wait until they are connected. Raise a RunError if one ends or does not connect."""
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            lambda: RpcChannel(self._on_fields, self._on_channel_closed), "127.0.0.1", 0
        )
        port = self._listener.sockets[0].getsockname()[1]
        for worker in self._ids:
            self._processes.append(await self._spawn(worker, port))
        all_connected = asyncio.create_task(self._all_connected.wait())
        process_ends = [asyncio.create_task(process.wait()) for process in self._processes]
        done, _ = await asyncio.wait(
            {all_connected, *process_ends}, timeout=START_TIMEOUT_S, return_when=asyncio.FIRST_COMPLETED
        )
        for task in (all_connected, *process_ends):
            task.cancel()
        if done & set(process_ends):
            raise RunError("a worker process ended during start-up; see its traceback above")
        if not done:
            raise RunError(
                f"only {len(self._channels)} of {len(self._ids)} worker processes connected within "
                f"{START_TIMEOUT_S:g} s; the machine may be overloaded"
            )

    async def _spawn(self, worker: WorkerId, port: int) -> asyncio.subprocess.Process:
        command = [sys.executable, "-m", "starlingthread.testbed.worker", str(port), worker.role, str(worker.number)]
        return await asyncio.create_subprocess_exec(
            *command, stdin=asyncio.subprocess.DEVNULL, preexec_fn=parent_death_hook()
        )

    def expect_end(self) -> None:
        """Treat the end of a worker as expected from now on."""
        self._is_stopping = True

    async def stop(self) -> None:
        """Close the channels, which makes the workers end; kill workers that do not end in time."""
        self.expect_end()
        for channel in self.all_channels:
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

    def _on_fields(self, channel: RpcChannel, fields: list[Any]) -> None:
        if not channel.name and fields[0] != HELLO_TAG:
            channel.transport.abort()  # the peer is not a worker of this run
            return
        message: WorkerMessage = msgspec.convert(fields, WorkerMessage)
        if isinstance(message, Hello):
            self._register_worker(channel, message)
        else:
            self._on_message(channel, message)

    def _register_worker(self, channel: RpcChannel, hello: Hello) -> None:
        channel.name = f"{hello.role}-{hello.number}"
        self._channels[WorkerId(hello.role, hello.number)] = channel
        if len(self._channels) == len(self._ids):
            self._all_connected.set()

    def _on_channel_closed(self, channel: RpcChannel) -> None:
        if channel.name and not self._is_stopping and not self.failed.done():
            error = RunError(f"worker process {channel.name} ended early; see its traceback above")
            self.failed.set_exception(error)
