"""The other routers: short UDP messages, late or lost."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable

from ..core.router import Router
from ..events import PeerMessage

MAX_MESSAGE = 256


class PeerActor(asyncio.DatagramProtocol):
    """One socket for all peers; what comes goes into the module's mailbox. (Streams know no datagrams.)"""

    def __init__(self, router: Router, peers: list[tuple[str, int]], everyone: tuple[str, int] | None, me: int) -> None:
        self.router, self.counters, self.me = router, router.counters, me
        self.set_addresses(peers, everyone)
        self.transport: asyncio.DatagramTransport | None = None
        self.socket: socket.socket | None = None  # ours for good, whether we hear or not
        self.handlers: dict[int, Callable[[int, bytes], None]] = {}  # by the first byte; the rest is the module's

    def set_addresses(self, peers: list[tuple[str, int]], everyone: tuple[str, int] | None) -> None:
        """Take over the addresses of the others."""
        self.peers, self.everyone = peers, everyone
        self.number = {address: number for number, address in enumerate(peers)}

    async def listen(self, host: str, port: int, inherited: socket.socket | None = None) -> None:
        """Open the socket, or go on with one that an old process held."""
        if inherited is None:
            inherited = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            if hasattr(socket, "SO_REUSEPORT"):
                with contextlib.suppress(OSError):
                    inherited.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            inherited.bind((host, port))
        self.socket = inherited
        await self.resume_receiving()

    async def resume_receiving(self) -> None:
        """Hear the others, as at first or again."""
        if self.socket is not None and self.transport is None:
            loop = asyncio.get_running_loop()
            self.transport, _ = await loop.create_datagram_endpoint(lambda: self, sock=self.socket.dup())

    def pause_receiving(self) -> None:
        """Hear no more, as another process does at the same socket."""
        if self.transport is not None:
            self.transport.close()
            self.transport = None

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take in a message; one from a stranger, or too long to be a peer's, is counted and dropped."""
        sender = self.number.get((addr[0], addr[1]))
        if sender is None or len(data) > MAX_MESSAGE or sender == self.me:
            self.counters.increment("peers.stray")
        elif data and (take := self.handlers.get(data[0])) is not None:
            self.counters.increment("peers.taken")
            take(sender, data)
        elif self.router.mailbox.put(PeerMessage(sender, data)):
            self.counters.increment("peers.received")

    def error_received(self, exc: Exception) -> None:
        """Count what the network gave back; messages may be lost anyway."""
        self.counters.increment("peers.errors")

    def send(self, peer: int | None, payload: bytes) -> None:
        """Send a message to one router, or to all (None)."""
        if self.transport is None or len(payload) > MAX_MESSAGE:
            self.counters.increment("peers.unsent")
            return
        if peer is None:
            targets = [self.everyone] if self.everyone else [a for n, a in enumerate(self.peers) if n != self.me]
        else:
            targets = [self.peers[peer]] if peer < len(self.peers) else []
        for address in targets:
            self.transport.sendto(payload, address)
            self.counters.increment("peers.sent")

    def close(self) -> None:
        """Close the socket."""
        self.pause_receiving()
        if self.socket is not None:
            self.socket.close()
