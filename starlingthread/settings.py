"""Settings of one decision module: request classes, tenants, limits and permissions. Times are in milliseconds."""

from __future__ import annotations

import math
from enum import IntEnum
from typing import NamedTuple


class Idempotency(IntEnum):
    """Whether a request may be executed again."""

    IDEMPOTENT = 0
    IDEMPOTENCY_KEY = 1  # servers deduplicate by the request's key, within a scope and a time window
    NOT_IDEMPOTENT = 2


class RequestClass(NamedTuple):
    """A class of requests with the same objectives, as the operator defines it."""

    name: str
    idempotency: Idempotency
    latency_objective: float  # ms; an answer within this time counts as in time
    deadline: float  # ms; the client stops waiting after this time
    priority_weight: float = 1.0
    late_priority_weight: float = 0.0  # the priority weight of an answer after the latency objective
    deduplication_scope: str = "all"  # the servers that drop a duplicate: "all", or those of one "zone" or "cell"
    idempotency_window: float = 0.0  # ms for which these servers drop a duplicate
    streamed: bool = False
    latency_objective_stretch: float = 0.0


class Tenant(NamedTuple):
    """A customer with its quota and its share of the service."""

    name: str
    quota_per_s: float = 0.0
    share: float = 1.0


class Settings(NamedTuple):
    """The settings of one router; times are ms, prices are in latency objectives."""

    classes: tuple[RequestClass, ...]
    router_index: int = 0
    router_count: int = 1
    zone: int = 0
    must_poll: bool = False  # the router has to poll the endpoint list, as discovery does not push it
    poll_interval: float = 10000.0
    mode: str = "through"  # "through": caches fetch a missing value; "aside": the router fetches it
    origin_kind: int = -1
    tenants: tuple[Tenant, ...] = ()
    over_quota_weight: float = 1.0
    load_report_fields: tuple[str, ...] = ()
    load_report_delivery: str = "silent"
    can_cancel: bool = False
    can_health_check: bool = False
    can_message_peers: bool = False
    hedging_allowed: bool = False
    max_attempts: int = 3
    max_open_requests: int = 1000000
    max_retry_after: float = 0.0
    connect_timeout: float = 250.0
    answer_slack: float = 0.0
    drain_grace: float = 0.0
    initial_capacity_share: float = 1.0
    slow_start_duration: float = 0.0
    overload_factor: float = 3.0
    overload_window: float = 2000.0
    price_cross_zone: float = 0.0
    price_origin: float = 0.0
    price_handshake: float = 0.0
    price_late_fail: float = 0.0
    price_waste: float = 0.0
    weight_by_cost: bool = False
    hot_keys: bool = False  # hot keys get more owners

    def validated(self) -> Settings:
        """Return self, or raise a ValueError that names the invalid setting."""
        if not self.classes:
            raise ValueError("classes: at least one request class is needed")
        if len({request_class.name for request_class in self.classes}) < len(self.classes):
            raise ValueError("classes: two request classes have the same name")
        for request_class in self.classes:
            if not (0 < request_class.deadline < math.inf and 0 < request_class.latency_objective < math.inf):
                raise ValueError(f"classes.{request_class.name}: latency_objective and deadline must be above 0")
            if request_class.deduplication_scope not in ("all", "zone", "cell"):
                raise ValueError(
                    f"classes.{request_class.name}.deduplication_scope: "
                    f"{request_class.deduplication_scope!r} is not all, zone or cell"
                )
        if self.mode not in ("aside", "through"):
            raise ValueError(f"mode: {self.mode!r} is neither 'aside' nor 'through'")
        if self.max_attempts < 1:
            raise ValueError(f"max_attempts: {self.max_attempts} is less than 1")
        if self.router_count < 1:
            raise ValueError(f"router_count: {self.router_count} is less than 1")
        if not 0 < self.initial_capacity_share <= 1:
            raise ValueError(f"initial_capacity_share: {self.initial_capacity_share} is not above 0 and at most 1")
        return self
