"""A lost zone, found in common: real processes of the program, a zone dark, a cut that some see only. Loopback only."""

from __future__ import annotations

import re
from pathlib import Path

from starlingthread.analysis.judge import judge
from starlingthread.experiment import scenario_file
from starlingthread.testbed.run import play

SCENARIO = """
name = "failover"
length_s = 18.0
[fleet]
servers = 9
[discovery]
crash_notice_ms = 20000
[routers]
count = 9
[routers.options.failover]
enabled = true
[traffic]
rate = 240.0
keys = 300
warmup_s = 2.0
"""
DARK = """
[[faults]]
kind = "zone-dark"
zone = "bloco-b"
start_s = 3.0
length_s = 6.0
[[faults]]
kind = "zone-dark"
zone = "bloco-b"
start_s = 12.0
length_s = 3.0
[[faults]]
kind = "kill-router"
start_s = 4.5
length_s = 0.5
routers = [1]
"""
# One way, and for the routers of one zone only: the others hear the servers of bloco-b well.
CUT = """
[[faults]]
kind = "link-cut"
way = "from-server"
start_s = 3.0
length_s = 4.0
servers = [1, 4, 7]
from_zone = "bloco-a"
"""
LINE = re.compile(r"(zone-lost|zone-recovered).*?\bzone=(\S+)")


def said(folder: Path, faults: str, *settings: str) -> list[list[tuple[str, str]]]:
    spec = scenario_file.parse(SCENARIO + faults, "failover", settings)
    outcome = play(spec, folder=folder)
    assert not judge(spec, outcome.ledger).counts
    return [LINE.findall((folder / f"r{me}.log").read_text()) for me in range(9)]


def test_all_routers_leave_a_dark_zone_and_take_it_back_and_a_restarted_one_takes_up_the_plan(tmp_path: Path) -> None:
    for me, own in enumerate(said(tmp_path, DARK)):
        # It flaps: lost and back twice, the same at all; the one that is killed while it is lost takes that up anew.
        expected = [("zone-lost", "bloco-b"), ("zone-recovered", "bloco-b")] * 2
        assert own == ([("zone-lost", "bloco-b")] if me == 1 else []) + expected, (me, own)


def test_a_cut_that_the_routers_of_one_zone_see_closes_nothing_for_the_fleet(tmp_path: Path) -> None:
    assert said(tmp_path, CUT) == [[]] * 9


def test_without_the_setting_nobody_says_anything(tmp_path: Path) -> None:
    assert said(tmp_path, DARK, "routers.options.failover.enabled=false") == [[]] * 9
