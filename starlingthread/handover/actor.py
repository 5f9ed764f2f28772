"""The actor that holds both ends of an upgrade: towards an old process, and towards a new one."""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path
from typing import Protocol

import msgspec

from ..core.counters import Counters
from ..core.watcher import Watcher
from ..logs import log
from .channel import MAX_LINE, Door, Inheritance, Word, bequeath


class ServingProcess(Protocol):
    """What is shared while two processes are one router."""

    def sockets(self) -> dict[str, socket.socket]:
        """Return the sockets that a new process goes on with, by address."""

    def apply_resource_share(self, part: float) -> None:
        """Hold no more than this part of what the limits give."""

    def pause_accepting(self) -> None:
        """A new process takes the connections from now on: accept no more."""

    def resume_accepting(self) -> None:
        """The new process has gone before its time: accept again."""


class Handover:
    """One per process. It is the heir of the process before it, and bequeaths to the one after it."""

    def __init__(
        self,
        estate: ServingProcess,
        watcher: Watcher,
        counters: Counters,
        folder: Path | None,
        inheritance: Inheritance | None,
    ) -> None:
        self.estate, self.watcher, self.counters, self.folder = estate, watcher, counters, folder
        self.inheritance = inheritance
        self.resource_share = inheritance.share if inheritance is not None else 1.0
        self.given_way = False  # a new process serves in our place
        self._elder: asyncio.StreamWriter | None = None
        self._heir: asyncio.StreamWriter | None = None
        self._has_heir = False
        self._door: Door | None = None

    # as the new process

    async def start(self) -> None:
        """Listen for the old process's end, where there is one."""
        if self.inheritance is not None:
            reader, self._elder = await asyncio.open_connection(sock=self.inheritance.channel, limit=MAX_LINE)
            self.watcher.start(self._await_end(reader), "handover-elder", lambda _: self._alone())

    async def _await_end(self, reader: asyncio.StreamReader) -> None:
        try:
            while await reader.read(MAX_LINE):
                pass
        except OSError:
            pass
        self._alone()

    def _alone(self) -> None:
        if self._elder is not None:
            self._elder.transport.abort()
            self._elder = None
            self._grow("elder-gone")

    def _grow(self, event: str) -> None:
        self.resource_share = min(1.0, self.resource_share * 2)
        log.info(event, share=self.resource_share)
        self.estate.apply_resource_share(self.resource_share)

    def on_serving(self) -> None:
        """Tell the old process that we take connections from now on, and be there for the next new one."""
        if self._elder is not None:
            self._elder.write(msgspec.json.encode(Word(serving=True)) + b"\n")
        self._open_door()

    def _open_door(self) -> None:
        if self.folder is None:
            return
        try:
            self._door = Door(self.folder)
        except (OSError, AttributeError) as error:
            # No upgrade by handover then; a new process binds beside us.
            log.info("handover-off", why=repr(error))
            return
        asyncio.get_running_loop().add_reader(self._door.socket.fileno(), self._knock)

    # as the old process

    def _knock(self) -> None:
        """Take in a new process. One at a time: two could not share one half."""
        assert self._door is not None
        try:
            channel, _ = self._door.socket.accept()
        except OSError:
            return
        if self._has_heir:
            channel.close()
            return
        channel.setblocking(False)
        try:
            bequeath(channel, self.resource_share / 2, self.estate.sockets())
        except OSError as error:
            channel.close()
            log.warning("handover-failed", why=repr(error))
            return
        self._has_heir = True
        self.counters.increment("handovers.begun")
        self.resource_share /= 2
        log.info("heir-came", share=self.resource_share)
        self.estate.apply_resource_share(self.resource_share)
        self.watcher.start(self._hear(channel), "handover-heir", lambda _: self._heirless())

    async def _hear(self, channel: socket.socket) -> None:
        """Follow what a new process says until it ends."""
        reader, self._heir = await asyncio.open_connection(sock=channel, limit=MAX_LINE)
        try:
            while line := await reader.readline():
                if msgspec.json.decode(line, type=Word).serving and not self.given_way:
                    self.given_way = True
                    log.info("gave-way")
                    self.estate.pause_accepting()
        except (OSError, ValueError, msgspec.MsgspecError) as error:
            log.warning("handover-failed", why=repr(error))
        self._heirless()

    def _heirless(self) -> None:
        """The new process has gone: all is as before, whether it had begun to serve or not."""
        if not self._has_heir:
            return
        self._has_heir = False
        if self._heir is not None:
            self._heir.transport.abort()
            self._heir = None
        self._grow("heir-gone")
        if self.given_way:
            self.given_way = False
            # The name is the dead process's by now: the next new one would find nobody behind it.
            self._shut_door()
            self._open_door()
            self.estate.resume_accepting()

    def close(self) -> None:
        """Give back what we hold. The channels end with the process, as its descriptors count until then."""
        self._shut_door()
        self.folder = None

    def _shut_door(self) -> None:
        if self._door is not None:
            asyncio.get_running_loop().remove_reader(self._door.socket.fileno())
            self._door.close()
            self._door = None
