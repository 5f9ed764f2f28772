"""Tests that are known to fail are passed over, and nothing else is."""

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

@pytest.mark.parametrize("n", [1, 2])
def test_worse(n: int) -> None:
    assert n == 1
"""
BAD = "tests/test_some.py::test_bad | it is false | issue 7\n"
WORSE = "tests/test_some.py::test_worse[2] | two is not one | issue 7\n"


def run(folder: Path, known: str | None, *args: str) -> tuple[int, str]:
    """Run the tests above beside a file; return the exit code and what was printed."""
    (folder / "tests").mkdir()
    (folder / "pyproject.toml").write_text('[tool.pytest.ini_options]\ntestpaths = ["tests"]\n')
    (folder / "tests" / "test_some.py").write_text(TESTS)
    shutil.copy(Path(__file__).parent / "conftest.py", folder / "tests")
    if known is not None:
        (folder / "KNOWN-RED.txt").write_text(known)
    done = subprocess.run(
        [sys.executable, "-m", "pytest", "-p", "no:cacheprovider", *args],
        cwd=folder,
        check=False,
        capture_output=True,
        text=True,
        timeout=60,
    )
    return done.returncode, done.stdout + done.stderr


def test_with_no_file_every_failure_counts(tmp_path: Path) -> None:
    code, said = run(tmp_path, None)
    assert code == 1 and "2 failed, 2 passed" in said and "known red" not in said


def test_what_is_named_is_passed_over_and_printed(tmp_path: Path) -> None:
    code, said = run(tmp_path, BAD + WORSE)
    assert code == 0 and "2 passed, 2 xfailed" in said
    assert f"known red: {BAD}" in said and f"known red: {WORSE}" in said


def test_a_failure_that_is_not_named_counts(tmp_path: Path) -> None:
    code, said = run(tmp_path, BAD)
    assert code == 1 and "1 failed, 2 passed, 1 xfailed" in said


@pytest.mark.parametrize(
    ("known", "why"),
    [
        ("tests/test_some.py::test_good | it is not | issue 7\n", None),  # it passes
        ("tests/test_some.py::test_none | who knows | issue 7\n", "there is no test tests/test_some.py::test_none"),
        ("tests/test_other.py::test_none | who knows | issue 7\n", "there is no test"),
        ("tests/test_some.py::test_bad | | issue 7\n", "not 'test | cause | issue N'"),
        ("tests/test_some.py::test_bad | it is false |\n", "not 'test | cause | issue N'"),
        ("tests/test_some.py::test_bad | it is false | issue seven\n", "not 'test | cause | issue N'"),
        ("tests/test_some.py::test_bad\n", "not 'test | cause | issue N'"),
        (BAD + BAD, "twice"),
        ("".join(f"tests/test_some.py::test_{n} | cause | issue 7\n" for n in range(4)), "4 tests, 3 at most"),
    ],
)
def test_a_file_that_hides_more_than_it_says_fails_the_run(tmp_path: Path, known: str, why: str | None) -> None:
    code, said = run(tmp_path, known + (WORSE + BAD if why is None else ""))
    assert code != 0 and (why or "XPASS(strict)") in said


def test_single_tests_can_be_run_beside_a_file_that_names_others(tmp_path: Path) -> None:
    code, said = run(tmp_path, BAD + WORSE, "tests/test_some.py::test_good")
    assert code == 0 and "1 passed" in said


def test_a_bad_line_is_no_licence_for_a_part_of_the_tests(tmp_path: Path) -> None:
    code, _ = run(tmp_path, "nonsense\n", "tests/test_some.py::test_good")
    assert code != 0
