"""The emulator: models in virtual time, servers and clients on sockets, scenarios, the command line."""

from __future__ import annotations

import asyncio
import contextlib
import heapq
import resource
import signal
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path

import msgspec
import numpy as np
import pytest
from click.testing import CliRunner

from starlingthread import options
from starlingthread.analysis import results
from starlingthread.cli.main import main
from starlingthread.emulator import faults
from starlingthread.emulator.cache_server import CacheServer
from starlingthread.emulator.datagram_relay import DatagramRelay
from starlingthread.emulator.discovery_server import DiscoveryServer, ListedServer
from starlingthread.emulator.origin_model import OriginModel
from starlingthread.emulator.schedule import EventLoopSchedule
from starlingthread.emulator.server_model import Job, ServerModel
from starlingthread.experiment import scenario
from starlingthread.experiment.records import FaultRecord, Ledger, StatusNotification
from starlingthread.load import traffic
from starlingthread.testbed import run

ROOT = Path(__file__).parents[1]
CALM = scenario.Scenario("calm")


class Virtual:
    """A Schedule whose time goes on only when told to."""

    def __init__(self) -> None:
        self.time, self.count = 0.0, 0
        self.due: list[tuple[float, int, Callable[[], None]]] = []

    def now(self) -> float:
        return self.time

    def after(self, delay: float, then: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.due, (self.time + delay, self.count, then))

    def run(self, until: float = 1e9) -> None:
        while self.due and self.due[0][0] <= until:
            self.time, _, then = heapq.heappop(self.due)
            then()
        if until < 1e9:
            self.time = max(self.time, until)


class Server:
    """A server on virtual time, and what became of its jobs."""

    def __init__(self, fleet: scenario.Fleet, origin: scenario.Origin | None = None) -> None:
        self.clock = Virtual()
        rng = np.random.default_rng(1)
        self.origin = OriginModel(origin or scenario.Origin(fetch_ms=10.0, cv=0.0), self.clock, rng)
        self.model = ServerModel(0, fleet, 1.0, self.clock, self.origin, rng)
        self.ended: list[tuple[str, str, str, float]] = []

    def ask(self, rid: str, key: str = "k", write: bool = False, repeat_key: str = "") -> None:
        self.model.submit(
            Job(
                rid,
                key,
                write,
                repeat_key,
                lambda job, how: self.ended.append((job.request_id, how, job.flags, round(self.clock.now(), 3))),
            )
        )


EVEN = scenario.Fleet(slots=2, waiting=1, hit_ms=4.0, miss_ms=2.0, work_cv=0.0, report_noise=0.0)


def test_a_server_works_in_its_slots_then_lets_wait_then_turns_away() -> None:
    server = Server(EVEN)
    server.model.store("k", 0)
    for rid in "abcd":
        server.ask(rid)
    assert server.ended == [("d", "busy", "", 0.0)]
    server.clock.run()
    assert server.ended[1:] == [("a", "served", "h1", 4.0), ("b", "served", "h1", 4.0), ("c", "served", "h1", 8.0)]


def test_misses_of_one_key_share_a_fetch_and_a_write_voids_the_copy() -> None:
    server = Server(EVEN)
    server.ask("a")
    server.clock.run(7.0)
    server.ask("b")
    server.clock.run()
    assert server.ended == [("a", "served", "h0", 16.0), ("b", "served", "h0 Z", 16.0)]
    assert server.origin.fetches == 1 and "k" in server.model.cache
    server.ask("w", write=True)
    server.clock.run()
    assert "k" not in server.model.cache and server.origin.versions["k"] == 1


def test_a_keyed_write_runs_once_even_while_the_first_is_out() -> None:
    server = Server(EVEN)
    server.ask("a", write=True, repeat_key="x")
    server.ask("b", write=True, repeat_key="x")
    server.clock.run()
    server.ask("c", write=True, repeat_key="x")
    server.clock.run()
    assert (server.origin.writes, server.origin.deduplicated_writes, server.origin.versions) == (1, 2, {"k": 1})
    assert [how for _, how, _, _ in server.ended] == ["served"] * 3


