"""Parser of the platform's JSON settings object; the simulator adapter and the router use it to build Settings."""

from __future__ import annotations

import json
from typing import Any, TypeAlias

from .settings import Idempotency, RequestClass, Settings, Tenant

JsonObject: TypeAlias = dict[str, Any]

IDEMPOTENCY_BY_EFFECT = {
    "repeatable": Idempotency.IDEMPOTENT,
    "by_key": Idempotency.IDEMPOTENCY_KEY,
    "once": Idempotency.NOT_IDEMPOTENT,
}


class SettingsError(Exception):
    """The settings object is invalid."""


def parse_settings(text: bytes) -> Settings:
    """Parse the settings object from JSON text; raise SettingsError if it is invalid."""
    try:
        raw = json.loads(text)
    except ValueError as error:
        raise SettingsError(f"settings are not valid JSON: {error}") from None
    return settings_from_json(raw)


def settings_from_json(raw: object) -> Settings:
    """Build validated Settings from the decoded JSON object; raise SettingsError if it is invalid."""
    if not isinstance(raw, dict):
        raise SettingsError(f"settings are not a JSON object but {type(raw).__name__}")
    try:
        return _settings(raw).validated()
    except KeyError as error:
        raise SettingsError(f"settings lack {error}") from None
    except (TypeError, ValueError, AttributeError) as error:
        raise SettingsError(f"settings: {error}") from None


def _settings(raw: JsonObject) -> Settings:
    classes = tuple(_request_class(raw_class) for raw_class in raw["grades"])
    permissions = raw["permissions"]
    rules = raw["rules"]
    extra = raw.get("extra", {})
    report = raw.get("report", {})
    settings = Settings(
        classes=classes,
        router_index=int(raw.get("me", 0)),
        router_count=int(raw.get("groupSize", 1)),
        zone=int(raw.get("zone", 0)),
        must_poll=raw.get("discovery") == "subscribe",
        mode=extra.get("mode", "through"),
        origin_kind=int(extra.get("originKind", -1)),
        tenants=tuple(_tenant(raw_tenant) for raw_tenant in raw.get("tenants", ())),
        over_quota_weight=float(raw.get("overShareWorth", 1.0)),
        load_report_fields=tuple(report.get("fields", ())),
        load_report_delivery=report.get("how", "silent"),
        weight_by_cost=raw.get("worthBy") == "work",
    )
    settings = _with_permissions(settings, permissions)
    settings = _with_rules(settings, rules)
    return _with_prices(settings, raw.get("prices", {}))


def _request_class(raw: JsonObject) -> RequestClass:
    return RequestClass(
        name=str(raw.get("name", "")),
        idempotency=IDEMPOTENCY_BY_EFFECT[raw["effect"]],
        latency_objective=float(raw["promiseMs"]),
        deadline=float(raw["hardLimitMs"]),
        priority_weight=float(raw.get("worth", 1.0)),
        late_priority_weight=float(raw.get("lateWorth", 0.0)),
        deduplication_scope=raw.get("group", "all"),
        idempotency_window=float(raw.get("memorySpanMs", 0.0)),
        streamed=bool(raw.get("streamed", False)),
        latency_objective_stretch=float(raw.get("aimStretch", 0.0)),
    )


def _tenant(raw: JsonObject) -> Tenant:
    return Tenant(
        name=str(raw.get("name", "")),
        quota_per_s=float(raw.get("quotaPerS", 0.0)),
        share=float(raw.get("share", 1.0)),
    )


def _with_permissions(settings: Settings, raw: JsonObject) -> Settings:
    return settings._replace(
        can_cancel=bool(raw.get("cancel", False)),
        can_health_check=bool(raw.get("probing", False)),
        can_message_peers=bool(raw.get("peerMessages", False)),
        hedging_allowed=bool(raw.get("mayDuplicate", False)),
        max_attempts=int(raw.get("tryLimit", 3)),
        max_open_requests=int(raw.get("maxOpen", 1000000)),
        max_retry_after=float(raw.get("maxRetryAfterMs", 0.0)),
        connect_timeout=float(raw.get("connectTimeoutMs", 250.0)),
    )


def _with_rules(settings: Settings, raw: JsonObject) -> Settings:
    return settings._replace(
        poll_interval=float(raw.get("askWithinMs", 10000.0)),
        answer_slack=float(raw.get("answerSlackMs", 0.0)),
        drain_grace=float(raw["drainGraceMs"]),
        initial_capacity_share=float(raw.get("coldFrom", 1.0)),
        slow_start_duration=float(raw.get("coldMs", 0.0)),
        overload_factor=float(raw.get("overloadFactor", 3.0)),
        overload_window=float(raw.get("tipAfterMs", 2000.0)),
    )


def _with_prices(settings: Settings, raw: JsonObject) -> Settings:
    return settings._replace(
        price_cross_zone=float(raw.get("crossZone", 0.0)),
        price_origin=float(raw.get("origin", 0.0)),
        price_handshake=float(raw.get("handshake", 0.0)),
        price_late_fail=float(raw.get("lateFail", 0.0)),
        price_waste=float(raw.get("waste", 0.0)),
    )
