"""The wire adapter: turns frames into the module's events and its actions into frames. No decisions here.

Run as ``python -m starlingthread.simhost``; standard output carries the wire only.
"""

from __future__ import annotations

import gc
import struct
import sys
from collections.abc import Callable
from typing import BinaryIO

from .actions import (
    Action,
    Cancel,
    CloseConnections,
    Fail,
    HealthCheck,
    Log,
    Reject,
    Send,
    SendToPeer,
    SetTimer,
    WatchEndpoints,
)
from .events import (
    AttemptResult,
    CacheStatus,
    Endpoint,
    EndpointList,
    EndpointListKind,
    Event,
    FirstByte,
    HealthCheckResult,
    Outcome,
    PeerMessage,
    Request,
    RequestCancelled,
    ServerState,
    Timer,
)
from .policy import Balancer
from .settings import Settings
from .settings_json import SettingsError, parse_settings

BATCH = struct.Struct("<IIdI")
REPLY = struct.Struct("<III")
EVENT_SIZE = 48
ACTION_SIZE = 24
ENTRY = struct.Struct("<IBBHBfd")
RESULTS: dict[int, AttemptResult] = {r.value: r for r in AttemptResult}
NOTES: dict[int, CacheStatus] = {n.value: n for n in CacheStatus}
STATES: dict[int, ServerState] = {s.value: s for s in ServerState}
EVERY_PEER = 0xFFFF

START = struct.Struct("<HQII")
LIST = struct.Struct("<HBQII")
CALL = struct.Struct("<HQBIQddfB")
FIRST = struct.Struct("<HQHId")
DONE = struct.Struct("<HQHIHdBBB4f")
WITHDRAWN = struct.Struct("<HQ")
TICK = struct.Struct("<HQ")
PROBED = struct.Struct("<HIHdB4f")
NEIGHBOUR = struct.Struct("<HIII")
INSTANCE = struct.Struct("<H")


class WireError(Exception):
    """The input is not what the wire page says."""


def _report(count: int, values: tuple[float, ...]) -> tuple[float, ...]:
    return values[: min(count, 4)]


class Frame:
    """One batch: its records and the tail that they share."""

    def __init__(self, body: bytes, records: int, start: int, number: int) -> None:
        self.body, self.records, self.start, self.number = body, records, start, number
        self.tail = start + records * EVENT_SIZE
        if self.tail > len(body):
            raise WireError(f"batch {number}: {records} records do not fit its length")

    def cut(self, offset: int, size: int, what: str) -> bytes:
        """Return a stretch of the tail."""
        begin = self.tail + offset
        if begin + size > len(self.body):
            raise WireError(f"batch {self.number}: {what} lies outside the tail")
        return self.body[begin : begin + size]


def decode_event(frame: Frame, at: int) -> tuple[int, Event]:
    """Decode the record at a position; return the instance and the event (Start and Stop aside)."""
    body, code, spot = frame.body, frame.body[at], at + 1
    if code == 4:
        inst, rid, cls, tenant, key, budget, cost, size, bits = CALL.unpack_from(body, spot)
        hint = cost if bits & 1 else 0.0
        return inst, Request(rid, cls, budget, key, tenant, hint, size, bool(bits & 2), bool(bits & 4))
    if code == 9:
        inst, rid, number, server, result, elapsed, ended, note, count, *values = DONE.unpack_from(body, spot)
        return inst, Outcome(
            rid,
            number,
            server,
            _result(frame, result),
            elapsed,
            bool(ended),
            NOTES.get(note, CacheStatus.NONE),
            _report(count, tuple(values)),
        )
    if code == 2:
        inst, label = TICK.unpack_from(body, spot)
        return inst, Timer(label)
    if code == 3:
        inst, kind, version, offset, count = LIST.unpack_from(body, spot)
        if kind not in (1, 2, 3, 4):
            raise WireError(f"batch {frame.number}: unknown list kind {kind}")
        text = frame.cut(offset, count * ENTRY.size, "a list")
        return inst, EndpointList(
            EndpointListKind(kind),
            version,
            tuple(
                Endpoint(s, z, k, b, STATES.get(m, ServerState.GONE), w, t)
                for s, z, k, b, m, w, t in ENTRY.iter_unpack(text)
            ),
        )
    if code == 7:
        inst, rid = WITHDRAWN.unpack_from(body, spot)
        return inst, RequestCancelled(rid)
    if code == 6:
        inst, rid, number, server, elapsed = FIRST.unpack_from(body, spot)
        return inst, FirstByte(rid, number, server, elapsed)
    if code == 5:
        inst, server, result, elapsed, count, *values = PROBED.unpack_from(body, spot)
        return inst, HealthCheckResult(server, _result(frame, result), elapsed, _report(count, tuple(values)))
    if code == 10:
        inst, sender, offset, size = NEIGHBOUR.unpack_from(body, spot)
        return inst, PeerMessage(sender, frame.cut(offset, size, "a message"))
    raise WireError(f"batch {frame.number}: unknown event code {code}")


def _result(frame: Frame, code: int) -> AttemptResult:
    try:
        return RESULTS[code]
    except KeyError:
        raise WireError(f"batch {frame.number}: unknown result {code}") from None


