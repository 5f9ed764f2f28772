"""Replays recorded event streams and compares the resulting actions with the recorded ones."""

from __future__ import annotations

import json

import pytest

from starlingthread import Balancer

from . import event_stream


@pytest.mark.parametrize("seed", event_stream.SEEDS)
@pytest.mark.parametrize("name", event_stream.SETTINGS)
def test_recorded_events_result_in_the_recorded_actions(name: str, seed: int) -> None:
    """Guards against a refactoring that changes a decision."""
    balancer = Balancer(event_stream.SETTINGS[name], seed)
    lines = event_stream.path_of(name, seed).read_text(encoding="utf-8").splitlines()
    assert len(lines) == event_stream.STEPS
    for number, line in enumerate(lines):
        now, event, expected = json.loads(line)
        actions = (
            balancer.start(now)
            if event is None
            else balancer.handle(now, event_stream.parse_event(event, event_stream.SETTINGS[name]))
        )
        assert json.loads(json.dumps(event_stream.to_json_value(actions))) == expected, (number, event)


def test_the_streams_have_every_kind_of_event_and_action() -> None:
    """Guards against recorded streams that lack a type; the types have their recorded names."""
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


def test_a_generated_stream_is_the_same_each_time() -> None:
    """A stream depends only on the settings and the seed."""
    assert (
        event_stream.StreamGenerator("through", 5).generate() == event_stream.StreamGenerator("through", 5).generate()
    )
