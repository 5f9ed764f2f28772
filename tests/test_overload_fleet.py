"""Overload of a simulated fleet with several routers and one clock."""

from __future__ import annotations

import pytest

from .virtual_fleet import SETTINGS, Server, VirtualFleet


@pytest.mark.parametrize("seed", [1, 2])
def test_a_retry_storm_does_not_overload_a_server_in_slow_start(seed: int) -> None:
    """A regression: when servers were full, the slow start budget grew with every request, rejected attempts too."""
    fleet = VirtualFleet([Server(6, 90.0, 9) for _ in range(7)], seed=seed)
    fleet.run(8000.0, 300.0)
    fleet.restart(1)
    fleet.run(6000.0, 1100.0)  # 2.4 times the capacity
    assert fleet.servers[1].peak_overload(SETTINGS.overload_window) < SETTINGS.overload_factor
    server = fleet.servers[1]
    assert len([1 for request in server.received if request.at >= server.started]) > 30  # it gets requests nevertheless


@pytest.mark.parametrize(("cores", "max_rejected_share"), [(1, 0.5), (2, 0.25), (7, 0.2), (64, 0.2)])
def test_servers_of_any_size_without_load_reports_are_well_used_and_seldom_reject(
    cores: int, max_rejected_share: float
) -> None:
    """A regression: every server was assumed to have two cores, and rejections did not lower the load sent to it."""
    fleet = VirtualFleet([Server(cores, 90.0, 2 * cores) for _ in range(6)])
    capacity = 6 * cores / 0.092  # requests a second
    normal = fleet.run(4000.0 if cores > 2 else 10000.0, 0.6 * capacity)
    assert normal["served"] > 0.97 * sum(normal.values())
    overloaded = fleet.run(2000.0, 1.6 * capacity)
    after = fleet.run(3000.0, 1.6 * capacity)
    assert after["served"] > 0.75 * 3.0 * capacity and after["late"] < 0.15 * after["served"]
    sent = sum(len(server.received) for server in fleet.servers.values())
    # Each of the three routers has at least one request in flight; a server with one core has a queue of two.
    assert fleet.rejected < max_rejected_share * sent, (fleet.rejected, sent, overloaded)


def test_a_server_that_rejected_everything_is_used_again_once_it_has_recovered() -> None:
    """A slow server with a full queue is avoided; after its recovery it gets its share of the load again."""
    fleet = VirtualFleet([Server(6, 90.0, 9) for _ in range(6)])
    fleet.run(5000.0, 200.0)
    fleet.servers[1].slowdown = 10.0
    degraded = fleet.run(6000.0, 200.0)
    assert degraded["served"] > 0.9 * sum(degraded.values())
    fleet.servers[1].slowdown = 1.0
    fleet.run(5000.0, 390.0)  # nearly the full capacity: every server is needed
    before = len(fleet.servers[1].received)
    fleet.run(3000.0, 390.0)
    assert len(fleet.servers[1].received) - before > 0.6 * 3.0 * 390.0 / 6
