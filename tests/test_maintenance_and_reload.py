"""Tests of operators' actions: servers in maintenance, and a reload of the settings while requests are in flight."""

from __future__ import annotations

import copy
import fcntl
import json
import os
from pathlib import Path
from typing import Any

import pytest

from starlingthread.actions import Reject
from starlingthread.config import ConfigError, read_config
from starlingthread.core.maintenance import FILE_NAME, MaintenanceSet
from starlingthread.core.messages import AttemptEnded, PendingRequest
from starlingthread.core.telemetry import FinalStatus
from starlingthread.events import (
    AttemptResult,
    EndpointList,
    EndpointListKind,
    HealthCheckResult,
    Maintenance,
    SettingsChanged,
)
from starlingthread.net.discovery import DiscoveryActor, EndpointListParser
from starlingthread.net.upstreams import messages
from starlingthread.net.upstreams.opener import PendingConnect
from starlingthread.settings import Idempotency

from .balancer_driver import (
    IDEMPOTENCY_KEY,
    NOT_IDEMPOTENT,
    READ,
    THROUGH,
    BalancerDriver,
    answers,
    make_endpoints,
    only_send,
    sends,
)
from .fakes import ClientHarness, ServerActorHarness, run_client_script
from .router_harness import RouterHarness

# The decision module excludes servers in maintenance.


def servers_used(driver: BalancerDriver, count: int = 200) -> set[int]:
    """Return the servers to which reads of many keys are sent."""
    used = set()
    for key in range(1, count + 1):
        for send in sends(driver.submit_request(key=key)):
            used.add(send.server)
            driver.now += 10.0
            driver.end_attempt(send, AttemptResult.OK)
    return used


def test_a_server_in_maintenance_gets_no_requests_whatever_the_lists_say_until_its_maintenance_ends() -> None:
    """Endpoint lists that change, remove or add the server do not end its maintenance; only an operator does."""
    driver = BalancerDriver(THROUGH)
    assert servers_used(driver) == {1, 2, 3, 4}
    driver.handle_event(Maintenance(2, True))
    driver.handle_event(Maintenance(2, True))  # An operator may repeat the call.
    assert servers_used(driver) == {1, 3, 4} and driver.balancer.excluded_servers(driver.now) == [2]
    endpoints = tuple(endpoint for endpoint in make_endpoints() if endpoint.kind != 3)
    driver.handle_event(EndpointList(EndpointListKind.FULL, 2, endpoints))
    driver.handle_event(EndpointList(EndpointListKind.DELTA, 3, (endpoints[1]._replace(started=driver.now - 50.0),)))
    assert servers_used(driver) == {1, 3, 4}
    driver.handle_event(
        EndpointList(EndpointListKind.FULL, 4, tuple(remaining for remaining in endpoints if remaining.server != 2))
    )
    driver.advance_time(60000.0)
    driver.handle_event(EndpointList(EndpointListKind.FULL, 5, endpoints))
    assert servers_used(driver) == {1, 3, 4}
    driver.handle_event(Maintenance(2, False))
    driver.handle_event(Maintenance(2, False))
    driver.advance_time(3000.0)
    assert 2 in servers_used(driver) and driver.balancer.excluded_servers(driver.now) == []


def test_retries_and_hedged_requests_avoid_servers_in_maintenance_too() -> None:
    """The server of the first attempt is put in maintenance before the retry or the hedged request."""
    settings = THROUGH._replace(hedging_allowed=True)
    for result in (AttemptResult.CONNECT_FAILED, AttemptResult.RESET, AttemptResult.NOT_SENT):
        for key in range(1, 40):
            driver = BalancerDriver(settings, seed=key)
            first = only_send(driver.submit_request(key=key))
            driver.handle_event(Maintenance(first.server, True))
            assert all(send.server != first.server for send in sends(driver.end_attempt(first, result)))
            second = only_send(driver.submit_request(key=key + 100))
            driver.handle_event(Maintenance(second.server, True))
            assert not {send.server for send in sends(driver.advance_time(900.0))} & {first.server, second.server}


def test_with_all_servers_in_maintenance_a_request_is_rejected_at_once() -> None:
    """A request that can be sent to no server does not wait for its deadline."""
    driver = BalancerDriver(THROUGH)
    for number in range(1, 5):
        driver.handle_event(Maintenance(number, True))
    (rejection,) = answers(driver.submit_request())
    assert isinstance(rejection, Reject)


