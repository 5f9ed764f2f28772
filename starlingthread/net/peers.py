"""The UDP socket for messages between routers. Messages may be delayed or lost."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable

from ..core.router import Router
from ..events import PeerMessage

MAX_DATAGRAM_BYTES = 256


class PeerActor(asyncio.DatagramProtocol):
    """Owns one socket for all peers and dispatches received messages by their first byte.

    Messages without a handler are put into the router's mailbox for the decision module. A datagram protocol is used
    because asyncio's streams do not support datagrams.
    """

    def __init__(
        self,
        router: Router,
        addresses: list[tuple[str, int]],
        broadcast_address: tuple[str, int] | None,
        router_index: int,
    ) -> None:
        self.router = router
        self.counters = router.counters
        self.router_index = router_index
        self.set_addresses(addresses, broadcast_address)
        self.transport: asyncio.DatagramTransport | None = None
        self.socket: socket.socket | None = None  # the socket stays open until close(), also while receiving is paused
        self.handlers: dict[int, Callable[[int, bytes], None]] = {}  # handlers by the first byte of a message

    def set_addresses(self, addresses: list[tuple[str, int]], broadcast_address: tuple[str, int] | None) -> None:
        """Set the addresses of all routers, by router index, and the broadcast address that reaches all, if any."""
        self.addresses = addresses
        self.broadcast_address = broadcast_address
        self._index_by_address = {address: index for index, address in enumerate(addresses)}

    async def listen(self, host: str, port: int, inherited: socket.socket | None = None) -> None:
        """Open a socket, or use the one inherited from the previous process, and start receiving."""
        self.socket = inherited if inherited is not None else _bind(host, port)
        await self.resume_receiving()

    async def resume_receiving(self) -> None:
        """Start or resume receiving messages."""
        if self.socket is not None and self.transport is None:
            loop = asyncio.get_running_loop()
            self.transport, _ = await loop.create_datagram_endpoint(lambda: self, sock=self.socket.dup())

    def pause_receiving(self) -> None:
        """Stop receiving, as another process receives on the same socket."""
        if self.transport is not None:
            self.transport.close()
            self.transport = None

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Dispatch a message; count and drop one that is too long, from an unknown address or from this router."""
        sender = self._index_by_address.get((addr[0], addr[1]))
        if sender is None or len(data) > MAX_DATAGRAM_BYTES or sender == self.router_index:
            self.counters.increment("peers.unknown_sender")
            return
        handler = self.handlers.get(data[0]) if data else None
        if handler is not None:
            self.counters.increment("peers.control_received")
            handler(sender, data)
        elif self.router.mailbox.put(PeerMessage(sender, data)):
            self.counters.increment("peers.received")

    def error_received(self, exc: Exception) -> None:
        """Count an error that the network returned. It needs no other handling, as senders tolerate lost messages."""
        self.counters.increment("peers.errors")

    def send(self, peer: int | None, payload: bytes) -> None:
        """Send a message to one router by its index, or to all others if peer is None."""
        if self.transport is None or len(payload) > MAX_DATAGRAM_BYTES:
            self.counters.increment("peers.not_sent")
            return
        for address in self._destinations(peer):
            self.transport.sendto(payload, address)
            self.counters.increment("peers.sent")

    def _destinations(self, peer: int | None) -> list[tuple[str, int]]:
        if peer is not None:
            return [self.addresses[peer]] if peer < len(self.addresses) else []
        if self.broadcast_address:
            return [self.broadcast_address]
        return [address for index, address in enumerate(self.addresses) if index != self.router_index]

    def close(self) -> None:
        """Close the socket."""
        self.pause_receiving()
        if self.socket is not None:
            self.socket.close()


def _bind(host: str, port: int) -> socket.socket:
    udp_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    if hasattr(socket, "SO_REUSEPORT"):  # during an upgrade, two processes bind the same port
        with contextlib.suppress(OSError):
            udp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    udp_socket.bind((host, port))
    return udp_socket
