"""Comparison of the figures of two runs."""

from __future__ import annotations

from operator import attrgetter

import msgspec
import numpy as np

from .evenness import EVENNESS_LABELS
from .results import ClassResult, Results, RouterResult

EVENNESS_FIGURES = (
    "busiest_1s",
    "busiest_10s",
    "least",
    "idle_share",
    "herd_index",
    "owners_differ",
    "connections",
)
LATENCY_PERCENTILES = ("50", "99", "99.9")
ROUTER_FIGURES = (
    ("CPU per request, µs", "cpu_us_per_request"),
    ("peak memory, MB", "peak_memory_mb"),
    ("peak descriptors", "peak_descriptors"),
)


class Change(msgspec.Struct):
    """One figure, as measured in two runs."""

    name: str
    before: float
    after: float

    @property
    def ratio(self) -> float | None:
        """The figure after, divided by the figure before; None if the latter is 0."""
        return self.after / self.before if self.before else None


def compare(before: Results, after: Results) -> list[Change]:
    """Return the figures of two runs in pairs, without request classes that occur in only one of the runs."""
    changes = [
        Change("goodput share", before.goodput_share, after.goodput_share),
        Change("attempts per request", before.attempts_per_request, after.attempts_per_request),
        Change("cache hit ratio", before.hit_share, after.hit_share),
        Change("violations", sum(before.verdict.counts.values()), sum(after.verdict.counts.values())),
    ]
    if before.evenness is not None and after.evenness is not None:
        for field in EVENNESS_FIGURES:
            value_of = attrgetter(field)
            changes.append(Change(EVENNESS_LABELS[field], value_of(before.evenness), value_of(after.evenness)))
    classes_after = {result.name: result for result in after.classes}
    for class_before in before.classes:
        if (class_after := classes_after.get(class_before.name)) is not None:
            changes += _class_changes(class_before, class_after)
    changes.extend(
        Change(name, _router_mean(before.routers, field), _router_mean(after.routers, field))
        for name, field in ROUTER_FIGURES
    )
    return changes


def _class_changes(before: ClassResult, after: ClassResult) -> list[Change]:
    changes = [Change(f"{before.name} goodput share", before.goodput_share, after.goodput_share)]
    changes.extend(
        Change(f"{before.name} p{name} ms", before.percentiles[name], after.percentiles[name])
        for name in LATENCY_PERCENTILES
        if name in before.percentiles and name in after.percentiles
    )
    return changes


def _router_mean(routers: list[RouterResult], field: str) -> float:
    value_of = attrgetter(field)
    return float(np.mean([value_of(router) for router in routers]))
