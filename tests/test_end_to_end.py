"""End-to-end tests: three real routers and an emulated fleet under several faults, and the logs of one router."""

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
    """The bench command violates no rule, and writes its results as JSON and as a report."""
    path = tmp_path / "end-to-end.toml"
    path.write_text(SCENARIO)
    completed = subprocess.run(
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
    assert completed.returncode == 0, completed.stdout + completed.stderr
    run = results.read(tmp_path / "out.json")
    assert run.passed and run.goodput_share > 0.8 and len(run.faults) == 5
    assert run.facts["discovery.calls"] >= 4 and run.facts["servers.runs"] > 2000
    assert all(router.requests > 300 and router.peak_memory_mb > 10 for router in run.routers)
    page = (tmp_path / "out.html").read_text()
    assert page.count("data:image/png") == 8 and "No rule broken" in page
    assert not completed.stderr  # no progress bar without a terminal


@pytest.mark.parametrize("log_format", ["json", "logfmt"])
def test_a_router_writes_structured_lines_and_reloads_its_options(tmp_path: Path, log_format: str) -> None:
    """An invalid options file is logged, and the previous options stay in effect."""
    options_file = tmp_path / "own.toml"
    options_file.write_text(f'[log]\nformat = "{log_format}"\n')
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
        env={**os.environ, "LB_CONFIG": str(tmp_path / "r0.json"), "STARLINGTHREAD_OPTIONS": str(options_file)},
    )
    assert router.stderr is not None
    watchdog = threading.Timer(60, router.kill)  # closes the log, which ends the wait for a line
    watchdog.start()

    def read_until(event: str) -> str:
        """Return the next log line that contains an event's name."""
        assert router.stderr is not None
        while event not in (line := router.stderr.readline()):
            assert line, f"the log ended without {event}"
        return line

    started = read_until("started")
    if log_format == "json":
        assert json.loads(started)["event"] == "started" and json.loads(started)["servers"] == 9
    else:
        assert " event=started " in started and " servers=9" in started
    options_file.write_text('[log]\nformat = "xml"\n')
    router.send_signal(signal.SIGHUP)
    assert "log.format" in read_until("options-invalid")
    read_until("reloaded")  # each reload must be complete before the next signal: two pending ones are merged
    options_file.write_text('[log]\nformat = "text"\n')
    router.send_signal(signal.SIGHUP)
    read_until("reloaded")
    router.send_signal(signal.SIGHUP)
    assert " INFO reloaded discovery=" in read_until("reloaded")
    # The operators' options take effect although the platform's file is invalid. A log line reports that peer messages
    # are not permitted.
    config["settings"]["permissions"]["peerMessages"] = False
    (tmp_path / "r0.json").write_text(json.dumps(config))
    router.send_signal(signal.SIGHUP)
    read_until("reloaded")
    (tmp_path / "r0.json").write_text("{")
    options_file.write_text("[membership]\nenabled = true\n")
    router.send_signal(signal.SIGHUP)
    read_until("reload-failed")
    assert "not allowed" in read_until("membership-disabled")
    stopped_at = time.monotonic()
    router.send_signal(signal.SIGTERM)
    assert router.wait(10) == 0 and time.monotonic() - stopped_at < 5
    watchdog.cancel()
    router.stderr.close()
