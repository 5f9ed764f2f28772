"""The management interface on in-memory streams, and the telemetry after any sequence of events."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from starlingthread.core.messages import AttemptEnded, ClientDisconnected, PendingRequest, RequestReceived
from starlingthread.core.task_supervisor import TaskSupervisor
from starlingthread.core.telemetry import FinalStatus
from starlingthread.events import AttemptResult
from starlingthread.net.management import MAX_HEAD_BYTES, REQUEST_TIMEOUT_MS, ManagementServer

from .balancer_driver import THROUGH
from .fakes import FakeWriter
from .router_harness import RouterHarness


class FakeRouter:
    """A router that records which servers are excluded and knows only s-1."""

    def __init__(self) -> None:
        self.excluded: set[str] = set()
        self.is_ready = True

    def ready(self) -> bool:
        return self.is_ready

    def snapshot(self) -> dict[str, object]:
        return {"inflight": 3}

    def exclude(self, name: str) -> bool:
        self.excluded.add(name)
        return name == "s-1"

    def include(self, name: str) -> bool:
        self.excluded.discard(name)
        return name == "s-1"


class Caller(FakeWriter):
    """The caller's end of a connection: a fake StreamWriter for the server, and the reader that the test feeds."""

    def __init__(self) -> None:
        super().__init__()
        self.reader = asyncio.StreamReader()

    def write(self, data: bytes) -> None:
        assert not self.transport.closed
        self.transport.sent += data

    def write_eof(self) -> None:
        self.reader.feed_eof()  # the caller closes its end in turn


class ManagementFixture:
    """A management server whose connections get their input from the test."""

    def __init__(self, max_connections: int = 4) -> None:
        self.router_harness, self.control, self.supervisor = RouterHarness(), FakeRouter(), TaskSupervisor()
        router = self.router_harness.router
        self.management = ManagementServer(
            self.control, self.supervisor, self.router_harness.clock, router.counters, router.deadlines, max_connections
        )

    def connect(self, request: bytes) -> Caller:
        caller = Caller()
        self.management.accept(caller.reader, caller)  # type: ignore[arg-type]
        caller.reader.feed_data(request)
        return caller

    async def settle(self) -> None:
        for _ in range(12):
            await asyncio.sleep(0)


def send_request(request: bytes, control: FakeRouter | None = None) -> tuple[int, Any]:
    """Send one request; return the status and the decoded body of the response."""

    async def scenario() -> bytes:
        fixture = ManagementFixture()
        fixture.management.control = control or fixture.control
        caller = fixture.connect(request)
        await fixture.settle()
        assert caller.transport.closed and not fixture.management.connections
        await fixture.supervisor.stop()
        return bytes(caller.transport.sent)

    head, _, body = asyncio.run(scenario()).partition(b"\r\n\r\n")
    assert b"Connection: close" in head and f"Content-Length: {len(body)}".encode() in head
    return int(head.split()[1]), json.loads(body)


def request_head(method: str, target: str) -> bytes:
    return f"{method} {target} HTTP/1.1\r\nHost: a\r\n\r\n".encode()


@pytest.mark.parametrize(
    ("request_bytes", "status"),
    [
        (request_head("GET", "/api/ready"), 200),
        (request_head("GET", "/api/telemetry"), 200),
        (request_head("POST", "/api/exclude?member=s-1"), 200),
        (request_head("POST", "/api/include?member=s%2D1"), 200),
        (request_head("POST", "/api/exclude?member=s-2"), 404),
        (request_head("POST", "/api/exclude"), 400),
        (request_head("POST", "/api/exclude?member="), 400),
        (request_head("POST", "/api/exclude?member=s-1&member=s-1"), 400),
        (request_head("GET", "/api/exclude?member=s-1"), 405),
        (request_head("POST", "/api/ready"), 405),
        (request_head("GET", "/"), 404),
        (b"what is this\r\n\r\n", 400),
        (b"\x00\xff\r\n\r\n", 400),
        (b"GET /" + b"a" * (2 * MAX_HEAD_BYTES), 431),
        (b"POST /api/include?member=s-1 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc", 200),
        (b"POST /api/include?member=s-1 HTTP/1.1\r\nHost: a\r\nContent-Length: 99999\r\n\r\n" + b"a" * 65537, 413),
    ],
)
def test_status_of_each_request(request_bytes: bytes, status: int) -> None:
    assert send_request(request_bytes)[0] == status


