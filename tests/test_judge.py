"""Each rule of the judge fires for a router that is broken in just that way, and for no other reason."""

from __future__ import annotations

import os
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import pytest

from starlingthread.analysis import results
from starlingthread.analysis.judge import judge
from starlingthread.experiment.records import (
    ANSWERED,
    CUT,
    OUT,
    RUN,
    ClientAttempt,
    Delivery,
    FaultRecord,
    Ledger,
    Operation,
    RouterEvent,
)
from starlingthread.experiment.scenario import Scenario
from starlingthread.experiment.scenario_file import parse

ROUTER = Path(__file__).with_name("broken_router.py")
SCENARIO = """
name = "broken"
length_s = 2.5
[fleet]
servers = 4
cold_from = 0.05
cold_ms = 60000.0
slots = 2
waiting = 200
hit_ms = 4.0
tip_after_ms = 500.0
[routers]
count = 2
memory_mb = 120.0
[rules]
notified_within_ms = 200.0
held_back_ms = 150.0
[discovery]
notice_ms = 50.0
[traffic]
rate = 150.0
keys = 100
warmup_s = 0.0
retries = 1
connections = 8
[[traffic.classes]]
name = "item-lookup"
share = 0.8
deadline_ms = 1000.0
aim_ms = 900.0
[[traffic.classes]]
name = "hold-item"
share = 0.2
effect = "once"
aim_ms = 300.0
deadline_ms = 500.0
write = true
"""
DRAIN = '[[faults]]\nkind = "shrink"\nstart_s = 0.3\nservers = [0, 1]\n'
COLD = '[[faults]]\nkind = "replace"\nstart_s = 0.3\nstrength = 50.0\nservers = [0]\n'
# What a mode breaks, and under which fault.
MODES = {
    "good": ("", ""),
    "answers-twice": ("answered-twice", ""),
    "resends-hold": ("once-ran-twice", ""),
    "ignores-drain": ("drain", DRAIN),
    "floods-cold": ("cold-fall", COLD),
    "loses": ("lost", ""),
    "sits": ("held-back", ""),
    "answers-late": ("late-answer", ""),
    "foreign-value": ("foreign-value", ""),
    "refuses-what-ran": ("busy-after-run", ""),
    "invents": ("unknown-request", ""),
    "leaks": ("memory", ""),
    "crashes": ("crashed", ""),
}
# A mode may break other rules as well, where one deed breaks two.
ALSO = {
    "resends-hold": {"once-resent"},
    "answers-twice": set(),
    "refuses-what-ran": {"once-ran-twice", "once-resent"},
    "invents": {"foreign-value"},
    "ignores-drain": set(),
    "floods-cold": set(),
    "crashes": {"lost"},
    "answers-late": {"lost", "held-back"},
}


@pytest.fixture(scope="module")
def played(tmp_path_factory: pytest.TempPathFactory) -> dict[str, tuple[int, results.Results]]:
    """Play all modes at once, by the command line."""
    folder = tmp_path_factory.mktemp("broken")

    def play(mode: str) -> tuple[str, int, results.Results]:
        path = folder / f"{mode}.toml"
        text = SCENARIO.replace(
            "memory_mb = 120.0", "memory_mb = 120.0\ncommand = " + repr([sys.executable, str(ROUTER), mode])
        )
        path.write_text(text + MODES[mode][1])
        done = subprocess.run(
            [sys.executable, "-m", "starlingthread.cli", "bench", str(path), "--json", str(folder / f"{mode}.json")],
            capture_output=True,
            timeout=120,
            check=False,
            env={**os.environ, "COLUMNS": "200"},
        )
        assert (folder / f"{mode}.json").exists(), done.stderr.decode()
        return mode, done.returncode, results.read(folder / f"{mode}.json")

    with ThreadPoolExecutor(6) as pool:
        return {mode: (code, result) for mode, code, result in pool.map(play, MODES)}


@pytest.mark.parametrize("mode", MODES)
def test_a_broken_router_breaks_its_rule(mode: str, played: dict[str, tuple[int, results.Results]]) -> None:
    code, result = played[mode]
    expected = MODES[mode][0]
    counts = result.verdict.counts
    assert (expected in counts) == bool(expected), (counts, result.verdict.violations[:5])
    assert set(counts) <= {expected, *ALSO.get(mode, set())}, result.verdict.violations[:5]
    assert code == (1 if expected else 0)
    if expected:
        shown = next(v for v in result.verdict.violations if v.rule == expected)
        assert shown.text and (shown.request or expected in ("memory", "crashed", "cold-fall"))


