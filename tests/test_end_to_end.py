"""Three real routers, an emulated fleet, several faults at once: no rule is broken, and every part is used."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import threading
import time
from pathlib import Path

import pytest

from starlingthread.analysis import results

SCENARIO = """
name = "end-to-end"
length_s = 9.0
[fleet]
servers = 6
cold_ms = 4000.0
[discovery]
crash_notice_ms = 500.0
[traffic]
rate = 300.0
keys = 1000
warmup_s = 1.0
front_notices_ms = 500.0
[[faults]]
kind = "slow"
start_s = 1.0
length_s = 3.0
strength = 6.0
servers = [0]
[[faults]]
kind = "shrink"
start_s = 2.0
length_s = 3.5
servers = [1]
[[faults]]
kind = "kill-router"
start_s = 4.0
length_s = 0.5
routers = [2]
[[faults]]
kind = "silent"
start_s = 5.0
length_s = 1.5
servers = [3]
[[faults]]
kind = "spoilt"
start_s = 1.0
length_s = 6.0
strength = 0.02
servers = [4, 5]
"""


def test_three_routers_keep_all_rules_through_five_faults(tmp_path: Path) -> None:
    path = tmp_path / "end-to-end.toml"
    path.write_text(SCENARIO)
    done = subprocess.run(
        [
            sys.executable,
            "-m",
            "starlingthread.cli",
            "bench",
            str(path),
            "--json",
            str(tmp_path / "out.json"),
            "--report",
            str(tmp_path / "out.html"),
        ],
        capture_output=True,
        text=True,
        timeout=90,
        check=False,
    )
    assert done.returncode == 0, done.stdout + done.stderr
    run = results.read(tmp_path / "out.json")
    assert run.passed and run.goodput_share > 0.8 and len(run.faults) == 5
    assert run.facts["discovery.calls"] >= 4 and run.facts["servers.runs"] > 2000
    assert all(r.requests > 300 and r.peak_memory_mb > 10 for r in run.routers)
    page = (tmp_path / "out.html").read_text()
    assert page.count("data:image/png") == 8 and "No rule broken" in page
    assert not done.stderr  # no progress bar where nobody looks


@pytest.mark.parametrize("shape", ["json", "logfmt"])
def test_a_router_writes_structured_lines_and_reloads_its_options(tmp_path: Path, shape: str) -> None:
    own = tmp_path / "own.toml"
    own.write_text(f'[log]\nformat = "{shape}"\n')
    subprocess.run(
        [
            sys.executable,
            "-m",
            "starlingthread.cli",
            "emulate",
            "scenarios/calm.toml",
            "--folder",
            str(tmp_path),
            "--for",
            "0.1",
        ],
        check=True,
        capture_output=True,
        timeout=60,
    )
    config = json.loads((tmp_path / "r0.json").read_text())
    config["peer_listen"] = None
    (tmp_path / "r0.json").write_text(json.dumps(config))
    router = subprocess.Popen(
        [sys.executable, "-m", "starlingthread"],
        stderr=subprocess.PIPE,
        text=True,
        env={**os.environ, "LB_CONFIG": str(tmp_path / "r0.json"), "STARLINGTHREAD_OPTIONS": str(own)},
    )
    assert router.stderr is not None
    watchdog = threading.Timer(60, router.kill)  # the log ends with it, and so does the wait for a line
    watchdog.start()

    def until(event: str) -> str:
        assert router.stderr is not None
        while event not in (line := router.stderr.readline()):
            assert line, f"the log ended without {event}"
        return line

    started = until("started")
    if shape == "json":
        assert json.loads(started)["event"] == "started" and json.loads(started)["servers"] == 9
    else:
        assert " event=started " in started and " servers=9" in started
    own.write_text('[log]\nformat = "xml"\n')
    router.send_signal(signal.SIGHUP)
    assert "log.format" in until("options-invalid")
    until("reloaded")  # each reload is over before the next signal: two that wait count as one
    own.write_text('[log]\nformat = "text"\n')
    router.send_signal(signal.SIGHUP)
    until("reloaded")
    router.send_signal(signal.SIGHUP)
    assert " INFO reloaded discovery=" in until("reloaded")
    # The operator's file counts whatever the platform's is like; this router may tell nobody, and says so.
    config["settings"]["permissions"]["peerMessages"] = False
    (tmp_path / "r0.json").write_text(json.dumps(config))
    router.send_signal(signal.SIGHUP)
    until("reloaded")
    (tmp_path / "r0.json").write_text("{")
    own.write_text("[membership]\nenabled = true\n")
    router.send_signal(signal.SIGHUP)
    until("reload-failed")
    assert "not allowed" in until("membership-disabled")
    began = time.monotonic()
    router.send_signal(signal.SIGTERM)
    assert router.wait(10) == 0 and time.monotonic() - began < 5
    watchdog.cancel()
    router.stderr.close()
