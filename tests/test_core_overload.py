"""An overloaded core: how it is noticed."""

from __future__ import annotations

import time

import pytest

from starlingthread.core.cpu_monitor import CpuMonitor


def test_a_core_that_others_use_is_saturated_though_this_process_uses_little_of_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an overload that went unseen: the CPU time used was small, as the core was shared."""
    idle, monitor = 0.0, CpuMonitor()
    monitor.idle_seconds = lambda: idle
    monkeypatch.setattr(time, "process_time", lambda: 0.0)
    assert not monitor.sample(1000.0, 1.0)
    assert monitor.sample(1250.0, 1.0)
    idle += 0.2
    assert not monitor.sample(1500.0, 1.0)
