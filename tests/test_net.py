"""The actors on the sockets, with hand-fed streams: no socket, no waiting."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any
from unittest.mock import Mock

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from starlingthread import interface as api
from starlingthread.core.actors import Watcher
from starlingthread.core.router import Asked, Attempt, Ended, Failed, Gone, Refused, Served, Taken
from starlingthread.net import meta, servers
from starlingthread.net.clients import ClientActor, Front, key_number
from starlingthread.net.registry import LIST_PATH, Ids, ListError, ListReader, RegistryActor

from .test_router import Place
from .world import THROUGH


class Transport:
    """Stands for a socket; notes what is done to it."""

    def __init__(self) -> None:
        self.sent = bytearray()
        self.gone = self.paused = False
        self.unsent = 0

    def is_closing(self) -> bool:
        return self.gone

    def get_write_buffer_size(self) -> int:
        return self.unsent

    def abort(self) -> None:
        self.gone = True

    def get_protocol(self) -> None:
        return None

    def is_reading(self) -> bool:
        return not self.gone and not self.paused

    def pause_reading(self) -> None:
        self.paused = True

    def resume_reading(self) -> None:
        self.paused = False


class Writer:
    """Stands for a StreamWriter."""

    def __init__(self) -> None:
        self.transport = Transport()
        self.mine, self.other = socket.socketpair()  # bytes that lie in the system, unread by the program
        self.on_eof: Callable[[], None] = lambda: None  # what the other side does about our end of file

    def get_extra_info(self, name: str) -> socket.socket:
        return self.mine

    def writelines(self, parts: tuple[bytes, ...]) -> None:
        assert not self.transport.gone
        self.transport.sent += b"".join(parts)

    async def drain(self) -> None:
        while self.transport.unsent and not self.transport.gone:
            await asyncio.sleep(0)

    def write_eof(self) -> None:
        self.on_eof()

    def close(self) -> None:
        self.transport.gone = True
        self.mine.close()
        self.other.close()


# clients


class Talk:
    """A client's connection to a front whose router is never run: tests answer."""

    def __init__(self) -> None:
        place = Place()
        self.router, self.watcher = place.router, Watcher()
        self.front = Front(THROUGH, self.router, self.watcher, 10, 8, 1 << 20, lambda: place.router.listed)
        self.reader, self.writer = asyncio.StreamReader(), Writer()
        self.writer.on_eof = self.reader.feed_eof  # it closes in turn
        self.actor = ClientActor(self.front, self.reader, self.writer)  # type: ignore[arg-type]
        self.front.actors.add(self.actor)
        self.watcher.start(self.actor.run(), "client", lambda _: None)

    async def settle(self) -> list[Any]:
        for _ in range(12):
            await asyncio.sleep(0)
        return list(self.router.mailbox.take())


def talk(script: Callable[[Talk], Any]) -> bytes:
    """Run a script against a client actor; return what the client was sent."""
    async def play() -> bytes:
        now = Talk()
        await script(now)
        await now.settle()
        await now.watcher.stop()
        assert now.front.held == 0
        return bytes(now.writer.transport.sent)

    return asyncio.run(play())


READS = b"mg a v O1 Pc=read,d=500\r\nmg b v O2 Pc=read,d=500\r\nmn\r\n"


def test_answers_come_in_the_order_of_the_commands() -> None:
    async def script(now: Talk) -> None:
        now.reader.feed_data(READS)
        first, second = (m.request for m in await now.settle())
        now.actor.answer(second, Refused(250.0))
        await now.settle()
        assert not now.writer.transport.sent
        value = meta.ServerAnswer(meta.Kind.VALUE, b"1", (b"VA 1 O1\r\n", b"x\r\n"))
        now.actor.answer(first, Served(value))
        now.actor.answer(first, Failed())  # a second answer is not sent

    assert talk(script) == b"VA 1 O1\r\nx\r\nSERVER_ERROR busy 250\r\nMN\r\n"


