"""Tests of emulated cache servers on sockets, and of their faults."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec
import numpy as np
import pytest

from starlingthread.emulator.cache_server import CacheServer
from starlingthread.emulator.origin_model import OriginModel
from starlingthread.emulator.schedule import EventLoopScheduler
from starlingthread.emulator.server_model import ServerModel
from starlingthread.experiment import scenario
from starlingthread.experiment.records import Ledger

FLEET = scenario.Fleet(slots=2, queue_length=1, hit_ms=4.0, miss_ms=2.0, work_cv=0.0, report_noise=0.0)


class ServerClient:
    """A server on a real socket, and a client connection to it."""

    async def start(self, fleet: scenario.Fleet = FLEET) -> ServerClient:
        scheduler, self.ledger = EventLoopScheduler(asyncio.get_running_loop()), Ledger()
        rng = np.random.default_rng(1)
        origin = OriginModel(scenario.Origin(fetch_ms=1.0, cv=0.0), scheduler, rng)
        fleet = msgspec.structs.replace(fleet, hit_ms=1.0, handshake_ms=0.0)
        model = ServerModel(0, fleet, 1.0, scheduler, origin, rng)
        self.server = CacheServer(model, 50, scheduler, self.ledger, rng)
        self.server.model.store("k", 0)
        await self.server.start()
        return await self.connect()

    async def connect(self) -> ServerClient:
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        return self

    async def get(self, request_id: str, timeout_s: float = 2.0) -> bytes:
        """Get a key; return the complete or partial answer, ``reset`` or ``nothing``."""
        self.writer.write(f"mg k v O{request_id} Pc=read,d=480\r\n".encode())
        return await self.read_answer(timeout_s)

    async def read_answer(self, timeout_s: float = 2.0) -> bytes:
        line = b""
        try:
            async with asyncio.timeout(timeout_s):
                line = await self.reader.readline()
                if line.startswith(b"VA "):
                    line += await self.reader.readexactly(int(line.split()[1]) + 2)
        except TimeoutError:
            return line or b"nothing"
        except asyncio.IncompleteReadError as error:
            return line + error.partial
        except ConnectionError:
            return b"reset"
        return line


def run_with_client(script: Callable[[ServerClient], object]) -> None:
    async def run() -> None:
        client = await ServerClient().start()
        await script(client)  # type: ignore[misc]
        client.server.crash()

    asyncio.run(run())


def test_a_server_answers_in_order_with_hit_flags_and_a_load_report() -> None:
    async def script(client: ServerClient) -> None:
        client.writer.write(b"mg miss v O1 Pc=r,d=9\r\nmg k v O2 Pc=r,d=9\r\nmn\r\nstats load\r\n")
        client.writer.write(b"ms k 2 O3 Pc=w,d=9\r\nhi\r\n")
        first, second = await client.read_answer(), await client.read_answer()
        assert first.startswith(b"VA 50 O1 h0 Linflight=") and b"\r\n1 miss v0 b0 xx" in first
        assert second.startswith(b"VA 50 O2 h1 L")
        assert await client.read_answer() == b"MN\r\n"
        stats = [await client.read_answer() for _ in range(4)]
        assert stats[0].startswith(b"STAT inflight ") and stats[3] == b"END\r\n"
        assert (await client.read_answer()).startswith(b"HD O3 c")
        assert [d.disposition + d.outcome for d in client.ledger.deliveries] == ["runanswered"] * 3

    run_with_client(script)


def test_each_fault_of_a_server_is_visible_on_its_sockets() -> None:
    async def script(client: ServerClient) -> None:
        server = client.server
        server.freeze()
        assert await client.get("1", 0.05) == b"nothing"
        server.resume()
        assert (await client.read_answer()).startswith(b"VA 50 O1")
        server.answer_faults.truncation_rate = 1.0
        partial_answer = await client.get("2", 0.1)
        assert partial_answer.startswith(b"VA ") or partial_answer == b"nothing"
        assert len(partial_answer) < 60
        server.answer_faults.truncation_rate, server.answer_faults.corruption_rate = 0.0, 1.0
        answers = set()
        for _ in range(12):  # one of the five corruptions only adds data after the answer
            await client.connect()
            answers.add(await client.get("3", 0.1))
        server.answer_faults.corruption_rate = 0.0
        assert len(answers) >= 3
        await client.connect()
        server.answer_faults.reset_rate = 1.0
        assert await client.get("4") in (b"reset", b"")
        server.answer_faults.reset_rate = 0.0
        await client.connect()
        server.become_unreachable()
        assert await client.get("5", 0.05) == b"nothing"
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(asyncio.open_connection("127.0.0.1", server.port), 0.1)
        await server.become_reachable()
        assert await client.read_answer() in (b"reset", b"")
        await client.connect()
        server.drain()
        assert await client.get("6") == b"SERVER_ERROR busy\r\n"
        old_port = server.port
        server.crash()
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection("127.0.0.1", old_port)
        await server.restart()
        assert server.port == old_port and server.model.capacity_share() < 0.3
        await client.connect()
        assert b" h0 " in await client.get("7")

    run_with_client(script)


def test_a_server_past_its_connection_limit_rejects_commands_and_survives_garbage() -> None:
    async def script(client: ServerClient) -> None:
        client.writer.write(b"\x00\xff what\r\nmg x\r\n")
        assert await client.read_answer() == b"ERROR\r\n"
        assert (await client.read_answer()).startswith(b"CLIENT_ERROR")
        client.server.model.spec = msgspec.structs.replace(FLEET, connections=1)
        second = await ServerClient.connect(client)
        assert await second.get("2") == b"SERVER_ERROR busy\r\n"
        assert client.ledger.deliveries[-1].outcome == "turned-away"

    run_with_client(script)
