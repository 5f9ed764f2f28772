"""Arrival times, request classes and keys of a run, drawn in advance from its seed and independent of any answer."""

from __future__ import annotations

from typing import NamedTuple

import numpy as np
import numpy.typing as npt

from ..experiment.randomness import random_streams
from ..experiment.scenario import Fault, Scenario

FloatArray = npt.NDArray[np.float64]


class Arrivals(NamedTuple):
    """All operations of a run in the order of their due times (ms since the run's start)."""

    due_ms: FloatArray
    class_index: npt.NDArray[np.int16]
    key: npt.NDArray[np.int64]


class _TrafficStreams(NamedTuple):
    """The random streams of a run's traffic."""

    arrivals: np.random.Generator
    classes: np.random.Generator
    ranks: np.random.Generator
    key_order: np.random.Generator


def _traffic_streams(scenario: Scenario) -> _TrafficStreams:
    return _TrafficStreams(*random_streams(scenario.seed, len(_TrafficStreams._fields)))


def draw_arrivals(scenario: Scenario) -> Arrivals:
    """Draw a run's arrivals.

    Arrival times follow a Poisson process whose rate is multiplied during surges; keys follow a Zipf distribution
    whose ranks drift over time.
    """
    traffic = scenario.traffic
    streams = _traffic_streams(scenario)
    due_s = _arrival_times(scenario, streams.arrivals)
    shares = np.array([request_class.share for request_class in traffic.classes], dtype=np.float64)
    class_index = streams.classes.choice(len(shares), size=len(due_s), p=shares / shares.sum()).astype(np.int16)
    ranks = np.searchsorted(cumulative_zipf_shares(traffic.keys, traffic.zipf), streams.ranks.random(len(due_s)))
    drifted_ranks = ranks + np.floor(due_s * traffic.drift_per_s * traffic.keys).astype(np.int64)
    keys_by_rank = streams.key_order.permutation(traffic.keys)
    return Arrivals(due_s * 1000.0, class_index, keys_by_rank[drifted_ranks % traffic.keys].astype(np.int64))


def _arrival_times(scenario: Scenario, rng: np.random.Generator) -> FloatArray:
    """Draw the times (s) of a Poisson process of variable rate, by thinning a process of the peak rate."""
    surges = [fault for fault in scenario.faults if fault.kind == "surge"]
    peak_factor = max([1.0, *(surge.strength for surge in surges)])
    peak_rate = scenario.traffic.rate * peak_factor
    expected = peak_rate * scenario.length_s
    count = int(expected + 6 * expected**0.5 + 20)  # six standard deviations above the mean, so that times suffice
    times: FloatArray = np.cumsum(rng.exponential(1.0 / peak_rate, count))
    times = times[times < scenario.length_s]
    accepted = rng.random(len(times)) * peak_factor < _rate_factors(times, surges)
    return np.asarray(times[accepted], dtype=np.float64)


def _rate_factors(times: FloatArray, surges: list[Fault]) -> FloatArray:
    """Return the factor on the arrival rate at each time; where surges overlap, the last in the list applies."""
    factors = np.ones(len(times))
    for surge in surges:
        factors[(times >= surge.start_s) & (times < surge.start_s + surge.length_s)] = surge.strength
    return factors


def cumulative_zipf_shares(keys: int, exponent: float) -> FloatArray:
    """Return the cumulative shares of ranks 1 to ``keys`` under a bounded Zipf distribution."""
    weights = 1.0 / np.arange(1, keys + 1, dtype=np.float64) ** exponent
    cumulative: FloatArray = np.cumsum(weights)
    cumulative /= cumulative[-1]
    return cumulative


def keys_by_popularity(scenario: Scenario) -> list[int]:
    """Return the keys in the order of their ranks at the run's start, the most popular first."""
    return [int(key) for key in _traffic_streams(scenario).key_order.permutation(scenario.traffic.keys)]


def key_name(key: int) -> str:
    """Return the text of a key in requests."""
    return f"stock:{key:08x}"
