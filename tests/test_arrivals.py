"""Arrivals of requests, drawn from a scenario."""

from __future__ import annotations

import msgspec
import numpy as np

from starlingthread.experiment import scenario
from starlingthread.load import traffic

CALM = scenario.Scenario("calm")


def test_arrivals_follow_the_rate_the_surge_and_the_seed_and_keys_drift() -> None:
    surge = scenario.Fault("surge", 5.0, 5.0, 3.0)
    steady = scenario.Traffic(rate=1000.0, zipf=1.0)
    spec = msgspec.structs.replace(CALM, length_s=20.0, faults=(surge,), traffic=steady)
    one, two = traffic.draw(spec), traffic.draw(spec)
    assert np.array_equal(one.due_ms, two.due_ms) and np.array_equal(one.key, two.key)
    assert abs(np.sum((one.due_ms >= 5000) & (one.due_ms < 10000)) - 15000) < 500
    assert abs(np.sum(one.due_ms < 5000) - 5000) < 300 and (np.diff(one.due_ms) >= 0).all()
    top = traffic.keys_by_popularity(spec)[0]
    assert abs(np.mean(one.key == top) - 1 / np.sum(1 / np.arange(1, 5001))) < 0.01
    drifting = msgspec.structs.replace(spec, traffic=scenario.Traffic(rate=1000.0, drift_per_s=0.1))
    late = traffic.draw(drifting).key[-3000:]
    assert np.mean(late == top) < 0.02
    calm = traffic.draw(msgspec.structs.replace(spec, faults=()))
    assert len(calm.due_ms) < len(one.due_ms)