def test_memory_holds_the_keys_used_last_and_the_origin_fails_what_is_beyond_its_queue() -> None:
    fleet = msgspec.structs.replace(EVEN, memory_keys=2, slots=9)
    server = Server(fleet, scenario.Origin(slots=1, fetch_ms=10.0, cv=0.0, queue=1))
    for key in "abc":
        server.ask(key, key)
    server.clock.run()
    assert [(rid, how) for rid, how, _, _ in server.ended] == [("c", "failed"), ("a", "served"), ("b", "served")]
    server.ask("a2", "a")
    server.ask("d", "d")
    server.clock.run()
    assert list(server.model.cache) == ["a", "d"]


def test_a_cold_server_falls_when_it_is_sent_more_than_its_multiple() -> None:
    fleet = msgspec.structs.replace(
        EVEN, cold_from=0.1, cold_ms=1e6, waiting=999, overload_factor=4.0, tip_after_ms=1000.0
    )
    fell: list[tuple[str, ...]] = []
    for gap, falls in ((7.0, False), (4.0, True)):  # budget: 4 x 0.1 x 2 slots x 1000 ms of work; 4 ms a command
        server = Server(fleet)
        server.model.boot(cold=True)
        server.model.on_overload_crash = fell.append
        for number in range(600):
            server.clock.run(number * gap)
            if not server.model.crashed:
                server.ask(str(number), f"k{number}")
        assert server.model.crashed == falls
    assert len(fell) == 1 and len(fell[0]) > 200


def test_reports_are_as_old_as_they_are_said_to_be() -> None:
    server = Server(msgspec.structs.replace(EVEN, report_period_ms=100.0, report_delay_ms=300.0))
    server.model.report()
    server.ask("a")
    server.clock.run(1.0)
    for at in (100.0, 200.0, 300.0, 399.0):
        server.clock.run(at - 1e-6)
        server.model.busy_slots = 2
        assert server.model.report()["inflight"] == 0.0
    server.clock.run(450.0)
    server.model.report()
    server.clock.run(760.0)
    assert server.model.report()["inflight"] >= 2.0


# sockets


class Place:
    """A server on a real socket, and a connection to it."""

    async def up(self, fleet: scenario.Fleet = EVEN) -> Place:
        schedule, self.ledger = EventLoopSchedule(asyncio.get_running_loop()), Ledger()
        rng = np.random.default_rng(1)
        origin = OriginModel(scenario.Origin(fetch_ms=1.0, cv=0.0), schedule, rng)
        fleet = msgspec.structs.replace(fleet, hit_ms=1.0, handshake_ms=0.0)
        model = ServerModel(0, fleet, 1.0, schedule, origin, rng)
        self.server = CacheServer(model, "s-0", "a", 50, schedule, self.ledger, rng)
        self.server.model.store("k", 0)
        await self.server.start()
        return await self.connect()

    async def connect(self) -> Place:
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        return self

    async def ask(self, rid: str, within: float = 2.0) -> bytes:
        """Ask for a key; return the answer, what there is of it, or ``nothing``."""
        self.writer.write(f"mg k v O{rid} Pc=read,d=480\r\n".encode())
        return await self.heard(within)

    async def heard(self, within: float = 2.0) -> bytes:
        line = b""
        try:
            async with asyncio.timeout(within):
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


def play(script: Callable[[Place], object]) -> None:
    async def whole() -> None:
        place = await Place().up()
        await script(place)  # type: ignore[misc]
        place.server.crash()

    asyncio.run(whole())


