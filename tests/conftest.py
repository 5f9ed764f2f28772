"""Tests that are known to fail for a real fault: KNOWN-RED.txt at the root names them, one a line.

    tests/test_file.py::test_name | the cause in a few words | issue 12

A run passes over the failures of just these and prints them. It fails if a line is not of that form, if there are more
than three, if a test is named that there is not, or if one that is named passes. With no such file nothing changes.
"""

from __future__ import annotations

import re
from typing import NamedTuple

import pytest

MOST = 3
NAME = "KNOWN-RED.txt"


class KnownRed(NamedTuple):
    """One line of the file."""

    test: str
    cause: str
    issue: str


def parse(text: str) -> list[KnownRed]:
    """Read the file's text, or raise a ValueError."""
    lines = [line.strip() for line in text.splitlines() if line.strip()]
    if len(lines) > MOST:
        raise ValueError(f"{len(lines)} tests, {MOST} at most")
    found = []
    for line in lines:
        test, cause, issue, *more = (*(part.strip() for part in line.split("|")), "", "", "")
        if not test or not cause or not re.fullmatch(r"issue \d+", issue) or any(more):
            raise ValueError(f"not 'test | cause | issue N': {line}")
        found.append(KnownRed(test, cause, issue))
    if len({red.test for red in found}) < len(found):
        raise ValueError("a test stands there twice")
    return found


def known(config: pytest.Config) -> list[KnownRed]:
    """Return what the file says, nothing if there is none; a bad one ends the run."""
    path = config.rootpath / NAME
    if not path.exists():
        return []
    try:
        return parse(path.read_text(encoding="utf-8"))
    except ValueError as error:
        raise pytest.UsageError(f"{NAME}: {error}") from None


def was_collected(test: str, config: pytest.Config, items: list[pytest.Item]) -> bool:
    """Whether this run would have found a test if there were one of that name."""
    if any("::" in arg for arg in config.args):
        return False
    file = test.partition("::")[0]
    return not (config.rootpath / file).is_file() or any(i.nodeid.startswith(f"{file}::") for i in items)


@pytest.hookimpl(tryfirst=True)  # before others leave any out
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark the tests that are named: their failure is expected, and their passing is a failure."""
    by_name = {item.nodeid: item for item in items}
    for red in known(config):
        if red.test in by_name:
            by_name[red.test].add_marker(pytest.mark.xfail(reason=f"{red.cause} ({red.issue})", strict=True))
        elif was_collected(red.test, config, items):
            raise pytest.UsageError(f"{NAME}: there is no test {red.test}")


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    """Print what was passed over."""
    for red in known(config):
        terminalreporter.write_line(f"known red: {red.test} | {red.cause} | {red.issue}")
