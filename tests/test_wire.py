"""The simulator adapter, compared byte by byte with the wire format's example frames, and with invalid input."""

from __future__ import annotations

import json
import struct
import subprocess
import sys
from typing import Any

import pytest

from starlingthread import Balancer, simulator_adapter, simulator_wire
from starlingthread.actions import (
    Action,
    Cancel,
    CloseConnections,
    Fail,
    FetchEndpoints,
    HealthCheck,
    Log,
    Reject,
    Send,
    SendToPeer,
    SetTimer,
    WatchEndpoints,
)
from starlingthread.events import (
    Endpoint,
    EndpointList,
    EndpointListKind,
    Event,
    Outcome,
    Request,
    RequestCancelled,
    ServerState,
    Timer,
)
from starlingthread.settings import Settings


def from_hex(text: str) -> bytes:
    return bytes.fromhex("".join(text.split()))


REQUEST_CLASSES = [{"effect": "repeatable", "hardLimitMs": 1000.0, "promiseMs": 500.0, "name": "r"}]
SETTINGS: dict[str, Any] = {
    "grades": REQUEST_CLASSES,
    "permissions": {"tryLimit": 3},
    "rules": {"drainGraceMs": 500.0},
    "news": [1],
}
EMPTY_BATCH = from_hex("10000000 00000000 00000000206ec040 01000000")


def start_batch(settings: bytes, instance: int = 3) -> bytes:
    record = struct.pack("<BHQII", 1, instance, 9, 0, len(settings)).ljust(48, b"\0")
    body = struct.pack("<IdI", 1, 8412.25, 2) + record + settings
    return struct.pack("<I", len(body)) + body


def run_simhost(data: bytes) -> tuple[int, bytes, str]:
    done = subprocess.run(
        [sys.executable, "-m", "starlingthread.simhost"], input=data, capture_output=True, timeout=30, check=False
    )
    return done.returncode, done.stdout, done.stderr.decode()


def test_an_empty_batch_is_answered() -> None:
    assert run_simhost(EMPTY_BATCH) == (0, from_hex("08000000 00000000 01000000"), "")


class ScriptedBalancer(Balancer):
    """Records its events, and returns the three actions of the wire format's example for a request."""

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.events: list[Event] = []

    def handle(self, now: float, event: Event) -> list[Action]:
        self.events.append(event)
        if isinstance(event, Request):
            return [Send(event.id, 0x03124A07, 80.0), SetTimer(8912.25, 77), Log("two servers known")]
        return []


def start_scripted(*instances: int) -> tuple[simulator_adapter.SimulatorAdapter, dict[int, ScriptedBalancer]]:
    """Return an adapter with scripted instances of these numbers, and the instances."""
    adapter = simulator_adapter.SimulatorAdapter(ScriptedBalancer)
    for number in instances:
        adapter.answer(start_batch(json.dumps(SETTINGS).encode(), number)[4:])
    return adapter, {n: b for n, b in adapter.instances.items() if isinstance(b, ScriptedBalancer)}


REQUEST_RECORD = (
    "04 0300 c4913a5de37b0900 00 00000000 640ad2557c3bf091 0000000000006e400000000000002840 0000e144 01 000000"
)


def test_example_events_and_actions() -> None:
    adapter, balancers = start_scripted(3, 5)
    batch = from_hex(
        "a0000000 03000000 00000000206ec040 0c000000"
        + REQUEST_RECORD
        + "02 0300 4d00000000000000"
        + "00" * 37
        + "07 0500 192b6f0e42550100"
        + "00" * 37
    )
    reply = adapter.answer(batch[4:])
    request_id = int.from_bytes(from_hex("c4913a5de37b0900"), "little")
    key = int.from_bytes(from_hex("640ad2557c3bf091"), "little")
    assert balancers[3].events == [Request(request_id, 0, 240.0, key, 0, 12.0, 1800.0), Timer(77)]
    assert balancers[5].events == [RequestCancelled(int.from_bytes(from_hex("192b6f0e42550100"), "little"))]
    assert reply == from_hex(
        "61000000 03000000 0c000000"
        "01 0300 c4913a5de37b0900 074a1203 0000000000005440 00"
        "05 0300 000000002068c140 4d00000000000000 0000000000"
        "09 0300 00000000 11000000" + "00" * 13 + "74776f2073657276657273206b6e6f776e"
    )


def batch_of(record: bytes, tail: bytes = b"") -> bytes:
    return struct.pack("<IdI", 1, 8412.25, 3) + record.ljust(48, b"\0") + tail


