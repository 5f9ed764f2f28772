"""What a router is told by the platform: the JSON file that LB_CONFIG names."""

from __future__ import annotations

import json
import os
from pathlib import Path
from typing import Any, NamedTuple

from .net.discovery import parse_address
from .settings import Settings
from .settings_json import SettingsError, settings_from_json


class ConfigError(Exception):
    """The configuration makes no sense."""


class Config(NamedTuple):
    """What this router is told."""

    path: str
    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    sockets: int
    memory: float
    cores: float
    management: tuple[str, int] | None
    peer_listen: tuple[str, int] | None
    peers: list[tuple[str, int]]
    peers_all: tuple[str, int] | None
    cached_list: object
    settings: Settings
    zones: tuple[str, ...]
    server_kinds: tuple[str, ...]
    idle_timeout: float
    shape: dict[str, str]


def json_shape(raw: object, place: str = "") -> dict[str, str]:
    """Return the JSON type at each place of an object; of a list of objects, what all of them have.

    What 'known' holds is not looked at: it is a list as it was at some time.
    """
    if isinstance(raw, dict):
        found = {place or ".": "object"}
        for name, value in raw.items():
            if (place, name) != ("", "known"):
                found.update(json_shape(value, f"{place}.{name}" if place else str(name)))
        return found
    if isinstance(raw, list) and raw and all(isinstance(item, dict) for item in raw):
        shapes = [json_shape(item, f"{place}[]") for item in raw]
        return {place: "list"} | {
            name: kind for name, kind in shapes[0].items() if all(s.get(name) == kind for s in shapes)
        }
    kinds = {bool: "boolean", int: "number", float: "number", str: "text", list: "list", type(None): "nothing"}
    return {place: kinds[type(raw)]}


def _missing(old: dict[str, str], raw: dict[str, Any]) -> str:
    """Tell what a file lacks, or has of another type, beside one that was good; empty if nothing."""
    new = json_shape(raw)
    for place, kind in old.items():
        if kind != new.get(place):
            # All parts of a list are looked at, so what one of them lacks is missing here.
            return f"{place} is {new[place]}, not {kind}" if place in new else f"lacks {place}, at least once"
    return ""


def _no_number(text: str) -> float:
    raise ValueError(f"{text} is no number")


def read_config(path: str, like: dict[str, str] | None = None) -> Config:
    """Read the configuration file, or raise a ConfigError with one plain line.

    A file that is read anew must hold all that the first one held ('like', its shape): one that was cut short and is
    still good JSON is no new configuration.
    """
    try:
        raw: dict[str, Any] = json.loads(Path(path).read_text(), parse_constant=_no_number)
        if like is not None and (why := _missing(like, raw)):
            raise ConfigError(f"{path}: {why}")
        settings = raw["settings"]
        limits = raw.get("limits", {})
        management = raw.get("management") or os.environ.get("LB_MANAGEMENT")
        peer_listen, peers_all = raw.get("peer_listen"), raw.get("peers_all")
        return Config(
            path,
            str(raw.get("name", "")),
            parse_address(raw["listen"]),
            parse_address(raw["discovery"]),
            int(raw.get("seed", "0"), 16),
            int(limits.get("sockets", 256)),
            float(limits.get("memory_mb", 32)),
            max(0.05, float(limits.get("cores", 1.0))),
            parse_address(management) if management else None,
            parse_address(peer_listen) if peer_listen else None,
            [parse_address(p) for p in raw.get("peers", ())],
            parse_address(peers_all) if peers_all else None,
            raw.get("known"),
            settings_from_json(settings),
            tuple(settings.get("zones", ())),
            tuple(settings.get("kinds", ())),
            float(settings["permissions"].get("idleCloseMs", 15000.0)),
            json_shape(raw),
        )
    except KeyError as error:
        raise ConfigError(f"{path} lacks {error}") from None
    except (OSError, ValueError, TypeError, AttributeError, SettingsError) as error:
        raise ConfigError(f"{path}: {error}") from None
