"""What operators do by hand: servers left out and taken back, and new settings while requests are under way."""

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

from .router_harness import RouterHarness
from .standins import ClientHarness, ServerActorHarness, run_client_script
from .world import IDEMPOTENCY_KEY, NOT_IDEMPOTENT, READ, THROUGH, World, answers, members, only_send, sends

# the module leaves servers out


def chosen(world: World, count: int = 200) -> set[int]:
    """Return the servers that reads of many keys go to."""
    found = set()
    for key in range(1, count + 1):
        for send in sends(world.ask(key=key)):
            found.add(send.server)
            world.now += 10.0
            world.end(send, AttemptResult.OK)
    return found


def test_a_server_in_maintenance_gets_nothing_whatever_lists_say_and_is_used_again_after_the_call_back() -> None:
    world = World(THROUGH)
    assert chosen(world) == {1, 2, 3, 4}
    world.do(Maintenance(2, True))
    world.do(Maintenance(2, True))  # the call may come twice
    assert chosen(world) == {1, 3, 4} and world.balancer.excluded_servers(world.now) == [2]
    lines = tuple(m for m in members() if m.kind != 3)
    world.do(EndpointList(EndpointListKind.FULL, 2, lines))
    world.do(EndpointList(EndpointListKind.DELTA, 3, (lines[1]._replace(started=world.now - 50.0),)))
    assert chosen(world) == {1, 3, 4}
    world.do(EndpointList(EndpointListKind.FULL, 4, tuple(m for m in lines if m.server != 2)))
    world.pass_time(60000.0)
    world.do(EndpointList(EndpointListKind.FULL, 5, lines))
    assert chosen(world) == {1, 3, 4}
    world.do(Maintenance(2, False))
    world.do(Maintenance(2, False))
    world.pass_time(3000.0)
    assert 2 in chosen(world) and world.balancer.excluded_servers(world.now) == []


def test_retries_and_second_copies_keep_away_too() -> None:
    settings = THROUGH._replace(hedging_allowed=True)
    for result in (AttemptResult.CONNECT_FAILED, AttemptResult.RESET, AttemptResult.NOT_SENT):
        for key in range(1, 40):
            world = World(settings, seed=key)
            first = only_send(world.ask(key=key))
            world.do(Maintenance(first.server, True))
            assert all(s.server != first.server for s in sends(world.end(first, result)))
            second = only_send(world.ask(key=key + 100))
            world.do(Maintenance(second.server, True))
            assert not {s.server for s in sends(world.pass_time(900.0))} & {first.server, second.server}


def test_with_all_servers_out_a_request_is_refused_at_once() -> None:
    world = World(THROUGH)
    for number in range(1, 5):
        world.do(Maintenance(number, True))
    (refused,) = answers(world.ask())
    assert isinstance(refused, Reject)


def test_a_server_that_comes_back_is_cold_until_the_list_tells_when_it_started() -> None:
    """Guards the bound on cold servers: the list may tell of its restart seconds after the call back."""
    world = World(THROUGH)
    world.do(Maintenance(2, True))
    world.pass_time(2000.0)
    world.do(Maintenance(2, False))
    server = world.balancer.fleet.servers[2]
    assert server.warming_since == world.now and server.endpoint.started == 0.0
    began, few = world.now, 0
    for key in range(1, 201):
        send = only_send(world.ask(key=key))
        few += send.server == 2
        world.now += 10.0
        world.end(send, AttemptResult.OK)
    assert 0 < few < 35  # a quarter would be 50; it starts at 0.3 of its capacity, and is at 0.5 by now
    world.do(EndpointList(EndpointListKind.DELTA, 9, (server.endpoint._replace(started=began - 500.0),)))
    assert world.balancer.fleet.servers[2].warming_since == began  # never taken for warmer than it may be
    world.pass_time(8001.0)
    assert chosen(world) == {1, 2, 3, 4}


def test_what_waits_for_a_connection_to_a_server_in_maintenance_is_placed_anew() -> None:
    for wait in ("idle", "opening"):
        harness = ServerActorHarness()
        attempt = harness.attempt()
        is_idle = wait == "idle"
        harness.fleet.actors[1] = harness.actor
        if not is_idle:
            harness.actor.pool.idle.clear()
            opener = harness.actor.opener
            opener.pending[attempt] = PendingConnect(_Task(), opener._set_timeout(attempt))  # type: ignore[arg-type]
        harness.fleet.set_maintenance(1, True)
        message = messages.StartExchange(attempt) if is_idle else messages.ConnectCompleted(attempt, None)
        results = harness.deliver(message)
        expected = AttemptResult.NOT_SENT if is_idle else AttemptResult.CONNECT_FAILED
        assert [m.result for m in results] == [expected]
        assert not harness.writer.transport.sent
        harness.fleet.set_maintenance(1, False)
        if is_idle:
            harness.deliver(messages.StartExchange(harness.attempt()))
            assert harness.writer.transport.sent


