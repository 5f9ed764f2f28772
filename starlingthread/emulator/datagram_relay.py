"""Router-to-router datagrams through a relay that delays, drops, repeats and reorders them."""

from __future__ import annotations

import asyncio
import functools
from typing import Any

import numpy as np

from ..experiment.randomness import Chances
from ..experiment.scenario import Datagrams

MAX_DATAGRAM = 256
REORDERED = 4.0  # times the usual delay for one that is overtaken


class _Place(asyncio.DatagramProtocol):
    """The address under which the others know one router (or all of them)."""

    def __init__(self, relay: DatagramRelay, target: int | None) -> None:
        self.relay, self.target = relay, target

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        self.relay.forward(self.target, data, (str(addr[0]), int(addr[1])))


class DatagramRelay:
    """One socket for each router, and one for all. ``drop`` is the share lost beyond the scenario's own."""

    def __init__(self, spec: Datagrams, rng: np.random.Generator) -> None:
        self.spec, self.extra_loss = spec, 0.0
        self.partitions: list[set[int]] = []  # routers that hear nobody outside their set, nor are heard there
        self.sent = self.delivered = self.dropped = self.oversized = self.unknown_senders = 0
        self.listeners: list[tuple[str, int]] = []  # where each router listens
        self.addresses: list[tuple[str, int]] = []
        self.broadcast_address: tuple[str, int] = ("", 0)
        self._chances = Chances(rng)
        self._places: list[asyncio.DatagramTransport] = []

    async def start(self, listeners: list[tuple[str, int]]) -> None:
        """Open the sockets; ``listeners`` are the routers' own addresses in order of their numbers."""
        self.listeners = listeners
        loop = asyncio.get_running_loop()
        for target in [*range(len(listeners)), None]:
            transport, _ = await loop.create_datagram_endpoint(
                functools.partial(_Place, self, target), local_addr=("127.0.0.1", 0)
            )
            self._places.append(transport)
        places = [t.get_extra_info("sockname")[:2] for t in self._places]
        self.addresses, self.broadcast_address = places[:-1], places[-1]

    def forward(self, target: int | None, data: bytes, sender: tuple[str, int]) -> None:
        """Take a datagram for one router, or for all others."""
        if sender not in self.listeners:
            self.unknown_senders += 1
            return
        if len(data) > MAX_DATAGRAM:
            self.oversized += 1
            return
        origin = self.listeners.index(sender)
        for to in range(len(self.listeners)) if target is None else [target]:
            if to == origin:
                continue
            self.sent += 1
            if any((to in part) != (origin in part) for part in self.partitions):
                self.dropped += 1
                continue
            copies = 2 if self._chances.next() < self.spec.repeat else 1
            for _ in range(copies):
                if self._chances.next() < self.spec.drop or self._chances.next() < self.extra_loss:
                    self.dropped += 1
                    continue
                delay = self.spec.delay_ms * (0.5 + self._chances.next())
                if self._chances.next() < self.spec.reorder:
                    delay *= REORDERED
                asyncio.get_running_loop().call_later(delay / 1000.0, self._deliver, origin, to, data)

    def _deliver(self, origin: int, to: int, data: bytes) -> None:
        place = self._places[origin]
        if not place.is_closing():
            self.delivered += 1
            place.sendto(data, self.listeners[to])

    def stop(self) -> None:
        """Close the sockets."""
        for place in self._places:
            place.close()
