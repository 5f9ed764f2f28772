"""Percentiles of latencies, by an HDR (high dynamic range) histogram of three significant digits."""

from __future__ import annotations

from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 120_000_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50.0, 75.0, 90.0, 95.0, 99.0, 99.9, 99.99, 100.0)
PERCENTILES_BELOW_MEDIAN = (0.0, 10.0, 25.0)  # first points of the curve
TAIL_RATIO = 0.8  # each further point of the curve has a tail of this ratio to the tail of the point before


def percentiles_of(latencies_ms: list[float]) -> dict[str, float]:
    """Return the percentiles of latencies (ms) by name, for example ``"99.9"``."""
    if not latencies_ms:
        return {}
    histogram = _histogram(latencies_ms)
    return {f"{percentile:g}": _value_at(histogram, percentile) for percentile in PERCENTILES}


def percentile_curve(latencies_ms: list[float]) -> list[tuple[float, float]]:
    """Return points (percentile, ms) from the minimum to the last percentile that the number of latencies supports."""
    if not latencies_ms:
        return []
    histogram = _histogram(latencies_ms)
    tail_percentiles: list[float] = []
    tail = 0.5
    while tail * len(latencies_ms) >= 1.0 or not tail_percentiles:
        tail_percentiles.append(round(100.0 * (1.0 - tail), 6))
        tail *= TAIL_RATIO
    return [
        (percentile, _value_at(histogram, percentile)) for percentile in (*PERCENTILES_BELOW_MEDIAN, *tail_percentiles)
    ]


def _histogram(latencies_ms: list[float]) -> HdrHistogram:
    histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
    for latency in latencies_ms:
        histogram.record_value(int(latency * 1000.0) + 1)
    return histogram


def _value_at(histogram: HdrHistogram, percentile: float) -> float:
    value_us: float = histogram.get_value_at_percentile(percentile)
    return round(value_us / 1000.0, 3)