def test_a_client_that_leaves_withdraws_what_is_out() -> None:
    async def script(now: Talk) -> None:
        now.reader.feed_data(READS)
        asked = await now.settle()
        now.reader.feed_eof()
        gone = await now.settle()
        assert [m.request for m in gone] == [m.request for m in asked]
        assert all(isinstance(m, Gone) for m in gone) and now.writer.transport.gone

    talk(script)


def test_lost_framing_is_answered_and_the_connection_closed() -> None:
    async def script(now: Talk) -> None:
        now.reader.feed_data(b"mg a v O1 Pc=what,d=5\r\nms k nine O1\r\nmn\r\n")
        await now.settle()
        assert now.writer.transport.gone

    assert talk(script) == b"CLIENT_ERROR unknown class\r\nCLIENT_ERROR bad data length\r\n"


def test_a_client_that_sends_on_and_on_is_not_read_past_its_share() -> None:
    async def script(now: Talk) -> None:
        now.reader.feed_data(b"".join(b"mg a v O%d Pc=read,d=500\r\n" % n for n in range(40)))
        assert len(await now.settle()) == 16
        while now.actor.by_request:
            now.actor.answer(next(iter(now.actor.by_request)), Failed())
            await now.settle()

    assert talk(script) == b"SERVER_ERROR failed\r\n" * 40


def test_closing_waits_for_what_is_owed() -> None:
    async def script(now: Talk) -> None:
        now.reader.feed_data(READS[:25])
        (message,) = await now.settle()
        now.actor.shut_when_idle()
        await now.settle()
        assert isinstance(message, Asked) and not now.writer.transport.gone
        now.actor.answer(message.request, Failed())
        await now.settle()
        assert now.writer.transport.gone

    assert talk(script) == b"SERVER_ERROR failed\r\n"


def test_a_client_that_reads_nothing_is_cut_off() -> None:
    async def script(now: Talk) -> None:
        now.writer.transport.unsent = 1 << 20
        now.reader.feed_data(b"mn\r\n")
        await now.settle()
        now.front.deadlines.sweep(now.front.clock.now() + 9000.0)
        await now.settle()
        assert not now.writer.transport.gone
        now.front.deadlines.sweep(now.front.clock.now() + 10000.0)
        assert now.writer.transport.gone and now.front.counters["clients.cut_off"] == 1

    talk(script)


@pytest.mark.parametrize(("sent", "after", "answer"), [
    (b"", 2000.0, b""), (b"mg a v O1", 2200.0, b"CLIENT_ERROR command not finished\r\n"),
    (b"ms a 9 O1 Pc=read,d=5\r\nabc", 2200.0, b"CLIENT_ERROR command not finished\r\n"),
    (b"mn\r\n", 8000.0, b"MN\r\n")])
def test_a_connection_that_asks_for_nothing_is_closed(sent: bytes, after: float, answer: bytes) -> None:
    """Guards descriptors and memory against clients that hold their connection and say nothing, or half."""
    async def script(now: Talk) -> None:
        now.reader.feed_data(sent)
        await now.settle()
        now.router.clock.time += after - 1.0  # type: ignore[attr-defined]
        now.actor.look(now.front.clock.now(), crowded=False)
        await now.settle()
        assert not now.writer.transport.gone
        now.router.clock.time += 1.0  # type: ignore[attr-defined]
        now.actor.look(now.front.clock.now(), crowded=False)
        await now.settle()
        assert now.writer.transport.gone

    assert talk(script) == answer


