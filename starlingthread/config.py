"""The router's configuration by the platform: the JSON file that LB_CONFIG names."""

from __future__ import annotations

import json
import os
from pathlib import Path
from typing import Any, NamedTuple, NoReturn, TypeAlias

from .net.discovery import parse_address
from .settings import Settings
from .settings_json import SettingsError, settings_from_json

Address: TypeAlias = tuple[str, int]  # host and port
JsonShape: TypeAlias = dict[str, str]  # the type of each value of a JSON object, by its path

DEFAULT_SOCKETS = 256
DEFAULT_MEMORY_MB = 32  # MB
DEFAULT_IDLE_TIMEOUT_MS = 15000.0  # ms
MIN_CORES = 0.05
CACHED_LIST_KEY = "known"
TYPE_NAMES = {
    dict: "object",
    list: "list",
    str: "text",
    int: "number",
    float: "number",
    bool: "boolean",
    type(None): "nothing",
}


class ConfigError(Exception):
    """The configuration file is missing or invalid; the text names the file and the fault."""


class Config(NamedTuple):
    """The configuration of one router process."""

    path: str
    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int  # limit
    memory: float  # limit in MB
    cores: float  # CPU share
    management: Address | None
    peer_listen: Address | None
    peers: list[Address]
    peers_all: Address | None  # reaches all peers
    cached_list: object  # endpoint list as it was at some time, in discovery's JSON
    settings: Settings
    zones: tuple[str, ...]
    server_kinds: tuple[str, ...]
    idle_timeout: float  # ms after which an idle connection is closed
    shape: JsonShape


def json_shape(raw: object, path: str = "") -> JsonShape:
    """Return the type of each value below a JSON value, by its path; of a list of objects, what all of them share.

    The cached endpoint list is left out: its content depends on when it was taken.
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
    """Return the first difference of a JSON object from an expected shape, empty if it has all of it."""
    actual = json_shape(raw)
    for path, type_name in expected.items():
        if path not in actual:
            # The shape of a list has what all its items share, so a path that one item lacks is missing here.
            return f"lacks {path}, at least once"
        if actual[path] != type_name:
            return f"{path} is {actual[path]}, not {type_name}"
    return ""


def _reject_constant(text: str) -> NoReturn:
    """Reject NaN and Infinity, which json.loads would accept."""
    raise ValueError(f"{text} is no number")


def read_config(path: str, expected_shape: JsonShape | None = None) -> Config:
    """Read the configuration file. Raise a ConfigError with one plain line.

    A file that is read again must have the shape of the first one: one that was truncated and is still valid JSON is no
    new configuration.
    """
    try:
        raw: dict[str, Any] = json.loads(Path(path).read_text(), parse_constant=_reject_constant)
        if expected_shape is not None and (difference := _shape_difference(expected_shape, raw)):
            raise ConfigError(f"{path}: {difference}")
        return _config(path, raw)
    except KeyError as error:
        raise ConfigError(f"{path} lacks {error}") from None
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
