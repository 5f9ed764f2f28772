"""Tests of the relay for datagrams between routers."""

from __future__ import annotations

import asyncio

import numpy as np

from starlingthread.emulator.datagram_relay import DatagramRelay
from starlingthread.experiment import scenario


def test_the_relay_duplicates_and_drops_datagrams_and_ignores_unknown_senders() -> None:
    class Receiver(asyncio.DatagramProtocol):
        def __init__(self) -> None:
            self.received: list[tuple[bytes, int]] = []

        def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
            self.received.append((data, addr[1]))

    async def run() -> None:
        loop = asyncio.get_running_loop()
        endpoints = [await loop.create_datagram_endpoint(Receiver, local_addr=("127.0.0.1", 0)) for _ in range(4)]
        listeners = [transport.get_extra_info("sockname")[:2] for transport, _ in endpoints[:3]]
        relay = DatagramRelay(scenario.Datagrams(0.0, 0.0, 1.0, 0.0), np.random.default_rng(2))
        await relay.start(listeners)
        endpoints[0][0].sendto(b"one", relay.addresses[1])
        endpoints[0][0].sendto(b"all", relay.broadcast_address)
        endpoints[0][0].sendto(b"x" * 257, relay.broadcast_address)
        endpoints[3][0].sendto(b"unknown", relay.broadcast_address)
        while relay.delivered < 6 or relay.unknown_senders < 1:
            await asyncio.sleep(0)
        while len(endpoints[1][1].received) + len(endpoints[2][1].received) < 6:
            await asyncio.sleep(0)
        received = sorted(endpoints[1][1].received), sorted(endpoints[2][1].received)
        sender = relay.addresses[0][1]
        assert received == ([(b"all", sender)] * 2 + [(b"one", sender)] * 2, [(b"all", sender)] * 2)
        assert not endpoints[0][1].received and relay.oversized == 1
        relay.extra_loss_rate = 1.0
        endpoints[0][0].sendto(b"lost", relay.broadcast_address)
        while relay.dropped < 4:
            await asyncio.sleep(0)
        relay.stop()

    asyncio.run(asyncio.wait_for(run(), 20.0))