def test_when_descriptors_are_out_those_who_said_nothing_go_first() -> None:
    async def script(now: Talk) -> None:
        def join(sent: bytes) -> ClientActor:
            reader = asyncio.StreamReader()
            now.front._accept(reader, Writer())  # type: ignore[arg-type]
            reader.feed_data(sent)
            return next(a for a in now.front.actors if a.reader is reader)

        now.front.most = 4
        now.reader.feed_data(READS[:25])
        half, mute, idle = join(b"mg "), join(b""), join(b"mn\r\n")
        await now.settle()
        now.router.clock.time += 200.0  # type: ignore[attr-defined]
        fresh = [join(READS[25:50]), join(b"mg c v O3 Pc=read,d=5\r\n")]
        await now.settle()
        assert mute not in now.front.actors and half not in now.front.actors
        assert {now.actor, idle, *fresh} == now.front.actors
        told = half.writer.transport.sent  # type: ignore[attr-defined]
        assert bytes(told) == b"CLIENT_ERROR command not finished\r\n"
        fresh.append(join(b"mg d v O4 Pc=read,d=5\r\n"))
        await now.settle()
        assert {now.actor, *fresh} == now.front.actors
        now.front._accept(asyncio.StreamReader(), (last := Writer()))  # type: ignore[arg-type]
        assert last.transport.gone and now.front.counters["clients.turned_away"] == 1

    talk(script)


def test_clients_that_keep_connections_for_good_leave_some_for_those_who_ask() -> None:
    """Guards against clients that find no connection left, of which a router hears nothing."""
    async def script(now: Talk) -> None:
        now.front.comfortable = 2
        now.reader.feed_data(READS[:25])
        readers = [asyncio.StreamReader() for _ in range(3)]
        for reader in readers:
            now.front._accept(reader, Writer())  # type: ignore[arg-type]
            reader.feed_data(b"mn\r\n")
            await now.settle()
            now.router.clock.time += 10.0  # type: ignore[attr-defined]
        now.front._look()
        await now.settle()
        assert len(now.front.actors) == 4
        now.router.clock.time += 85.0  # type: ignore[attr-defined]
        now.front._look()  # two have been idle for long enough, and there are two too many
        await now.settle()
        assert {a.reader for a in now.front.actors} == {now.reader, readers[2]}

    talk(script)


def test_a_connection_is_not_closed_while_bytes_lie_unread_in_its_socket() -> None:
    async def script(now: Talk) -> None:
        now.writer.other.send(b"mg a v O1 Pc=read,d=500")  # the system has them, the reader has not
        now.actor.shut_when_idle()
        await now.settle()
        assert not now.writer.transport.gone
        now.writer.mine.recv(100)
        now.actor.mailbox.wake()
        await now.settle()
        assert now.writer.transport.gone

    assert talk(script) == b""


def test_a_request_that_crosses_our_close_is_answered_if_it_was_taken_off_the_socket() -> None:
    """Guards against a loss: nobody else can read that request any more, and its client would see a close."""
    async def script(now: Talk) -> None:
        await now.settle()
        now.actor.shut_when_idle()  # the actor's turn to close comes before the reader's
        now.reader.feed_data(READS[:25])
        (asked,) = await now.settle()
        assert not now.writer.transport.gone and not now.writer.transport.paused
        now.actor.answer(asked.request, Failed())

    assert talk(script) == b"SERVER_ERROR failed\r\n"


def test_an_id_that_is_open_is_an_error_and_free_again_after_its_answer() -> None:
    async def script(now: Talk) -> None:
        now.reader.feed_data(READS[:25] * 2)
        (first,) = await now.settle()
        now.actor.answer(first.request, Failed())
        await now.settle()
        now.reader.feed_data(READS[:25])
        assert len(await now.settle()) == 1

    assert talk(script) == b"SERVER_ERROR failed\r\nCLIENT_ERROR id in use\r\n"


def test_who_sends_nothing_but_nonsense_is_not_listened_to_for_ever() -> None:
    async def script(now: Talk) -> None:
        now.reader.feed_data(b"what\r\n" * 100)
        await now.settle()
        assert now.writer.transport.gone

    assert talk(script) == b"ERROR\r\n" * 8


def test_a_key_is_the_same_number_everywhere() -> None:
    assert key_number(b"7f3a9c21e0b4d655") == 0xd54b9bf28703f94e
    assert key_number(b"a") == key_number(b"a") != key_number(b"b")


