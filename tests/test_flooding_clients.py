"""A client that floods the router over one connection, beside clients that send at a steady pace."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from starlingthread.events import AttemptResult

from .balancer_driver import THROUGH, BalancerDriver, sends
from .flood_plays import CLIENT_TIMEOUT_MS, KINDS, play_flood

FLOOD_S = 2.0
MIN_SERVED_SHARE = 0.95
HASTY_REQUESTS = 200
HASTY_BUDGET_MS = 2.0


@pytest.mark.parametrize("kind", KINDS)
def test_other_clients_are_served_in_time_while_one_floods(tmp_path: Path, kind: str) -> None:
    """Guards against a client with hardly any time for its requests, for which all servers were taken for faulty."""
    result = asyncio.run(play_flood(tmp_path, kind, FLOOD_S))
    print(f"{kind}: {dict(result.answers)}, p99 {result.percentile(0.99):.0f} ms, flood of {result.flood_sent}")
    assert result.served_share >= MIN_SERVED_SHARE
    assert not result.answers["lost"] and result.percentile(0.99) <= CLIENT_TIMEOUT_MS


def test_time_outs_of_hasty_clients_are_no_evidence_about_servers() -> None:
    driver = BalancerDriver(THROUGH)
    for number in range(HASTY_REQUESTS):
        for send in sends(driver.submit_request(key=number + 1, budget=HASTY_BUDGET_MS)):
            driver.now += HASTY_BUDGET_MS
            driver.end_attempt(send, AttemptResult.TIMEOUT, elapsed=HASTY_BUDGET_MS)
    assert not driver.balancer.excluded_servers(driver.now)
    assert len(sends(driver.submit_request(key=7))) == 1


def test_time_outs_of_patient_clients_still_eject_a_server() -> None:
    """Guards against a mend that takes no time-out for evidence."""
    driver = BalancerDriver(THROUGH)
    for number in range(HASTY_REQUESTS):
        for send in sends(driver.submit_request(key=number + 1, budget=400.0)):
            driver.now += 400.0
            driver.end_attempt(send, AttemptResult.TIMEOUT, elapsed=400.0)
        if driver.balancer.excluded_servers(driver.now):
            return
    raise AssertionError("no server was ejected")
