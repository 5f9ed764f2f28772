"""Tests of the measures of how evenly the servers are loaded."""

from __future__ import annotations

import msgspec
import numpy as np
import pytest

from starlingthread.analysis import evenness
from starlingthread.experiment import scenario
from starlingthread.experiment.randomness import server_speeds
from starlingthread.experiment.records import ClientAttempt, Delivery, Ledger, ServerEvent, ServerSample

BASE = scenario.Scenario("evenness")


def measure_run(
    rates: list[float], length_s: float = 32.0, shared_period_s: float = 0.0, batch_size: int = 1
) -> evenness.Evenness:
    """Measure a run in which servers of equal speed receive requests at given rates.

    Args:
        rates: Requests per second of each server.
        length_s: Length of the run.
        shared_period_s: Period of an oscillation that all servers have in common; 0 if there is none.
        batch_size: Number of requests that arrive at the same time.
    """
    spec = msgspec.structs.replace(
        BASE, length_s=length_s, fleet=scenario.Fleet(servers=len(rates), speed_spread=0.0), traffic=scenario.Traffic()
    )
    ledger, rng = Ledger(started_at=1000.0), np.random.default_rng(5)
    for server, rate in enumerate(rates):
        for at in np.cumsum(rng.exponential(1000.0 * batch_size / rate, int(rate * length_s / batch_size * 1.2))):
            if (
                at < length_s * 1000.0
                and rng.random() < (1 + np.sin(at / 1000.0 * 2 * np.pi / shared_period_s) if shared_period_s else 2) / 2
            ):
                ledger.deliveries += [Delivery("x", server, 1000.0 + at, 1000.0 + at)] * batch_size
        ledger.server_samples.append(ServerSample(server, 9000.0, 0.5, 1, 4 + server))
    result = evenness.measure(spec, ledger)
    assert result is not None
    return result


def test_even_load_measures_as_even_and_busy_and_idle_servers_and_batches_are_found() -> None:
    even = measure_run([50.0] * 8)
    assert even.busiest_10s < 1.25 and even.least > 0.9 and even.idle_servers == 0 and even.period_s == 0.0
    assert 0.9 < even.herd_index < 1.1 and (even.connections, even.peak_connections) == (7.5, 11.0)
    uneven = measure_run([150.0, 2.0, *[50.0] * 6])
    assert uneven.busiest_10s > 2.5 and uneven.idle_servers == 1 and uneven.least < 0.1
    assert measure_run([50.0] * 8, batch_size=5).herd_index > 4.0
    # A period that all servers share comes from the traffic.
    assert measure_run([50.0] * 4, shared_period_s=2.0).period_s == 0.0
    assert evenness.measure(BASE, Ledger()) is None


def test_an_oscillation_between_servers_is_found_with_its_period() -> None:
    spec = msgspec.structs.replace(BASE, length_s=42.0, fleet=scenario.Fleet(servers=6, speed_spread=0.0))
    ledger, rng = Ledger(), np.random.default_rng(5)
    for server in range(6):
        for at in rng.uniform(0, 42000.0, 4000):
            if rng.random() < 0.5 + 0.4 * np.sin(2 * np.pi * at / 2000.0) * (1 if server % 2 else -1):
                ledger.deliveries.append(Delivery("x", server, at, at))
    result = evenness.measure(spec, ledger)
    assert result is not None and result.period_s == pytest.approx(2.0, rel=0.1) and result.period_strength > 2.0


def test_a_server_out_of_service_is_not_idle_and_fair_shares_follow_speeds() -> None:
    spec = msgspec.structs.replace(
        BASE, length_s=32.0, fleet=scenario.Fleet(servers=4, speed_spread=0.5, warm_up_ms=1000.0)
    )
    speeds, ledger, rng = server_speeds(spec), Ledger(), np.random.default_rng(2)
    for server, speed in enumerate(speeds):
        count = int(3000 * speed)
        ledger.deliveries += [
            Delivery("x", server, at, at)
            for at in rng.uniform(0, 32000.0, count)
            if server != 1 or not 8000.0 < at < 20000.0
        ]
    for leaving_kind, returning_kind in (("draining", "cold"), ("gone", "cold"), ("gone", "up")):
        ledger.server_events = [
            ServerEvent(1, leaving_kind, 8000.0),
            ServerEvent(1, returning_kind, 19000.0 if returning_kind == "cold" else 20000.0),
        ]
        result = evenness.measure(spec, ledger)
        assert result is not None and result.idle_servers == 0 and result.busiest_10s < 1.15


def test_owners_differ_where_routers_use_different_servers_for_a_key() -> None:
    spec = msgspec.structs.replace(BASE, length_s=12.0)
    ledger = Ledger()
    for router, server in ((0, 1), (1, 1), (2, 5)):
        for number in range(4):
            ledger.attempts.append(ClientAttempt(f"{router}-{number}", number, 0, 7, router, 5000.0, 1000.0))
            ledger.deliveries.append(Delivery(f"{router}-{number}", server, 5000.0, 5000.0))
    result = evenness.measure(spec, ledger)
    assert result is not None and result.owners_differ == pytest.approx(2 / 3, abs=1e-3)


def test_every_measure_has_a_label_and_the_key_of_the_results_file() -> None:
    assert tuple(evenness.EVENNESS_LABELS) == evenness.Evenness.__struct_fields__
    assert len(set(evenness.EVENNESS_LABELS.values())) == len(evenness.EVENNESS_LABELS)
    stored = msgspec.to_builtins(evenness.Evenness(peak_connections=11.0))
    assert stored["connections_most"] == 11.0 and "peak_connections" not in stored
