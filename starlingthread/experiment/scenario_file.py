"""Reads scenarios from TOML files, applies overrides from the command line, and reports errors with the key."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any, get_args

import msgspec

from ..options import with_rename_hint
from .scenario import FaultKind, Scenario
from .validation import ScenarioError, validate

# Renamed keys and values: the name in older scenario files and the current one.
RENAMED = {
    "boxes": "servers",
    "cold_boxes": "cold_servers",
    "box_processes": "server_processes",
    "from-box": "from-server",
    "to-box": "to-server",
    "told_at_latest_ms": "notified_within_ms",
}


def read(path: str | Path, overrides: tuple[str, ...] = ()) -> Scenario:
    """Read a scenario from a file. Raise a ScenarioError if it can't be read or is invalid."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise ScenarioError(str(path), str(error)) from None
    return parse(text, str(path), overrides)


def parse(text: str, source: str, overrides: tuple[str, ...] = ()) -> Scenario:
    """Parse and validate a scenario's text. Raise a ScenarioError if it is invalid.

    Args:
        text: The scenario in TOML.
        source: File name or other origin of the text, for error messages.
        overrides: Assignments ``key.path=value`` that replace values of the text.
    """
    try:
        tables = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise ScenarioError(source, f"not valid TOML: {error}") from None
    for override in overrides:
        _apply_override(tables, override)
    try:
        scenario = msgspec.convert(tables, Scenario)
    except msgspec.ValidationError as error:
        raise _scenario_error(source, error) from None
    return validate(scenario, source)


def _apply_override(tables: dict[str, Any], override: str) -> None:
    """Apply one ``key.path=value`` of the command line; the value is TOML, or a string if it is not valid TOML."""
    source = f"--set {override!r}"
    path, separator, value = override.partition("=")
    if not separator or not path.strip():
        raise ScenarioError(source, "expected key=value, as in traffic.rate=800")
    try:
        parsed: Any = tomllib.loads(f"v = {value}")["v"]
    except tomllib.TOMLDecodeError:
        parsed = value.strip()
    *parents, key = path.strip().split(".")
    table = tables
    for parent in parents:
        table = table.setdefault(parent, {})
        if not isinstance(table, dict):
            raise ScenarioError(source, f"{parent!r} is not a table")
    table[key] = parsed


def _scenario_error(source: str, error: msgspec.ValidationError) -> ScenarioError:
    """Convert a validation error of msgspec to a ScenarioError, with the key separate from the message."""
    message, _, path = str(error).partition(" - at `$")
    key = path.rstrip("`").lstrip(".") or "the top level"
    if key.startswith("faults[") and key.endswith(".kind"):
        message += f", expected one of {', '.join(get_args(FaultKind))}"
    message = with_rename_hint(message, RENAMED)
    return ScenarioError(source, f"{message[:1].lower()}{message[1:]}", key)