class _Task:
    def cancel(self) -> None:
        pass


# what holds outlives the process, and binds two of them


class Party:
    """One process's servers in maintenance, and what it was told."""

    def __init__(self, folder: Path | None) -> None:
        self.told: list[tuple[str, bool]] = []
        self.maintenance = MaintenanceSet(folder, lambda name, out: self.told.append((name, out)))


def test_both_processes_of_an_upgrade_hold_what_either_was_called_for(tmp_path: Path) -> None:
    old, new = Party(tmp_path), Party(tmp_path)
    old.maintenance.set_maintenance("a", True)
    new.maintenance.set_maintenance("b", True)  # without having looked: nothing of the other's is lost
    old.maintenance.reload_if_changed()
    assert old.maintenance.names == new.maintenance.names == {"a", "b"}
    assert old.told == [("a", True), ("b", True)] and new.told == [("a", True), ("b", True)]
    new.maintenance.set_maintenance("a", True)
    new.maintenance.set_maintenance("a", False)
    old.maintenance.reload_if_changed()
    assert old.told[2:] == [("a", False)] and old.maintenance.names == {"b"}
    later = Party(tmp_path)
    later.maintenance.reload_if_changed()
    assert later.told == [("b", True)]
    assert {p.name for p in tmp_path.iterdir()} == {FILE_NAME, f"{FILE_NAME}.lock"}


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
def test_a_file_that_is_torn_or_not_ours_changes_nothing(text: str, tmp_path: Path) -> None:
    party = Party(tmp_path)
    party.maintenance.set_maintenance("a", True)
    (tmp_path / FILE_NAME).write_text(text)
    party.maintenance.reload_if_changed()
    party.maintenance.reload_if_changed()
    assert party.maintenance.names == {"a"} and party.told == [("a", True)]
    party.maintenance.set_maintenance("b", True)  # and the next call writes it whole again
    later = Party(tmp_path)
    later.maintenance.reload_if_changed()
    assert later.maintenance.names == {"a", "b"}


def test_without_a_folder_or_with_one_that_fails_memory_holds(tmp_path: Path) -> None:
    for folder in (None, tmp_path / "nowhere"):
        party = Party(folder)
        party.maintenance.reload_if_changed()
        party.maintenance.set_maintenance("a", True)
        party.maintenance.reload_if_changed()
        assert party.maintenance.names == {"a"}


def test_who_stands_still_with_the_lock_holds_up_nobody(tmp_path: Path) -> None:
    handle = os.open(tmp_path / f"{FILE_NAME}.lock", os.O_RDWR | os.O_CREAT)
    fcntl.flock(handle, fcntl.LOCK_EX)
    party = Party(tmp_path)
    party.maintenance.set_maintenance("a", True)
    os.close(handle)
    assert party.maintenance.names == {"a"} and (tmp_path / FILE_NAME).exists()


def test_only_listed_names_are_known() -> None:
    harness = RouterHarness()
    registry = DiscoveryActor(harness.router, EndpointListParser((), ()), ("127.0.0.1", 1), None)  # type: ignore[arg-type]
    line = {"name": "s-1", "address": "127.0.0.1:1", "status": "in_service"}
    registry.load_cached_list({"index": 1, "snapshot": True, "endpoints": [line]})
    assert registry.server_id("s-1") is not None and registry.endpoint_count == 1
    assert registry.server_id("s-2") is None


# new settings


FEWER = THROUGH._replace(
    classes=(THROUGH.classes[2], THROUGH.classes[0]._replace(name="read-2", idempotency=Idempotency.NOT_IDEMPOTENT)),
    max_attempts=1,
)


