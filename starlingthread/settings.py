"""The settings object as JSON, turned into Settings; shared by the simulator's adapter and the router."""

from __future__ import annotations

import json
from typing import Any

from . import interface as api

EFFECTS = {
    "repeatable": api.Effect.REPEATABLE,
    "by_key": api.Effect.KEYED,
    "once": api.Effect.UNSAFE,
}


class SettingsError(Exception):
    """The settings are not what the wire page says."""


def parse_settings(text: bytes) -> api.Settings:
    """Turn the settings of a Start event into Settings."""
    try:
        raw = json.loads(text)
    except ValueError as error:
        raise SettingsError(f"settings are not valid JSON: {error}") from None
    return settings_of(raw)


def settings_of(raw: object) -> api.Settings:
    """Turn the settings object, already parsed, into Settings."""
    if not isinstance(raw, dict):
        raise SettingsError("settings are not a JSON object")
    try:
        return _settings(raw).validated()
    except KeyError as error:
        raise SettingsError(f"settings lack {error}") from None
    except (TypeError, ValueError, AttributeError) as error:
        raise SettingsError(f"settings: {error}") from None


def _settings(raw: dict[str, Any]) -> api.Settings:
    classes = tuple(
        api.RequestClass(
            name=str(c.get("name", "")),
            effect=EFFECTS[c["effect"]],
            aim=float(c["promiseMs"]),
            deadline=float(c["hardLimitMs"]),
            worth=float(c.get("worth", 1.0)),
            late_worth=float(c.get("lateWorth", 0.0)),
            group=c.get("group", "all"),
            memory_span=float(c.get("memorySpanMs", 0.0)),
            streamed=bool(c.get("streamed", False)),
            aim_stretch=float(c.get("aimStretch", 0.0)),
        )
        for c in raw["grades"]
    )
    extra, may, prices = raw.get("extra", {}), raw["permissions"], raw.get("prices", {})
    rules, report = raw["rules"], raw.get("report", {})
    tenants = tuple(
        api.Tenant(str(t.get("name", "")), float(t.get("quotaPerS", 0.0)), float(t.get("share", 1.0)))
        for t in raw.get("tenants", ())
    )
    return api.Settings(
        classes=classes,
        me=int(raw.get("me", 0)),
        balancers=int(raw.get("groupSize", 1)),
        zone=int(raw.get("zone", 0)),
        must_ask=raw.get("discovery") == "subscribe",
        ask_within=float(rules.get("askWithinMs", 10000.0)),
        mode=extra.get("mode", "through"),
        origin_kind=int(extra.get("originKind", -1)),
        tenants=tenants,
        over_share_worth=float(raw.get("overShareWorth", 1.0)),
        report_fields=tuple(report.get("fields", ())),
        report_how=report.get("how", "silent"),
        can_cancel=bool(may.get("cancel", False)),
        can_probe=bool(may.get("probing", False)),
        can_tell_peers=bool(may.get("peerMessages", False)),
        second_copies=bool(may.get("mayDuplicate", False)),
        max_attempts=int(may.get("tryLimit", 3)),
        max_open=int(may.get("maxOpen", 1000000)),
        max_retry_after=float(may.get("maxRetryAfterMs", 0.0)),
        connect_timeout=float(may.get("connectTimeoutMs", 250.0)),
        answer_slack=float(rules.get("answerSlackMs", 0.0)),
        drain_grace=float(rules["drainGraceMs"]),
        cold_from=float(rules.get("coldFrom", 1.0)),
        cold_time=float(rules.get("coldMs", 0.0)),
        overload_factor=float(rules.get("overloadFactor", 3.0)),
        tip_after=float(rules.get("tipAfterMs", 2000.0)),
        price_cross_zone=float(prices.get("crossZone", 0.0)),
        price_origin=float(prices.get("origin", 0.0)),
        price_handshake=float(prices.get("handshake", 0.0)),
        price_late_fail=float(prices.get("lateFail", 0.0)),
        price_waste=float(prices.get("waste", 0.0)),
        worth_by_work=raw.get("worthBy") == "work",
    )
