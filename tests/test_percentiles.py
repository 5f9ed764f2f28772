"""Tests of the percentiles of latencies."""

from __future__ import annotations

import numpy as np
import pytest

from starlingthread.analysis.latency import percentiles_of


def test_percentiles_match_those_of_numpy() -> None:
    latencies_ms = np.random.default_rng(3).lognormal(3.0, 1.0, 20000)
    percentiles = percentiles_of(latencies_ms.tolist())
    for name in ("50", "99", "99.9"):
        assert percentiles[name] == pytest.approx(float(np.percentile(latencies_ms, float(name))), rel=0.01)
