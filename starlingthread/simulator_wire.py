"""The simulator's wire format: decodes batches of event records and encodes replies of action records.

A batch and a reply each hold fixed-size records, followed by a tail of variable-size data that the records refer to.
All numbers are little-endian. Each record starts with its code (one byte) and the instance it concerns (two bytes).
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from enum import IntEnum
from typing import NamedTuple

from .actions import (
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


class WireError(Exception):
    """The input violates the wire format."""


class EventCode(IntEnum):
    """First byte of an event record."""

    START = 1
    TIMER = 2
    ENDPOINT_LIST = 3
    REQUEST = 4
    HEALTH_CHECK_RESULT = 5
    FIRST_BYTE = 6
    REQUEST_CANCELLED = 7
    STOP = 8
    OUTCOME = 9
    PEER_MESSAGE = 10


class ActionCode(IntEnum):
    """First byte of an action record."""

    SEND = 1
    REJECT = 2
    FAIL = 3
    CANCEL = 4
    SET_TIMER = 5
    HEALTH_CHECK = 6
    CLOSE_CONNECTIONS = 7
    SEND_TO_PEER = 8
    LOG = 9
    EXCEPTION = 10
    WATCH_ENDPOINTS = 11
    FETCH_ENDPOINTS = 12


LENGTH_FIELD_BYTES = 4  # a length field precedes each batch and each reply, and does not count itself
BATCH_HEADER = struct.Struct("<IdI")  # number of records, clock time, batch number
REPLY_HEADER = struct.Struct("<III")  # length, number of records, batch number
EVENT_RECORD_BYTES = 48

# Layouts of whole event records; "3x" skips the code and the instance.
RECORD_HEADER = struct.Struct("<BH")
START = struct.Struct("<3xQII")
TIMER = struct.Struct("<3xQ")
ENDPOINT_LIST = struct.Struct("<3xBQII")
ENDPOINT = struct.Struct("<IBBHBfd")  # an entry of an endpoint list, in the tail
REQUEST = struct.Struct("<3xQBIQddfB")
HEALTH_CHECK_RESULT = struct.Struct("<3xIHdB4f")
FIRST_BYTE = struct.Struct("<3xQHId")
REQUEST_CANCELLED = struct.Struct("<3xQ")
OUTCOME = struct.Struct("<3xQHIHdBBB4f")
PEER_MESSAGE = struct.Struct("<3xIII")

# Flags of a request record.
HAS_COST_HINT = 1
IS_RETRY = 2
IS_WRITE = 4

# Layouts of action records, 24 bytes each: code, instance, content, padding.
SEND = struct.Struct("<BHQId1x")
REJECT = struct.Struct("<BHQd5x")
FAIL = struct.Struct("<BHQ13x")
CANCEL = struct.Struct("<BHQH11x")
SET_TIMER = struct.Struct("<BHdQ5x")
SERVER_ACTION = struct.Struct("<BHI17x")
SEND_TO_PEER = struct.Struct("<BHHII11x")
TEXT = struct.Struct("<BHII13x")
WATCH_ENDPOINTS = struct.Struct("<BHB20x")
FETCH_ENDPOINTS = struct.Struct("<BH21x")
ALL_PEERS = 0xFFFF

RESULTS: dict[int, AttemptResult] = {result.value: result for result in AttemptResult}
CACHE_STATUSES: dict[int, CacheStatus] = {status.value: status for status in CacheStatus}
SERVER_STATES: dict[int, ServerState] = {state.value: state for state in ServerState}


class Batch:
    """One batch without its length field: event records and the tail that they share."""

    def __init__(self, body: bytes) -> None:
        if len(body) < BATCH_HEADER.size:
            raise WireError(f"a batch of {len(body)} bytes is shorter than its header")
        records, self.now, self.number = BATCH_HEADER.unpack_from(body)
        self.body = body
        self._tail = BATCH_HEADER.size + records * EVENT_RECORD_BYTES
        if self._tail > len(body):
            raise self.error(f"{records} records do not fit into a body of {len(body)} bytes")

    def offsets(self) -> range:
        """Return the offset in the body of each record."""
        return range(BATCH_HEADER.size, self._tail, EVENT_RECORD_BYTES)

    def from_tail(self, offset: int, size: int, part_name: str) -> bytes:
        """Return a part of the tail; if it is out of bounds, raise a WireError that names the part."""
        begin = self._tail + offset
        if begin + size > len(self.body):
            raise self.error(f"{part_name} ({size} bytes at offset {offset}) is outside the tail")
        return self.body[begin : begin + size]

    def error(self, message: str) -> WireError:
        """Return a WireError whose message names this batch."""
        return WireError(f"batch {self.number}: {message}")


# Event records


class RecordHeader(NamedTuple):
    """The header of each event record."""

    code: int
    instance: int


class StartRecord(NamedTuple):
    """The content of a start record."""

    seed: int
    settings: bytes  # JSON


def decode_header(batch: Batch, offset: int) -> RecordHeader:
    """Decode the code and the instance of the record at an offset of the body."""
    return RecordHeader(*RECORD_HEADER.unpack_from(batch.body, offset))


def decode_start(batch: Batch, offset: int) -> StartRecord:
    """Decode a start record."""
    seed, tail_offset, size = START.unpack_from(batch.body, offset)
    return StartRecord(seed, batch.from_tail(tail_offset, size, "the settings"))


def decode_event(batch: Batch, offset: int) -> Event:
    """Decode the record at an offset of the body; start and stop records are no events."""
    code = batch.body[offset]
    decoder = _DECODERS.get(code)
    if decoder is None:
        raise batch.error(f"unknown event code {code}")
    return decoder(batch, offset)


def _decode_timer(batch: Batch, offset: int) -> Timer:
    (label,) = TIMER.unpack_from(batch.body, offset)
    return Timer(label)


def _decode_endpoint_list(batch: Batch, offset: int) -> EndpointList:
    kind, version, tail_offset, count = ENDPOINT_LIST.unpack_from(batch.body, offset)
    try:
        list_kind = EndpointListKind(kind)
    except ValueError:
        raise batch.error(f"unknown list kind {kind}") from None
    entries = batch.from_tail(tail_offset, count * ENDPOINT.size, "a list")
    return EndpointList(
        list_kind,
        version,
        tuple(
            Endpoint(server, zone, kind, cell, SERVER_STATES.get(state, ServerState.GONE), weight, started)
            for server, zone, kind, cell, state, weight, started in ENDPOINT.iter_unpack(entries)
        ),
    )


def _decode_request(batch: Batch, offset: int) -> Request:
    request_id, class_index, tenant, key, budget, cost, size, flags = REQUEST.unpack_from(batch.body, offset)
    return Request(
        request_id,
        class_index,
        budget,
        key,
        tenant,
        cost if flags & HAS_COST_HINT else 0.0,
        size,
        is_retry=bool(flags & IS_RETRY),
        is_write=bool(flags & IS_WRITE),
    )


def _decode_health_check_result(batch: Batch, offset: int) -> HealthCheckResult:
    server, result, elapsed, fields, *report = HEALTH_CHECK_RESULT.unpack_from(batch.body, offset)
    return HealthCheckResult(server, _result(batch, result), elapsed, tuple(report[:fields]))


def _decode_first_byte(batch: Batch, offset: int) -> FirstByte:
    return FirstByte(*FIRST_BYTE.unpack_from(batch.body, offset))


def _decode_request_cancelled(batch: Batch, offset: int) -> RequestCancelled:
    (request_id,) = REQUEST_CANCELLED.unpack_from(batch.body, offset)
    return RequestCancelled(request_id)


def _decode_outcome(batch: Batch, offset: int) -> Outcome:
    (request_id, attempt, server, result, elapsed, finished, cache_status, fields, *report) = OUTCOME.unpack_from(
        batch.body, offset
    )
    return Outcome(
        request_id,
        attempt,
        server,
        _result(batch, result),
        elapsed,
        bool(finished),
        CACHE_STATUSES.get(cache_status, CacheStatus.NONE),
        tuple(report[:fields]),
    )


def _decode_peer_message(batch: Batch, offset: int) -> PeerMessage:
    sender, tail_offset, size = PEER_MESSAGE.unpack_from(batch.body, offset)
    return PeerMessage(sender, batch.from_tail(tail_offset, size, "a message"))


def _result(batch: Batch, code: int) -> AttemptResult:
    result = RESULTS.get(code)
    if result is None:
        raise batch.error(f"unknown result {code}")
    return result


_DECODERS: dict[int, Callable[[Batch, int], Event]] = {
    EventCode.TIMER: _decode_timer,
    EventCode.ENDPOINT_LIST: _decode_endpoint_list,
    EventCode.REQUEST: _decode_request,
    EventCode.HEALTH_CHECK_RESULT: _decode_health_check_result,
    EventCode.FIRST_BYTE: _decode_first_byte,
    EventCode.REQUEST_CANCELLED: _decode_request_cancelled,
    EventCode.OUTCOME: _decode_outcome,
    EventCode.PEER_MESSAGE: _decode_peer_message,
}


# Action records


class Reply:
    """Builder of the reply to a batch."""

    def __init__(self) -> None:
        self._records: list[bytes] = []
        self._tail = bytearray()

    def add(self, instance: int, action: Action) -> None:
        """Add the record of one action of an instance."""
        self._records.append(self._encode(instance, action))

    def add_exception(self, instance: int, text: str) -> None:
        """Add a record with the message of an exception that an instance raised."""
        self._records.append(self._encode_text(ActionCode.EXCEPTION, instance, text))

    def frame(self, batch_number: int) -> bytes:
        """Return the complete reply to the batch of this number, with its length field."""
        records = b"".join(self._records)
        length = REPLY_HEADER.size - LENGTH_FIELD_BYTES + len(records) + len(self._tail)
        return REPLY_HEADER.pack(length, len(self._records), batch_number) + records + self._tail

    def _encode(self, instance: int, action: Action) -> bytes:
        match action:
            case Send():
                return SEND.pack(ActionCode.SEND, instance, action.id, action.server, action.timeout)
            case Reject():
                return REJECT.pack(ActionCode.REJECT, instance, action.id, action.retry_after)
            case Fail():
                return FAIL.pack(ActionCode.FAIL, instance, action.id)
            case Cancel():
                return CANCEL.pack(ActionCode.CANCEL, instance, action.id, action.attempt)
            case SetTimer():
                return SET_TIMER.pack(ActionCode.SET_TIMER, instance, action.at, action.label)
            case HealthCheck():
                return SERVER_ACTION.pack(ActionCode.HEALTH_CHECK, instance, action.server)
            case CloseConnections():
                return SERVER_ACTION.pack(ActionCode.CLOSE_CONNECTIONS, instance, action.server)
            case SendToPeer():
                return self._encode_peer_message(instance, action)
            case Log():
                return self._encode_text(ActionCode.LOG, instance, action.text)
            case WatchEndpoints():
                return WATCH_ENDPOINTS.pack(ActionCode.WATCH_ENDPOINTS, instance, action.active)
            case FetchEndpoints():
                return FETCH_ENDPOINTS.pack(ActionCode.FETCH_ENDPOINTS, instance)

    def _encode_peer_message(self, instance: int, action: SendToPeer) -> bytes:
        peer = ALL_PEERS if action.peer is None else action.peer
        offset = self._add_to_tail(action.payload)
        return SEND_TO_PEER.pack(ActionCode.SEND_TO_PEER, instance, peer, offset, len(action.payload))

    def _encode_text(self, code: ActionCode, instance: int, text: str) -> bytes:
        data = text.encode()
        return TEXT.pack(code, instance, self._add_to_tail(data), len(data))

    def _add_to_tail(self, data: bytes) -> int:
        """Append data to the tail and return its offset."""
        offset = len(self._tail)
        self._tail += data
        return offset
