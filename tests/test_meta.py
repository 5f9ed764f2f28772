"""The parsers of the meta protocol, fed with valid messages in random fragments and with random garbage."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from random import Random
from typing import Any, TypeVar

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from starlingthread.net import meta
from starlingthread.net.meta import AnswerKind, Command, ControlCommand, MalformedCommand

T = TypeVar("T")
DETERMINISTIC = settings(derandomize=True, deadline=None, max_examples=150)
HEX = st.text("0123456789abcdef", min_size=1, max_size=16)


@st.composite
def commands(draw: st.DrawFn) -> bytes:
    key, request_id, timeout = draw(HEX), draw(HEX), draw(st.integers(0, 9999))
    extra = draw(st.sampled_from(["", ",r=1", ",size=120.5", ",k=5c0f6e1a2b3d4c59"]))
    if draw(st.booleans()):
        return f"mg {key} v O{request_id} Pc=read,d={timeout}{extra}\r\n".encode()
    value = draw(st.binary(max_size=300))
    return f"ms {key} {len(value)} O{request_id} Pc=put,d={timeout}{extra}\r\n".encode() + value + b"\r\n"


@st.composite
def answers(draw: st.DrawFn) -> bytes:
    load = draw(st.sampled_from(["", " Linflight=7,queue=2,x0=0.61"]))
    request_id, value = draw(HEX), draw(st.binary(max_size=300))
    return draw(
        st.sampled_from(
            [
                f"VA {len(value)} O{request_id} h0 Z{load}\r\n".encode() + value + b"\r\n",
                f"HD O{request_id} c1234{load}\r\n".encode(),
                f"SERVER_ERROR busy{load}\r\n".encode(),
                f"SERVER_ERROR failed{load}\r\n".encode(),
                b"MN\r\n",
                b"STAT queue 3\r\nEND\r\n",
            ]
        )
    )


def feed_in_fragments(feed: Callable[[bytes], Iterator[T]], data: bytes, cuts: list[int]) -> list[T]:
    """Feed data cut at the given positions; return the parsed items."""
    ends = sorted({p % (len(data) + 1) for p in cuts} | {len(data)})
    return [item for begin, end in zip([0, *ends], ends, strict=False) for item in feed(data[begin:end])]


CUTS = st.lists(st.integers(0, 1 << 16), max_size=12)


@DETERMINISTIC
@given(st.lists(commands(), min_size=1, max_size=5), CUTS)
def test_commands_survive_any_fragmentation_and_are_forwarded_unchanged(sent: list[bytes], cuts: list[int]) -> None:
    items = feed_in_fragments(meta.CommandParser().feed, b"".join(sent), cuts)
    assert len(items) == len(sent)
    for item, text in zip(items, sent, strict=True):
        assert isinstance(item, Command)
        begin, end = item.timeout_span
        assert b"".join(meta.forward_command(item, 77.9)) == text[:begin] + b"77" + text[end:]
        assert item.timeout_ms == float(text[begin:end])


@DETERMINISTIC
@given(st.lists(answers(), min_size=1, max_size=5), CUTS)
def test_answers_survive_any_fragmentation(sent: list[bytes], cuts: list[int]) -> None:
    data = b"".join(sent)
    several: list[Any] = feed_in_fragments(meta.AnswerParser().feed, data, cuts)
    at_once: list[Any] = list(meta.AnswerParser().feed(data))
    items = [a._replace(parts=(b"".join(a.parts),)) for a in several]
    assert items == [a._replace(parts=(b"".join(a.parts),)) for a in at_once]
    assert AnswerKind.OTHER not in {a.kind for a in items}
    assert len([a for a in items if a.kind != AnswerKind.STAT]) == len(sent)


GARBAGE = st.lists(
    st.one_of(
        st.binary(max_size=200),
        commands(),
        answers(),
        st.sampled_from([b"\r\n", b"ms k ", b"ms k 99999999 O1 Pd=1\r\n", b"VA 9", b"\n", b"mg " + b"k" * 3000]),
    )
)


@DETERMINISTIC
@given(GARBAGE, CUTS)
def test_garbage_raises_nothing_and_is_not_buffered(parts: list[bytes], cuts: list[int]) -> None:
    data = b"".join(parts)
    command_parser, answer_parser = meta.CommandParser(), meta.AnswerParser()
    for item in feed_in_fragments(command_parser.feed, data, cuts):
        if isinstance(item, MalformedCommand):
            assert item.line.endswith(b"\r\n")
            assert item.line.startswith((b"CLIENT_ERROR", b"ERROR"))
    feed_in_fragments(answer_parser.feed, data, cuts)
    assert command_parser._buffer.unread_bytes() <= meta.MAX_VALUE_BYTES + meta.MAX_HEAD_BYTES


@DETERMINISTIC
@given(st.binary(max_size=60).filter(lambda b: b"\r\n" not in b))
def test_a_line_that_never_ends_is_malformed(start: bytes) -> None:
    items = list(meta.CommandParser().feed(start.replace(b"\r", b"x") + b"a" * meta.MAX_HEAD_BYTES))
    assert len(items) <= 1 and all(isinstance(i, MalformedCommand) and i.framing_lost for i in items)
    assert items or len(start) == 0


@pytest.mark.parametrize(
    ("line", "framing_lost"),
    [
        (b"get k\r\n", False),
        (b"mg k v O1\r\n", False),
        (b"mg k v O1 Pc=read\r\n", False),
        (b"mg k v O1 O2 Pc=read,d=5\r\n", False),
        (b"mg k v O1 Pd=-5\r\n", False),
        (b"mg  v\r\n", False),
        (b"ms k x O1 Pc=put,d=5\r\n", True),
        (b"ms k 4194305 O1 Pc=put,d=5\r\n", True),
        (b"ms k 1 O1 Pc=put,d=5\r\nabc", True),
        (b"ms k 1 O1\r\na\r\n", False),
    ],
)
def test_bad_commands(line: bytes, framing_lost: bool) -> None:
    parser = meta.CommandParser()
    (item,) = parser.feed(line)
    assert isinstance(item, MalformedCommand) and item.framing_lost == framing_lost
    assert list(parser.feed(b"mn\r\n")) == ([] if framing_lost else [ControlCommand.READY])


def test_a_malformed_head_is_answered_at_once_and_its_value_skipped() -> None:
    """The value must not take memory, nor delay the answer, which such a client must get within three seconds."""
    parser, value = meta.CommandParser(), b"mn\r\n" * 2500
    (item,) = parser.feed(b"ms k 10000 O1 Pc=put,d=soon\r\n")
    assert isinstance(item, MalformedCommand) and not item.framing_lost
    assert [i for n in range(0, 10000, 900) for i in parser.feed(value[n : n + 900])] == []
    assert parser.has_partial_input() and parser._buffer.unread_bytes() == 0
    assert list(parser.feed(b"\r\nmn\r\n")) == [ControlCommand.READY] and not parser.has_partial_input()


def test_the_fields_of_an_answer() -> None:
    line = b"VA 5 O9b1f h1 Linflight=7,queue=2,util=0.61\r\nhello\r\n"
    answer: Any
    (answer,) = meta.AnswerParser().feed(line)
    assert (answer.kind, answer.request_id, answer.cache_flags) == (AnswerKind.VALUE, b"9b1f", "h1")
    assert answer.load == {"inflight": 7.0, "queue": 2.0, "util": 0.61}
    assert b"".join(answer.parts) == b"VA 5 O9b1f\r\nhello\r\n"
    receipt: Any
    (receipt,) = meta.AnswerParser().feed(b"HD O9b1f c77 h0\r\n")
    assert b"".join(receipt.parts) == b"HD O9b1f c77\r\n"


LARGE_VALUES = st.lists(
    st.integers(1, 40).map(lambda n: Random(n).randbytes(meta.MAX_UNCHUNKED_BYTES + n)), min_size=1, max_size=2
)
LARGE_CUTS = st.lists(st.integers(0, 3 * meta.MAX_UNCHUNKED_BYTES), max_size=12)


@DETERMINISTIC
@given(LARGE_VALUES, LARGE_CUTS, st.booleans())
def test_large_values_are_chunked_at_any_fragmentation(values: list[bytes], cuts: list[int], is_command: bool) -> None:
    """In both directions; no value is ever buffered completely, and its CRLF is never split over two chunks."""
    head = b"ms k %d O1 Pc=put,d=9" if is_command else b"VA %d O1 h1"
    sent = b"".join(head % len(v) + b"\r\n" + v + b"\r\n" for v in values)
    parser: meta.CommandParser | meta.AnswerParser = meta.CommandParser() if is_command else meta.AnswerParser()
    items = feed_in_fragments(parser.feed, sent, cuts)
    assert not parser.has_partial_input()
    for value in values:
        first = items.pop(0)
        assert isinstance(first, Command | meta.ServerAnswer) and first.is_chunked and first.length == len(value)
        received = b""
        while not received.endswith(b"\r\n") or len(received) < len(value) + 2:
            part = items.pop(0)
            assert isinstance(part, meta.ValueChunk) and part.data
            received += part.data
            assert part.last == (len(received) == len(value) + 2)
        assert received == value + b"\r\n"
    assert items == []


@pytest.mark.parametrize("is_command", [True, False])
def test_a_chunked_value_with_a_wrong_end_is_never_complete(is_command: bool) -> None:
    value = b"v" * (meta.MAX_UNCHUNKED_BYTES + 1)
    head = b"ms k %d O1 Pc=put,d=9\r\n" if is_command else b"VA %d O1\r\n"
    parser: meta.CommandParser | meta.AnswerParser = meta.CommandParser() if is_command else meta.AnswerParser()
    items: list[Any] = list(parser.feed(head % len(value) + value + b"xy" + head % 1))
    assert isinstance(items[-1], MalformedCommand) if is_command else items[-1].kind == AnswerKind.OTHER
    assert not any(p.last for p in items if isinstance(p, meta.ValueChunk)) and list(parser.feed(b"mn\r\n")) == []


@pytest.mark.parametrize(
    "line",
    [
        b"VA x O1\r\n",
        b"VA 5\r\n",
        b"HD O1\r\n",
        b"HD c1\r\n",
        b"VA 4194305 O1\r\n",
        b"\xff\xfe\r\n",
        b"VALUE k 0 1\r\n",
        b"SERVER_ERROR busy x\r\n",
        b"SERVER_ERROR busy 5 5\r\n",
        b"SERVER_ERROR busyO1\r\n",
        b"SERVER_ERROR what\r\n",
        b"HD O1 c\xff\r\n",
        b"VA 3000000000 O1\r\n",
    ],
)
def test_bad_answers(line: bytes) -> None:
    items: list[Any] = list(meta.AnswerParser().feed(line))
    assert [a.kind for a in items] == [AnswerKind.OTHER]


def test_a_rejection_carries_retry_after() -> None:
    assert meta.busy_line(0.0) == b"SERVER_ERROR busy\r\n"
    assert meta.busy_line(250.7) == b"SERVER_ERROR busy 250\r\n"
