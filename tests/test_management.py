"""The calls of operators on hand-fed streams, and the figures against any order of events."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from starlingthread.core.messages import AttemptEnded, ClientDisconnected, PendingRequest, RequestReceived
from starlingthread.core.telemetry import End
from starlingthread.core.watcher import Watcher
from starlingthread.events import AttemptResult
from starlingthread.net.management import MAX_HEAD, REQUEST_TIMEOUT_MS, ManagementServer

from .standins import Writer
from .test_router import Place
from .world import THROUGH


class RouterControl:
    """Carries out calls by taking notes."""

    def __init__(self) -> None:
        self.out: set[str] = set()
        self.is_ready = True

    def ready(self) -> bool:
        return self.is_ready

    def snapshot(self) -> dict[str, object]:
        return {"inflight": 3}

    def exclude(self, name: str) -> bool:
        self.out.add(name)
        return name == "s-1"

    def include(self, name: str) -> bool:
        self.out.discard(name)
        return name == "s-1"


class Caller(Writer):
    """A caller's end, with what a StreamWriter has for one."""

    def __init__(self) -> None:
        super().__init__()
        self.reader = asyncio.StreamReader()

    def write(self, data: bytes) -> None:
        assert not self.transport.gone
        self.transport.sent += data

    def write_eof(self) -> None:
        self.reader.feed_eof()  # the other side closes in turn


class Office:
    """A management front whose callers are hand-fed."""

    def __init__(self, most: int = 4) -> None:
        self.place, self.control, self.watcher = Place(), RouterControl(), Watcher()
        router = self.place.router
        self.management = ManagementServer(
            self.control, self.watcher, self.place.clock, router.counters, router.deadlines, most
        )

    def call(self, said: bytes) -> Caller:
        caller = Caller()
        self.management.accept(caller.reader, caller)  # type: ignore[arg-type]
        caller.reader.feed_data(said)
        return caller

    async def settle(self) -> None:
        for _ in range(12):
            await asyncio.sleep(0)


def ask(said: bytes, control: RouterControl | None = None) -> tuple[int, Any]:
    """Make one call; return its status and what was told."""

    async def play() -> bytes:
        office = Office()
        office.management.control = control or office.control
        caller = office.call(said)
        await office.settle()
        assert caller.transport.gone and not office.management.connections
        await office.watcher.stop()
        return bytes(caller.transport.sent)

    head, _, body = asyncio.run(play()).partition(b"\r\n\r\n")
    assert b"Connection: close" in head and f"Content-Length: {len(body)}".encode() in head
    return int(head.split()[1]), json.loads(body)


def line(method: str, target: str) -> bytes:
    return f"{method} {target} HTTP/1.1\r\nHost: a\r\n\r\n".encode()


@pytest.mark.parametrize(
    ("said", "status"),
    [
        (line("GET", "/api/ready"), 200),
        (line("GET", "/api/telemetry"), 200),
        (line("POST", "/api/exclude?member=s-1"), 200),
        (line("POST", "/api/include?member=s%2D1"), 200),
        (line("POST", "/api/exclude?member=s-2"), 404),
        (line("POST", "/api/exclude"), 400),
        (line("POST", "/api/exclude?member="), 400),
        (line("POST", "/api/exclude?member=s-1&member=s-1"), 400),
        (line("GET", "/api/exclude?member=s-1"), 405),
        (line("POST", "/api/ready"), 405),
        (line("GET", "/"), 404),
        (b"what is this\r\n\r\n", 400),
        (b"\x00\xff\r\n\r\n", 400),
        (b"GET /" + b"a" * (2 * MAX_HEAD), 431),
        (b"POST /api/include?member=s-1 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc", 200),
        (b"POST /api/include?member=s-1 HTTP/1.1\r\nHost: a\r\nContent-Length: 99999\r\n\r\n" + b"a" * 65537, 413),
    ],
)
def test_each_call_has_its_status(said: bytes, status: int) -> None:
    assert ask(said)[0] == status


def test_not_ready_is_a_no() -> None:
    control = RouterControl()
    control.is_ready = False
    assert ask(line("GET", "/api/ready"), control) == (503, {"ready": False})


def test_who_holds_a_connection_without_a_call_makes_room_and_is_cut_off_in_time() -> None:
    async def play() -> None:
        office = Office(most=2)
        holders = [office.call(b"GET /api") for _ in range(2)]
        await office.settle()
        caller = office.call(line("GET", "/api/telemetry"))
        await office.settle()
        assert caller.transport.sent.startswith(b"HTTP/1.1 200 ")
        assert holders[0].transport.gone and not holders[1].transport.gone
        office.place.pass_time(REQUEST_TIMEOUT_MS + 1.0)
        assert holders[1].transport.gone
        await office.watcher.stop()

    asyncio.run(play())


@settings(max_examples=60, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["ask", "refuse", "leave", "ok", "error", "full", "pass"]),
            st.integers(0, 2),
            st.integers(0, 5),
        ),
        max_size=40,
    )
)
def test_what_was_taken_has_ended_or_is_in_flight_whatever_happens(steps: list[tuple[str, int, int]]) -> None:
    place = Place()
    taken: list[PendingRequest] = []
    results = {"ok": AttemptResult.OK, "error": AttemptResult.ERROR, "full": AttemptResult.FULL}
    for what, cls, which in steps:
        now = place.clock.time
        if what in ("ask", "refuse"):
            request = PendingRequest(place, THROUGH.classes[cls], which + 1, now + 900.0, b"p", now, is_write=cls != 0)
            taken.append(request)
            place.router.submit(request) if what == "ask" else place.router.reject(request)
            place.router.turn()
        elif what == "leave" and taken:
            place.give(ClientDisconnected(taken[which % len(taken)]))
        elif what == "pass":
            place.pass_time(200.0 * which)
        elif place.started and what in results:
            place.give(AttemptEnded(place.started[which % len(place.started)], results[what], payload=b""))
        figures = place.router.telemetry
        ends = {cls.name: {end: figures.finished_count(cls.name, end) for end in End} for cls in THROUGH.classes}
        assert sum(map(sum, (e.values() for e in ends.values()))) + figures.inflight == len(taken)
        told = sum(e[End.SUCCESS] + e[End.BUSY] + e[End.FAILURE] for e in ends.values())
        assert told == len(place.answers)
    place.pass_time(2000.0)
    assert place.router.telemetry.inflight == 0
    report = place.router.telemetry.snapshot(3, 1)
    assert set(report["calls"]) == {"read", "keyed", "unsafe"}  # type: ignore[call-overload]


def test_a_full_mailbox_refuses_and_counts() -> None:
    place = Place()
    place.router.mailbox.limit = 1
    for number in range(2):
        now = place.clock.time
        place.router.submit(PendingRequest(place, THROUGH.classes[0], number + 1, now + 900.0, b"p", now))
    assert len(place.answers) == 1 and place.router.telemetry.finished_count("read", End.BUSY) == 1
    assert isinstance(place.router.mailbox.take()[0], RequestReceived)
