"""Random streams of events for the decision module, recorded with the resulting actions for a replay.

``python -m tests.event_stream`` records the streams again with the current module; run it only after an intended change
of its decisions. A stream consists of named settings and, for each step, the time, the event and the actions.
"""

from __future__ import annotations

import json
from enum import IntEnum
from pathlib import Path
from random import Random
from typing import Any, NamedTuple

from starlingthread import Balancer, events
from starlingthread.actions import Action, Fail, Reject, Send, SetTimer
from starlingthread.events import (
    AttemptResult,
    CacheStatus,
    Endpoint,
    EndpointList,
    EndpointListKind,
    Event,
    FirstByte,
    HealthCheckResult,
    Maintenance,
    Outcome,
    Request,
    RequestCancelled,
    ServerState,
    SettingsChanged,
    Timer,
)
from starlingthread.settings import Settings

from .balancer_driver import ASIDE, ORIGIN, THROUGH, make_endpoints

DATA = Path(__file__).with_name("data")
# Type names in the recorded streams; they are older than the current names, and a renaming needs no new recording.
RECORDED_NAMES = {
    "Endpoint": "Member",
    "EndpointList": "MemberList",
    "HealthCheckResult": "ProbeResult",
    "Reject": "Refuse",
    "RequestCancelled": "Withdrawn",
    "SettingsChanged": "Retuned",
    "WatchEndpoints": "Watch",
}
CURRENT_NAMES = {recorded: current for current, recorded in RECORDED_NAMES.items()}
SETTINGS: dict[str, Settings] = {
    "aside": ASIDE._replace(
        hedging_allowed=True, price_origin=0.02, price_cross_zone=0.01, must_poll=True, poll_interval=3000.0
    ),
    "through": THROUGH._replace(hedging_allowed=True, hot_keys=True, price_cross_zone=0.05, max_open_requests=40),
    "through, few tries": THROUGH._replace(
        max_attempts=2, can_cancel=False, slow_start_duration=20000.0, overload_window=1000.0
    ),
}
SEEDS = (1, 2)
STEPS = 450


class Step(NamedTuple):
    """One event and the resulting actions; the first step, the start of the module, has no event."""

    now: float
    event: Event | None
    actions: list[Any]


class StreamGenerator:
    """Generates random events that are consistent with the earlier actions."""

    def __init__(self, name: str, seed: int) -> None:
        """Create the generator of a stream; name is a key of SETTINGS."""
        self.settings = SETTINGS[name]
        self.rng = Random(seed)
        self.now = 1000.0
        self.balancer = Balancer(self.settings, seed)
        self.endpoints = {
            endpoint.server: endpoint
            for endpoint in make_endpoints(6, zones=2)
            if self.settings.mode == "aside" or endpoint.server != ORIGIN
        }
        self.in_flight: dict[tuple[int, int], tuple[int, float]] = {}  # server and send time, by request id and attempt
        self.last_attempts: dict[int, int] = {}  # number of the last attempt, by request id
        self.timers: list[SetTimer] = []
        self.in_maintenance: set[int] = set()
        self.version = 1

    def generate(self) -> list[Step]:
        """Return all steps of the stream."""
        steps = [self._record_step(None, self.balancer.start(self.now))]
        steps.append(self._handle(EndpointList(EndpointListKind.FULL, 1, tuple(self.endpoints.values()))))
        while len(steps) < STEPS:
            self.now += self.rng.expovariate(1 / 12.0)
            due = [timer for timer in self.timers if timer.at <= self.now]
            if due:
                first = min(due, key=lambda timer: timer.at)
                self.timers.remove(first)
                self.now = max(steps[-1].now, first.at)
                steps.append(self._handle(Timer(first.label)))
            else:
                steps.append(self._handle(self._draw_event()))
        return steps

    def _handle(self, event: Event) -> Step:
        return self._record_step(event, self.balancer.handle(self.now, event))

    def _record_step(self, event: Event | None, actions: list[Action]) -> Step:
        for action in actions:
            if isinstance(action, Send):
                number = self.last_attempts[action.id] = self.last_attempts.get(action.id, -1) + 1
                self.in_flight[(action.id, number)] = (action.server, self.now)
            elif isinstance(action, SetTimer):
                self.timers.append(action)
            elif isinstance(action, Reject | Fail):
                self.last_attempts.setdefault(action.id, -1)
        return Step(self.now, event, list(actions))

    def _draw_event(self) -> Event:
        rng = self.rng
        draw = rng.random()
        if draw < 0.45 or not self.in_flight:
            return self._draw_request()
        if draw < 0.9:
            return self._draw_outcome()
        if draw < 0.93:
            return self._draw_endpoint_list()
        if draw < 0.945:
            server = rng.choice(sorted(self.endpoints))
            self.in_maintenance ^= {server}
            return Maintenance(server, server in self.in_maintenance)
        request, attempt = rng.choice(sorted(self.in_flight))
        if draw < 0.965:
            return RequestCancelled(request)
        if draw < 0.975:
            server, sent_at = self.in_flight[(request, attempt)]
            return FirstByte(request, attempt, server, self.now - sent_at)
        if draw < 0.99:
            return HealthCheckResult(self.in_flight[(request, attempt)][0], AttemptResult.OK, 3.0, (rng.random(), 4.0))
        return SettingsChanged(self.settings._replace(max_retry_after=rng.choice((100.0, 800.0))))

    def _draw_request(self) -> Request:
        rng = self.rng
        class_index = rng.choice((0, 0, 0, 0, 1, 2))
        key = rng.choice((0, *range(1, 12), rng.randrange(1, 1 << 40)))
        self.version += 1
        return Request(
            self.version,
            class_index,
            rng.uniform(200.0, 2000.0),
            key=key,
            cost_hint=rng.choice((0.0, 20.0, 60.0)),
            single_use=rng.random() < 0.05,
            is_write=class_index != 0,
            queue_time=rng.choice((0.0, 0.0, 40.0)),
        )

    def _draw_outcome(self) -> Outcome:
        rng = self.rng
        (request, attempt), (server, sent_at) = rng.choice(sorted(self.in_flight.items()))
        del self.in_flight[(request, attempt)]
        result = rng.choices(list(AttemptResult), (60, 4, 6, 5, 5, 5, 2, 2, 8))[0]
        cache_status = (
            rng.choice((CacheStatus.NONE, CacheStatus.HIT, CacheStatus.HIT, CacheStatus.MISS))
            if result == AttemptResult.OK
            else CacheStatus.NONE
        )
        report = (rng.random(), rng.uniform(0.0, 9.0)) if rng.random() < 0.2 else ()
        return Outcome(
            request, attempt, server, result, self.now - sent_at, result == AttemptResult.OK, cache_status, report
        )

    def _draw_endpoint_list(self) -> EndpointList:
        rng = self.rng
        if rng.random() < 0.25:
            return EndpointList(EndpointListKind.FAILED, 0, ())
        number = rng.choice([server for server in self.endpoints if server != ORIGIN])
        state = rng.choice((ServerState.READY, ServerState.READY, ServerState.DRAINING, ServerState.GONE))
        started = self.now if rng.random() < 0.4 else self.endpoints[number].started
        endpoint = self.endpoints[number] = Endpoint(
            number, zone=self.endpoints[number].zone, state=state, started=started
        )
        self.version += 1
        if rng.random() < 0.3:
            return EndpointList(EndpointListKind.FULL, self.version, tuple(self.endpoints.values()))
        return EndpointList(EndpointListKind.DELTA, self.version, (endpoint,))


