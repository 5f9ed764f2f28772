"""Growth of the routers' resource usage: the end of a run compared with the time after its warm-up."""

from __future__ import annotations

from statistics import median

import msgspec

from .results import Results, TimeSeries

COMPARED_PERIOD_S = 1.5  # length of the two compared periods, after the warm-up and at the end
MAX_MEMORY_GROWTH_MB = 12.0
MAX_DESCRIPTOR_GROWTH_SHARE = 0.25  # growth relative to the descriptors after the warm-up
DESCRIPTOR_GROWTH_ALLOWANCE = 32.0


class Growth(msgspec.Struct):
    """Resource usage of one router after the warm-up and at the end of the run."""

    router: str
    memory_mb: tuple[float, float]
    descriptors: tuple[float, float]

    @property
    def is_finding(self) -> bool:
        """Whether memory or descriptors have grown by more than the usual variation."""
        memory_before, memory_after = self.memory_mb
        descriptors_before, descriptors_after = self.descriptors
        return (
            memory_after - memory_before > MAX_MEMORY_GROWTH_MB
            or descriptors_after - descriptors_before
            > MAX_DESCRIPTOR_GROWTH_SHARE * descriptors_before + DESCRIPTOR_GROWTH_ALLOWANCE
        )


def measure_growth(results: Results, restarted: set[int]) -> list[Growth]:
    """Return the growth of each router whose process ran from the start to the end of the run."""
    growths = []
    warm_up_s = results.scenario.traffic.warmup_s
    for number, (memory, descriptors) in enumerate(zip(results.router_memory, results.router_descriptors, strict=True)):
        if number not in restarted and memory.at:
            growths.append(
                Growth(memory.name, _before_and_after(memory, warm_up_s), _before_and_after(descriptors, warm_up_s))
            )
    return growths


def _before_and_after(series: TimeSeries, warm_up_s: float) -> tuple[float, float]:
    ended_at = series.at[-1]
    return (
        _median_between(series, warm_up_s, warm_up_s + COMPARED_PERIOD_S),
        _median_between(series, ended_at - COMPARED_PERIOD_S, ended_at),
    )


def _median_between(series: TimeSeries, first_s: float, last_s: float) -> float:
    values = [value for at, value in zip(series.at, series.values, strict=True) if first_s <= at <= last_s]
    return median(values or series.values)