SEND = struct.Struct("<BHQId1x")
REFUSE = struct.Struct("<BHQd5x")
FAIL = struct.Struct("<BHQ13x")
CANCEL = struct.Struct("<BHQH11x")
ARM = struct.Struct("<BHdQ5x")
SERVER = struct.Struct("<BHI17x")
TELL = struct.Struct("<BHHII11x")
TEXT = struct.Struct("<BHII13x")
WATCH = struct.Struct("<BHB20x")
BARE = struct.Struct("<BH21x")


class Reply:
    """The frame under way that answers a batch."""

    def __init__(self) -> None:
        self.parts: list[bytes] = []
        self.tail = bytearray()

    def _put(self, data: bytes) -> int:
        offset = len(self.tail)
        self.tail += data
        return offset

    def text(self, code: int, inst: int, text: str) -> None:
        """Add a Remark or an Exception."""
        data = text.encode()
        self.parts.append(TEXT.pack(code, inst, self._put(data), len(data)))

    def add(self, inst: int, action: Action) -> None:
        """Add one action."""
        put = self.parts.append
        if isinstance(action, Send):
            put(SEND.pack(1, inst, action.id, action.server, action.timeout))
        elif isinstance(action, SetTimer):
            put(ARM.pack(5, inst, action.at, action.label))
        elif isinstance(action, Reject):
            put(REFUSE.pack(2, inst, action.id, action.retry_after))
        elif isinstance(action, Fail):
            put(FAIL.pack(3, inst, action.id))
        elif isinstance(action, Cancel):
            put(CANCEL.pack(4, inst, action.id, action.attempt))
        elif isinstance(action, HealthCheck):
            put(SERVER.pack(6, inst, action.server))
        elif isinstance(action, CloseConnections):
            put(SERVER.pack(7, inst, action.server))
        elif isinstance(action, SendToPeer):
            peer = EVERY_PEER if action.peer is None else action.peer
            put(TELL.pack(8, inst, peer, self._put(action.payload), len(action.payload)))
        elif isinstance(action, Log):
            self.text(9, inst, action.text)
        elif isinstance(action, WatchEndpoints):
            put(WATCH.pack(11, inst, action.active))
        else:
            put(BARE.pack(12, inst))

    def frame(self, number: int) -> bytes:
        """Return the finished frame."""
        body = b"".join(self.parts)
        return REPLY.pack(8 + len(body) + len(self.tail), len(self.parts), number) + body + self.tail


Maker = Callable[[Settings, int], Balancer]


class SimulatorAdapter:
    """All instances that this process hosts; they share nothing but this table."""

    def __init__(self, maker: Maker = Balancer) -> None:
        self.maker = maker
        self.instances: dict[int, Balancer] = {}

    def answer(self, body: bytes) -> bytes:
        """Answer one batch, given without its length field."""
        if len(body) < BATCH.size - 4:
            raise WireError(f"a batch of {len(body)} bytes is shorter than its header")
        records, now, number = struct.unpack_from("<IdI", body)
        frame, reply = Frame(body, records, BATCH.size - 4, number), Reply()
        for at in range(frame.start, frame.tail, EVENT_SIZE):
            code = body[at]
            inst = INSTANCE.unpack_from(body, at + 1)[0]
            event = None if code in (1, 8) else decode_event(frame, at)[1]
            settings = None
            if code == 1:
                _, seed, offset, size = START.unpack_from(body, at + 1)
                settings = parse_settings(frame.cut(offset, size, "the settings"))
            elif code == 8:
                self.instances.pop(inst, None)
                continue
            elif inst not in self.instances:
                raise WireError(f"batch {number}: instance {inst} was never started")
            try:
                if settings is not None:
                    self.instances[inst] = self.maker(settings, seed)
                    actions = self.instances[inst].start(now)
                elif event is not None:
                    actions = self.instances[inst].handle(now, event)
                for action in actions:
                    reply.add(inst, action)
            except Exception as error:  # the wire wants any failed decision told, whatever it was
                reply.text(10, inst, f"{type(error).__name__}: {error}")
        return reply.frame(number)


def _read(stream: BinaryIO, size: int) -> bytes:
    data = stream.read(size)
    while data and len(data) < size:
        more = stream.read(size - len(data))
        if not more:
            break
        data += more
    return data


def serve(stdin: BinaryIO, stdout: BinaryIO, host: SimulatorAdapter) -> None:
    """Answer batches until the input ends."""
    while head := _read(stdin, 4):
        if len(head) < 4:
            raise WireError(f"the input ends inside a length field, after {len(head)} bytes")
        size = int.from_bytes(head, "little")
        body = _read(stdin, size)
        if len(body) < size:
            raise WireError(f"the input ends inside a batch: {len(body)} of {size} bytes")
        stdout.write(host.answer(body))
        stdout.flush()


def main() -> int:
    """Serve standard input; 0 at a clean end, 1 with one line on standard error otherwise."""
    gc.freeze()
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer, SimulatorAdapter())
    except (WireError, SettingsError) as error:
        print(f"starlingthread: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
