"""Scenarios in TOML: reading a file, settings of the command line, and errors that name the key."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any, get_args

import msgspec

from ..options import with_rename_hint
from .scenario import FaultKind, Scenario
from .validation import ScenarioError, validate

# Keys and values of older scenarios, with what they are called now.
RENAMED = {
    "boxes": "servers",
    "cold_boxes": "cold_servers",
    "box_processes": "server_processes",
    "from-box": "from-server",
    "to-box": "to-server",
    "told_at_latest_ms": "notified_within_ms",
}


def read(path: str | Path, overrides: tuple[str, ...] = ()) -> Scenario:
    """Read a scenario from a file. Raise a ScenarioError."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise ScenarioError(str(path), str(error)) from None
    return parse(text, str(path), overrides)


def parse(text: str, source: str, overrides: tuple[str, ...] = ()) -> Scenario:
    """Parse and validate a scenario's text. Raise a ScenarioError.

    Args:
        text: The scenario in TOML.
        source: Where the text comes from, for errors.
        overrides: Settings ``key.path=value`` that replace those of the text.
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
    """Replace one key by a ``key.path=value`` of the command line; the value is TOML, a bare word is a string."""
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
            raise ScenarioError(source, f"{parent!r} is no table")
    table[key] = parsed


def _scenario_error(source: str, error: msgspec.ValidationError) -> ScenarioError:
    """Return a validation error of msgspec as a ScenarioError with the key apart."""
    message, _, path = str(error).partition(" - at `$")
    key = path.rstrip("`").lstrip(".") or "the top level"
    if key.startswith("faults[") and key.endswith(".kind"):
        message += f", expected one of {', '.join(get_args(FaultKind))}"
    message = with_rename_hint(message, RENAMED)
    return ScenarioError(source, f"{message[:1].lower()}{message[1:]}", key)
