"""The router's actor: one outcome per attempt, one answer per request, deadlines in order."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from unittest.mock import Mock, patch

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from starlingthread.core.clock import Clock
from starlingthread.core.counters import Counters
from starlingthread.core.deadline_timer import DeadlineTimer
from starlingthread.core.deadlines import Deadline, Deadlines
from starlingthread.core.mailbox import Mailbox
from starlingthread.core.messages import (
    Answer,
    Attempt,
    AttemptEnded,
    ClientDisconnected,
    EndpointsReceived,
    Failed,
    Message,
    PendingRequest,
    Rejected,
    RequestReceived,
    Served,
)
from starlingthread.core.router import Router
from starlingthread.events import AttemptResult, EndpointList, EndpointListKind
from starlingthread.settings import Settings

from .world import IDEMPOTENCY_KEY, NOT_IDEMPOTENT, READ, THROUGH, members


class ManualClock(Clock):
    """A clock that tests set."""

    time = 1000.0

    def now(self) -> float:
        return self.time


class Place:
    """A router whose clients, cache servers and discovery only record what it does."""

    def __init__(self, settings: Settings = THROUGH) -> None:
        self.clock = ManualClock()
        self.router = Router(settings, 1, self.clock, Deadlines(), Counters())
        self.router.fleet = self.router.discovery = self.router.peers = self  # type: ignore[assignment]
        self.started: list[Attempt] = []
        self.abandoned: list[Attempt] = []
        self.answers: list[tuple[PendingRequest, Answer]] = []
        fleet = tuple(m for m in members(4) if m.kind != 3)
        self.give(EndpointsReceived(EndpointList(EndpointListKind.CACHED, 1, fleet), {}))

    def answer(self, request: PendingRequest, answer: Answer) -> None:
        self.answers.append((request, answer))

    def apply_endpoint_list(self, listing: EndpointsReceived, now: float) -> None:
        pass

    def start(self, attempt: Attempt) -> None:
        self.started.append(attempt)

    def abandon(self, attempt: Attempt) -> None:
        self.abandoned.append(attempt)

    def give(self, message: Message) -> None:
        self.router.mailbox.must_put(message)
        while len(self.router.mailbox):
            self.router.turn()

    def ask(self, cls: int = READ, wait: float = 900.0) -> PendingRequest:
        now = self.clock.time
        request = PendingRequest(
            self, self.router.settings.classes[cls], 7, now + wait, b"payload", now, is_write=cls != READ
        )
        self.router.submit(request)
        while len(self.router.mailbox):
            self.router.turn()
        return request

    def pass_time(self, span: float) -> None:
        until = self.clock.time + span
        while (first := self.router.deadlines.first()) is not None and first <= until:
            self.clock.time = max(self.clock.time, first)
            self.router.turn()
            while len(self.router.mailbox):
                self.router.turn()
        self.clock.time = until


def test_an_answer_goes_to_the_client_and_the_request_is_removed() -> None:
    place = Place()
    request = place.ask()
    place.give(AttemptEnded(place.started[0], AttemptResult.OK, payload=b"value"))
    assert place.answers == [(request, Served(b"value"))]
    assert not place.router.requests and not place.router.attempts


def test_a_late_outcome_is_dropped_and_an_abandoned_attempt_has_one_outcome() -> None:
    place = Place()
    request = place.ask()
    place.pass_time(900.0)
    assert place.abandoned == place.started and not place.started[0].pending
    assert place.answers == [(request, Rejected(place.answers[0][1].retry_after))]  # type: ignore[union-attr]
    place.give(AttemptEnded(place.started[0], AttemptResult.OK, payload=b"late"))
    assert len(place.answers) == 1


def test_an_answer_in_the_mailbox_does_not_lose_to_an_expired_deadline() -> None:
    """Guards the order of a turn: after a pause of the process both are due at once."""
    place = Place()
    request = place.ask()
    place.router.mailbox.must_put(AttemptEnded(place.started[0], AttemptResult.OK, payload=b"v"))
    place.clock.time += 2000.0
    place.router.turn()
    assert place.answers == [(request, Served(b"v"))]


def test_a_disconnected_client_gets_no_answer_and_its_attempt_is_abandoned() -> None:
    place = Place()
    request = place.ask()
    place.give(ClientDisconnected(request))
    assert place.answers == [] and place.abandoned == place.started
    assert not place.router.requests


@pytest.mark.parametrize("result", [AttemptResult.TIMEOUT, AttemptResult.RESET, AttemptResult.ERROR])
def test_an_unsafe_request_that_may_have_run_is_never_sent_again(result: AttemptResult) -> None:
    place = Place()
    place.ask(NOT_IDEMPOTENT)
    place.give(AttemptEnded(place.started[0], result))
    place.pass_time(2000.0)
    assert len(place.started) == 1
    assert [type(a) for _, a in place.answers] == [Failed]


def test_an_exception_of_the_module_fails_only_its_request(monkeypatch: pytest.MonkeyPatch) -> None:
    place = Place()
    with monkeypatch.context() as patch:
        patch.setattr(place.router.balancer, "handle", lambda *_: 1 // 0)
        lost = place.ask()
    assert place.answers == [(lost, Failed())]
    place.ask()
    assert len(place.started) == 1


def test_a_request_that_the_module_forgets_is_answered_as_failed(monkeypatch: pytest.MonkeyPatch) -> None:
    place = Place()
    monkeypatch.setattr(place.router.balancer, "handle", lambda *_: [])
    request = place.ask(wait=300.0)
    place.pass_time(400.0)
    assert place.answers == [(request, Failed())]


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["request", "outcome", "disconnect", "time"]),
        st.integers(0, 9),
        st.sampled_from(list(AttemptResult)[:7]),
    ),
    min_size=20,
    max_size=120,
)


@settings(derandomize=True, deadline=None, max_examples=80)
@given(STEPS)
def test_every_request_gets_one_answer_at_most_and_in_time(steps: list[tuple[str, int, AttemptResult]]) -> None:
    place = Place()
    requests: list[PendingRequest] = []
    disconnected: set[int] = set()
    for step, pick, result in steps:
        place.clock.time += 1.0
        if step == "request":
            requests.append(place.ask((READ, IDEMPOTENCY_KEY, NOT_IDEMPOTENT)[pick % 3], 100.0 + 200 * pick))
        elif step == "outcome" and place.started:
            place.give(AttemptEnded(place.started[-1 - pick % len(place.started)], result, payload=b"v"))
        elif step == "disconnect" and requests:
            request = requests[pick % len(requests)]
            if not request.finished:
                disconnected.add(request.id)
            place.give(ClientDisconnected(request))
        else:
            place.pass_time(30.0 * pick)
    place.pass_time(5000.0)
    assert sorted([r.id for r, _ in place.answers] + list(disconnected)) == [r.id for r in requests]
    assert not place.router.requests and not any(a.pending for a in place.started)
    assert all(r.attempts_started <= THROUGH.max_attempts for r in requests)


@settings(derandomize=True, deadline=None)
@given(st.lists(st.tuples(st.floats(0, 100), st.booleans())))
def test_deadlines_expire_in_order_and_never_once_cleared(items: list[tuple[float, bool]]) -> None:
    deadlines, done = Deadlines(), []
    entries: list[Deadline] = []
    for at, _ in items:
        entries.append(deadlines.set(at, lambda at=at: done.append(at)))  # type: ignore[misc]
    for entry, (_, keep) in zip(entries, items, strict=True):
        if not keep:
            deadlines.clear(entry)
    for now in (25.0, 50.0, 100.0):
        deadlines.sweep(now)
    assert done == sorted(at for at, keep in items if keep)
    assert len(deadlines) == 0 and deadlines.first() is None


def test_a_deadline_cleared_by_one_of_the_same_sweep_does_not_expire() -> None:
    deadlines, done = Deadlines(), []
    later = Deadline(0.0, 0)
    deadlines.set(1.0, lambda: deadlines.clear(later))
    later = deadlines.set(2.0, lambda: done.append(2))
    deadlines.sweep(3.0)
    assert done == []


def test_a_full_mailbox_accepts_only_what_it_must() -> None:
    mailbox: Mailbox[int] = Mailbox(1)
    assert mailbox.put(1) and not mailbox.put(2)
    mailbox.must_put(3)
    assert list(mailbox.take()) == [1, 3]


def test_one_timer_serves_all_deadlines_and_is_only_replaced_for_an_earlier_one() -> None:
    class Loop:
        def __init__(self) -> None:
            self.set: list[float] = []
            self.callback: Callable[[], None] = lambda: None

        def call_at(self, at: float, callback: Callable[[], None]) -> asyncio.Handle:
            self.set.append(at)
            self.callback = callback
            return Mock()

    clock, loop, deadlines, wake = ManualClock(), Loop(), Deadlines(), Mock()
    timer = DeadlineTimer(clock, deadlines, wake)
    with patch("asyncio.get_running_loop", return_value=loop):
        for at in (5.0, 9.0, 3.0, 4.0):
            deadlines.set(at, lambda: None)
            timer.arm()
        assert len(loop.set) == 2
        wake.assert_not_called()
        loop.callback()
        wake.assert_called_once_with()
        deadlines.sweep(3.0)
        timer.arm()
        assert loop.set == [clock.to_loop_time(at) for at in (5.0, 3.0, 4.0)]


def test_queue_time_is_passed_to_the_module_only_while_the_cpu_is_saturated(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against load shedding because connections came in bursts, on a core with spare capacity."""
    place = Place()
    queue_times: list[float] = []
    used = 0.0  # s of CPU time
    monkeypatch.setattr(time, "process_time", lambda: used)
    place.router.cores = 0.4
    place.router.begin()
    for share in (0.3, 0.39, 0.3):
        used += share * 0.25
        place.pass_time(250.0)
        request = PendingRequest(
            place, THROUGH.classes[READ], 7, place.clock.time + 900.0, b"p", place.clock.time - 30.0
        )
        with patch.object(place.router.balancer, "handle", return_value=[]) as handle:
            place.give(RequestReceived(request))
        queue_times.append(handle.call_args.args[1].queue_time)
    assert queue_times == [0.0, 30.0, 0.0]
