"""The same events call for the same actions as when the streams were written down."""

from __future__ import annotations

import json

import pytest

from starlingthread import Balancer

from . import event_stream


@pytest.mark.parametrize("seed", event_stream.SEEDS)
@pytest.mark.parametrize("name", event_stream.SETTINGS)
def test_recorded_events_call_for_the_recorded_actions(name: str, seed: int) -> None:
    balancer = Balancer(event_stream.SETTINGS[name], seed)
    lines = event_stream.path_of(name, seed).read_text(encoding="utf-8").splitlines()
    assert len(lines) == event_stream.STEPS
    for number, line in enumerate(lines):
        now, event, expected = json.loads(line)
        actions = (
            balancer.start(now)
            if event is None
            else balancer.handle(now, event_stream.event_of(event, event_stream.SETTINGS[name]))
        )
        assert json.loads(json.dumps(event_stream.written(actions))) == expected, (number, event)


def test_the_streams_hold_every_event_and_every_action_that_the_module_takes() -> None:
    kinds: set[str] = set()
    for name in event_stream.SETTINGS:
        for seed in event_stream.SEEDS:
            for line in event_stream.path_of(name, seed).read_text(encoding="utf-8").splitlines():
                _, event, actions = json.loads(line)
                kinds |= {part[0] for part in (*actions, *([event] if event else []))}
    assert kinds == {
        "Request",
        "Outcome",
        "MemberList",
        "Maintenance",
        "Timer",
        "Withdrawn",
        "Retuned",
        "FirstByte",
        "ProbeResult",
        "Send",
        "Refuse",
        "Fail",
        "Cancel",
        "SetTimer",
        "Watch",
    }


def test_a_drawn_stream_is_the_same_each_time() -> None:
    assert event_stream.Drawn("through", 5).steps() == event_stream.Drawn("through", 5).steps()
