"""Known test failures that are caused by a fault: KNOWN-RED.txt at the root lists them, one entry a line.

    tests/test_file.py::test_name | command and seed that show it | what was seen | issue 12
    tests/test_file.py::test_name | command and seed that show it | 2 of 30 runs: what was seen | issue 12
    no test | command and seed that show it | what was seen | issue 12

The first form is for a test that always fails. A run expects these tests to fail and prints their entries; it fails if
one of them passes. The second form is for a test that fails intermittently, with the number of failures and runs; it
may pass or fail. The third form is for a fault that no test detects yet; it is only printed. A run fails if a line has
none of these forms, if two entries name the same test, or if a named test does not exist. Without the file, pytest runs
as usual.
"""

from __future__ import annotations

import gc
import re
from collections.abc import Generator
from typing import NamedTuple

import pytest

FILE_NAME = "KNOWN-RED.txt"
NO_TEST = "no test"
ENTRY_FORMAT = "'test | command | what was seen | issue N'"
_FAILURE_COUNT = re.compile(r"(\d+) of (\d+) (?:runs|plays): \S")
_COUNT_PREFIX = re.compile(r"\d+ of \d+\b")


class KnownFailure(NamedTuple):
    """One entry of the file."""

    test: str  # The node id of the test, or NO_TEST.
    command: str
    observation: str
    issue: str

    @property
    def has_test(self) -> bool:
        """Whether the entry names a test."""
        return self.test != NO_TEST

    @property
    def is_intermittent(self) -> bool:
        """Whether the test fails only in some runs, so that it may also pass."""
        return _FAILURE_COUNT.match(self.observation) is not None

    def __str__(self) -> str:
        """Return the entry in the format of the file."""
        return " | ".join(self)


def parse_entry(line: str) -> KnownFailure:
    """Return the entry of a line, or raise a ValueError."""
    parts = [part.strip() for part in line.split("|")]
    if len(parts) != len(KnownFailure._fields) or not all(parts) or not re.fullmatch(r"issue \d+", parts[-1]):
        raise ValueError(f"not {ENTRY_FORMAT}: {line}")
    entry = KnownFailure(*parts)
    if entry.has_test and "::" not in entry.test:
        raise ValueError(f"not a test nor '{NO_TEST}': {line}")
    count = _FAILURE_COUNT.match(entry.observation)
    if entry.has_test and count is None and _COUNT_PREFIX.match(entry.observation):
        raise ValueError(f"not 'N of M runs: what was seen': {line}")
    if entry.has_test and count is not None and not 0 < int(count[1]) < int(count[2]):
        raise ValueError(f"a test that fails at times fails in some runs and not in all: {line}")
    return entry


def parse(text: str) -> list[KnownFailure]:
    """Return the entries of the file's text, or raise a ValueError."""
    entries = [parse_entry(line) for line in text.splitlines() if line.strip()]
    tests = [entry.test for entry in entries if entry.has_test]
    if len(set(tests)) < len(tests):
        raise ValueError("a test is listed twice")
    return entries


def read_entries(config: pytest.Config) -> list[KnownFailure]:
    """Return the file's entries, none if there is no file; an invalid file ends the run with a usage error."""
    path = config.rootpath / FILE_NAME
    if not path.exists():
        return []
    try:
        return parse(path.read_text(encoding="utf-8"))
    except ValueError as error:
        raise pytest.UsageError(f"{FILE_NAME}: {error}") from None


def was_collected(test: str, config: pytest.Config, items: list[pytest.Item]) -> bool:
    """Return whether this run would have collected a test of that name if it existed."""
    if any("::" in arg for arg in config.args):
        return False
    file = test.partition("::")[0]
    return not (config.rootpath / file).is_file() or any(item.nodeid.startswith(f"{file}::") for item in items)


@pytest.hookimpl(tryfirst=True)  # This runs before other hooks deselect tests.
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark the listed tests as expected to fail; one that passes fails the run, unless its failure is intermittent."""
    by_name = {item.nodeid: item for item in items}
    for entry in read_entries(config):
        if entry.test in by_name:
            reason = f"{entry.observation} ({entry.issue})"
            by_name[entry.test].add_marker(pytest.mark.xfail(reason=reason, strict=not entry.is_intermittent))
        elif entry.has_test and was_collected(entry.test, config, items):
            raise pytest.UsageError(f"{FILE_NAME}: there is no test {entry.test}")


@pytest.hookimpl(wrapper=True, tryfirst=True)
def pytest_runtest_makereport(
    item: pytest.Item, call: pytest.CallInfo[None]
) -> Generator[None, pytest.TestReport, pytest.TestReport]:
    """Collect garbage before a failure is formatted.

    CPython 3.11.6 raises "AST constructor recursion depth mismatch", which ends the run, if a stream of a closed event
    loop is collected while pytest parses the source of the failed test: its warning is formatted by another parse.
    """
    if call.excinfo is not None:
        gc.collect()
    return (yield)


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    """Print the entries of the file."""
    for entry in read_entries(config):
        terminalreporter.write_line(f"known red: {entry}")
