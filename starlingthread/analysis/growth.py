"""Growth of what routers use: the end of a run beside its warm-up."""

from __future__ import annotations

from statistics import median

import msgspec

from .results import Results, TimeSeries

SPAN_S = 1.5  # over which the use is taken, after the warm-up and at the end
MAX_MEMORY_GROWTH_MB = 12.0
MAX_DESCRIPTOR_GROWTH = 0.25  # of those after the warm-up
SPARE_DESCRIPTORS = 32.0


class Growth(msgspec.Struct):
    """What one router used after the warm-up and at the end."""

    router: str
    memory_mb: tuple[float, float]
    descriptors: tuple[float, float]

    @property
    def is_finding(self) -> bool:
        """Whether it has grown by more than noise."""
        memory_before, memory_after = self.memory_mb
        before, after = self.descriptors
        return (
            memory_after - memory_before > MAX_MEMORY_GROWTH_MB
            or after - before > MAX_DESCRIPTOR_GROWTH * before + SPARE_DESCRIPTORS
        )


def measure_growth(results: Results, restarted: set[int]) -> list[Growth]:
    """Return the growth of each router whose process lived through the whole run."""
    measured = []
    warm_up_s = results.scenario.traffic.warmup_s
    for number, (memory, descriptors) in enumerate(zip(results.router_memory, results.router_descriptors, strict=True)):
        if number not in restarted and memory.at:
            measured.append(
                Growth(memory.name, _before_and_after(memory, warm_up_s), _before_and_after(descriptors, warm_up_s))
            )
    return measured


def _before_and_after(series: TimeSeries, warm_up_s: float) -> tuple[float, float]:
    ended_at = series.at[-1]
    return (
        _median_between(series, warm_up_s, warm_up_s + SPAN_S),
        _median_between(series, ended_at - SPAN_S, ended_at),
    )


def _median_between(series: TimeSeries, first_s: float, last_s: float) -> float:
    values = [value for at, value in zip(series.at, series.values, strict=True) if first_s <= at <= last_s]
    return median(values or series.values)
