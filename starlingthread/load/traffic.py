"""Arrivals, classes and keys, drawn ahead of a run from its seed: nothing here waits for an answer."""

from __future__ import annotations

from typing import NamedTuple

import numpy as np
import numpy.typing as npt

from ..experiment.randomness import streams
from ..experiment.scenario import Scenario


class Arrivals(NamedTuple):
    """All requests of a run in the order of their times (ms since the run's start)."""

    due_ms: npt.NDArray[np.float64]
    class_index: npt.NDArray[np.int16]
    key: npt.NDArray[np.int64]


def cumulative_zipf_shares(keys: int, exponent: float) -> npt.NDArray[np.float64]:
    """Return the cumulated shares of ranks 1 to ``keys`` under a bounded Zipf law."""
    weights = 1.0 / np.arange(1, keys + 1, dtype=np.float64) ** exponent
    cumulated: npt.NDArray[np.float64] = np.cumsum(weights)
    cumulated /= cumulated[-1]
    return cumulated


def draw(scenario: Scenario) -> Arrivals:
    """Draw a run's arrivals: a Poisson process whose rate a surge multiplies, Zipf keys whose ranks drift."""
    arrivals, classes, keys, order = streams(scenario.seed, 4)
    traffic, length = scenario.traffic, scenario.length_s
    surges = [f for f in scenario.faults if f.kind == "surge"]
    top = max([1.0, *(f.strength for f in surges)])
    expected = traffic.rate * top * length
    gaps = arrivals.exponential(1.0 / (traffic.rate * top), int(expected + 6 * expected**0.5 + 20))
    at = np.cumsum(gaps)
    at = at[at < length]
    # Thinning: draw at the highest rate, keep each with the share that its moment's rate is of it.
    rate = np.ones(len(at))
    for fault in surges:
        rate[(at >= fault.start_s) & (at < fault.start_s + fault.length_s)] = fault.strength
    at = at[arrivals.random(len(at)) * top < rate]
    shares = np.array([c.share for c in traffic.classes], dtype=np.float64)
    cls = classes.choice(len(shares), size=len(at), p=shares / shares.sum()).astype(np.int16)
    ranks = np.searchsorted(cumulative_zipf_shares(traffic.keys, traffic.zipf), keys.random(len(at)))
    drifted = ranks + np.floor(at * traffic.drift_per_s * traffic.keys).astype(np.int64)
    shuffled = order.permutation(traffic.keys)
    return Arrivals(at * 1000.0, cls, shuffled[drifted % traffic.keys].astype(np.int64))


def keys_by_popularity(scenario: Scenario) -> list[int]:
    """Return the keys in the order of their ranks at the run's start."""
    return [int(k) for k in streams(scenario.seed, 4)[3].permutation(scenario.traffic.keys)]


def key_name(key: int) -> str:
    """Return a key as clients write it."""
    return f"stock:{key:08x}"