def _scene(effect: str = "once") -> tuple[Scenario, Ledger]:
    scenario = parse(
        f'name = "x"\n[[traffic.classes]]\nname = "w"\nshare = 1.0\neffect = "{effect}"\nwrite = true\n', "x"
    )
    return scenario, Ledger(ended_at=10000.0, operations=[Operation(0, 0, 100.0)])


def test_ran_once_and_never_heard_is_not_ran_twice() -> None:
    scenario, ledger = _scene()
    ledger.attempts = [ClientAttempt("a", 0, 0, 1, 0, 100.0, 300.0, outcome="eof")]
    ledger.router_events = [RouterEvent(0, "killed", 150.0)]
    ledger.deliveries = [Delivery("a", 3, 110.0, 110.0, RUN, CUT, 150.0)]
    verdict = judge(scenario, ledger)
    assert not verdict.counts
    assert verdict.notes == {"unanswered by a dead or stopped router": 1, "once: ran, client never heard": 1}
    ledger.deliveries.append(Delivery("a", 4, 120.0, 120.0, RUN, ANSWERED, 160.0))
    assert set(judge(scenario, ledger).counts) == {"once-ran-twice", "once-resent"}


def test_a_router_that_lives_is_not_excused() -> None:
    scenario, ledger = _scene()
    ledger.attempts = [ClientAttempt("a", 0, 0, 1, 0, 100.0, 300.0, outcome="eof")]
    ledger.router_events = [RouterEvent(1, "killed", 150.0), RouterEvent(0, "killed", 2000.0)]
    assert set(judge(scenario, ledger).counts) == {"lost"}


def test_a_keyed_write_is_not_sent_again_after_its_span() -> None:
    scenario, ledger = _scene("by_key")
    ledger.attempts = [ClientAttempt("a", 0, 0, 1, 0, 100.0, 9000.0, outcome="failed", answered_at=5000.0)]
    ledger.deliveries = [Delivery("a", 3, 110.0, 110.0, RUN, OUT), Delivery("a", 4, 3900.0, 3900.0, RUN, CUT, 4990.0)]
    assert not judge(scenario, ledger).counts
    ledger.deliveries[1].first_at = 4300.0
    assert set(judge(scenario, ledger).counts) == {"keyed-late"}


def test_a_load_tool_that_falls_behind_voids_the_run() -> None:
    scenario, ledger = _scene()
    ledger.operations = [Operation(n, 0, 100.0, 30.0 if n < 2 else 0.0, "served", 120.0) for n in range(100)]
    assert "fell behind" in judge(scenario, ledger).void[0]
    ledger.operations[0].send_delay_ms = 0.0
    assert not judge(scenario, ledger).void
    ledger.lags = {"servers-0": 500.0}
    assert "servers-0 stood still" in judge(scenario, ledger).void[0]


def _held(router: int = 1, server: int = 0, ended_at: float = 5017.0, way: str = "from-server") -> set[str]:
    """What the judge says of a refusal 3.2 s after the request, as a link to group 1 is cut from 5 s to 9 s."""
    scenario, ledger = _scene("repeatable")
    ledger.operations = [Operation(0, 0, 4990.0)]
    ledger.attempts = [ClientAttempt("a", 0, 0, 1, router, 4990.0, 3200.0, outcome="busy", answered_at=8187.0)]
    ledger.deliveries = [Delivery("a", server, 4991.0, 4991.0, RUN, ANSWERED, ended_at)]
    ledger.faults = [FaultRecord("cut", "link-cut", 5000.0, 9000.0, "servers 0", (0,), (1,), way)]
    return set(judge(scenario, ledger).counts)


def test_an_answer_that_a_cut_link_holds_is_out_until_the_link_heals() -> None:
    assert not _held()
    assert not _held(router=4)  # of the same group, as there are three zones


@pytest.mark.parametrize("other", [{"router": 0}, {"server": 1}, {"way": "to-server"}, {"ended_at": 4999.0}])
def test_a_refusal_is_held_back_if_the_cut_link_did_not_hold_the_answer(other: dict[str, Any]) -> None:
    assert _held(**other) == {"held-back"}
