"""Tests that are known to fail for a real fault: KNOWN-RED.txt at the root names them, one entry a line.

    tests/test_file.py::test_name | command and seed that show it | what was seen | issue 12
    tests/test_file.py::test_name | command and seed that show it | 2 of 30 runs: what was seen | issue 12
    no test | command and seed that show it | what was seen | issue 12

The first form is for a test that always fails. A run expects just these to fail and prints them; it fails if one
passes. The second form is for a test that fails only at times, with how often in how many runs: it may pass or fail.
The third is for a fault that no test holds yet; it is printed, and that is all. A run fails if a line has none of these
forms, if two entries name the same test, or if a named test does not exist. With no such file nothing changes.
"""

from __future__ import annotations

import re
from typing import NamedTuple

import pytest

FILE_NAME = "KNOWN-RED.txt"
NO_TEST = "no test"
FORM = "'test | command | what was seen | issue N'"
_FAILURE_COUNT = re.compile(r"(\d+) of (\d+) (?:runs|plays): \S")
_COUNT_LIKE = re.compile(r"\d+ of \d+\b")


class KnownRed(NamedTuple):
    """One entry of the file."""

    test: str  # its node id, or NO_TEST
    command: str
    seen: str
    issue: str

    @property
    def has_test(self) -> bool:
        """Whether a test shows the fault."""
        return self.test != NO_TEST

    @property
    def fails_at_times(self) -> bool:
        """Whether the test may pass too."""
        return _FAILURE_COUNT.match(self.seen) is not None

    def __str__(self) -> str:
        """Return the entry as it stands in the file."""
        return " | ".join(self)


def parse_entry(line: str) -> KnownRed:
    """Return the entry of a line, or raise a ValueError."""
    parts = [part.strip() for part in line.split("|")]
    if len(parts) != len(KnownRed._fields) or not all(parts) or not re.fullmatch(r"issue \d+", parts[-1]):
        raise ValueError(f"not {FORM}: {line}")
    entry = KnownRed(*parts)
    if entry.has_test and "::" not in entry.test:
        raise ValueError(f"not a test nor '{NO_TEST}': {line}")
    count = _FAILURE_COUNT.match(entry.seen)
    if entry.has_test and count is None and _COUNT_LIKE.match(entry.seen):
        raise ValueError(f"not 'N of M runs: what was seen': {line}")
    if entry.has_test and count is not None and not 0 < int(count[1]) < int(count[2]):
        raise ValueError(f"a test that fails at times fails in some runs and not in all: {line}")
    return entry


def parse(text: str) -> list[KnownRed]:
    """Return the entries of the file's text, or raise a ValueError."""
    entries = [parse_entry(line) for line in text.splitlines() if line.strip()]
    tests = [entry.test for entry in entries if entry.has_test]
    if len(set(tests)) < len(tests):
        raise ValueError("a test stands there twice")
    return entries


def read_entries(config: pytest.Config) -> list[KnownRed]:
    """Return the file's entries, none if there is no file; an invalid one ends the run."""
    path = config.rootpath / FILE_NAME
    if not path.exists():
        return []
    try:
        return parse(path.read_text(encoding="utf-8"))
    except ValueError as error:
        raise pytest.UsageError(f"{FILE_NAME}: {error}") from None


def was_collected(test: str, config: pytest.Config, items: list[pytest.Item]) -> bool:
    """Whether this run would have found a test if there were one of that name."""
    if any("::" in arg for arg in config.args):
        return False
    file = test.partition("::")[0]
    return not (config.rootpath / file).is_file() or any(item.nodeid.startswith(f"{file}::") for item in items)


@pytest.hookimpl(tryfirst=True)  # before other hooks deselect any
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark the tests in the file as expected to fail; one that passes fails the run, unless it fails only at times."""
    by_name = {item.nodeid: item for item in items}
    for entry in read_entries(config):
        if entry.test in by_name:
            reason = f"{entry.seen} ({entry.issue})"
            by_name[entry.test].add_marker(pytest.mark.xfail(reason=reason, strict=not entry.fails_at_times))
        elif entry.has_test and was_collected(entry.test, config, items):
            raise pytest.UsageError(f"{FILE_NAME}: there is no test {entry.test}")


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    """Print the known faults."""
    for entry in read_entries(config):
        terminalreporter.write_line(f"known red: {entry}")
