"""Relay for datagrams between routers, which delays, drops, duplicates and reorders them."""

from __future__ import annotations

import asyncio
import functools
from typing import Any

import numpy as np

from ..experiment.randomness import UniformDraws
from ..experiment.scenario import Datagrams

MAX_DATAGRAM_BYTES = 256
# Factor on the delay of a reordered datagram, so that datagrams sent later arrive first.
_REORDERED_DELAY_FACTOR = 4.0

_Address = tuple[str, int]


class _RelayEndpoint(asyncio.DatagramProtocol):
    """Socket at which the relay receives datagrams for one router, or for all routers if the target is None."""

    def __init__(self, relay: DatagramRelay, target: int | None) -> None:
        self._relay = relay
        self._target = target

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        self._relay.forward(self._target, data, (str(addr[0]), int(addr[1])))


class DatagramRelay:
    """Forwards datagrams between routers through one socket for each router and one for broadcasts."""

    def __init__(self, spec: Datagrams, rng: np.random.Generator) -> None:
        self.spec = spec
        self.extra_loss_rate = 0.0  # share of datagrams dropped in addition to the loss rate of the scenario
        self.partitions: list[set[int]] = []  # sets of routers that exchange datagrams only within their set
        self.sent = 0
        self.delivered = 0
        self.dropped = 0
        self.oversized = 0
        self.unknown_senders = 0
        self.listeners: list[_Address] = []  # addresses at which the routers themselves listen
        self.addresses: list[_Address] = []
        self.broadcast_address: _Address = ("", 0)
        self._draws = UniformDraws(rng)
        self._transports: list[asyncio.DatagramTransport] = []

    async def start(self, listeners: list[_Address]) -> None:
        """Open the sockets; ``listeners`` are the addresses at which the routers listen, in order of their numbers."""
        self.listeners = listeners
        loop = asyncio.get_running_loop()
        for target in [*range(len(listeners)), None]:
            transport, _ = await loop.create_datagram_endpoint(
                functools.partial(_RelayEndpoint, self, target), local_addr=("127.0.0.1", 0)
            )
            self._transports.append(transport)
        addresses = [transport.get_extra_info("sockname")[:2] for transport in self._transports]
        self.addresses = addresses[:-1]
        self.broadcast_address = addresses[-1]

    def forward(self, target: int | None, data: bytes, sender: _Address) -> None:
        """Forward a datagram to the target router, or to all routers but the sender if the target is None."""
        if sender not in self.listeners:
            self.unknown_senders += 1
            return
        if len(data) > MAX_DATAGRAM_BYTES:
            self.oversized += 1
            return
        source = self.listeners.index(sender)
        for destination in range(len(self.listeners)) if target is None else [target]:
            if destination != source:
                self._forward_to(destination, data, source)

    def _forward_to(self, destination: int, data: bytes, source: int) -> None:
        self.sent += 1
        if self._is_partitioned(source, destination):
            self.dropped += 1
            return
        copies = 2 if self._draws.next() < self.spec.duplicate else 1
        for _ in range(copies):
            if self._draws.next() < self.spec.drop or self._draws.next() < self.extra_loss_rate:
                self.dropped += 1
                continue
            delay_ms = self.spec.delay_ms * (0.5 + self._draws.next())
            if self._draws.next() < self.spec.reorder:
                delay_ms *= _REORDERED_DELAY_FACTOR
            asyncio.get_running_loop().call_later(delay_ms / 1000.0, self._deliver, source, destination, data)

    def _is_partitioned(self, source: int, destination: int) -> bool:
        return any((source in routers) != (destination in routers) for routers in self.partitions)

    def _deliver(self, source: int, destination: int, data: bytes) -> None:
        transport = self._transports[source]
        if not transport.is_closing():
            self.delivered += 1
            transport.sendto(data, self.listeners[destination])

    def stop(self) -> None:
        """Close the sockets."""
        for transport in self._transports:
            transport.close()