def test_a_server_answers_in_order_with_hit_flags_and_a_report() -> None:
    async def script(place: Place) -> None:
        place.writer.write(b"mg miss v O1 Pc=r,d=9\r\nmg k v O2 Pc=r,d=9\r\nmn\r\nstats load\r\n")
        place.writer.write(b"ms k 2 O3 Pc=w,d=9\r\nhi\r\n")
        first, second = await place.heard(), await place.heard()
        assert first.startswith(b"VA 50 O1 h0 Linflight=") and b"\r\n1 miss v0 b0 xx" in first
        assert second.startswith(b"VA 50 O2 h1 L")
        assert await place.heard() == b"MN\r\n"
        stats = [await place.heard() for _ in range(4)]
        assert stats[0].startswith(b"STAT inflight ") and stats[3] == b"END\r\n"
        assert (await place.heard()).startswith(b"HD O3 c")
        assert [d.verdict + d.outcome for d in place.ledger.deliveries] == ["runanswered"] * 3

    play(script)


def test_each_fault_of_a_server_is_seen_on_its_sockets() -> None:
    async def script(place: Place) -> None:
        server = place.server
        server.freeze()
        assert await place.ask("1", 0.05) == b"nothing"
        server.resume()
        assert (await place.heard()).startswith(b"VA 50 O1")
        server.truncation_rate = 1.0
        half = await place.ask("2", 0.1)
        assert half.startswith(b"VA ") or half == b"nothing"
        assert len(half) < 60
        server.truncation_rate, server.corruption_rate = 0.0, 1.0
        answers = set()
        for _ in range(12):  # one of the five ways only shows behind the answer
            await place.connect()
            answers.add(await place.ask("3", 0.1))
        server.corruption_rate = 0.0
        assert len(answers) >= 3
        await place.connect()
        server.reset_rate = 1.0
        assert await place.ask("4") in (b"reset", b"")
        server.reset_rate = 0.0
        await place.connect()
        server.become_unreachable()
        assert await place.ask("5", 0.05) == b"nothing"
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(asyncio.open_connection("127.0.0.1", server.port), 0.1)
        await server.become_reachable()
        assert await place.heard() in (b"reset", b"")
        await place.connect()
        server.drain()
        assert await place.ask("6") == b"SERVER_ERROR busy\r\n"
        old = server.port
        server.crash()
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection("127.0.0.1", old)
        await server.restart()
        assert server.port == old and server.model.capacity_share() < 0.3
        await place.connect()
        assert b" h0 " in await place.ask("7")

    play(script)


def test_a_server_past_its_connections_turns_away_and_survives_garbage() -> None:
    async def script(place: Place) -> None:
        place.writer.write(b"\x00\xff what\r\nmg x\r\n")
        assert await place.heard() == b"ERROR\r\n"
        assert (await place.heard()).startswith(b"CLIENT_ERROR")
        place.server.model.spec = msgspec.structs.replace(EVEN, connections=1)
        second = await Place.connect(place)
        assert await second.ask("2") == b"SERVER_ERROR busy\r\n"
        assert place.ledger.deliveries[-1].outcome == "turned-away"

    play(script)


def test_discovery_tells_changes_goes_down_and_notes_who_was_told() -> None:
    async def call(port: int, path: str) -> tuple[asyncio.StreamReader, bytes]:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        held.append(writer)
        return reader, await reader.readline()

    async def until(reader: asyncio.StreamReader, text: bytes) -> bytes:
        while text not in (line := await reader.readline()):
            assert line, "the answer ended"
        return line

    held: list[asyncio.StreamWriter] = []

    async def whole() -> None:
        notified: list[StatusNotification] = []
        server = DiscoveryServer(2, 0.0, notified)
        entries = [ListedServer(n, f"s-{n}", [f"127.0.0.1:{n + 1}"], "a") for n in range(3)]
        server.entries = {e.number: e for e in entries}
        await server.start()
        _, status = await call(server.ports[0], "/registry/instances")
        assert b"200" in status and {(t.router, t.server) for t in notified} == {(0, 0), (0, 1), (0, 2)}
        watch, status = await call(server.ports[1], "/registry/instances?watch=1&after=1")
        assert b"200" in status
        line = await until(watch, b'"endpoints":')
        assert b'"snapshot": false' in line and b'"endpoints": []' in line
        entries[1].status = "terminating"
        server.publish(entries[1])
        line = await until(watch, b"terminating")
        assert b'"index": 2' in line and notified[-1].router == 1 and notified[-1].status == "terminating"
        server.set_down(True)
        with contextlib.suppress(ConnectionError):
            await asyncio.wait_for(watch.read(), 5.0)
        statuses = {(await call(server.ports[0], "/registry/instances"))[1] for _ in range(2)}
        assert any(b"503" in s for s in statuses) and b"" in statuses
        server.set_down(False)
        _, status = await call(server.ports[0], "/registry/instances?watch=1&after=nine")
        assert b"400" in status
        await server.stop()

    asyncio.run(asyncio.wait_for(whole(), 20.0))