# cache servers


class Held:
    """A server actor with one connection in its pool, driven message by message."""

    def __init__(self) -> None:
        with contextlib.suppress(RuntimeError):  # streams want a loop, though none is run here
            asyncio.set_event_loop(asyncio.new_event_loop())
        self.place = Place()
        self.fleet = servers.ServerFleet(THROUGH, self.place.router, Watcher(), 10, 15000.0)
        self.actor = servers.ServerActor(self.fleet, 1, ("127.0.0.1", 1))
        self.reader, self.writer = asyncio.StreamReader(), Writer()
        self.connection = servers.Connection(
            self.reader, self.writer, self.actor.address)  # type: ignore[arg-type]
        self.connection.idle_since = self.place.clock.now()
        self.actor.idle.append(self.connection)
        self.actor.open = 1

    def attempt(self, text: bytes = b"mg a v O1 Pc=read,d=500\r\n") -> Attempt:
        (command,) = meta.CommandParser().feed(text)
        assert isinstance(command, meta.Command)
        now = self.place.clock.now()
        request = Taken(self.place, THROUGH.classes[0], 7, now + 500.0, command, now, is_write=command.is_write)
        return Attempt(request, 0, 1, now, now + 400.0)

    def take(self, message: servers.Message) -> list[Any]:
        self.actor._take_in(message)
        return list(self.place.router.mailbox.take())

    def hear(self, data: bytes) -> list[Any]:
        """Have the connection's reader take in some bytes, and the actor what it makes of them."""
        if not self.actor._heard(self.connection, data):
            self.actor._tell(servers.Broken(self.connection))
        for message in self.actor.mailbox.take():
            self.actor._take_in(message)
        return list(self.place.router.mailbox.take())


def test_a_command_goes_out_with_the_time_we_will_wait_and_the_connection_comes_back() -> None:
    held, job = (h := Held()), h.attempt()
    assert held.take(servers.Start(job)) == [] and not held.actor.idle
    assert held.writer.transport.sent == b"mg a v O1 Pc=read,d=400\r\n"
    (ended,) = held.hear(b"VA 1 O1 h0 Lutil=0.5,inflight=3\r\nx\r\n")
    assert (ended.result, ended.note, ended.report) == (api.Result.OK, api.Note.MISS, (0.5, 3.0))
    assert held.actor.idle == [held.connection] and not held.actor.busy


@pytest.mark.parametrize(("line", "result", "kept"), [
    (b"SERVER_ERROR busy\r\n", api.Result.FULL, True), (b"SERVER_ERROR failed\r\n", api.Result.ERROR, True),
    (b"HD O1 c5\r\n", api.Result.RESET, False), (b"VA 1 O2\r\nx\r\n", api.Result.RESET, False),
    (b"what\r\n", api.Result.RESET, False),
])
def test_other_answers(line: bytes, result: api.Result, kept: bool) -> None:
    held, job = (h := Held()), h.attempt()
    held.take(servers.Start(job))
    (ended,) = held.hear(line)
    assert ended.result == result and (held.connection in held.actor.idle) == kept
    assert held.writer.transport.gone != kept and held.actor.open == kept


ANSWER = b"VA 1 O1 h1\r\nx\r\n"


@pytest.mark.parametrize("behind", [ANSWER, b"\xffnoise", b"SERVER_ERROR busy\r\n"])
def test_what_comes_behind_an_answer_is_nobodys_answer(behind: bytes) -> None:
    """Guards the next request on that connection, and the never-twice rule against a stray 'busy'."""
    for together in (True, False):
        held, job = (h := Held()), h.attempt()
        held.take(servers.Start(job))
        told = held.hear(ANSWER + behind) if together else held.hear(ANSWER) + held.hear(behind)
        assert [m.result for m in told] == [api.Result.OK]
        assert held.writer.transport.gone and not held.actor.idle and held.actor.open == 0