def test_a_server_warms_up_from_the_end_of_its_maintenance_even_if_the_list_reports_its_start_later() -> None:
    """The list may report the restart only seconds after the end of the maintenance; slow start must apply at once."""
    driver = BalancerDriver(THROUGH)
    driver.handle_event(Maintenance(2, True))
    driver.advance_time(2000.0)
    driver.handle_event(Maintenance(2, False))
    server = driver.balancer.fleet.servers[2]
    assert server.warming_since == driver.now and server.endpoint.started == 0.0
    maintenance_ended_at = driver.now
    sent_to_server = 0
    for key in range(1, 201):
        send = only_send(driver.submit_request(key=key))
        sent_to_server += send.server == 2
        driver.now += 10.0
        driver.end_attempt(send, AttemptResult.OK)
    assert 0 < sent_to_server < 35  # An equal share is 50; the capacity starts at 0.3 and is 0.5 by now.
    driver.handle_event(
        EndpointList(EndpointListKind.DELTA, 9, (server.endpoint._replace(started=maintenance_ended_at - 500.0),))
    )
    # The earlier start in the list does not shorten the warm-up.
    assert driver.balancer.fleet.servers[2].warming_since == maintenance_ended_at
    driver.advance_time(8001.0)
    assert servers_used(driver) == {1, 2, 3, 4}


def test_an_attempt_that_waits_for_a_connection_to_a_server_in_maintenance_can_be_retried() -> None:
    """The attempt ends with a result that lets the router retry the request at another server."""
    for is_idle in (True, False):
        harness = ServerActorHarness()
        attempt = harness.attempt()
        harness.fleet.actors[1] = harness.actor
        if not is_idle:
            harness.actor.pool.idle.clear()
            opener = harness.actor.opener
            opener.pending[attempt] = PendingConnect(FakeTask(), opener._set_timeout(attempt))  # type: ignore[arg-type]
        harness.fleet.set_maintenance(1, True)
        message = messages.StartExchange(attempt) if is_idle else messages.ConnectCompleted(attempt, None)
        results = harness.deliver(message)
        expected = AttemptResult.NOT_SENT if is_idle else AttemptResult.CONNECT_FAILED
        assert [ended.result for ended in results] == [expected]
        assert not harness.writer.transport.sent
        harness.fleet.set_maintenance(1, False)
        if is_idle:
            harness.deliver(messages.StartExchange(harness.attempt()))
            assert harness.writer.transport.sent


class FakeTask:
    """A fake of the task that opens a connection."""

    def cancel(self) -> None:
        """Ignore the cancellation."""


# The maintenance set is stored in a file, which both processes of an upgrade share.


class RouterProcess:
    """The maintenance set of one process, and the changes that it reported."""

    def __init__(self, folder: Path | None) -> None:
        """Open the maintenance set in a folder, or one in memory if there is no folder."""
        self.changes: list[tuple[str, bool]] = []
        self.maintenance = MaintenanceSet(
            folder, lambda name, in_maintenance: self.changes.append((name, in_maintenance))
        )


def test_both_processes_of_an_upgrade_share_the_maintenance_set(tmp_path: Path) -> None:
    """A change made in one process reaches the other one, and a process that starts later."""
    old = RouterProcess(tmp_path)
    new = RouterProcess(tmp_path)
    old.maintenance.set_maintenance("a", True)
    new.maintenance.set_maintenance("b", True)  # This process has not reloaded, and must not overwrite the change.
    old.maintenance.reload_if_changed()
    assert old.maintenance.names == new.maintenance.names == {"a", "b"}
    assert old.changes == [("a", True), ("b", True)] and new.changes == [("a", True), ("b", True)]
    new.maintenance.set_maintenance("a", True)
    new.maintenance.set_maintenance("a", False)
    old.maintenance.reload_if_changed()
    assert old.changes[2:] == [("a", False)] and old.maintenance.names == {"b"}
    later = RouterProcess(tmp_path)
    later.maintenance.reload_if_changed()
    assert later.changes == [("b", True)]
    assert {path.name for path in tmp_path.iterdir()} == {FILE_NAME, f"{FILE_NAME}.lock"}