def test_the_relay_drops_repeats_and_keeps_strangers_out() -> None:
    class End(asyncio.DatagramProtocol):
        def __init__(self) -> None:
            self.got: list[tuple[bytes, int]] = []

        def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
            self.got.append((data, addr[1]))

    async def whole() -> None:
        loop = asyncio.get_running_loop()
        ends = [await loop.create_datagram_endpoint(End, local_addr=("127.0.0.1", 0)) for _ in range(4)]
        listeners = [t.get_extra_info("sockname")[:2] for t, _ in ends[:3]]
        relay = DatagramRelay(scenario.Datagrams(0.0, 0.0, 1.0, 0.0), np.random.default_rng(2))
        await relay.start(listeners)
        ends[0][0].sendto(b"one", relay.addresses[1])
        ends[0][0].sendto(b"all", relay.broadcast_address)
        ends[0][0].sendto(b"x" * 257, relay.broadcast_address)
        ends[3][0].sendto(b"stranger", relay.broadcast_address)
        while relay.delivered < 6 or relay.unknown_senders < 1:
            await asyncio.sleep(0)
        while len(ends[1][1].got) + len(ends[2][1].got) < 6:
            await asyncio.sleep(0)
        seen = sorted(ends[1][1].got), sorted(ends[2][1].got)
        mine = relay.addresses[0][1]
        assert seen == ([(b"all", mine)] * 2 + [(b"one", mine)] * 2, [(b"all", mine)] * 2)
        assert not ends[0][1].got and relay.oversized == 1
        relay.extra_loss = 1.0
        ends[0][0].sendto(b"lost", relay.broadcast_address)
        while relay.dropped < 4:
            await asyncio.sleep(0)
        relay.stop()

    asyncio.run(asyncio.wait_for(whole(), 20.0))


# faults


class Notes:
    """A testbed that writes down what faults do to it."""

    def __init__(self, played: scenario.Scenario) -> None:
        self.scenario = played
        self.done: list[tuple[object, ...]] = []
        self.marks: list[FaultRecord] = []

    async def call_server(self, number: int, method: str) -> None:
        self.done.append((method, number))

    async def set_server_attribute(self, number: int, name: str, value: float) -> None:
        self.done.append((name, value))

    def publish_status(self, number: int, status: str, restarted: bool = False) -> None:
        self.done.append((status, restarted))

    async def call_clients(self, method: str, *arguments: object) -> None:
        self.done.append((method, *arguments))

    async def bad_clients(self, per_second: float, seconds: float, half: bool) -> None:
        self.done.append(("bad", half))

    async def set_link_conditions(self, number: int, groups: list[int], figures: dict[str, float]) -> None:
        self.done.append(("link", number, " ".join(f"{name}={value:g}" for name, value in figures.items())))

    def partition_discovery(self, routers: set[int], is_cut: bool) -> None:
        self.done.append(("discovery cut", *routers, is_cut))

    def partition_peers(self, routers: set[int], is_split: bool) -> None:
        self.done.append(("split", *routers, is_split))

    def set_discovery_down(self, is_down: bool) -> None:
        self.done.append(("down", is_down))

    def set_datagram_loss(self, share: float) -> None:
        self.done.append(("drop", share))

    def slow_origin(self, factor: float) -> None:
        self.done.append(("jam", factor))

    async def kill_router(self, number: int) -> None:
        self.done.append(("kill", number))

    async def restart_router(self, number: int) -> None:
        self.done.append(("restart-router", number))

    async def start_router(self, number: int) -> None:
        self.done.append(("start", number))

    def signal_router(self, number: int, which: signal.Signals) -> None:
        self.done.append((which.name, number))

    def record_fault(self, marked: FaultRecord) -> None:
        self.marks.append(marked)


