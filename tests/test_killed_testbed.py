"""Tests that a killed testbed leaves no processes running."""

from __future__ import annotations

import signal
import subprocess
import sys
import time
from pathlib import Path

import psutil

ROOT = Path(__file__).parents[1]
START_TIMEOUT_S = 30.0
END_TIMEOUT_S = 10.0
CALM = str(ROOT / "scenarios" / "calm.toml")


def is_alive(process: psutil.Process) -> bool:
    """Return whether a process runs; a zombie counts as ended, as it may take long to be reaped."""
    try:
        return process.is_running() and process.status() != psutil.STATUS_ZOMBIE
    except psutil.NoSuchProcess:
        return False


def test_routers_and_servers_end_with_a_bench_that_is_killed(tmp_path: Path) -> None:
    """Guards against orphaned routers of killed soak runs, which would take CPU time from later runs."""
    command = [sys.executable, "-m", "starlingthread.cli", "bench", CALM, "--set", "routers.count=2"]
    bench = subprocess.Popen(command, cwd=tmp_path, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
    children: list[psutil.Process] = []
    try:
        deadline = time.monotonic() + START_TIMEOUT_S
        while not any(argument == "starlingthread" for child in children for argument in child.cmdline()):
            assert time.monotonic() < deadline and bench.poll() is None
            time.sleep(0.05)
            children = psutil.Process(bench.pid).children(recursive=True)
    finally:
        bench.send_signal(signal.SIGKILL)
        bench.wait()
    deadline = time.monotonic() + END_TIMEOUT_S
    while (alive := [child for child in children if is_alive(child)]) and time.monotonic() < deadline:
        time.sleep(0.05)
    for child in alive:
        child.kill()
    assert not alive