def test_a_router_that_is_not_ready_responds_503() -> None:
    control = FakeRouter()
    control.is_ready = False
    assert send_request(request_head("GET", "/api/ready"), control) == (503, {"ready": False})


def test_incomplete_requests_are_evicted_at_the_limit_and_closed_at_the_timeout() -> None:
    async def scenario() -> None:
        fixture = ManagementFixture(max_connections=2)
        incomplete = [fixture.connect(b"GET /api") for _ in range(2)]
        await fixture.settle()
        caller = fixture.connect(request_head("GET", "/api/telemetry"))
        await fixture.settle()
        assert caller.transport.sent.startswith(b"HTTP/1.1 200 ")
        assert incomplete[0].transport.closed and not incomplete[1].transport.closed
        fixture.router_harness.advance_time(REQUEST_TIMEOUT_MS + 1.0)
        assert incomplete[1].transport.closed
        await fixture.supervisor.stop()

    asyncio.run(scenario())


@settings(max_examples=60, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["submit", "reject", "disconnect", "ok", "error", "full", "advance"]),
            st.integers(0, 2),
            st.integers(0, 5),
        ),
        max_size=40,
    )
)
def test_each_submitted_request_has_ended_or_is_in_flight(steps: list[tuple[str, int, int]]) -> None:
    harness = RouterHarness()
    requests: list[PendingRequest] = []
    results = {"ok": AttemptResult.OK, "error": AttemptResult.ERROR, "full": AttemptResult.FULL}
    for step, class_index, parameter in steps:
        now = harness.clock.time
        if step in ("submit", "reject"):
            request = PendingRequest(
                harness, THROUGH.classes[class_index], parameter + 1, now + 900.0, b"p", now, is_write=class_index != 0
            )
            requests.append(request)
            harness.router.submit(request) if step == "submit" else harness.router.reject(request)
            harness.router.turn()
        elif step == "disconnect" and requests:
            harness.deliver(ClientDisconnected(requests[parameter % len(requests)]))
        elif step == "advance":
            harness.advance_time(200.0 * parameter)
        elif harness.started and step in results:
            harness.deliver(AttemptEnded(harness.started[parameter % len(harness.started)], results[step], payload=b""))
        telemetry = harness.router.telemetry
        finished = {
            request_class.name: {end: telemetry.finished_count(request_class.name, end) for end in FinalStatus}
            for request_class in THROUGH.classes
        }
        assert sum(map(sum, (counts.values() for counts in finished.values()))) + telemetry.inflight == len(requests)
        answered = sum(
            counts[FinalStatus.SUCCESS] + counts[FinalStatus.BUSY] + counts[FinalStatus.FAILURE]
            for counts in finished.values()
        )
        assert answered == len(harness.answers)
    harness.advance_time(2000.0)
    assert harness.router.telemetry.inflight == 0
    report = harness.router.telemetry.snapshot(3, 1)
    assert set(report["calls"]) == {"read", "keyed", "unsafe"}  # type: ignore[call-overload]


def test_a_full_mailbox_rejects_and_counts() -> None:
    harness = RouterHarness()
    harness.router.mailbox.limit = 1
    for number in range(2):
        now = harness.clock.time
        harness.router.submit(PendingRequest(harness, THROUGH.classes[0], number + 1, now + 900.0, b"p", now))
    assert len(harness.answers) == 1 and harness.router.telemetry.finished_count("read", FinalStatus.BUSY) == 1
    assert isinstance(harness.router.mailbox.take()[0], RequestReceived)