def test_requests_under_way_keep_their_class_and_what_comes_after_has_the_new_one() -> None:
    harness = RouterHarness()
    before = [harness.submit_request(cls) for cls in (READ, IDEMPOTENCY_KEY, NOT_IDEMPOTENT)]
    harness.router.mailbox.must_put(HealthCheckResult(1, AttemptResult.OK, 1.0))
    harness.router.apply_settings(FEWER)
    harness.deliver(
        AttemptEnded(harness.started[0], AttemptResult.RESET)
    )  # "read" is gone, but this one may still run again
    assert len(harness.started) == 3  # though no more attempts are allowed now
    for attempt in harness.started[1:3]:
        harness.deliver(AttemptEnded(attempt, AttemptResult.OK, payload=b"x"))
    (new,) = [harness.submit_request(1)]
    assert new.request_class.name == "read-2" and len(harness.started) == 4
    harness.deliver(AttemptEnded(harness.started[3], AttemptResult.RESET))  # stricter now: it may have run
    assert len(harness.started) == 4
    assert [len([a for r, a in harness.answers if r is request]) for request in [*before, new]] == [1, 1, 1, 1]
    figures = harness.router.telemetry
    assert (
        figures.finished_count("keyed", FinalStatus.SUCCESS)
        == figures.finished_count("unsafe", FinalStatus.SUCCESS)
        == 1
    )
    assert figures.finished_count("read-2", FinalStatus.FAILURE) == 1 and figures.inflight == 0


def test_what_was_read_before_the_change_is_asked_under_the_old_settings() -> None:
    harness = RouterHarness()
    now = harness.clock.time
    harness.router.submit(PendingRequest(harness, THROUGH.classes[0], 7, now + 900.0, b"p", now))
    harness.router.apply_settings(FEWER)
    harness.router.turn()
    (attempt,) = harness.started
    harness.deliver(AttemptEnded(attempt, AttemptResult.OK, payload=b"x"))
    assert harness.router.telemetry.finished_count("read", FinalStatus.SUCCESS) == 1
    assert harness.router.balancer.fleet.settings is FEWER and harness.router.settings is FEWER


def test_what_was_learned_of_a_class_that_stays_is_kept() -> None:
    world = World(THROUGH)
    world.balancer.load.service_times["unsafe"].typical = 77.0
    world.do(SettingsChanged(FEWER))
    assert {name: work.typical for name, work in world.balancer.load.service_times.items()} == {
        "unsafe": 77.0,
        "read-2": 50.0,
    }


def test_a_class_that_vanished_is_an_error_and_a_new_one_is_served() -> None:
    async def script(now: ClientHarness) -> None:
        now.listener.apply_settings(FEWER)
        now.router.apply_settings(FEWER)
        now.reader.feed_data(b"mg a v O1 Pc=read,d=500\r\nmg a v O2 Pc=read-2,d=500\r\n")
        asked = [m for m in await now.settle() if hasattr(m, "request")]
        assert [m.request.request_class.name for m in asked] == ["read-2"]

    assert run_client_script(script) == b"CLIENT_ERROR unknown class\r\n"


GOOD: dict[str, Any] = {
    "name": "r",
    "listen": "127.0.0.1:1",
    "discovery": "127.0.0.1:2",
    "seed": "5",
    "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
    "settings": {
        "grades": [{"name": n, "effect": "once", "promiseMs": 80.0, "hardLimitMs": 400.0} for n in ("a", "b")],
        "permissions": {"tryLimit": 4},
        "rules": {"drainGraceMs": 400.0},
    },
}


def changed(*path: Any, to: Any = None) -> str:
    """Return a file with one place changed, or taken out."""
    raw = copy.deepcopy(GOOD)
    there: Any = raw
    for part in path[:-1]:
        there = there[part]
    if to is None:
        del there[path[-1]]
    else:
        there[path[-1]] = to
    return json.dumps(raw)


@pytest.mark.parametrize(
    "text",
    [
        "",
        "{",
        json.dumps(GOOD)[:-40],
        "null",
        "[]",
        "5",
        changed("settings"),
        changed("limits"),
        changed("limits", "cores"),
        changed("settings", "permissions", "tryLimit"),
        changed("settings", "rules"),
        changed("settings", "grades", 1, "promiseMs"),
        changed("settings", "grades", to=[]),
        changed("settings", "grades", 1, "hardLimitMs", to=-5),
        changed("settings", "grades", 1, "hardLimitMs", to=0),
        changed("settings", "grades", 1, "hardLimitMs", to="400"),
        changed("settings", "grades", 1, "name", to="a"),
        changed("settings", "grades", 1, "effect", to="twice"),
        changed("settings", "permissions", "tryLimit", to=0),
        changed("settings", "permissions", "tryLimit", to=True),
        changed("discovery", to="nowhere"),
        changed("settings", "grades", 1, "hardLimitMs", to=float("nan")),
        changed("settings", "grades", 1, "hardLimitMs", to=1).replace('Ms": 1}', 'Ms": 1e999}'),
    ],
)
def test_a_file_that_is_no_good_is_turned_down_whole(text: str, tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(GOOD))
    shape = read_config(str(path)).shape
    assert read_config(str(path), shape).shape == shape
    path.write_text(text)
    with pytest.raises(ConfigError) as error:
        read_config(str(path), shape)
    assert "\n" not in str(error.value)
