"""Exit codes and output of the command line, and the imports of the router's own program."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest
from click.testing import CliRunner

from starlingthread import options
from starlingthread.cli.main import main

ROOT = Path(__file__).parents[1]


@pytest.mark.parametrize(
    ("arguments", "exit_code", "expected_text"),
    [
        (["bench", "nowhere.toml"], 2, "nowhere.toml"),
        (["bench"], 2, "SCENARIO"),
        (["serve"], 2, "--config FILE"),
        (["frobnicate"], 2, "frobnicate"),
        (["bench", str(ROOT / "scenarios/calm.toml"), "--set", "rate"], 1, "key=value"),
        (["bench", str(ROOT / "scenarios/calm.toml"), "--set", "traffic.rte=1"], 1, "rte"),
        (["compare", str(ROOT / "pyproject.toml"), str(ROOT / "pyproject.toml")], 1, "no results"),
        (["check-config", str(ROOT / "README.md")], 2, ".json or .toml"),
        (["check-config", str(ROOT / "deploy/starlingthread.toml")], 0, "good"),
        (["check-config", str(ROOT / "scenarios/slow.toml")], 0, "1 faults: good"),
        (["completion", "bash"], 0, "_STARLINGTHREAD_COMPLETE"),
        (["--help"], 0, "demo"),
    ],
)
def test_the_command_line_distinguishes_misuse_from_failure(
    arguments: list[str], exit_code: int, expected_text: str
) -> None:
    result = CliRunner().invoke(main, arguments)
    assert (result.exit_code, expected_text in result.output) == (exit_code, True), result.output


def test_the_error_for_an_invalid_operators_file_names_the_key(tmp_path: Path) -> None:
    path = tmp_path / "own.toml"
    path.write_text('[log]\nformat = "xml"\n')
    result = CliRunner().invoke(main, ["check-config", str(path)])
    assert result.exit_code == 1 and "log.format" in result.stderr and "xml" in result.stderr
    with pytest.raises(options.OptionsError, match="unknown field"):
        options.parse("[logs]\n", "own.toml")


def test_a_router_imports_no_lab_packages() -> None:
    lab = "{'numpy', 'aiohttp', 'rich', 'uvloop', 'matplotlib', 'psutil', 'click', 'jinja2', 'hdrh'}"
    code = f"import sys, starlingthread.__main__; print(sorted({lab} & set(sys.modules)))"
    result = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True, timeout=60)
    assert result.stdout == "[]\n"