def test_example_endpoint_list_and_outcome() -> None:
    adapter, balancers = start_scripted(3)
    adapter.answer(
        batch_of(
            from_hex("03 0300 01 2900000000000000 00000000 02000000"),
            from_hex(
                "074a1203 00 00 0000 01 0000803f 0000000000000000 f211902c 01 00 0000 01 0000c03f 0000000000d4b740"
            ),
        )
    )
    adapter.answer(
        batch_of(
            from_hex(
                "09 0300 c4913a5de37b0900 0000 074a1203 0100 0000000000803240 01 00"
                "02 52b81e3f 0000e040 00000000 00000000 0000"
            )
        )
    )
    listed, outcome = balancers[3].events
    assert listed == EndpointList(
        EndpointListKind.CACHED,
        41,
        (
            Endpoint(0x03124A07, 0, 0, 0, ServerState.READY, 1.0, 0.0),
            Endpoint(0x2C9011F2, 1, 0, 0, ServerState.READY, 1.5, 6100.0),
        ),
    )
    assert isinstance(outcome, Outcome)
    assert (outcome.server, outcome.result, outcome.elapsed, outcome.request_finished) == (0x03124A07, 1, 18.5, True)
    assert outcome.load_report == pytest.approx((0.62, 7.0))


@pytest.mark.parametrize(
    ("action", "text"),
    [
        (Reject(5, 100.0), "02 0300 0500000000000000 0000000000005940"),
        (Fail(5), "03 0300 0500000000000000"),
        (Cancel(5, 1), "04 0300 0500000000000000 0100"),
        (HealthCheck(9), "06 0300 09000000"),
        (CloseConnections(9), "07 0300 09000000"),
        (WatchEndpoints(True), "0b 0300 01"),
        (FetchEndpoints(), "0c 0300"),
    ],
)
def test_other_actions(action: Action, text: str) -> None:
    reply = simulator_wire.Reply()
    reply.add(3, action)
    assert reply.frame(1)[12:] == from_hex(text).ljust(24, b"\0")


def test_example_peer_message() -> None:
    reply = simulator_wire.Reply()
    reply.add(3, SendToPeer(None, b"hi 7"))
    assert reply.frame(1)[12:] == from_hex("08 0300 ffff 00000000 04000000" + "00" * 11 + "68692037")


VALID_SETTINGS = json.dumps(SETTINGS).encode()


@pytest.mark.parametrize(
    ("data", "expected"),
    [
        (b"\x10", "ends inside a length field"),
        (EMPTY_BATCH[:-2], "ends inside a batch"),
        (struct.pack("<I", 4) + b"abcd", "shorter than its header"),
        (struct.pack("<IIdI", 16, 9, 0.0, 4), "9 records do not fit"),
        (struct.pack("<IIdI", 64, 1, 0.0, 4) + b"\x02\x03".ljust(48, b"\0"), "never started"),
        (
            start_batch(VALID_SETTINGS) + struct.pack("<IIdI", 64, 1, 0.0, 4) + b"\x2a\x03".ljust(48, b"\0"),
            "unknown event code 42",
        ),
        (
            start_batch(VALID_SETTINGS)[:23]
            + start_batch(VALID_SETTINGS)[23:].replace(struct.pack("<I", len(VALID_SETTINGS)), b"\xff\xff\0\0", 1),
            "outside the tail",
        ),
        (start_batch(b"{nope"), "not valid JSON"),
        (start_batch(b"[]"), "not a JSON object"),
        (start_batch(b'{"permissions": {}, "rules": {"drainGraceMs": 1}}'), "lack 'grades'"),
        (start_batch(VALID_SETTINGS.replace(b"1000.0", b"-1.0")), "latency_objective and deadline"),
    ],
)
def test_invalid_input_ends_with_one_plain_line(data: bytes, expected: str) -> None:
    code, _, text = run_simhost(data)
    assert code != 0
    assert expected in text and text.count("\n") == 1 and "Traceback" not in text


def test_an_exception_of_the_module_is_reported_on_the_wire() -> None:
    class FailingBalancer(Balancer):
        def handle(self, now: float, event: Event) -> list[Action]:
            raise RuntimeError("decision failed")

    adapter = simulator_adapter.SimulatorAdapter(FailingBalancer)
    adapter.answer(start_batch(VALID_SETTINGS)[4:])
    reply = adapter.answer(batch_of(from_hex("02 0300 4d")))
    assert reply[12] == 10 and b"RuntimeError: decision failed" in reply
