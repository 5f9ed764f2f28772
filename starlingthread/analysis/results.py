"""What a run is reduced to: worth, percentiles, time lines and what routers used; kept as JSON."""

from __future__ import annotations

import itertools
import platform
from collections import defaultdict
from pathlib import Path

import msgspec
import numpy as np
from hdrh.histogram import HdrHistogram

from .. import __version__
from ..experiment.records import RUN, FaultRecord, Ledger, Operation, RouterSample
from ..experiment.scenario import RequestClass, Scenario
from .evenness import Evenness, measure
from .verdict import Verdict

FORMAT = 2
LEAST_US, MOST_US, DIGITS = 1, 120_000_000, 3
PERCENTILES = (50.0, 75.0, 90.0, 95.0, 99.0, 99.9, 99.99, 100.0)


EVENNESS = ("busiest_1s", "busiest_10s", "least", "idle_share", "herd_index", "owners_differ", "connections")


class ResultError(Exception):
    """A file of results can't be read; the text says which and why."""


class ClassResult(msgspec.Struct):
    """One class of requests, retries counted with their first try. Latencies in ms from when it was due."""

    name: str
    offered: int
    in_time: int
    late: int
    refused: int
    failed: int
    left: int
    tries: int
    worth_share: float
    percentiles: dict[str, float]  # of what was served
    curve: list[tuple[float, float]]  # (percentile, ms)


class RouterResult(msgspec.Struct):
    """What one router used between the first and the last request."""

    name: str
    requests: int
    cpu_us_per_request: float
    cpu_share: float
    memory_mb_most: float
    descriptors_most: int


class Second(msgspec.Struct):
    """One second of a run."""

    at: int
    offered: float  # worth
    served: float
    requests: int
    refused: int
    failed: int
    p99_ms: float


class Line(msgspec.Struct):
    """A time line: seconds since the start, and a value for each."""

    name: str
    at: list[float]
    values: list[float]


class Results(msgspec.Struct, kw_only=True):
    """One run, whole. Read back with ``read``."""

    format: int = FORMAT
    version: str
    python: str
    scenario: Scenario
    worth_share: float
    requests: int
    requests_per_s: float
    attempts_per_request: float
    hit_share: float
    classes: list[ClassResult]
    routers: list[RouterResult]
    seconds: list[Second]
    faults: list[FaultRecord]  # times in s since the start
    server_load: list[Line]
    server_commands: list[Line]
    server_connections: list[Line]
    router_cpu: list[Line]
    router_memory: list[Line]
    router_descriptors: list[Line]
    facts: dict[str, float]
    lags: dict[str, float]
    garbage: dict[str, int]
    verdict: Verdict
    evenness: Evenness | None = None  # None: too short to tell

    @property
    def passed(self) -> bool:
        """Whether the run counts and no rule was broken."""
        return self.verdict.is_clean


def _earned(op: Operation, cls: RequestClass) -> float:
    if op.result != "served":
        return 0.0
    took = op.done_at - op.due_at
    return (
        cls.priority_weight
        if took <= cls.latency_objective_ms
        else cls.priority_weight * cls.late_weight_share
        if took <= cls.deadline_ms
        else 0.0
    )


def _histogram(latencies_ms: list[float]) -> HdrHistogram:
    histogram = HdrHistogram(LEAST_US, MOST_US, DIGITS)
    for value in latencies_ms:
        histogram.record_value(int(value * 1000.0) + 1)
    return histogram


def percentiles_of(latencies_ms: list[float]) -> dict[str, float]:
    """Return the percentiles of latencies, in ms, as an HDR histogram of three digits tells them."""
    if not latencies_ms:
        return {}
    histogram = _histogram(latencies_ms)
    return {f"{p:g}": round(histogram.get_value_at_percentile(p) / 1000.0, 3) for p in PERCENTILES}


def _curve(latencies_ms: list[float]) -> list[tuple[float, float]]:
    if not latencies_ms:
        return []
    histogram = _histogram(latencies_ms)
    points: list[float] = []
    share = 0.5
    while share * len(latencies_ms) >= 1.0 or not points:
        points.append(round(100.0 * (1.0 - share), 6))
        share *= 0.8
    return [(p, round(histogram.get_value_at_percentile(p) / 1000.0, 3)) for p in (0.0, 10.0, 25.0, *points)]


