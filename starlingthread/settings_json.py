"""The settings object as JSON, turned into Settings; shared by the simulator's adapter and the router."""

from __future__ import annotations

import json
from typing import Any

from .settings import Idempotency, RequestClass, Settings, Tenant

EFFECTS = {
    "repeatable": Idempotency.IDEMPOTENT,
    "by_key": Idempotency.IDEMPOTENCY_KEY,
    "once": Idempotency.NOT_IDEMPOTENT,
}


class SettingsError(Exception):
    """The settings are not what the wire page says."""


def parse_settings(text: bytes) -> Settings:
    """Turn the settings of a Start event into Settings."""
    try:
        raw = json.loads(text)
    except ValueError as error:
        raise SettingsError(f"settings are not valid JSON: {error}") from None
    return settings_from_json(raw)


def settings_from_json(raw: object) -> Settings:
    """Turn the settings object, already parsed, into Settings."""
    if not isinstance(raw, dict):
        raise SettingsError("settings are not a JSON object")
    try:
        return _settings(raw).validated()
    except KeyError as error:
        raise SettingsError(f"settings lack {error}") from None
    except (TypeError, ValueError, AttributeError) as error:
        raise SettingsError(f"settings: {error}") from None


def _settings(raw: dict[str, Any]) -> Settings:
    classes = tuple(
        RequestClass(
            name=str(c.get("name", "")),
            idempotency=EFFECTS[c["effect"]],
            latency_objective=float(c["promiseMs"]),
            deadline=float(c["hardLimitMs"]),
            priority_weight=float(c.get("worth", 1.0)),
            late_priority_weight=float(c.get("lateWorth", 0.0)),
            deduplication_scope=c.get("group", "all"),
            idempotency_window=float(c.get("memorySpanMs", 0.0)),
            streamed=bool(c.get("streamed", False)),
            latency_objective_stretch=float(c.get("aimStretch", 0.0)),
        )
        for c in raw["grades"]
    )
    extra, may, prices = raw.get("extra", {}), raw["permissions"], raw.get("prices", {})
    rules, report = raw["rules"], raw.get("report", {})
    tenants = tuple(
        Tenant(str(t.get("name", "")), float(t.get("quotaPerS", 0.0)), float(t.get("share", 1.0)))
        for t in raw.get("tenants", ())
    )
    return Settings(
        classes=classes,
        router_index=int(raw.get("me", 0)),
        router_count=int(raw.get("groupSize", 1)),
        zone=int(raw.get("zone", 0)),
        must_poll=raw.get("discovery") == "subscribe",
        poll_interval=float(rules.get("askWithinMs", 10000.0)),
        mode=extra.get("mode", "through"),
        origin_kind=int(extra.get("originKind", -1)),
        tenants=tenants,
        over_quota_weight=float(raw.get("overShareWorth", 1.0)),
        load_report_fields=tuple(report.get("fields", ())),
        load_report_delivery=report.get("how", "silent"),
        can_cancel=bool(may.get("cancel", False)),
        can_health_check=bool(may.get("probing", False)),
        can_message_peers=bool(may.get("peerMessages", False)),
        hedging_allowed=bool(may.get("mayDuplicate", False)),
        max_attempts=int(may.get("tryLimit", 3)),
        max_open_requests=int(may.get("maxOpen", 1000000)),
        max_retry_after=float(may.get("maxRetryAfterMs", 0.0)),
        connect_timeout=float(may.get("connectTimeoutMs", 250.0)),
        answer_slack=float(rules.get("answerSlackMs", 0.0)),
        drain_grace=float(rules["drainGraceMs"]),
        initial_capacity_share=float(rules.get("coldFrom", 1.0)),
        slow_start_duration=float(rules.get("coldMs", 0.0)),
        overload_factor=float(rules.get("overloadFactor", 3.0)),
        overload_window=float(rules.get("tipAfterMs", 2000.0)),
        price_cross_zone=float(prices.get("crossZone", 0.0)),
        price_origin=float(prices.get("origin", 0.0)),
        price_handshake=float(prices.get("handshake", 0.0)),
        price_late_fail=float(prices.get("lateFail", 0.0)),
        price_waste=float(prices.get("waste", 0.0)),
        weight_by_cost=raw.get("worthBy") == "work",
    )
