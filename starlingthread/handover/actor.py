"""Both sides of a socket handover: towards the old process (predecessor) and towards a new one (successor)."""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path
from typing import Protocol

import msgspec

from ..core.counters import Counters
from ..core.task_supervisor import TaskSupervisor
from ..logs import log
from .channel import MAX_LINE, HandoverListener, HandoverStatus, InheritedSockets, send_offer


class ServingProcess(Protocol):
    """The resources of a process that it shares with another one during a handover."""

    def sockets(self) -> dict[str, socket.socket]:
        """Return the listening sockets to hand over, by use and address."""

    def apply_resource_share(self, share: float) -> None:
        """Use at most this part, 0 to 1, of the configured limits."""

    def pause_accepting(self) -> None:
        """Stop accepting: the successor accepts on the same sockets from now on."""

    def resume_accepting(self) -> None:
        """Accept again: the successor has ended before this process did."""


class Handover:
    """One process's handovers: it takes over from its predecessor, and hands over to one successor at a time.

    Predecessor and successor use half of the resource limits each while both live. When either ends, the other doubles
    its share.
    """

    def __init__(
        self,
        process: ServingProcess,
        supervisor: TaskSupervisor,
        counters: Counters,
        folder: Path | None,
        inherited: InheritedSockets | None,
    ) -> None:
        self.process = process
        self.supervisor = supervisor
        self.counters = counters
        self.folder = folder  # None: no handover to a successor
        self.inherited = inherited
        self.resource_share = inherited.resource_share if inherited is not None else 1.0
        self.has_yielded = False  # the successor accepts connections in place of this process
        self._predecessor: asyncio.StreamWriter | None = None
        self._successor: asyncio.StreamWriter | None = None
        self._has_successor = False
        self._listener: HandoverListener | None = None

    # towards the predecessor

    async def start(self) -> None:
        """Watch the predecessor, if there is one, for its end."""
        if self.inherited is not None:
            reader, self._predecessor = await asyncio.open_connection(sock=self.inherited.channel, limit=MAX_LINE)
            self.supervisor.start(
                self._await_predecessor_end(reader), "handover-predecessor", lambda _: self._on_predecessor_gone()
            )

    def on_serving(self) -> None:
        """Notify the predecessor that this process accepts connections, and wait for a successor."""
        if self._predecessor is not None:
            self._predecessor.write(msgspec.json.encode(HandoverStatus(serving=True)) + b"\n")
        self._start_listening()

    async def _await_predecessor_end(self, reader: asyncio.StreamReader) -> None:
        try:
            while await reader.read(MAX_LINE):
                pass
        except OSError:
            pass
        self._on_predecessor_gone()

    def _on_predecessor_gone(self) -> None:
        if self._predecessor is not None:
            self._predecessor.transport.abort()
            self._predecessor = None
            self._double_resource_share("predecessor-exited")

    def _double_resource_share(self, log_event: str) -> None:
        self.resource_share = min(1.0, self.resource_share * 2)
        log.info(log_event, share=self.resource_share)
        self.process.apply_resource_share(self.resource_share)

    # towards a successor

    def _start_listening(self) -> None:
        if self.folder is None:
            return
        try:
            self._listener = HandoverListener(self.folder)
        except (OSError, AttributeError) as error:
            # No handover then: a new process binds its own sockets beside these.
            log.info("handover-disabled", reason=repr(error))
            return
        asyncio.get_running_loop().add_reader(self._listener.socket.fileno(), self._accept_successor)

    def _stop_listening(self) -> None:
        if self._listener is not None:
            asyncio.get_running_loop().remove_reader(self._listener.socket.fileno())
            self._listener.close()
            self._listener = None

    def _accept_successor(self) -> None:
        """Hand over to a new process. Only one at a time, as a second one would need a part of the same half."""
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
            self._follow_successor(channel), "handover-successor", lambda _: self._on_successor_gone()
        )

    async def _follow_successor(self, channel: socket.socket) -> None:
        """Read the successor's status lines until it ends."""
        reader, self._successor = await asyncio.open_connection(sock=channel, limit=MAX_LINE)
        try:
            while line := await reader.readline():
                status = msgspec.json.decode(line, type=HandoverStatus)
                if status.serving and not self.has_yielded:
                    self.has_yielded = True
                    log.info("handed-over")
                    self.process.pause_accepting()
        except (OSError, ValueError, msgspec.MsgspecError) as error:
            log.warning("handover-failed", reason=repr(error))
        self._on_successor_gone()

    def _on_successor_gone(self) -> None:
        """Return to the state before the handover, whether the successor had begun to serve or not."""
        if not self._has_successor:
            return
        self._has_successor = False
        if self._successor is not None:
            self._successor.transport.abort()
            self._successor = None
        self._double_resource_share("successor-exited")
        if self.has_yielded:
            self.has_yielded = False
            # The successor took the socket's name over, and the next new process would find no listener behind it.
            self._stop_listening()
            self._start_listening()
            self.process.resume_accepting()

    def close(self) -> None:
        """Stop waiting for a successor.

        The channels stay open until the process ends, as its descriptors count against the limits until then.
        """
        self._stop_listening()
        self.folder = None
