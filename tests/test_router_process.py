"""The emulator's router processes: no false crash is reported while one restarts."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

import psutil
import pytest

from starlingthread.emulator.router_process import RouterProcess
from starlingthread.experiment.records import Ledger
from starlingthread.experiment.scenario_file import parse


def a_router(folder: Path, code: str) -> RouterProcess:
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
    """On a busy machine the old process was seen as crashed while the new one was being made."""

    async def play() -> None:
        router = a_router(tmp_path, "import time; time.sleep(60)")
        await router.start(1, [], ("127.0.0.1", 2), {})
        await router.kill()
        starting = asyncio.create_task(router.start(1, [], ("127.0.0.1", 2), {}))
        looks = 0
        while not starting.done():
            await asyncio.sleep(0)
            looks += 1
            process = router.process
            assert process is not None and (process.returncode is None or router.is_exit_expected)
        assert looks > 1 and router.pid
        await router.kill()

    asyncio.run(play())


def test_sampling_a_router_that_has_ended_raises_nothing(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Two of three starts of 200 routers ended in a traceback."""

    async def play() -> None:
        router = a_router(tmp_path, "pass")

        def gone(pid: int) -> psutil.Process:
            raise psutil.NoSuchProcess(pid)

        monkeypatch.setattr(psutil, "Process", gone)
        await router.start(1, [], ("127.0.0.1", 2), {})
        assert router.process is not None
        await router.process.wait()
        router.sample()
        assert not router.ledger.router_samples and not await router.wait_until_ready()

    asyncio.run(play())