@pytest.mark.parametrize(
    "text",
    [
        "",
        "{",
        '{"version":1}',
        '{"version":2,"excluded":[]}',
        '{"version":1,"excluded":[3]}',
        "\x00\xff",
        '{"version":1,"excluded":[],"more":1}',
    ],
)
def test_an_invalid_maintenance_file_changes_nothing_and_is_replaced(text: str, tmp_path: Path) -> None:
    """A truncated file, or one in an unknown format, does not end any maintenance."""
    process = RouterProcess(tmp_path)
    process.maintenance.set_maintenance("a", True)
    (tmp_path / FILE_NAME).write_text(text)
    process.maintenance.reload_if_changed()
    process.maintenance.reload_if_changed()
    assert process.maintenance.names == {"a"} and process.changes == [("a", True)]
    process.maintenance.set_maintenance("b", True)  # The next change writes a valid file.
    later = RouterProcess(tmp_path)
    later.maintenance.reload_if_changed()
    assert later.maintenance.names == {"a", "b"}


def test_without_a_usable_folder_the_maintenance_set_is_in_memory(tmp_path: Path) -> None:
    """Maintenance must take effect even if it cannot be stored."""
    for folder in (None, tmp_path / "nowhere"):
        process = RouterProcess(folder)
        process.maintenance.reload_if_changed()
        process.maintenance.set_maintenance("a", True)
        process.maintenance.reload_if_changed()
        assert process.maintenance.names == {"a"}


def test_a_process_that_hangs_with_the_lock_does_not_block_another(tmp_path: Path) -> None:
    """The process waits for the lock only briefly, and then stores the change without it."""
    lock = os.open(tmp_path / f"{FILE_NAME}.lock", os.O_RDWR | os.O_CREAT)
    fcntl.flock(lock, fcntl.LOCK_EX)
    process = RouterProcess(tmp_path)
    process.maintenance.set_maintenance("a", True)
    os.close(lock)
    assert process.maintenance.names == {"a"} and (tmp_path / FILE_NAME).exists()


def test_only_listed_names_have_a_server_id() -> None:
    """This lets an operator's call for an unknown name be answered with an error."""
    harness = RouterHarness()
    discovery = DiscoveryActor(harness.router, EndpointListParser((), ()), ("127.0.0.1", 1), None)  # type: ignore[arg-type]
    entry = {"name": "s-1", "address": "127.0.0.1:1", "status": "in_service"}
    discovery.load_cached_list({"index": 1, "snapshot": True, "endpoints": [entry]})
    assert discovery.server_id("s-1") is not None and discovery.endpoint_count == 1
    assert discovery.server_id("s-2") is None


# New settings take effect while requests are in flight.


FEWER_CLASSES = THROUGH._replace(
    classes=(THROUGH.classes[2], THROUGH.classes[0]._replace(name="read-2", idempotency=Idempotency.NOT_IDEMPOTENT)),
    max_attempts=1,
)


def test_requests_in_flight_keep_their_class_and_later_ones_have_the_new_classes() -> None:
    """An idempotent request may be retried after its class was removed; a later one follows the new settings."""
    harness = RouterHarness()
    before = [harness.submit_request(class_index) for class_index in (READ, IDEMPOTENCY_KEY, NOT_IDEMPOTENT)]
    harness.router.mailbox.force_put(HealthCheckResult(1, AttemptResult.OK, 1.0))
    harness.router.apply_settings(FEWER_CLASSES)
    # The class "read" was removed, but this request is still idempotent.
    harness.deliver(AttemptEnded(harness.started[0], AttemptResult.RESET))
    assert len(harness.started) == 3  # The retry is allowed, although the new settings allow only one attempt.
    for attempt in harness.started[1:3]:
        harness.deliver(AttemptEnded(attempt, AttemptResult.OK, payload=b"x"))
    new = harness.submit_request(1)
    assert new.request_class.name == "read-2" and len(harness.started) == 4
    harness.deliver(AttemptEnded(harness.started[3], AttemptResult.RESET))  # It is not idempotent and may have run.
    assert len(harness.started) == 4
    answer_counts = [
        len([answer for answered, answer in harness.answers if answered is request]) for request in [*before, new]
    ]
    assert answer_counts == [1, 1, 1, 1]
    telemetry = harness.router.telemetry
    assert (
        telemetry.finished_count("keyed", FinalStatus.SUCCESS)
        == telemetry.finished_count("unsafe", FinalStatus.SUCCESS)
        == 1
    )
    assert telemetry.finished_count("read-2", FinalStatus.FAILURE) == 1 and telemetry.inflight == 0


