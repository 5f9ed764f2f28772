"""Zone failover with real router processes on loopback: a lost zone, and a partition that affects few routers."""

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
ZONE_OUTAGES = """
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
# Only one direction fails, and only for the routers of one zone; the others get the responses of bloco-b's servers.
PARTIAL_PARTITION = """
[[faults]]
kind = "link-cut"
way = "from-server"
start_s = 3.0
length_s = 4.0
servers = [1, 4, 7]
from_zone = "bloco-a"
"""
ZONE_EVENT = re.compile(r"(zone-lost|zone-recovered).*?\bzone=(\S+)")


def logged_zone_events(folder: Path, faults: str, *settings: str) -> list[list[tuple[str, str]]]:
    """Run the scenario with faults; return the zone events that each router logged, as pairs of event and zone name."""
    spec = scenario_file.parse(SCENARIO + faults, "failover", settings)
    outcome = play(spec, folder=folder)
    assert not judge(spec, outcome.ledger).counts
    return [ZONE_EVENT.findall((folder / f"r{router}.log").read_text()) for router in range(9)]


def test_all_routers_close_and_reopen_a_lost_zone_and_a_restarted_one_adopts_the_plan(tmp_path: Path) -> None:
    """The zone is lost twice; a router is killed and restarted during the first outage."""
    for router, events in enumerate(logged_zone_events(tmp_path, ZONE_OUTAGES)):
        # All routers log the same events; the one killed during the outage logs the loss again after its restart.
        expected = [("zone-lost", "bloco-b"), ("zone-recovered", "bloco-b")] * 2
        assert events == ([("zone-lost", "bloco-b")] if router == 1 else []) + expected, (router, events)


def test_a_partition_that_affects_only_the_routers_of_one_zone_closes_no_zone_for_the_fleet(tmp_path: Path) -> None:
    """These routers are a minority of the witnesses."""
    assert logged_zone_events(tmp_path, PARTIAL_PARTITION) == [[]] * 9


def test_without_the_setting_no_router_logs_a_zone_event(tmp_path: Path) -> None:
    """Failover is off if the operators' file disables it."""
    assert logged_zone_events(tmp_path, ZONE_OUTAGES, "routers.options.failover.enabled=false") == [[]] * 9
