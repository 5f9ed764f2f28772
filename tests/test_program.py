"""The router as a process, with valid and invalid configuration files at startup and on SIGHUP."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from .fakes import free_port


def test_sighup_applies_a_valid_file_and_ignores_an_invalid_one(tmp_path: Path) -> None:
    """Guards against the default action of SIGHUP, which ends the process."""
    path = tmp_path / "config.json"
    config = {
        "listen": f"127.0.0.1:{free_port()}",
        "discovery": "127.0.0.1:1",
        "settings": {
            "grades": [{"effect": "once", "name": "w", "promiseMs": 1, "hardLimitMs": 2}],
            "permissions": {},
            "rules": {"drainGraceMs": 1},
        },
    }
    path.write_text(json.dumps(config))
    with subprocess.Popen(
        [sys.executable, "-m", "starlingthread"],
        stderr=subprocess.PIPE,
        text=True,
        env={**os.environ, "LB_CONFIG": str(path)},
    ) as router:
        assert router.stderr is not None

        def line_of(event: str) -> str:
            for line in router.stderr or ():
                if event in line:
                    return line
            return "ended"

        line_of("started")
        for text, event in (
            ("{", "reload-failed"),
            ("[]", "reload-failed"),
            (json.dumps({**config, "discovery": "127.0.0.1:2"}), "reloaded"),
        ):
            path.write_text(text)
            router.send_signal(signal.SIGHUP)
            assert event in (line := line_of("reload"))
        assert "discovery=127.0.0.1:2 needs-restart=nothing" in line
        router.kill()


@pytest.mark.parametrize("text", [None, "{", "[]", "{}", json.dumps({"listen": "x", "settings": {}})])
def test_an_invalid_configuration_gives_one_line_and_exit_code_1(text: str | None, tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text)
    completed = subprocess.run(
        [sys.executable, "-m", "starlingthread"],
        capture_output=True,
        check=False,
        text=True,
        timeout=30,
        env={**os.environ, "LB_CONFIG": str(path)},
    )
    assert completed.returncode == 1 and completed.stdout == ""
    assert completed.stderr.count("\n") == 1 and completed.stderr.startswith("starlingthread: ")
