"""Tests that are known to fail for a real fault: KNOWN-RED.txt at the root names them, one a line.

    tests/test_file.py::test_name | the cause in a few words | issue 12

A run expects just these to fail and prints them. It fails if a line is not of that form, if there are more than three,
if a named test does not exist, or if a named test passes. With no such file nothing changes.
"""

from __future__ import annotations

import re
from typing import NamedTuple

import pytest

MAX_ENTRIES = 3
FILE_NAME = "KNOWN-RED.txt"


class KnownRed(NamedTuple):
    """One line of the file."""

    test: str
    cause: str
    issue: str


def parse(text: str) -> list[KnownRed]:
    """Return the entries of the file's text, or raise a ValueError."""
    lines = [line.strip() for line in text.splitlines() if line.strip()]
    if len(lines) > MAX_ENTRIES:
        raise ValueError(f"{len(lines)} tests, {MAX_ENTRIES} at most")
    entries = []
    for line in lines:
        test, cause, issue, *more = (*(part.strip() for part in line.split("|")), "", "", "")
        if not test or not cause or not re.fullmatch(r"issue \d+", issue) or any(more):
            raise ValueError(f"not 'test | cause | issue N': {line}")
        entries.append(KnownRed(test, cause, issue))
    if len({entry.test for entry in entries}) < len(entries):
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
    """Mark the tests in the file as expected to fail; one that passes fails the run."""
    by_name = {item.nodeid: item for item in items}
    for entry in read_entries(config):
        if entry.test in by_name:
            by_name[entry.test].add_marker(pytest.mark.xfail(reason=f"{entry.cause} ({entry.issue})", strict=True))
        elif was_collected(entry.test, config, items):
            raise pytest.UsageError(f"{FILE_NAME}: there is no test {entry.test}")


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    """Print the tests whose failure is expected."""
    for entry in read_entries(config):
        terminalreporter.write_line(f"known red: {entry.test} | {entry.cause} | {entry.issue}")
