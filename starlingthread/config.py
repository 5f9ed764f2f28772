"""The platform's configuration of the router: the JSON file that LB_CONFIG names."""

from __future__ import annotations

import json
import os
from pathlib import Path
from typing import Any, NamedTuple, NoReturn, TypeAlias

from .net.discovery import parse_address
from .settings import Settings
from .settings_json import SettingsError, settings_from_json

Address: TypeAlias = tuple[str, int]  # host and port
JsonShape: TypeAlias = dict[str, str]  # The name of the type of each value, by its path in the JSON object.

DEFAULT_SOCKETS = 256
DEFAULT_MEMORY_MB = 32
DEFAULT_IDLE_TIMEOUT_MS = 15000.0
MIN_CORES = 0.05
CACHED_LIST_KEY = "known"
TYPE_NAMES = {
    dict: "object",
    list: "array",
    str: "string",
    int: "number",
    float: "number",
    bool: "boolean",
    type(None): "null",
}


class ConfigError(Exception):
    """The configuration file is missing or invalid; the text names the file and the error."""


class Config(NamedTuple):
    """The configuration of one router process."""

    path: str
    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int  # The limit on open file descriptors.
    memory: float  # The memory limit in MB.
    cores: float  # The number of CPU cores that this process may use.
    management: Address | None
    peer_listen: Address | None
    peers: list[Address]
    peers_all: Address | None  # One address whose datagrams reach all peers.
    cached_list: object  # An endpoint list from an earlier time, in discovery's JSON format.
    settings: Settings
    zones: tuple[str, ...]
    server_kinds: tuple[str, ...]
    idle_timeout: float  # Idle connections are closed after this time (ms).
    shape: JsonShape


def json_shape(raw: object, path: str = "") -> JsonShape:
    """Return the type of each value within a JSON value, by its path; for an array of objects, what all of them share.

    The cached endpoint list is left out, because its content depends on when it was stored.
    """
    if isinstance(raw, dict):
        return _object_shape(raw, path)
    if isinstance(raw, list) and raw and all(isinstance(item, dict) for item in raw):
        return _objects_shape(raw, path)
    return {path: TYPE_NAMES[type(raw)]}


def _object_shape(raw: dict[str, Any], path: str) -> JsonShape:
    shape = {path or ".": TYPE_NAMES[dict]}
    for name, value in raw.items():
        if path or name != CACHED_LIST_KEY:
            shape.update(json_shape(value, f"{path}.{name}" if path else str(name)))
    return shape


def _objects_shape(items: list[Any], path: str) -> JsonShape:
    first, *others = [json_shape(item, f"{path}[]") for item in items]
    shared = {
        item_path: type_name
        for item_path, type_name in first.items()
        if all(other.get(item_path) == type_name for other in others)
    }
    return {path: TYPE_NAMES[list], **shared}


def _shape_difference(expected: JsonShape, raw: dict[str, Any]) -> str:
    """Return the first difference of a JSON object from an expected shape; an empty text if it has all of it."""
    actual = json_shape(raw)
    for path, type_name in expected.items():
        if path not in actual:
            # The shape of an array has only what all its items share, so a path that one item lacks is missing here.
            return f"{path} is missing in at least one place"
        if actual[path] != type_name:
            return f"{path} has type {actual[path]}, expected {type_name}"
    return ""


def _reject_constant(text: str) -> NoReturn:
    """Reject NaN and Infinity, which json.loads would accept."""
    raise ValueError(f"{text} is not a valid JSON number")


def read_config(path: str, expected_shape: JsonShape | None = None) -> Config:
    """Read the configuration file. Raise a ConfigError whose text is a single line.

    expected_shape: on a reload, the shape of the file that was read first. A missing value or one of another type is
    an error, so that a file that was truncated but is still valid JSON does not take effect.
    """
    try:
        raw: dict[str, Any] = json.loads(Path(path).read_text(), parse_constant=_reject_constant)
        if expected_shape is not None and (difference := _shape_difference(expected_shape, raw)):
            raise ConfigError(f"{path}: {difference}")
        return _config(path, raw)
    except KeyError as error:
        raise ConfigError(f"{path}: missing key {error}") from None
    except (OSError, ValueError, TypeError, AttributeError, SettingsError) as error:
        raise ConfigError(f"{path}: {error}") from None


def _config(path: str, raw: dict[str, Any]) -> Config:
    settings = raw["settings"]
    limits = raw.get("limits", {})
    return Config(
        path=path,
        name=str(raw.get("name", "")),
        listen=parse_address(raw["listen"]),
        discovery=parse_address(raw["discovery"]),
        seed=int(raw.get("seed", "0"), 16),
        sockets=int(limits.get("sockets", DEFAULT_SOCKETS)),
        memory=float(limits.get("memory_mb", DEFAULT_MEMORY_MB)),
        cores=max(MIN_CORES, float(limits.get("cores", 1.0))),
        management=_optional_address(raw.get("management") or os.environ.get("LB_MANAGEMENT")),
        peer_listen=_optional_address(raw.get("peer_listen")),
        peers=[parse_address(peer) for peer in raw.get("peers", ())],
        peers_all=_optional_address(raw.get("peers_all")),
        cached_list=raw.get(CACHED_LIST_KEY),
        settings=settings_from_json(settings),
        zones=tuple(settings.get("zones", ())),
        server_kinds=tuple(settings.get("kinds", ())),
        idle_timeout=float(settings["permissions"].get("idleCloseMs", DEFAULT_IDLE_TIMEOUT_MS)),
        shape=json_shape(raw),
    )


def _optional_address(text: str | None) -> Address | None:
    return parse_address(text) if text else None