def test_a_busy_right_behind_an_answer_proves_nothing_for_a_write() -> None:
    for pause, result in ((49.0, api.Result.RESET), (50.0, api.Result.FULL)):
        held, job = (h := Held()), h.attempt()
        held.take(servers.Start(job))
        held.hear(ANSWER)
        held.place.clock.time += pause
        held.take(servers.Start(held.attempt(b"ms a 1 O1 Pc=put,d=500\r\nx\r\n")))
        assert [m.result for m in held.hear(b"SERVER_ERROR busy\r\n")] == [result]


def test_an_answer_that_stops_short_is_given_up_when_it_is_looked_at_again() -> None:
    held, job = (h := Held()), h.attempt()
    held.take(servers.Start(job))
    assert held.hear(b"VA 9 O1\r\nx\r\n") == []
    now = held.place.clock.time
    held.actor._stalled(held.connection, sure=False, due=now)
    held.actor._stalled(held.connection, sure=True, due=now - 20.0)  # we look late: it may be here by now
    assert list(held.place.router.mailbox.take()) == [] and not held.writer.transport.gone
    held.actor._stalled(held.connection, sure=True, due=now)
    (ended,) = held.place.router.mailbox.take()
    assert isinstance(ended, Ended) and ended.result == api.Result.RESET and held.writer.transport.gone


def test_a_connection_that_we_look_at_too_late_is_not_given_up() -> None:
    """Guards a core that is too small: it would open them all again."""
    held, job = (h := Held()), h.attempt()
    held.actor.opening[job] = (Mock(), held.actor._await_opening(job))
    now = held.place.clock.time
    assert held.take(servers.ConnectLate(job, now - 20.0)) == [] and job in held.actor.opening
    assert [m.result for m in held.take(servers.ConnectLate(job, now))] == [api.Result.CONNECT_FAILED]


def test_a_load_report_that_cannot_be_read_spoils_nothing_but_itself() -> None:
    for report in (b"Lutil=x,inflight=3", b"L\xff\xfe", b"Lutil=0.5", b"Linflight=99999999999,util=1"):
        held, job = (h := Held()), h.attempt()
        held.take(servers.Start(job))
        (ended,) = held.hear(b"VA 1 O1 h0 " + report + b"\r\nx\r\n")
        assert (ended.result, ended.note, ended.report) == (api.Result.OK, api.Note.MISS, ())


def test_connections_to_where_a_server_was_or_that_have_ended_are_not_used() -> None:
    """Guards a new server at an old address, and requests against a connection that is known to be over."""
    for spoil in ("moved", "ended"):
        held, job = (h := Held()), h.attempt()
        if spoil == "moved":
            held.actor.address = ("127.0.0.1", 2)
        else:
            held.reader.feed_eof()
        assert held.actor._take_idle(False) is None and held.writer.transport.gone
        assert job.wanted and held.actor.open == 0


def test_connections_are_not_used_after_an_idle_time_at_which_they_break() -> None:
    """Guards against what drops idle connections early and silently: the next request on them is lost."""
    def fresh() -> Held:
        held = Held()
        held.fleet.risk = risk
        held.connection.idle_since = held.place.clock.time - 200.0
        return held

    risk, now = servers.IdleRisk(), Held().place.clock.time
    for _ in range(20):
        risk.note(now, 20.0, False)
        risk.note(now, None, False)
    risk.note(now, 200.0, True)
    assert fresh().actor._take_idle(False) is not None and fresh().actor._take_idle(True) is None
    risk.note(now, 200.0, True)
    assert fresh().actor._take_idle(False) is None
    assert risk.beyond_new(now + 60000.0, 200.0) < servers.RISK_WRITE  # tried again later
    for _ in range(20):  # new ones break as often: then it is not for having been idle
        risk.note(now, None, True)
    assert fresh().actor._take_idle(True) is not None