EXPECTED: dict[str, list[tuple[object, ...]]] = {
    "slow": [("slowdown", 2.0), ("slowdown", 1.0)],
    "pause": [("freeze", 1), ("resume", 1)],
    "pauses": [("freeze", 1), ("resume", 1)],
    "heavy-tail": [("tail_share", 0.02), ("tail_factor", 2.0), ("tail_share", 0.0)],
    "silent": [("become_unreachable", 1), ("become_reachable", 1), ("terminated", False), ("in_service", False)],
    "crash": [("crash", 1), ("restart", 1), ("terminated", False), ("in_service", True)],
    "replace": [("crash", 1), ("restart", 1), ("in_service", True)],
    "reset": [("reset_rate", 0.5), ("reset_rate", 0.0)],
    "late-reports": [("extra_report_delay_ms", 2.0), ("extra_report_delay_ms", 0.0)],
    "spoilt": [("corruption_rate", 0.5), ("corruption_rate", 0.0)],
    "half-answers": [("truncation_rate", 0.5), ("truncation_rate", 0.0)],
    "garbage-clients": [("bad", False)],
    "half-commands": [("bad", True)],
    "leaving-clients": [("leave", 0.5), ("leave", 0.0)],
    "lost-datagrams": [("drop", 0.5), ("drop", 0.0)],
    "discovery-down": [("down", True), ("down", False)],
    "kill-router": [("kill", 1), ("start", 1)],
    "stop-router": [("SIGSTOP", 1), ("SIGCONT", 1)],
    "restart-router": [("restart-router", 1)],
    "shrink": [
        ("drain", 1),
        ("restart", 1),
        ("terminating", False),
        ("in_service", True),
        ("crash", 1),
        ("terminated", False),
    ],
    "zone-dark": [("become_unreachable", 1), ("become_reachable", 1), ("terminated", False), ("in_service", False)],
    "origin-jam": [("jam", 2.0), ("jam", 1.0)],
    "surge": [],
    "link-cut": [
        ("link", 1, "inbound_blocked=1 outbound_blocked=1"),
        ("link", 1, "inbound_blocked=0 outbound_blocked=0"),
    ],
    "link-slow": [("link", 1, "delay_ms=2"), ("link", 1, "delay_ms=0")],
    "link-lossy": [("link", 1, "loss_rate=0.5"), ("link", 1, "loss_rate=0")],
    "link-broken": [("link", 1, "truncation_rate=0.5"), ("link", 1, "truncation_rate=0")],
    "discovery-cut": [("discovery cut", 1, True), ("discovery cut", 1, False)],
    "peers-cut": [("split", 1, True), ("split", 1, False)],
}


