"""Percentiles of latencies by an HDR histogram (high dynamic range) of three digits."""

from __future__ import annotations

from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 120_000_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50.0, 75.0, 90.0, 95.0, 99.0, 99.9, 99.99, 100.0)
CURVE_START = (0.0, 10.0, 25.0)  # percentiles of the curve below the median
CURVE_STEP = 0.8  # by which the tail shrinks from one point of the curve to the next


def percentiles_of(latencies_ms: list[float]) -> dict[str, float]:
    """Return the percentiles of latencies in ms, by their names."""
    if not latencies_ms:
        return {}
    histogram = _histogram(latencies_ms)
    return {f"{percentile:g}": _value_at(histogram, percentile) for percentile in PERCENTILES}


def percentile_curve(latencies_ms: list[float]) -> list[tuple[float, float]]:
    """Return (percentile, ms) from the least to the tail, as far out as there are latencies."""
    if not latencies_ms:
        return []
    histogram = _histogram(latencies_ms)
    tail_percentiles: list[float] = []
    tail = 0.5
    while tail * len(latencies_ms) >= 1.0 or not tail_percentiles:
        tail_percentiles.append(round(100.0 * (1.0 - tail), 6))
        tail *= CURVE_STEP
    return [(percentile, _value_at(histogram, percentile)) for percentile in (*CURVE_START, *tail_percentiles)]


def _histogram(latencies_ms: list[float]) -> HdrHistogram:
    histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
    for latency in latencies_ms:
        histogram.record_value(int(latency * 1000.0) + 1)
    return histogram


def _value_at(histogram: HdrHistogram, percentile: float) -> float:
    value_us: float = histogram.get_value_at_percentile(percentile)
    return round(value_us / 1000.0, 3)