def _class(number: int, cls: RequestClass, operations: list[Operation]) -> ClassResult:
    mine = [op for op in operations if op.class_index == number]
    counted = [op for op in mine if op.result != "left"]
    served = [op.done_at - op.due_at for op in counted if op.result == "served"]
    in_time = sum(took <= cls.latency_objective_ms for took in served)
    offered = len(counted) * cls.priority_weight
    return ClassResult(
        cls.name,
        len(counted),
        in_time,
        len(served) - in_time,
        sum(op.result == "refused" for op in counted),
        sum(op.result == "failed" for op in counted),
        len(mine) - len(counted),
        sum(op.attempts for op in mine),
        round(sum(_earned(op, cls) for op in counted) / offered, 5) if offered else 0.0,
        percentiles_of(served),
        _curve(served),
    )


def _seconds(scenario: Scenario, ledger: Ledger) -> list[Second]:
    by_second: dict[int, list[Operation]] = defaultdict(list)
    for op in ledger.operations:
        if op.result != "left":
            by_second[int((op.due_at - ledger.started_at) // 1000.0)].append(op)
    classes, seconds = scenario.traffic.classes, []
    for at in sorted(by_second):
        ops = by_second[at]
        took = [op.done_at - op.due_at for op in ops if op.result == "served"]
        seconds.append(
            Second(
                at,
                round(sum(classes[op.class_index].priority_weight for op in ops), 3),
                round(sum(_earned(op, classes[op.class_index]) for op in ops), 3),
                len(ops),
                sum(op.result == "refused" for op in ops),
                sum(op.result == "failed" for op in ops),
                round(float(np.percentile(took, 99)), 2) if took else 0.0,
            )
        )
    return seconds


def _routers(scenario: Scenario, ledger: Ledger) -> tuple[list[RouterResult], list[Line], list[Line], list[Line]]:
    results, cpu_lines, memory_lines, descriptor_lines = [], [], [], []
    asked: dict[int, int] = defaultdict(int)
    for attempt in ledger.attempts:
        asked[attempt.router] += 1
    last_due = max((op.due_at for op in ledger.operations), default=ledger.ended_at)
    for number in range(scenario.routers.count):
        all_samples = [s for s in ledger.router_samples if s.router == number]
        samples = [s for s in all_samples if ledger.started_at - 300.0 <= s.at <= last_due + 500.0]
        used = span = 0.0
        cpu = Line(f"r{number}", [], [])
        for one, other in itertools.pairwise(samples):
            if other.cpu_s < one.cpu_s:  # it has started anew in between
                continue
            used += other.cpu_s - one.cpu_s
            span += (other.at - one.at) / 1000.0
            cpu.at.append(round((other.at - ledger.started_at) / 1000.0, 2))
            cpu.values.append(round((other.cpu_s - one.cpu_s) / max(1e-3, (other.at - one.at) / 1000.0), 4))

        def line(values: list[float], number: int = number, samples: list[RouterSample] = samples) -> Line:
            return Line(f"r{number}", [round((s.at - ledger.started_at) / 1000.0, 2) for s in samples], values)

        cpu_lines.append(cpu)
        memory_lines.append(line([round(s.memory_mb, 2) for s in samples]))
        descriptor_lines.append(line([float(s.descriptors) for s in samples]))
        results.append(
            RouterResult(
                f"r{number}",
                asked[number],
                round(used * 1e6 / max(1, asked[number]), 1),
                round(used / span, 4) if span else 0.0,
                round(max((s.memory_mb for s in samples), default=0.0), 2),
                max((s.descriptors for s in samples), default=0),
            )
        )
    return results, cpu_lines, memory_lines, descriptor_lines


def _server_lines(ledger: Ledger, name: str) -> list[Line]:
    lines: dict[int, Line] = {}
    for sample in ledger.server_samples:
        line = lines.setdefault(sample.server, Line(f"server {sample.server}", [], []))
        line.at.append(round((sample.at - ledger.started_at) / 1000.0, 2))
        line.values.append(float(getattr(sample, name)))
    return [lines[server] for server in sorted(lines)]


def reduce(scenario: Scenario, ledger: Ledger, facts: dict[str, float], verdict: Verdict) -> Results:
    """Reduce a run to its results. What was due in the warm-up does not count for worth and percentiles."""
    counted_from = ledger.started_at + scenario.traffic.warmup_s * 1000.0
    operations = [op for op in ledger.operations if op.due_at >= counted_from]
    classes = [_class(n, c, operations) for n, c in enumerate(scenario.traffic.classes)]
    offered = sum(c.priority_weight * r.offered for c, r in zip(scenario.traffic.classes, classes, strict=True))
    earned = sum(
        c.priority_weight * r.offered * r.worth_share for c, r in zip(scenario.traffic.classes, classes, strict=True)
    )
    routers, cpu, memory, descriptors = _routers(scenario, ledger)
    runs = [d for d in ledger.deliveries if d.verdict == RUN]
    reads = sum(1 for t in ledger.attempts if t.outcome == "value")
    faults = [
        FaultRecord(
            f.label,
            f.kind,
            round((f.began_at - ledger.started_at) / 1000.0, 3),
            round((f.ended_at - ledger.started_at) / 1000.0, 3),
            f.target,
        )
        for f in sorted(ledger.faults, key=lambda f: f.began_at)
    ]
    facts = {**facts, "servers.runs": len(runs), "servers.deliveries": len(ledger.deliveries)}
    return Results(
        version=__version__,
        python=platform.python_version(),
        scenario=scenario,
        worth_share=round(earned / offered, 5) if offered else 0.0,
        requests=len(ledger.operations),
        requests_per_s=round(len(ledger.operations) / scenario.length_s, 2),
        attempts_per_request=round(len(ledger.deliveries) / max(1, len(ledger.operations)), 4),
        hit_share=round(1.0 - facts.get("origin.fetches", 0.0) / reads, 4) if reads else 0.0,
        classes=classes,
        routers=routers,
        seconds=_seconds(scenario, ledger),
        faults=faults,
        server_load=_server_lines(ledger, "utilization"),
        server_commands=_server_lines(ledger, "commands"),
        server_connections=_server_lines(ledger, "connections"),
        router_cpu=cpu,
        router_memory=memory,
        router_descriptors=descriptors,
        facts=facts,
        lags=ledger.lags,
        garbage=ledger.bad_client_outcomes,
        verdict=verdict,
        evenness=measure(scenario, ledger),
    )


def write(results: Results, path: Path) -> None:
    """Write results as JSON."""
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(msgspec.json.format(msgspec.json.encode(results), indent=1))


def read(path: str | Path) -> Results:
    """Read results back. Raise a ResultError that names the file."""
    try:
        results = msgspec.json.decode(Path(path).read_bytes(), type=Results)
    except OSError as error:
        raise ResultError(f"{path}: {error.strerror}") from None
    except (msgspec.ValidationError, msgspec.DecodeError) as error:
        raise ResultError(f"{path}: no results of a run: {error}") from None
    if results.format != FORMAT:
        raise ResultError(f"{path}: results of format {results.format}, this version reads {FORMAT}")
    return results


class Change(msgspec.Struct):
    """One figure of two runs beside each other."""

    name: str
    before: float
    after: float

    @property
    def ratio(self) -> float | None:
        """After by before; None where that has no meaning."""
        return self.after / self.before if self.before else None


def compare(before: Results, after: Results) -> list[Change]:
    """Put the figures of two runs beside each other."""
    changes = [
        Change("worth share", before.worth_share, after.worth_share),
        Change("attempts a request", before.attempts_per_request, after.attempts_per_request),
        Change("hit share", before.hit_share, after.hit_share),
        Change("violations", sum(before.verdict.counts.values()), sum(after.verdict.counts.values())),
    ]
    if before.evenness is not None and after.evenness is not None:
        for name in EVENNESS:
            figures = getattr(before.evenness, name), getattr(after.evenness, name)
            changes.append(Change(name.replace("_", " "), *figures))
    others = {c.name: c for c in after.classes}
    for cls in before.classes:
        if (other := others.get(cls.name)) is None:
            continue
        changes.append(Change(f"{cls.name} worth share", cls.worth_share, other.worth_share))
        for name in ("50", "99", "99.9"):
            if name in cls.percentiles and name in other.percentiles:
                changes.append(Change(f"{cls.name} p{name} ms", cls.percentiles[name], other.percentiles[name]))
    for name, field in (
        ("CPU µs a request", "cpu_us_per_request"),
        ("memory MB, most", "memory_mb_most"),
        ("descriptors, most", "descriptors_most"),
    ):
        changes.append(
            Change(
                name,
                float(np.mean([getattr(r, field) for r in before.routers])),
                float(np.mean([getattr(r, field) for r in after.routers])),
            )
        )
    return changes
