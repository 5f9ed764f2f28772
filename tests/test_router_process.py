"""Tests of the emulator's router processes: a restart is not reported as a crash, and sampling an ended one is safe."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

import psutil
import pytest

from starlingthread.emulator.router_process import RouterProcess
from starlingthread.experiment.records import Ledger
from starlingthread.experiment.scenario_file import parse


def make_router(folder: Path, code: str) -> RouterProcess:
    scenario = parse(
        f"""
name = "starts"
length_s = 2.0
[routers]
command = [{sys.executable!r}, "-c", {code!r}]
""",
        "starts.toml",
    )
    return RouterProcess(0, scenario, folder, Ledger())


def test_a_killed_and_restarted_router_is_not_reported_as_crashed(tmp_path: Path) -> None:
    """While a new process is created, the old one must not look crashed.

    On a busy machine the sampler ran during the creation and reported the killed process as crashed.
    """

    async def run() -> None:
        router = make_router(tmp_path, "import time; time.sleep(60)")
        await router.start(1, [], ("127.0.0.1", 2), {})
        await router.kill()
        starting = asyncio.create_task(router.start(1, [], ("127.0.0.1", 2), {}))
        polls = 0
        while not starting.done():
            await asyncio.sleep(0)
            polls += 1
            process = router.process
            assert process is not None and (process.returncode is None or router.is_exit_expected)
        assert polls > 1 and router.pid
        await router.kill()

    asyncio.run(run())


def test_sampling_a_router_that_has_ended_raises_nothing(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """A router may end before psutil can inspect it: two of three starts of 200 routers failed with a traceback."""

    async def run() -> None:
        router = make_router(tmp_path, "pass")

        def raise_no_such_process(pid: int) -> psutil.Process:
            raise psutil.NoSuchProcess(pid)

        monkeypatch.setattr(psutil, "Process", raise_no_such_process)
        await router.start(1, [], ("127.0.0.1", 2), {})
        assert router.process is not None
        await router.process.wait()
        router.sample()
        assert not router.ledger.router_samples and not await router.wait_until_ready()

    asyncio.run(run())
