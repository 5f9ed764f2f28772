"""The program as a process: configuration, good and bad, at its start and on SIGHUP."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from .standins import free_port


def test_sighup_takes_over_a_new_file_and_keeps_the_old_one_if_it_is_no_good(tmp_path: Path) -> None:
    """Guards against the signal's own effect, which ends a program."""
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
    ) as program:
        assert program.stderr is not None

        def line_of(event: str) -> str:
            for line in program.stderr or ():
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
            program.send_signal(signal.SIGHUP)
            assert event in (line := line_of("reload"))
        assert "discovery=127.0.0.1:2 needs-restart=nothing" in line
        program.kill()


@pytest.mark.parametrize("text", [None, "{", "[]", "{}", json.dumps({"listen": "x", "settings": {}})])
def test_a_bad_configuration_is_one_plain_line(text: str | None, tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text)
    done = subprocess.run(
        [sys.executable, "-m", "starlingthread"],
        capture_output=True,
        check=False,
        text=True,
        timeout=30,
        env={**os.environ, "LB_CONFIG": str(path)},
    )
    assert done.returncode == 1 and done.stdout == ""
    assert done.stderr.count("\n") == 1 and done.stderr.startswith("starlingthread: ")
