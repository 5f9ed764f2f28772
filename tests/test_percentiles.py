"""Percentiles of latencies."""

from __future__ import annotations

import numpy as np
import pytest

from starlingthread.analysis.latency import percentiles_of


def test_percentiles_are_those_of_the_latencies() -> None:
    drawn = np.random.default_rng(3).lognormal(3.0, 1.0, 20000)
    found = percentiles_of(drawn.tolist())
    for name in ("50", "99", "99.9"):
        assert found[name] == pytest.approx(float(np.percentile(drawn, float(name))), rel=0.01)
