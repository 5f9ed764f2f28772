"""Both sides of a socket handover: a process takes over from its predecessor, and hands over to its successor."""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path
from typing import Protocol

import msgspec

from ..core.counters import Counters
from ..core.task_supervisor import TaskSupervisor
from ..logs import log
from .channel import MAX_LINE_BYTES, HandoverListener, HandoverStatus, InheritedSockets, send_offer
from .endpoint_exchange import EndpointExchange
from .execution_exchange import ExecutionExchange

# A new process waits at most this long for the old one to send which requests may have run.
EXECUTIONS_TIMEOUT_S = 1.0


class ServingProcess(Protocol):
    """The interface to the resources that a process shares with another one during a handover."""

    def sockets(self) -> dict[str, socket.socket]:
        """Return the listening sockets to hand over, each by its use and address."""

    def apply_resource_share(self, share: float) -> None:
        """Limit the process to this part (0 to 1) of the configured resource limits."""

    def pause_accepting(self) -> None:
        """Stop accepting connections, as the successor accepts them on the same sockets from now on."""

    def resume_accepting(self) -> None:
        """Accept connections again, as the successor exited before this process."""


class Handover:
    """The handovers of a process, which takes over from its predecessor and hands over to one successor at a time.

    While both processes run, each uses half of the resource limits. When one exits, the other doubles its share.
    """

    def __init__(
        self,
        process: ServingProcess,
        supervisor: TaskSupervisor,
        counters: Counters,
        folder: Path | None,
        inherited: InheritedSockets | None,
        executions: ExecutionExchange | None = None,
        endpoints: EndpointExchange | None = None,
    ) -> None:
        self.process = process
        self._executions = executions
        self._endpoints = endpoints
        self._executions_received = asyncio.Event()
        self.supervisor = supervisor
        self.counters = counters
        self.folder = folder  # The folder of the handover socket; None disables the handover to a successor.
        self.inherited = inherited
        self.resource_share = inherited.resource_share if inherited is not None else 1.0
        self.has_handed_over = False  # Whether the successor accepts connections in place of this process.
        self._predecessor: asyncio.StreamWriter | None = None
        self._successor: asyncio.StreamWriter | None = None
        self._has_successor = False
        self._listener: HandoverListener | None = None

    # The channel to the predecessor.

    async def start(self) -> None:
        """Begin to wait for the exit of the predecessor, if there is one, and ask it which requests may have run."""
        if self.inherited is None:
            return
        reader, self._predecessor = await asyncio.open_connection(sock=self.inherited.channel, limit=MAX_LINE_BYTES)
        self.supervisor.start(
            self._read_predecessor_status(reader), "handover-predecessor", lambda _: self._on_predecessor_exited()
        )
        if self._endpoints is not None:
            self._endpoints.request(self._predecessor)  # the answer precedes that to the next question
        if self._executions is not None:
            await self._request_executions(self._predecessor, self._executions)

    async def _request_executions(self, predecessor: asyncio.StreamWriter, executions: ExecutionExchange) -> None:
        """Wait until the predecessor has sent which requests may have run; an earlier version sends nothing."""
        predecessor.write(msgspec.json.encode(HandoverStatus(wants_executions=True)) + b"\n")
        executions.attach(predecessor)
        try:
            await asyncio.wait_for(self._executions_received.wait(), EXECUTIONS_TIMEOUT_S)
        except TimeoutError:
            log.warning("handover-executions-missing", reason=f"not sent within {EXECUTIONS_TIMEOUT_S} s")

    def on_serving(self) -> None:
        """Notify the predecessor that this process accepts connections, and wait for a successor."""
        if self._predecessor is not None:
            self._predecessor.write(msgspec.json.encode(HandoverStatus(serving=True)) + b"\n")
        self._start_listening()

    async def _read_predecessor_status(self, reader: asyncio.StreamReader) -> None:
        """Read the status messages of the predecessor until it exits."""
        try:
            while line := await reader.readline():
                status = msgspec.json.decode(line, type=HandoverStatus)
                self._apply(status, self._predecessor)
                if status.share_doubled:
                    self._double_resource_share("predecessor-share-doubled")
                if status.executions_complete:
                    self._executions_received.set()
        except (OSError, ValueError, msgspec.MsgspecError) as error:
            log.warning("handover-failed", reason=repr(error))
        self._on_predecessor_exited()

    def _on_predecessor_exited(self) -> None:
        self._executions_received.set()
        if self._predecessor is not None:
            self._detach(self._predecessor)
            self._predecessor.transport.abort()
            self._predecessor = None
            self._double_resource_share("predecessor-exited")
            if self._successor is not None:
                self._successor.write(msgspec.json.encode(HandoverStatus(share_doubled=True)) + b"\n")

    def _apply(self, status: HandoverStatus, source: asyncio.StreamWriter | None) -> None:
        if self._executions is not None:
            self._executions.apply(status, source)
        if self._endpoints is not None:
            self._endpoints.apply(status, source)

    def _detach(self, channel: asyncio.StreamWriter) -> None:
        if self._executions is not None:
            self._executions.detach(channel)
        if self._endpoints is not None:
            self._endpoints.detach(channel)

    def _double_resource_share(self, log_event: str) -> None:
        self.resource_share = min(1.0, self.resource_share * 2)
        log.info(log_event, share=self.resource_share)
        self.process.apply_resource_share(self.resource_share)

    # The channel to a successor.

    def _start_listening(self) -> None:
        if self.folder is None:
            return
        try:
            self._listener = HandoverListener(self.folder)
        except (OSError, AttributeError) as error:
            # Without a handover, a new process binds its own sockets to the same addresses.
            log.info("handover-disabled", reason=repr(error))
            return
        asyncio.get_running_loop().add_reader(self._listener.socket.fileno(), self._accept_successor)

    def _stop_listening(self) -> None:
        if self._listener is not None:
            asyncio.get_running_loop().remove_reader(self._listener.socket.fileno())
            self._listener.close()
            self._listener = None

    def _accept_successor(self) -> None:
        """Offer the sockets to a new process.

        Only one successor is accepted at a time, as a second one would get a part of the same half of the limits.
        """
        assert self._listener is not None
        try:
            channel, _ = self._listener.socket.accept()
        except OSError:
            return
        if self._has_successor:
            channel.close()
            return
        channel.setblocking(False)
        try:
            send_offer(channel, self.resource_share / 2, self.process.sockets())
        except OSError as error:
            channel.close()
            log.warning("handover-failed", reason=repr(error))
            return
        self._has_successor = True
        self.counters.increment("handovers.started")
        self.resource_share /= 2
        log.info("successor-connected", share=self.resource_share)
        self.process.apply_resource_share(self.resource_share)
        self.supervisor.start(
            self._read_successor_status(channel), "handover-successor", lambda _: self._on_successor_exited()
        )

    async def _read_successor_status(self, channel: socket.socket) -> None:
        """Read the status messages of the successor until it exits."""
        reader, self._successor = await asyncio.open_connection(sock=channel, limit=MAX_LINE_BYTES)
        try:
            while line := await reader.readline():
                status = msgspec.json.decode(line, type=HandoverStatus)
                self._apply(status, self._successor)
                if self._executions is not None and status.wants_executions:
                    self._executions.attach(self._successor)
                if status.serving and not self.has_handed_over:
                    self.has_handed_over = True
                    log.info("handed-over")
                    self.process.pause_accepting()
        except (OSError, ValueError, msgspec.MsgspecError) as error:
            log.warning("handover-failed", reason=repr(error))
        self._on_successor_exited()

    def _on_successor_exited(self) -> None:
        """Return to the state before the handover, whether or not the successor has accepted connections."""
        if not self._has_successor:
            return
        self._has_successor = False
        if self._successor is not None:
            self._detach(self._successor)
            self._successor.transport.abort()
            self._successor = None
        self._double_resource_share("successor-exited")
        if self.has_handed_over:
            self.has_handed_over = False
            # The path belongs to the successor's socket, which no process listens on now. Bind a new one, so that the
            # next new process can connect.
            self._stop_listening()
            self._start_listening()
            self.process.resume_accepting()

    def close(self) -> None:
        """Stop waiting for a successor.

        The channels stay open until the process exits, as its descriptors count against the limits until then.
        """
        self._stop_listening()
        self.folder = None
