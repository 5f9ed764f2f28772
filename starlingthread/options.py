"""The operator's own file: settings of the program that the platform does not give. Each is off by default.

``STARLINGTHREAD_OPTIONS`` names it; else ``deploy/starlingthread.toml`` under the working directory is read if it is
there. A file that is no good is never a reason for a running router to end: what it had stands.
"""

from __future__ import annotations

import os
import tomllib
from pathlib import Path
from typing import Annotated, Literal

import msgspec

from .settings import Settings

VARIABLE = "STARLINGTHREAD_OPTIONS"
USUAL = Path("deploy/starlingthread.toml")
RENAMED = {"balance": "hot_keys", "far_ms": "region_round_trip_ms", "closed": "drained_zones"}  # keys of older files


class OptionsError(Exception):
    """The operator's file makes no sense; the text names the file, the key and what was expected."""


class LogOptions(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """How log lines are written."""

    format: Literal["text", "logfmt", "json"] = "text"
    level: Literal["debug", "info", "warning", "error"] = "info"


class HotKeyOptions(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Whether keys that are asked for often have more owners than others."""

    enabled: bool = False


class MembershipOptions(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Which of the routers live, as they tell one another. Needs messages between routers, which have a price."""

    enabled: bool = False
    period_ms: Annotated[float, msgspec.Meta(ge=100.0, le=60000.0)] = 1000.0
    key_file: str = ""  # 16 to 64 bytes that all routers share; none: datagrams are checked for faults only
    old_key_file: str = ""  # good as well while keys are changed


class FailoverOptions(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """What the routers do in common about a zone that is lost. Needs messages between them for more than each alone."""

    enabled: bool = False
    regions: dict[str, list[str]] = {}  # zones by region; a zone that stands in none is a region of its own
    region_round_trip_ms: Annotated[float, msgspec.Meta(ge=0.0, le=10000.0)] = 0.0  # between two regions
    drained_zones: list[str] = []  # zones that operators leave alone, whatever is seen of them


class Options(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The whole file."""

    log: LogOptions = LogOptions()
    hot_keys: HotKeyOptions = HotKeyOptions()
    membership: MembershipOptions = MembershipOptions()
    failover: FailoverOptions = FailoverOptions()

    def apply_to(self, settings: Settings) -> Settings:
        """Return the platform's settings with what this file turns on in the module."""
        return settings._replace(hot_keys=self.hot_keys.enabled)


def with_rename_hint(message: str, renamed: dict[str, str]) -> str:
    """Add to an error of msgspec's that names an older key, or an older value, what it is called now."""
    for old, new in renamed.items():
        if message.endswith((f"unknown field `{old}`", f"enum value '{old}'")):
            return f"{message}, it is called `{new}` now"
    return message


def find_file() -> Path | None:
    """Return the file that counts, None if there is none."""
    named = os.environ.get(VARIABLE)
    return Path(named) if named else USUAL if USUAL.is_file() else None


def parse(text: str, name: str) -> Options:
    """Parse a file's text. Raise an OptionsError."""
    try:
        return msgspec.convert(tomllib.loads(text), Options)
    except tomllib.TOMLDecodeError as error:
        raise OptionsError(f"{name}: not valid TOML: {error}") from None
    except msgspec.ValidationError as error:
        message, _, key = str(error).partition(" - at `$")
        message = with_rename_hint(message, RENAMED)
        raise OptionsError(
            f"{name}: {key.rstrip('`').lstrip('.') or 'the top level'}: {message[:1].lower()}{message[1:]}"
        ) from None


def read(path: Path | None) -> Options:
    """Read a file; None gives the defaults. Raise an OptionsError."""
    if path is None:
        return Options()
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise OptionsError(f"{path}: {error}") from None
    return parse(text, str(path))