def test_a_break_after_the_write_may_have_run_and_an_idle_break_is_nobodys() -> None:
    held, job = (h := Held()), h.attempt(b"ms a 1 O1 Pc=put,d=500\r\nx\r\n")
    held.take(servers.Start(job))
    (ended,) = held.take(servers.Broken(held.connection))
    assert ended.result == api.Result.RESET and held.actor.open == 0
    assert (idle := Held()).take(servers.Broken(idle.connection)) == [] and not idle.actor.idle


@pytest.mark.parametrize("spoil", ["unwanted", "over", "withdrawn", "late", "repeat", "drained"])
def test_nothing_is_written_that_is_not_to_be_any_more(spoil: str) -> None:
    """Guards the moment before a write: time passed since the module decided."""
    held, job = (h := Held()), h.attempt()
    if spoil == "unwanted":
        job.wanted = False
    elif spoil == "over":
        job.request.over = True
    elif spoil == "withdrawn":
        job.request.withdrawn = True
    elif spoil == "repeat":
        job.before = held.place.clock.time + 4.0  # it would come to the server when that has forgotten the first one
    elif spoil == "late":
        held.place.clock.time += 401.0
    else:
        held.actor.shut_at = held.place.clock.time - THROUGH.drain_grace + 50.0
    assert [m.result for m in held.take(servers.Start(job))] == [api.Result.MOOT]
    assert not held.writer.transport.sent


def test_giving_up_closes_the_connection_and_idle_ones_are_retired_early() -> None:
    held, job = (h := Held()), h.attempt()
    held.take(servers.Start(job))
    assert held.take(servers.Abandon(job)) == [] and held.writer.transport.gone
    old = Held()
    old.place.clock.time += 9000.0
    old.take(servers.Retire(old.fleet.retire_after))
    assert not old.writer.transport.gone
    old.place.clock.time += 1000.0
    old.take(servers.Retire(old.fleet.retire_after))
    assert old.writer.transport.gone and old.actor.open == 0


def test_a_stray_answer_closes_the_connection() -> None:
    held = Held()
    assert held.hear(b"MN\r\n") == [] and held.writer.transport.gone


# discovery


LINE = {"name": "s-1", "address": "127.0.0.1:11211", "zone": "b", "type": "m2", "group": 3,
        "status": "in_service", "weight": 1.5, "since_ms": 17}


def test_a_list_is_read_and_unknown_places_lie_behind_the_known() -> None:
    reader = ListReader(("a", "b"), ("m1", "m2"))
    odd = {**LINE, "name": "s-2", "zone": "x", "type": None, "status": "terminating"}
    told = reader.read({"index": 4, "snapshot": False, "endpoints": [odd, LINE]})
    one, two = told.event.members
    assert one == api.Member(Ids().of("s-1"), 1, 1, 3, api.ServerState.READY, 1.5, 17.0)
    assert (two.zone, two.kind, two.state) == (2, 2, api.ServerState.DRAINING)
    assert told.event.kind == api.ListKind.DELTA and told.addresses[one.server] == ("127.0.0.1", 11211)


@settings(derandomize=True, deadline=None, max_examples=150)
@given(st.recursive(st.none() | st.integers() | st.text(max_size=5) | st.floats(), lambda inner: st.lists(
    inner, max_size=3) | st.dictionaries(st.sampled_from([*LINE, "endpoints", "index", "snapshot"]), inner)))
def test_any_json_is_a_list_or_a_list_error(raw: object) -> None:
    for text in (raw, {"index": 1, "snapshot": True, "endpoints": [raw, {**LINE, "zone": raw}]}):
        with contextlib.suppress(ListError):
            assert ListReader(("a",), ("m1",)).read(text).event.kind in api.ListKind


def test_ids_come_from_the_name_and_collisions_are_told_apart() -> None:
    names = [f"s-{n}" for n in range(300)]
    one, other = Ids(), Ids()
    assert [one.of(n) for n in names] == [other.of(n) for n in reversed(names)][::-1]
    crowded = Ids()
    crowded._taken.add(Ids().of("s-1"))
    assert crowded.of("s-1") != Ids().of("s-1") and crowded.of("s-1") == crowded.of("s-1") < 1 << 32


