"""The operator's own file (TOML): options of the program that the platform does not give. Each is off by default.

``STARLINGTHREAD_OPTIONS`` names the file; else ``deploy/starlingthread.toml`` under the working directory is read if it
exists. An invalid file never ends a running router, which keeps the options it has.
"""

from __future__ import annotations

import os
import tomllib
from pathlib import Path
from typing import Annotated, Literal

import msgspec

from .settings import Settings

PATH_VARIABLE = "STARLINGTHREAD_OPTIONS"
DEFAULT_PATH = Path("deploy/starlingthread.toml")
# Keys of older files and their names now.
RENAMED_KEYS = {"balance": "hot_keys", "far_ms": "region_round_trip_ms", "closed": "drained_zones"}


class OptionsError(Exception):
    """The operator's file is invalid; the text names the file, the key and what was expected."""


class LogOptions(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """How log lines are written."""

    format: Literal["text", "logfmt", "json"] = "text"
    level: Literal["debug", "info", "warning", "error"] = "info"


class HotKeyOptions(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Whether frequently requested keys have more owners than others."""

    enabled: bool = False


class MembershipOptions(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Which routers are alive, by gossip between them. Needs messages between routers, which have a price."""

    enabled: bool = False
    period_ms: Annotated[float, msgspec.Meta(ge=100.0, le=60000.0)] = 1000.0
    key_file: str = ""  # 16 to 64 bytes that all routers share; none: datagrams are only checked for corruption
    old_key_file: str = ""  # accepted as well, while keys are changed


class FailoverOptions(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """What the routers do together about a lost zone. Without messages between them each router acts alone."""

    enabled: bool = False
    regions: dict[str, list[str]] = {}  # zones by region; a zone of no region is a region of its own
    region_round_trip_ms: Annotated[float, msgspec.Meta(ge=0.0, le=10000.0)] = 0.0  # between two regions
    drained_zones: list[str] = []  # zones that operators have taken out of service, whatever their state seems


class Options(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The whole file."""

    log: LogOptions = LogOptions()
    hot_keys: HotKeyOptions = HotKeyOptions()
    membership: MembershipOptions = MembershipOptions()
    failover: FailoverOptions = FailoverOptions()

    def apply_to(self, settings: Settings) -> Settings:
        """Return the platform's settings with the options that concern the decision module."""
        return settings._replace(hot_keys=self.hot_keys.enabled)


def with_rename_hint(message: str, renamed: dict[str, str]) -> str:
    """Add the new name to a validation error of msgspec that complains about a renamed key or enum value."""
    for old, new in renamed.items():
        if message.endswith((f"unknown field `{old}`", f"enum value '{old}'")):
            return f"{message}, it is called `{new}` now"
    return message


def find_file() -> Path | None:
    """Return the path of the operator's file, None if there is none."""
    named = os.environ.get(PATH_VARIABLE)
    if named:
        return Path(named)
    return DEFAULT_PATH if DEFAULT_PATH.is_file() else None


def parse(text: str, name: str) -> Options:
    """Parse the text of a file of that name. Raise an OptionsError."""
    try:
        return msgspec.convert(tomllib.loads(text), Options)
    except tomllib.TOMLDecodeError as error:
        raise OptionsError(f"{name}: not valid TOML: {error}") from None
    except msgspec.ValidationError as error:
        message, _, path = str(error).partition(" - at `$")
        message = with_rename_hint(message, RENAMED_KEYS)
        key = path.rstrip("`").lstrip(".") or "the top level"
        raise OptionsError(f"{name}: {key}: {message[:1].lower()}{message[1:]}") from None


def read(path: Path | None) -> Options:
    """Read a file; None gives the defaults. Raise an OptionsError."""
    if path is None:
        return Options()
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise OptionsError(f"{path}: {error}") from None
    return parse(text, str(path))
