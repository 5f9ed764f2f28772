"""The operator's file (TOML): options that the platform's configuration does not have. Features are off by default.

``STARLINGTHREAD_OPTIONS`` names the file. If it is unset, ``deploy/starlingthread.toml`` under the working directory is
read if it exists. An invalid file never ends a running router, which keeps its current options.
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
# Keys of earlier versions of the file, and their current names.
RENAMED_KEYS = {"balance": "hot_keys", "far_ms": "region_round_trip_ms", "closed": "drained_zones"}


class OptionsError(Exception):
    """The operator's file is invalid; the text names the file, the key and the error."""


class LogOptions(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The format and the minimum level of log lines."""

    format: Literal["text", "logfmt", "json"] = "text"
    level: Literal["debug", "info", "warning", "error"] = "info"


class HotKeyOptions(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Replication of frequently requested keys: whether they have more owners than other keys."""

    enabled: bool = False


class MembershipOptions(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Detection of live routers by gossip. It needs messages between routers, which have a cost."""

    enabled: bool = False
    period_ms: Annotated[float, msgspec.Meta(ge=100.0, le=60000.0)] = 1000.0
    key_file: str = ""  # A file of 16 to 64 bytes, shared by all routers; empty: no authentication, a checksum only.
    old_key_file: str = ""  # A second key that is accepted during a key rotation.


class FailoverOptions(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Coordinated failover from a lost zone. Without messages between routers each router decides alone."""

    enabled: bool = False
    regions: dict[str, list[str]] = {}  # The zones of each region; any other zone is a region of its own.
    # The round-trip time between any two regions.
    region_round_trip_ms: Annotated[float, msgspec.Meta(ge=0.0, le=10000.0)] = 0.0
    drained_zones: list[str] = []  # Zones that operators have taken out of service, whatever their observed health.


class Options(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """All options of the operator's file."""

    log: LogOptions = LogOptions()
    hot_keys: HotKeyOptions = HotKeyOptions()
    membership: MembershipOptions = MembershipOptions()
    failover: FailoverOptions = FailoverOptions()

    def apply_to(self, settings: Settings) -> Settings:
        """Return the platform's settings merged with the options that concern the decision module."""
        return settings._replace(hot_keys=self.hot_keys.enabled)


def with_rename_hint(message: str, renamed: dict[str, str]) -> str:
    """Add the new name to a validation error of msgspec about a renamed key or enum value."""
    for old, new in renamed.items():
        if message.endswith((f"unknown field `{old}`", f"enum value '{old}'")):
            return f"{message}, it is called `{new}` now"
    return message


def find_file() -> Path | None:
    """Return the path of the operator's file; None if there is none."""
    configured_path = os.environ.get(PATH_VARIABLE)
    if configured_path:
        return Path(configured_path)
    return DEFAULT_PATH if DEFAULT_PATH.is_file() else None


def parse(text: str, name: str) -> Options:
    """Parse the text of the file with that name. Raise an OptionsError."""
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
    """Read a file; with None, return the defaults. Raise an OptionsError."""
    if path is None:
        return Options()
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise OptionsError(f"{path}: {error}") from None
    return parse(text, str(path))
