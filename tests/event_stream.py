"""Random streams of events for the decision module, recorded with the resulting actions, and replayed.

``python -m tests.event_stream`` records the streams of the present module again; do so only if its decisions are meant
to change. A stream has settings by name, and for each step the time, the event and the actions.
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

from .world import ASIDE, ORIGIN, THROUGH, members

DATA = Path(__file__).with_name("data")
# The streams were written down before the types got these names, and are not written anew for a name.
RECORDED_NAMES = {
    "Endpoint": "Member",
    "EndpointList": "MemberList",
    "HealthCheckResult": "ProbeResult",
    "Reject": "Refuse",
    "RequestCancelled": "Withdrawn",
    "SettingsChanged": "Retuned",
    "WatchEndpoints": "Watch",
}
PRESENT_NAMES = {recorded: present for present, recorded in RECORDED_NAMES.items()}
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
    """One event, and what was done about it; the first has no event: the module starts."""

    now: float
    event: Event | None
    actions: list[Any]


class Drawn:
    """Draws events that fit what the module did so far."""

    def __init__(self, name: str, seed: int) -> None:
        self.settings, self.rng, self.now = SETTINGS[name], Random(seed), 1000.0
        self.balancer = Balancer(self.settings, seed)
        self.lines = {m.server: m for m in members(6, zones=2) if self.settings.mode == "aside" or m.server != ORIGIN}
        self.out: dict[tuple[int, int], tuple[int, float]] = {}  # attempts: server, and when it was sent
        self.sent: dict[int, int] = {}
        self.timers: list[SetTimer] = []
        self.left_out: set[int] = set()
        self.version = 1

    def steps(self) -> list[Step]:
        """Return the whole stream."""
        found = [self._step(None, self.balancer.start(self.now))]
        found.append(self._do(EndpointList(EndpointListKind.FULL, 1, tuple(self.lines.values()))))
        while len(found) < STEPS:
            self.now += self.rng.expovariate(1 / 12.0)
            due = [t for t in self.timers if t.at <= self.now]
            if due:
                first = min(due, key=lambda t: t.at)
                self.timers.remove(first)
                self.now = max(found[-1].now, first.at)
                found.append(self._do(Timer(first.label)))
            else:
                found.append(self._do(self._event()))
        return found

    def _do(self, event: Event) -> Step:
        return self._step(event, self.balancer.handle(self.now, event))

    def _step(self, event: Event | None, actions: list[Action]) -> Step:
        for action in actions:
            if isinstance(action, Send):
                number = self.sent[action.id] = self.sent.get(action.id, -1) + 1
                self.out[(action.id, number)] = (action.server, self.now)
            elif isinstance(action, SetTimer):
                self.timers.append(action)
            elif isinstance(action, Reject | Fail):
                self.sent.setdefault(action.id, -1)
        return Step(self.now, event, list(actions))

    def _event(self) -> Event:
        draw, rng = self.rng.random(), self.rng
        if draw < 0.45 or not self.out:
            cls = rng.choice((0, 0, 0, 0, 1, 2))
            key = rng.choice((0, *range(1, 12), rng.randrange(1, 1 << 40)))
            self.version += 1
            return Request(
                self.version,
                cls,
                rng.uniform(200.0, 2000.0),
                key=key,
                cost_hint=rng.choice((0.0, 20.0, 60.0)),
                single_use=rng.random() < 0.05,
                is_write=cls != 0,
                queue_time=rng.choice((0.0, 0.0, 40.0)),
            )
        if draw < 0.9:
            return self._outcome()
        if draw < 0.93:
            return self._list()
        if draw < 0.945:
            server = rng.choice(sorted(self.lines))
            self.left_out ^= {server}
            return Maintenance(server, server in self.left_out)
        request, attempt = rng.choice(sorted(self.out))
        if draw < 0.965:
            return RequestCancelled(request)
        if draw < 0.975:
            server, sent_at = self.out[(request, attempt)]
            return FirstByte(request, attempt, server, self.now - sent_at)
        if draw < 0.99:
            return HealthCheckResult(self.out[(request, attempt)][0], AttemptResult.OK, 3.0, (rng.random(), 4.0))
        return SettingsChanged(self.settings._replace(max_retry_after=rng.choice((100.0, 800.0))))

    def _outcome(self) -> Outcome:
        rng = self.rng
        (request, attempt), (server, at) = rng.choice(sorted(self.out.items()))
        del self.out[(request, attempt)]
        result = rng.choices(list(AttemptResult), (60, 4, 6, 5, 5, 5, 2, 2, 8))[0]
        note = (
            rng.choice((CacheStatus.NONE, CacheStatus.HIT, CacheStatus.HIT, CacheStatus.MISS))
            if result == AttemptResult.OK
            else CacheStatus.NONE
        )
        report = (rng.random(), rng.uniform(0.0, 9.0)) if rng.random() < 0.2 else ()
        return Outcome(request, attempt, server, result, self.now - at, result == AttemptResult.OK, note, report)

    def _list(self) -> EndpointList:
        rng = self.rng
        if rng.random() < 0.25:
            return EndpointList(EndpointListKind.FAILED, 0, ())
        number = rng.choice([n for n in self.lines if n != ORIGIN])
        state = rng.choice((ServerState.READY, ServerState.READY, ServerState.DRAINING, ServerState.GONE))
        started = self.now if rng.random() < 0.4 else self.lines[number].started
        line = self.lines[number] = Endpoint(number, zone=self.lines[number].zone, state=state, started=started)
        self.version += 1
        if rng.random() < 0.3:
            return EndpointList(EndpointListKind.FULL, self.version, tuple(self.lines.values()))
        return EndpointList(EndpointListKind.DELTA, self.version, (line,))


def written(value: Any) -> Any:
    """Return a value as JSON can hold it: a named tuple by its type and fields."""
    if isinstance(value, SettingsChanged):
        return [RECORDED_NAMES["SettingsChanged"], value.settings.max_retry_after]
    if isinstance(value, tuple) and hasattr(value, "_fields"):
        name = type(value).__name__
        return [RECORDED_NAMES.get(name, name), *map(written, value)]
    if isinstance(value, IntEnum):
        return int(value)
    return [written(item) for item in value] if isinstance(value, tuple | list) else value


def event_of(raw: list[Any], settings: Settings) -> Event:
    """Return the event that was written down."""
    recorded, *fields = raw
    name = PRESENT_NAMES.get(recorded, recorded)
    if name == "SettingsChanged":
        return SettingsChanged(settings._replace(max_retry_after=fields[0]))
    if name == "EndpointList":
        kind, version, lines = fields
        return EndpointList(
            EndpointListKind(kind),
            version,
            tuple(Endpoint(*line[1:])._replace(state=ServerState(Endpoint(*line[1:]).state)) for line in lines),
        )
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
    """Return the file of a stream."""
    return DATA / f"stream-{name.replace(', ', '-').replace(' ', '-')}-{seed}.json"


def main() -> None:
    """Write all streams down."""
    DATA.mkdir(exist_ok=True)
    for name in SETTINGS:
        for seed in SEEDS:
            lines = [json.dumps(written(tuple(step)), separators=(",", ":")) for step in Drawn(name, seed).steps()]
            path_of(name, seed).write_text("\n".join(lines) + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()
