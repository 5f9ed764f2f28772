"""The choice of a server other than the one with the greatest affinity."""

from __future__ import annotations

from starlingthread.events import AttemptResult

from .balancer_driver import ASIDE, ORIGIN, THROUGH, BalancerDriver, make_endpoints, only_send, sends


def test_an_overloaded_owner_is_passed_over_for_servers_that_are_in_time() -> None:
    """Incident i952281: the owners in an overloaded zone rejected requests that idle servers could have answered."""
    driver = BalancerDriver(ASIDE, make_endpoints(12))
    owner = [driver.read(7) for _ in range(12)][-1]
    for _ in range(5):  # the balancer learns that the other servers respond fast
        for key in range(100, 130):
            driver.now += 10.0
            for send in sends(driver.submit_request(key)):
                driver.end_attempt(send, AttemptResult.OK, elapsed=45.0)
    late = only_send(driver.submit_request(7))
    assert late.server == owner
    driver.end_attempt(late, AttemptResult.OK, elapsed=900.0)
    for _ in range(10):
        assert only_send(driver.submit_request(7)).server not in (owner, ORIGIN)


def test_a_key_gets_an_owner_in_the_zone_once_crossing_it_costs_as_much_as_a_fetch() -> None:
    def owners_in_zone(price: float, routers: int = 4) -> int:
        driver = BalancerDriver(
            THROUGH._replace(price_cross_zone=price, router_count=routers), make_endpoints(8, zones=2)
        )
        owners = [driver.read(key) for key in range(1, 200)]
        return sum(owner % 2 == 0 for owner in owners)

    # The estimated fetch time is 75 ms, the latency objective is 500 ms, and half of the servers are in this zone.
    assert owners_in_zone(0.2) > 150 > owners_in_zone(0.02) > 60
    # The routers of a zone share the savings, so that each of many routers sees only a small part of them.
    assert owners_in_zone(0.02, routers=40) > 150


def test_an_owner_with_too_many_attempts_in_flight_is_passed_over_before_any_response_is_late() -> None:
    """Guards zones that lack a server: the two remaining owners got 80 requests a second each, the others 20."""
    driver = BalancerDriver(THROUGH)
    for key in range(1, 30):
        driver.read(key)
    owner = driver.read(7)
    sent_to: dict[int, int] = {}
    for _ in range(80):  # a burst for one key, of which nothing is answered yet
        for send in sends(driver.submit_request(7, cost=40.0)):
            sent_to[send.server] = sent_to.get(send.server, 0) + 1
    # The objective is 500 ms, and a server processes two requests at a time in the learned 30 ms each: more are late.
    assert sent_to[owner] <= 500 / 30 * 2 + 1 and len(sent_to) > 2
