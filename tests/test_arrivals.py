"""Tests of the arrivals of requests that are drawn from a scenario."""

from __future__ import annotations

import msgspec
import numpy as np

from starlingthread.experiment import scenario
from starlingthread.load import traffic

CALM = scenario.Scenario("calm")


def test_arrivals_follow_the_rate_the_surge_and_the_seed_and_keys_drift() -> None:
    surge = scenario.Fault("surge", 5.0, 5.0, 3.0)
    steady = scenario.Traffic(rate=1000.0, zipf=1.0)
    surge_scenario = msgspec.structs.replace(CALM, length_s=20.0, faults=(surge,), traffic=steady)
    first, second = traffic.draw_arrivals(surge_scenario), traffic.draw_arrivals(surge_scenario)
    assert np.array_equal(first.due_ms, second.due_ms) and np.array_equal(first.key, second.key)
    assert abs(np.sum((first.due_ms >= 5000) & (first.due_ms < 10000)) - 15000) < 500
    assert abs(np.sum(first.due_ms < 5000) - 5000) < 300 and (np.diff(first.due_ms) >= 0).all()
    most_popular_key = traffic.keys_by_popularity(surge_scenario)[0]
    assert abs(np.mean(first.key == most_popular_key) - 1 / np.sum(1 / np.arange(1, 5001))) < 0.01
    drifting = msgspec.structs.replace(surge_scenario, traffic=scenario.Traffic(rate=1000.0, drift_per_s=0.1))
    late_keys = traffic.draw_arrivals(drifting).key[-3000:]
    assert np.mean(late_keys == most_popular_key) < 0.02
    arrivals_without_surge = traffic.draw_arrivals(msgspec.structs.replace(surge_scenario, faults=()))
    assert len(arrivals_without_surge.due_ms) < len(first.due_ms)
