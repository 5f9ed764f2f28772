"""Failures of the tests that KNOWN-RED.txt names are expected, and no others are."""

from __future__ import annotations

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

TESTS = """
import pytest

def test_good() -> None:
    pass

def test_bad() -> None:
    assert False

def test_flaky() -> None:
    assert True

@pytest.mark.parametrize("n", [1, 2])
def test_worse(n: int) -> None:
    assert n == 1
"""
FORM_ERROR = "not 'test | command | what was seen | issue N'"
BAD_ENTRY = "tests/test_some.py::test_bad | pytest, seed 1 | it is false | issue 7\n"
WORSE_ENTRY = "tests/test_some.py::test_worse[2] | pytest, seed 2 | two is not one | issue 7\n"
FLAKY_ENTRY = "tests/test_some.py::test_flaky | pytest, seed 3 | 2 of 30 runs: too late | issue 8\n"
UNTESTED_ENTRY = "no test | play --seed 4 | 3 of 9 plays: lost | issue 9\n"


def run_pytest(folder: Path, known_red: str | None, *args: str) -> tuple[int, str]:
    """Run TESTS with the text of KNOWN-RED.txt, if any; return the exit code and the output."""
    (folder / "tests").mkdir()
    (folder / "pyproject.toml").write_text('[tool.pytest.ini_options]\ntestpaths = ["tests"]\n')
    (folder / "tests" / "test_some.py").write_text(TESTS)
    shutil.copy(Path(__file__).parent / "conftest.py", folder / "tests")
    if known_red is not None:
        (folder / "KNOWN-RED.txt").write_text(known_red)
    completed = subprocess.run(
        [sys.executable, "-m", "pytest", "-p", "no:cacheprovider", *args],
        cwd=folder,
        check=False,
        capture_output=True,
        text=True,
        timeout=60,
    )
    return completed.returncode, completed.stdout + completed.stderr


def test_without_the_file_every_failure_fails_the_run(tmp_path: Path) -> None:
    code, output = run_pytest(tmp_path, None)
    assert code == 1 and "2 failed, 3 passed" in output and "known red" not in output


def test_failures_of_named_tests_are_expected_and_printed(tmp_path: Path) -> None:
    code, output = run_pytest(tmp_path, BAD_ENTRY + WORSE_ENTRY)
    assert code == 0 and "3 passed, 2 xfailed" in output
    assert f"known red: {BAD_ENTRY}" in output and f"known red: {WORSE_ENTRY}" in output


def test_a_failure_of_another_test_fails_the_run(tmp_path: Path) -> None:
    code, output = run_pytest(tmp_path, BAD_ENTRY)
    assert code == 1 and "1 failed, 3 passed, 1 xfailed" in output


@pytest.mark.parametrize(
    ("known_red", "error"),
    [
        ("tests/test_some.py::test_good | pytest | it is not | issue 7\n", None),  # The test passes.
        ("tests/test_some.py::test_none | pytest | who | issue 7\n", "there is no test tests/test_some.py::test_none"),
        ("tests/test_other.py::test_none | pytest | who knows | issue 7\n", "there is no test"),
        ("tests/test_other.py::test_none | pytest | 1 of 9 runs: who knows | issue 7\n", "there is no test"),
        ("tests/test_some.py::test_bad | it is false | issue 7\n", FORM_ERROR),  # The form of earlier versions.
        ("tests/test_some.py::test_bad | pytest | | issue 7\n", FORM_ERROR),
        ("tests/test_some.py::test_bad | | it is false | issue 7\n", FORM_ERROR),
        ("tests/test_some.py::test_bad | pytest | it is false |\n", FORM_ERROR),
        ("tests/test_some.py::test_bad | pytest | it is false | issue seven\n", FORM_ERROR),
        ("tests/test_some.py::test_bad | pytest | it | is false | issue 7\n", FORM_ERROR),
        ("tests/test_some.py::test_bad\n", FORM_ERROR),
        ("no test | | it is false | issue 7\n", FORM_ERROR),
        ("something | pytest | it is false | issue 7\n", "not a test nor 'no test'"),
        ("tests/test_some.py::test_bad | pytest | 3 of 4 times | issue 7\n", "not 'N of M runs"),
        ("tests/test_some.py::test_bad | pytest | 0 of 4 runs: false | issue 7\n", "in some runs and not in all"),
        ("tests/test_some.py::test_bad | pytest | 4 of 4 runs: false | issue 7\n", "in some runs and not in all"),
        (BAD_ENTRY + BAD_ENTRY, "twice"),
    ],
)
def test_an_invalid_or_outdated_file_fails_the_run(tmp_path: Path, known_red: str, error: str | None) -> None:
    code, output = run_pytest(tmp_path, known_red + (WORSE_ENTRY + BAD_ENTRY if error is None else ""))
    assert code != 0 and (error or "XPASS(strict)") in output


def test_a_single_test_can_be_run_though_the_file_names_others(tmp_path: Path) -> None:
    code, output = run_pytest(tmp_path, BAD_ENTRY + WORSE_ENTRY, "tests/test_some.py::test_good")
    assert code == 0 and "1 passed" in output


def test_an_invalid_line_fails_a_run_of_a_single_test_too(tmp_path: Path) -> None:
    code, _ = run_pytest(tmp_path, "nonsense\n", "tests/test_some.py::test_good")
    assert code != 0


def test_a_test_that_fails_only_at_times_may_pass(tmp_path: Path) -> None:
    code, output = run_pytest(tmp_path, BAD_ENTRY + WORSE_ENTRY + FLAKY_ENTRY)
    assert code == 0 and "2 passed, 2 xfailed, 1 xpassed" in output and f"known red: {FLAKY_ENTRY}" in output


def test_a_test_that_fails_only_at_times_may_fail_and_hides_no_other(tmp_path: Path) -> None:
    intermittent_entry = BAD_ENTRY.replace("it is false", "1 of 9 runs: it is false")
    code, output = run_pytest(tmp_path, intermittent_entry)
    assert code == 1 and "1 failed, 3 passed, 1 xfailed" in output


def test_a_fault_without_a_test_is_printed(tmp_path: Path) -> None:
    code, output = run_pytest(tmp_path, BAD_ENTRY + WORSE_ENTRY + UNTESTED_ENTRY)
    assert code == 0 and "3 passed, 2 xfailed" in output and f"known red: {UNTESTED_ENTRY}" in output