@pytest.mark.parametrize("kind", EXPECTED)
def test_each_fault_is_carried_out_and_taken_back(kind: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(faults, "DRAIN_PERIOD_S", 0.0)
    least, most, _ = scenario.STRENGTHS.get(kind, (0.0, 0.0, ""))
    strength = 0.5 if most == 1.0 else min(2.0, most)
    fault = scenario.Fault(
        kind,  # type: ignore[arg-type]
        0.0,
        0.001,
        max(least, strength),
        servers=(1,),
        routers=(1,),
        zone="bloco-b",
        every_s=0.001,
    )
    quick = scenario.Discovery(notice_ms=0.0, crash_notice_ms=0.0)
    played = msgspec.structs.replace(CALM, faults=(fault,), discovery=quick, fleet=scenario.Fleet(servers=2))
    notes = Notes(played)
    asyncio.run(faults.FaultInjector(notes, np.random.default_rng(1)).run(0.0))
    assert sorted(notes.done, key=str) == sorted(EXPECTED[kind], key=str)
    assert [m.kind for m in notes.marks] == [kind]


def test_targets_are_drawn_by_the_seed_alone() -> None:
    fault = scenario.Fault("slow", 0.0, 1.0, 2.0, part=0.3)
    drawn = [faults.targets(fault, CALM, np.random.default_rng(s)) for s in (1, 1, 2)]
    assert drawn[0] == drawn[1] != drawn[2] and len(drawn[0]) == 3


# traffic and results


def test_arrivals_follow_the_rate_the_surge_and_the_seed_and_keys_drift() -> None:
    surge = scenario.Fault("surge", 5.0, 5.0, 3.0)
    steady = scenario.Traffic(rate=1000.0, zipf=1.0)
    played = msgspec.structs.replace(CALM, length_s=20.0, faults=(surge,), traffic=steady)
    one, two = traffic.draw(played), traffic.draw(played)
    assert np.array_equal(one.at, two.at) and np.array_equal(one.key, two.key)
    assert abs(np.sum((one.at >= 5000) & (one.at < 10000)) - 15000) < 500
    assert abs(np.sum(one.at < 5000) - 5000) < 300 and (np.diff(one.at) >= 0).all()
    top = traffic.hottest_first(played)[0]
    assert abs(np.mean(one.key == top) - 1 / np.sum(1 / np.arange(1, 5001))) < 0.01
    drifting = msgspec.structs.replace(played, traffic=scenario.Traffic(rate=1000.0, drift_per_s=0.1))
    late = traffic.draw(drifting).key[-3000:]
    assert np.mean(late == top) < 0.02
    calm = traffic.draw(msgspec.structs.replace(played, faults=()))
    assert len(calm.at) < len(one.at)


def test_percentiles_are_those_of_the_latencies() -> None:
    drawn = np.random.default_rng(3).lognormal(3.0, 1.0, 20000)
    found = results.percentiles_of(drawn.tolist())
    for name in ("50", "99", "99.9"):
        assert found[name] == pytest.approx(float(np.percentile(drawn, float(name))), rel=0.01)


# scenarios and the command line


@pytest.mark.parametrize("path", sorted((ROOT / "scenarios").glob("*.toml")), ids=lambda p: p.stem)
def test_scenarios_are_good_and_round_trip(path: Path) -> None:
    read = scenario.read(path)
    assert read.name == path.stem and read.about
    assert msgspec.convert(msgspec.to_builtins(read), scenario.Scenario) == read
    assert msgspec.json.decode(msgspec.json.encode(read), type=scenario.Scenario) == read


@pytest.mark.parametrize(
    ("text", "key", "expected"),
    [
        ("[fleet]\nservrs = 3", "fleet", "unknown field `servrs`"),
        ("[fleet]\nservers = 0", "fleet.servers", ">= 1"),
        ("[traffic]\nrate = 'fast'", "traffic.rate", "float"),
        ("length_s = 99999999", "length_s", "<= 86400"),
        ("[[faults]]\nkind = 'slw'\nstart_s = 1", "faults[", "expected one of slow, pause,"),
        ("[[faults]]\nkind = 'slow'\nstart_s = 1\nstrength = 0.5", "faults[0].strength", "1 to 1000"),
        ("[[faults]]\nkind = 'pause'\nstart_s = 99", "faults[0].start_s", "less than length_s"),
        ("[[faults]]\nkind = 'crash'\nstart_s = 1\nservers = [9]", "faults[0].servers", "0 to 8"),
        ("[[faults]]\nkind = 'zone-dark'\nstart_s = 1\nzone = 'x'", "faults[0].zone", "bloco-a"),
        ("[[faults]]\nkind = 'kill-router'\nstart_s = 1\nrouters = [3]", "faults[0].routers", "0 to 2"),
        ("[[traffic.classes]]\nname = 'a'\nshare = 1\neffect = 'once'", "traffic.classes[0].write", "true"),
        ("[traffic]\nrate = 1e9", "traffic.rate", "at most 20000000"),
        ("[fleet]\ncold_servers = 10", "fleet.cold_servers", "at most fleet.servers 9"),
        ("[fleet]\nboxes = 3", "fleet", "unknown field `boxes`, it is called `servers` now"),
        ("[machine]\nbox_processes = 3", "machine", "it is called `server_processes` now"),
        ("[[faults]]\nkind = 'link-cut'\nstart_s = 1\nway = 'to-box'", "faults[0].way", "it is called `to-server` now"),
        ("[fleet", "not valid TOML", "not valid TOML"),
    ],
)
def test_a_bad_scenario_is_told_by_file_key_and_expectation(text: str, key: str, expected: str, tmp_path: Path) -> None:
    path = tmp_path / "bad.toml"
    path.write_text(f'name = "bad"\n{text}\n')
    done = CliRunner().invoke(main, ["bench", str(path)])
    assert done.exit_code == 1 and len(done.stderr.splitlines()) == 1
    assert str(path) in done.stderr and key in done.stderr and expected in done.stderr


def test_a_scenario_larger_than_the_machine_is_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(resource, "getrlimit", lambda _: (1024, 4096))
    big = msgspec.structs.replace(CALM, fleet=scenario.Fleet(servers=2000))
    with pytest.raises(run.RunError, match="allows 4096: raise machine"):
        run.check_machine(big)


@pytest.mark.parametrize(
    ("arguments", "code", "says"),
    [
        (["bench", "nowhere.toml"], 2, "nowhere.toml"),
        (["bench"], 2, "SCENARIO"),
        (["serve"], 2, "--config FILE"),
        (["frobnicate"], 2, "frobnicate"),
        (["bench", str(ROOT / "scenarios/calm.toml"), "--set", "rate"], 1, "key=value"),
        (["bench", str(ROOT / "scenarios/calm.toml"), "--set", "traffic.rte=1"], 1, "rte"),
        (["compare", str(ROOT / "pyproject.toml"), str(ROOT / "pyproject.toml")], 1, "no results"),
        (["check-config", str(ROOT / "README.md")], 2, ".json or .toml"),
        (["check-config", str(ROOT / "deploy/starlingthread.toml")], 0, "good"),
        (["check-config", str(ROOT / "scenarios/slow.toml")], 0, "1 faults: good"),
        (["completion", "bash"], 0, "_STARLINGTHREAD_COMPLETE"),
        (["--help"], 0, "demo"),
    ],
)
def test_the_command_line_tells_misuse_from_failure(arguments: list[str], code: int, says: str) -> None:
    done = CliRunner().invoke(main, arguments)
    assert (done.exit_code, says in done.output) == (code, True), done.output


def test_a_bad_operators_file_is_told_by_key(tmp_path: Path) -> None:
    path = tmp_path / "own.toml"
    path.write_text('[log]\nformat = "xml"\n')
    done = CliRunner().invoke(main, ["check-config", str(path)])
    assert done.exit_code == 1 and "log.format" in done.stderr and "xml" in done.stderr
    with pytest.raises(options.OptionsError, match="unknown field"):
        options.parse("[logs]\n", "own.toml")


def test_a_router_imports_nothing_of_the_lab() -> None:
    lab = "{'numpy', 'aiohttp', 'rich', 'uvloop', 'matplotlib', 'psutil', 'click', 'jinja2', 'hdrh'}"
    code = f"import sys, starlingthread.__main__; print(sorted({lab} & set(sys.modules)))"
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True, timeout=60)
    assert done.stdout == "[]\n"
