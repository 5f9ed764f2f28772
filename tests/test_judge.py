"""Tests of the judge on real runs: it finds the rule that each defective router violates, and no other rule.

They guard against checks that miss violations, and against checks that report violations which did not happen.
"""

from __future__ import annotations

import os
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest

from starlingthread.analysis import results

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
REPLACE = '[[faults]]\nkind = "replace"\nstart_s = 0.3\nstrength = 50.0\nservers = [0]\n'
# For each mode: the rule that it violates, and the fault that is needed for the violation.
MODES = {
    "good": ("", ""),
    "answers-twice": ("answered-twice", ""),
    "resends-once": ("once-ran-twice", ""),
    "ignores-drain": ("drain", DRAIN),
    "overloads-warming": ("cold-fall", REPLACE),
    "loses": ("lost", ""),
    "delays-rejections": ("held-back", ""),
    "answers-late": ("late-answer", ""),
    "foreign-value": ("foreign-value", ""),
    "rejects-after-run": ("busy-after-run", ""),
    "invents-requests": ("unknown-request", ""),
    "leaks": ("memory", ""),
    "crashes": ("crashed", ""),
}
# Other rules that a mode may violate as well, as one action can violate two rules.
MAY_ALSO_VIOLATE = {
    "resends-once": {"once-resent"},
    "answers-twice": set(),
    "rejects-after-run": {"once-ran-twice", "once-resent"},
    "invents-requests": {"foreign-value"},
    "ignores-drain": set(),
    "overloads-warming": set(),
    "crashes": {"lost"},
    "answers-late": {"lost", "held-back"},
}


@pytest.fixture(scope="module")
def runs(tmp_path_factory: pytest.TempPathFactory) -> dict[str, tuple[int, results.Results]]:
    """Run all modes with the bench command; return exit code and results of each."""
    folder = tmp_path_factory.mktemp("broken")

    def run_mode(mode: str) -> tuple[str, int, results.Results]:
        path = folder / f"{mode}.toml"
        text = SCENARIO.replace(
            "memory_mb = 120.0", "memory_mb = 120.0\ncommand = " + repr([sys.executable, str(ROUTER), mode])
        )
        path.write_text(text + MODES[mode][1])
        process = subprocess.run(
            [sys.executable, "-m", "starlingthread.cli", "bench", str(path), "--json", str(folder / f"{mode}.json")],
            capture_output=True,
            timeout=120,
            check=False,
            env={**os.environ, "COLUMNS": "200"},
        )
        assert (folder / f"{mode}.json").exists(), process.stderr.decode()
        return mode, process.returncode, results.read(folder / f"{mode}.json")

    with ThreadPoolExecutor(6) as pool:
        return {mode: (exit_code, result) for mode, exit_code, result in pool.map(run_mode, MODES)}


@pytest.mark.parametrize("mode", MODES)
def test_a_broken_router_breaks_its_rule(mode: str, runs: dict[str, tuple[int, results.Results]]) -> None:
    exit_code, result = runs[mode]
    expected = MODES[mode][0]
    counts = result.verdict.counts
    assert (expected in counts) == bool(expected), (counts, result.verdict.violations[:5])
    assert set(counts) <= {expected, *MAY_ALSO_VIOLATE.get(mode, set())}, result.verdict.violations[:5]
    assert exit_code == (1 if expected else 0)
    if expected:
        violation = next(v for v in result.verdict.violations if v.rule == expected)
        assert violation.text and (violation.request or expected in ("memory", "crashed", "cold-fall"))