def test_discovery_that_moves_is_asked_anew_and_its_old_watch_is_no_failure() -> None:
    """Guards a reload: what is told at the new address counts as told soon after the signal."""
    async def play() -> None:
        place, spoken = Place(), []
        registry = RegistryActor(place.router, ListReader((), ()), ("127.0.0.1", 1), Watcher())

        async def speak(path: str, watch: bool) -> None:
            spoken.append((registry.address[1], path))
            await asyncio.Event().wait()

        registry._speak = speak  # type: ignore[method-assign]
        registry.watcher.start(registry.run(), "registry", lambda _: None)
        registry.watch(True)
        registry.fetch()
        await asyncio.sleep(0.0)
        await asyncio.sleep(0.0)
        old, fetch = registry._watching, next(iter(registry._fetching))
        registry.move(("127.0.0.1", 2))
        for _ in range(4):
            await asyncio.sleep(0.0)
        paths = [f"{LIST_PATH}?watch=1&after=0", LIST_PATH]
        assert spoken == [(port, path) for port in (1, 2) for path in paths]
        assert old is not None and old.cancelled() and fetch.cancelled()
        assert registry.counters["registry.failures"] == 0
        assert not place.router.mailbox.take()
        await registry.watcher.stop()

    asyncio.run(play())


def test_names_that_are_gone_are_forgotten_and_come_back_with_the_same_id() -> None:
    ids = Ids()
    one, two = ids.of("s-1"), ids.of("s-2")
    ids.keep({two})
    assert ids._taken == {two} and ids.of("s-1") == one


# the program


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def test_sighup_takes_over_a_new_file_and_keeps_the_old_one_if_it_is_no_good(tmp_path: Path) -> None:
    """Guards against the signal's own effect, which ends a program."""
    path = tmp_path / "config.json"
    config = {"listen": f"127.0.0.1:{free_port()}", "discovery": "127.0.0.1:1", "settings": {
        "grades": [{"effect": "once", "name": "w", "promiseMs": 1, "hardLimitMs": 2}], "permissions": {},
        "rules": {"drainGraceMs": 1}}}
    path.write_text(json.dumps(config))
    with subprocess.Popen([sys.executable, "-m", "starlingthread"], stderr=subprocess.PIPE, text=True,
                          env={**os.environ, "LB_CONFIG": str(path)}) as program:
        assert program.stderr is not None

        def line_of(event: str) -> str:
            for line in program.stderr or ():
                if event in line:
                    return line
            return "ended"

        line_of("started")
        for text, event in (("{", "reload-failed"), ("[]", "reload-failed"),
                            (json.dumps({**config, "discovery": "127.0.0.1:2"}), "reloaded")):
            path.write_text(text)
            program.send_signal(signal.SIGHUP)
            assert event in (line := line_of("reload"))
        assert "discovery=127.0.0.1:2 needs-restart=nothing" in line
        program.kill()


@pytest.mark.parametrize("text", [None, "{", "[]", "{}", json.dumps({"listen": "x", "settings": {}})])
def test_a_bad_configuration_is_one_plain_line(text: str | None, tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text)
    done = subprocess.run([sys.executable, "-m", "starlingthread"], capture_output=True, check=False,
                          text=True, timeout=30, env={**os.environ, "LB_CONFIG": str(path)})
    assert done.returncode == 1 and done.stdout == ""
    assert done.stderr.count("\n") == 1 and done.stderr.startswith("starlingthread: ")


def test_what_an_attempt_ends_with_is_told_once() -> None:
    held, job = (h := Held()), h.attempt()
    held.take(servers.Start(job))
    told = held.hear(b"SERVER_ERROR busy\r\n") + held.take(servers.Abandon(job))
    assert [type(m) for m in told] == [Ended]
