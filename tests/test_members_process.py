"""Routers that probe one another: real processes, one killed, one stopped, some cut off. Loopback only."""

from __future__ import annotations

import re
from collections import defaultdict
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
LINE = re.compile(r"(member-\w+).*?\brouter=(\d+)")


def test_routers_find_the_dead_and_the_stopped_take_them_back_and_believe_nobody_else_dead(tmp_path: Path) -> None:
    spec = scenario_file.parse(SCENARIO, "members")
    outcome = play(spec, folder=tmp_path)
    assert not judge(spec, outcome.ledger).counts
    said: dict[int, list[tuple[str, int]]] = defaultdict(list)
    for me in range(6):
        before, _, _ = (tmp_path / f"r{me}.log").read_text().rpartition("stopping")  # who goes tells so
        said[me] = [(what, int(who)) for what, who in LINE.findall(before)]
    for me in (0, 1, 3, 5):
        assert {who for what, who in said[me] if what == "member-down"} == {2, 4}, said[me]
        for who in (2, 4):
            assert ("member-up", who) in said[me][said[me].index(("member-down", who)) :], said[me]
    # The one that stood still held nobody dead by itself when it went on, nor did the one that came anew: they may hear
    # from others who was.
    assert {who for me in (2, 4) for what, who in said[me] if what == "member-down"} <= {2, 4}, (said[2], said[4])
