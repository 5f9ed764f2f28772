"""Settings object of a router under test, built from a scenario."""

from __future__ import annotations

from typing import Any

from ..experiment.scenario import Fleet, RequestClass, Scenario

_CROSS_ZONE_PRICE = 0.08
_HANDSHAKE_PRICE = 0.02
_LATE_FAILURE_PRICE = 0.08
_PEER_MESSAGE_PRICE = 0.01
_HEALTH_CHECK_PRICE = 0.01
_WASTED_WORK_PRICE = 0.2


def router_settings(scenario: Scenario, router: int) -> dict[str, Any]:
    """Return the settings object of a router, with the JSON keys of the protocol."""
    fleet = scenario.fleet
    return {
        "clients": {"marksRetry": False},
        "discovery": "subscribe",
        "extra": {"mode": "through", "originFallMultiple": 0.0, "originKind": -1, "reportX0": "share of hits, lately"},
        "family": "cache",
        "grades": [_request_class(request_class) for request_class in scenario.traffic.classes],
        "groupSize": scenario.routers.count,
        "kinds": ["std"],
        "me": router,
        "permissions": _permissions(scenario),
        "prices": _prices(),
        "report": {"fields": ["inflight", "queue", "x0"], "how": "piggyback"},
        "rules": _rules(scenario, fleet),
        "stage": 0,
        "tenants": [],
        "tickMs": 2.0,
        "tiers": ["cache-fleet"],
        "weightKind": "rough",
        "worthBy": "request",
        "zone": router % len(fleet.zones),
        "zones": list(fleet.zones),
    }


def _request_class(request_class: RequestClass) -> dict[str, Any]:
    return {
        "effect": request_class.effect,
        "group": "all",
        "hardLimitMs": request_class.deadline_ms,
        "lateWorth": request_class.late_weight_share,
        "memorySpanMs": request_class.idempotency_window_ms,
        "name": request_class.name,
        "promiseMs": request_class.latency_objective_ms,
        "streamed": False,
        "worth": request_class.priority_weight,
    }


def _permissions(scenario: Scenario) -> dict[str, Any]:
    fleet = scenario.fleet
    return {
        "cancel": True,
        "connectTimeoutMs": 50.0,
        "cpuUsPerS": 500000,
        "idleCloseMs": fleet.idle_close_ms,
        "maxOpen": 20000,
        "maxRetryAfterMs": 2000.0,
        "mayDuplicate": True,
        "peerMessages": scenario.routers.peer_messages,
        "probing": fleet.probes,
        "retryAfter": True,
        "streamsPerConn": fleet.streams,
        "tryLimit": 4,
    }


def _prices() -> dict[str, float]:
    return {
        "crossZone": _CROSS_ZONE_PRICE,
        "handshake": _HANDSHAKE_PRICE,
        "lateFail": _LATE_FAILURE_PRICE,
        "peer": _PEER_MESSAGE_PRICE,
        "probe": _HEALTH_CHECK_PRICE,
        "waste": _WASTED_WORK_PRICE,
    }


def _rules(scenario: Scenario, fleet: Fleet) -> dict[str, float]:
    rules = scenario.rules
    return {
        "answerSlackMs": rules.answer_slack_ms,
        "askWithinMs": scenario.discovery.max_poll_interval_ms,
        "coldFrom": fleet.initial_capacity_share,
        "coldMs": fleet.warm_up_ms,
        "drainGraceMs": rules.drain_grace_ms,
        "overloadFactor": fleet.overload_factor,
        "tipAfterMs": fleet.overload_window_ms,
    }