def to_json_value(value: Any) -> Any:
    """Convert a value to JSON types: a named tuple becomes a list of its recorded type name and its fields."""
    if isinstance(value, SettingsChanged):
        return [RECORDED_NAMES["SettingsChanged"], value.settings.max_retry_after]
    if isinstance(value, tuple) and hasattr(value, "_fields"):
        name = type(value).__name__
        return [RECORDED_NAMES.get(name, name), *map(to_json_value, value)]
    if isinstance(value, IntEnum):
        return int(value)
    return [to_json_value(item) for item in value] if isinstance(value, tuple | list) else value


def parse_event(raw: list[Any], settings: Settings) -> Event:
    """Convert an event from its recorded form."""
    recorded, *fields = raw
    name = CURRENT_NAMES.get(recorded, recorded)
    if name == "SettingsChanged":
        return SettingsChanged(settings._replace(max_retry_after=fields[0]))
    if name == "EndpointList":
        kind, version, raw_endpoints = fields
        endpoints = [Endpoint(*raw_endpoint[1:]) for raw_endpoint in raw_endpoints]
        typed = tuple(endpoint._replace(state=ServerState(endpoint.state)) for endpoint in endpoints)
        return EndpointList(EndpointListKind(kind), version, typed)
    event: Any = getattr(events, name)(*fields)
    if isinstance(event, Outcome):
        return event._replace(
            result=AttemptResult(event.result),
            cache_status=CacheStatus(event.cache_status),
            load_report=tuple(event.load_report),
        )
    if isinstance(event, HealthCheckResult):
        return event._replace(result=AttemptResult(event.result), load_report=tuple(event.load_report))
    return event  # type: ignore[no-any-return]


def path_of(name: str, seed: int) -> Path:
    """Return the path of the file of a recorded stream."""
    return DATA / f"stream-{name.replace(', ', '-').replace(' ', '-')}-{seed}.json"


def main() -> None:
    """Record all streams."""
    DATA.mkdir(exist_ok=True)
    for name in SETTINGS:
        for seed in SEEDS:
            lines = [
                json.dumps(to_json_value(tuple(step)), separators=(",", ":"))
                for step in StreamGenerator(name, seed).generate()
            ]
            path_of(name, seed).write_text("\n".join(lines) + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()