def test_a_request_received_before_the_reload_is_handled_under_the_old_settings() -> None:
    """The class index of the request refers to the old settings."""
    harness = RouterHarness()
    now = harness.clock.time
    harness.router.submit(PendingRequest(harness, THROUGH.classes[0], 7, now + 900.0, b"p", now))
    harness.router.apply_settings(FEWER_CLASSES)
    harness.router.turn()
    (attempt,) = harness.started
    harness.deliver(AttemptEnded(attempt, AttemptResult.OK, payload=b"x"))
    assert harness.router.telemetry.finished_count("read", FinalStatus.SUCCESS) == 1
    assert harness.router.balancer.fleet.settings is FEWER_CLASSES and harness.router.settings is FEWER_CLASSES


def test_the_service_time_of_a_class_that_remains_is_preserved() -> None:
    """A class keeps its service time by name, although its index changes; a new class starts with the default."""
    driver = BalancerDriver(THROUGH)
    driver.balancer.load.service_times["unsafe"].typical_time = 77.0
    driver.handle_event(SettingsChanged(FEWER_CLASSES))
    assert {name: service_time.typical_time for name, service_time in driver.balancer.load.service_times.items()} == {
        "unsafe": 77.0,
        "read-2": 50.0,
    }


def test_a_request_of_a_removed_class_gets_an_error_and_one_of_a_new_class_is_served() -> None:
    """Clients get an error for a class that a reload has removed."""

    async def script(client: ClientHarness) -> None:
        client.listener.apply_settings(FEWER_CLASSES)
        client.router.apply_settings(FEWER_CLASSES)
        client.reader.feed_data(b"mg a v O1 Pc=read,d=500\r\nmg a v O2 Pc=read-2,d=500\r\n")
        received = [message for message in await client.settle() if hasattr(message, "request")]
        assert [message.request.request_class.name for message in received] == ["read-2"]

    assert run_client_script(script) == b"CLIENT_ERROR unknown class\r\n"


VALID_CONFIG: dict[str, Any] = {
    "name": "r",
    "listen": "127.0.0.1:1",
    "discovery": "127.0.0.1:2",
    "seed": "5",
    "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
    "settings": {
        "grades": [{"name": name, "effect": "once", "promiseMs": 80.0, "hardLimitMs": 400.0} for name in ("a", "b")],
        "permissions": {"tryLimit": 4},
        "rules": {"drainGraceMs": 400.0},
    },
}


def config_with(*path: Any, to: Any = None) -> str:
    """Return the text of the valid file with the value at a path replaced, or removed if ``to`` is None."""
    config = copy.deepcopy(VALID_CONFIG)
    parent: Any = config
    for key in path[:-1]:
        parent = parent[key]
    if to is None:
        del parent[path[-1]]
    else:
        parent[path[-1]] = to
    return json.dumps(config)


@pytest.mark.parametrize(
    "text",
    [
        "",
        "{",
        json.dumps(VALID_CONFIG)[:-40],
        "null",
        "[]",
        "5",
        config_with("settings"),
        config_with("limits"),
        config_with("limits", "cores"),
        config_with("settings", "permissions", "tryLimit"),
        config_with("settings", "rules"),
        config_with("settings", "grades", 1, "promiseMs"),
        config_with("settings", "grades", to=[]),
        config_with("settings", "grades", 1, "hardLimitMs", to=-5),
        config_with("settings", "grades", 1, "hardLimitMs", to=0),
        config_with("settings", "grades", 1, "hardLimitMs", to="400"),
        config_with("settings", "grades", 1, "name", to="a"),
        config_with("settings", "grades", 1, "effect", to="twice"),
        config_with("settings", "permissions", "tryLimit", to=0),
        config_with("settings", "permissions", "tryLimit", to=True),
        config_with("discovery", to="nowhere"),
        config_with("settings", "grades", 1, "hardLimitMs", to=float("nan")),
        config_with("settings", "grades", 1, "hardLimitMs", to=1).replace('Ms": 1}', 'Ms": 1e999}'),
    ],
)
def test_an_invalid_config_file_is_rejected_completely(text: str, tmp_path: Path) -> None:
    """The error message is one line, and no part of the file takes effect."""
    path = tmp_path / "config.json"
    path.write_text(json.dumps(VALID_CONFIG))
    shape = read_config(str(path)).shape
    assert read_config(str(path), shape).shape == shape
    path.write_text(text)
    with pytest.raises(ConfigError) as error:
        read_config(str(path), shape)
    assert "\n" not in str(error.value)
