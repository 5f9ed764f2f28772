"""Membership of real router processes on loopback: one is killed, one is stopped, one is partitioned."""

from __future__ import annotations

import re
from pathlib import Path

from starlingthread.analysis.judge import judge
from starlingthread.experiment import scenario_file
from starlingthread.testbed.run import play

SCENARIO = """
name = "members"
length_s = 16.0
[fleet]
servers = 3
[routers]
count = 6
[routers.options.membership]
enabled = true
period_ms = 200
[traffic]
rate = 60.0
keys = 100
[[faults]]
kind = "kill-router"
start_s = 2.0
length_s = 6.0
routers = [2]
[[faults]]
kind = "stop-router"
start_s = 2.0
length_s = 6.0
routers = [4]
[[faults]]
kind = "peers-cut"
start_s = 11.0
length_s = 0.3
routers = [0]
"""
MEMBER_EVENT = re.compile(r"(member-\w+).*?\brouter=(\d+)")


def members_down(events: list[tuple[str, int]]) -> set[int]:
    """Return the members with a member-down event."""
    return {member for event, member in events if event == "member-down"}


def test_dead_and_stopped_routers_are_detected_and_rejoin_and_no_others_are_declared_dead(tmp_path: Path) -> None:
    """The other routers log member-down and then member-up for these two routers only."""
    spec = scenario_file.parse(SCENARIO, "members")
    outcome = play(spec, folder=tmp_path)
    assert not judge(spec, outcome.ledger).counts
    events: dict[int, list[tuple[str, int]]] = {}
    for router in range(6):
        log = (tmp_path / f"r{router}.log").read_text()
        before_shutdown, _, _ = log.rpartition("stopping")  # Routers announce it when they leave.
        events[router] = [(event, int(member)) for event, member in MEMBER_EVENT.findall(before_shutdown)]
    for router in (0, 1, 3, 5):
        assert members_down(events[router]) == {2, 4}, events[router]
        for member in (2, 4):
            after_down = events[router][events[router].index(("member-down", member)) :]
            assert ("member-up", member) in after_down, events[router]
    # Neither the stopped router, after it continued, nor the restarted one declared a member dead by itself. They may
    # learn by gossip which members were dead.
    assert members_down(events[2] + events[4]) <= {2, 4}, (events[2], events[4])
