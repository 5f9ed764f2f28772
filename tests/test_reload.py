"""Reloads of the settings while requests are in flight or the process starts."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
import threading
import tomllib
from pathlib import Path

from .peers import CLASSES, WAIT_TIMEOUT_S, free_port, read_command, running_router, until, value_answer


def test_a_class_removed_while_a_value_is_received_fails_that_request_alone(tmp_path: Path) -> None:
    """Guards against an exception that ended the actor of the decision module, and with it the process."""

    async def scenario() -> None:
        async with running_router(tmp_path) as harness:
            client = await harness.client()
            await client.send(b"ms k 100000 O1 Pc=keyed,d=5000\r\n")
            actor = harness.actor_of(client)
            await until(lambda: actor.requests.unsubmitted is not None)
            harness.reload(CLASSES[:1])
            await client.send(b"x" * 100000 + b"\r\n")
            assert await client.until(b"\r\n") == b"SERVER_ERROR failed\r\n"
            await client.send(read_command(2))
            server = await harness.server.accept()
            await server.until(b"\r\n")
            await server.send(value_answer(2))
            assert await client.until(b"x\r\n") == b"VA 1 O2\r\nx\r\n"

    asyncio.run(scenario())


def test_requests_keep_the_class_settings_they_began_with(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_router(tmp_path) as harness:
            client = await harness.client()
            await client.send(b"ms k 1 O1 Pc=once,d=5000\r\nx\r\n")
            server = await harness.server.accept()
            await server.until(b"x\r\n")
            harness.reload([{**CLASSES[2], "effect": "repeatable"}])
            server.reset()
            # The write may have been executed, so it must not be retried.
            assert await client.until(b"\r\n") == b"SERVER_ERROR failed\r\n"
            assert harness.counters["attempts.started"] == 1 and harness.counters["module.errors"] == 0

    asyncio.run(scenario())


def test_a_reload_signal_during_start_neither_ends_the_process_nor_is_lost(tmp_path: Path) -> None:
    """Guards against the default action of SIGHUP, and against a signal that arrives just after the file was read."""
    deploy = tomllib.loads((Path(__file__).parent.parent / "deploy" / "balancer.toml").read_text())
    command = deploy["run"].replace(".venv/bin/python", sys.executable)
    path, port = tmp_path / "config.json", free_port()
    os.mkfifo(path)  # Opening a FIFO blocks, so the process waits where it reads its file.
    config = {
        "listen": f"127.0.0.1:{port}",
        "discovery": "127.0.0.1:1",
        "settings": {"grades": CLASSES, "permissions": {}, "rules": {"drainGraceMs": 1.0, "askWithinMs": 1e9}},
    }
    with subprocess.Popen(
        ["/bin/sh", "-c", command], stderr=subprocess.PIPE, text=True, env={**os.environ, "LB_CONFIG": str(path)}
    ) as router:
        assert router.stderr is not None
        watchdog = threading.Timer(WAIT_TIMEOUT_S, router.kill)
        watchdog.start()
        with path.open("w") as file:
            router.send_signal(signal.SIGHUP)
            file.write(json.dumps(config))
            new = tmp_path / "new.json"
            new.write_text(json.dumps({**config, "discovery": "127.0.0.1:2"}))
            new.replace(path)  # The process still has the FIFO open.
        assert any("reloaded discovery=127.0.0.1:2" in line for line in router.stderr)
        watchdog.cancel()
        router.kill()


def test_a_signal_before_the_process_reads_its_file_does_not_end_it() -> None:
    """The interpreter needs about 0.1 s to start, before the program can install any signal handler."""
    deploy = tomllib.loads((Path(__file__).parent.parent / "deploy" / "balancer.toml").read_text())
    command = deploy["run"].replace("exec ", "kill -HUP $$; kill -USR1 $$; exec true || exec ", 1)
    assert subprocess.run(["/bin/sh", "-c", command], check=False, timeout=WAIT_TIMEOUT_S).returncode == 0
