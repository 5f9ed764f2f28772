"""Aggregates the ledger of a run into its results."""

from __future__ import annotations

import itertools
import platform
from collections import Counter, defaultdict
from operator import attrgetter
from typing import NamedTuple

import numpy as np

from .. import __version__
from ..experiment.records import EXECUTED, NO_CONNECTION, FaultRecord, Ledger, Operation, RouterSample
from ..experiment.scenario import RequestClass, Scenario
from .evenness import measure
from .latency import percentile_curve, percentiles_of
from .results import ClassResult, Results, RouterResult, SecondResult, TimeSeries
from .verdict import Verdict

SAMPLES_BEFORE_START_MS = 300.0  # router samples count from this long before the run's start
SAMPLES_AFTER_END_MS = 500.0  # router samples count until this long after the last operation was due
MIN_SAMPLE_SPAN_S = 1e-3


def reduce(scenario: Scenario, ledger: Ledger, facts: dict[str, float], verdict: Verdict) -> Results:
    """Aggregate a run into its results. Operations due in the warm-up do not count for goodput and percentiles."""
    counted_from = ledger.started_at + scenario.traffic.warmup_s * 1000.0
    operations = [operation for operation in ledger.operations if operation.due_at >= counted_from]
    specs = scenario.traffic.classes
    classes = [_class_result(number, spec, operations) for number, spec in enumerate(specs)]
    weights = [spec.priority_weight * result.offered for spec, result in zip(specs, classes, strict=True)]
    offered = sum(weights)
    earned = sum(weight * result.goodput_share for weight, result in zip(weights, classes, strict=True))
    routers = _router_usages(scenario, ledger)
    values_read = sum(1 for attempt in ledger.attempts if attempt.outcome == "value")
    executions = sum(1 for delivery in ledger.deliveries if delivery.disposition == EXECUTED)
    return Results(
        version=__version__,
        python=platform.python_version(),
        scenario=scenario,
        goodput_share=round(earned / offered, 5) if offered else 0.0,
        requests=len(ledger.operations),
        requests_per_s=round(len(ledger.operations) / scenario.length_s, 2),
        attempts_per_request=round(len(ledger.deliveries) / max(1, len(ledger.operations)), 4),
        hit_share=round(1.0 - facts.get("origin.fetches", 0.0) / values_read, 4) if values_read else 0.0,
        classes=classes,
        routers=[usage.result for usage in routers],
        seconds=_seconds(scenario, ledger),
        faults=_faults(ledger),
        server_load=_server_series(ledger, "utilization"),
        server_commands=_server_series(ledger, "commands"),
        server_connections=_server_series(ledger, "connections"),
        router_cpu=[usage.cpu for usage in routers],
        router_memory=[usage.memory for usage in routers],
        router_descriptors=[usage.descriptors for usage in routers],
        facts={**facts, "servers.runs": executions, "servers.deliveries": len(ledger.deliveries)},
        lags=ledger.lags,
        bad_client_outcomes=ledger.bad_client_outcomes,
        verdict=verdict,
        evenness=measure(scenario, ledger),
    )


# operations


def _goodput(operation: Operation, spec: RequestClass) -> float:
    """Return the priority weight that an operation earned: all within its latency objective, a share when late."""
    if operation.result != "served":
        return 0.0
    latency = operation.done_at - operation.due_at
    if latency <= spec.latency_objective_ms:
        return spec.priority_weight
    if latency <= spec.deadline_ms:
        return spec.priority_weight * spec.late_weight_share
    return 0.0


def _latencies(operations: list[Operation]) -> list[float]:
    """Return the latencies (ms) of the operations that were served."""
    return [operation.done_at - operation.due_at for operation in operations if operation.result == "served"]


def _class_result(class_index: int, spec: RequestClass, all_operations: list[Operation]) -> ClassResult:
    operations = [operation for operation in all_operations if operation.class_index == class_index]
    not_abandoned = [operation for operation in operations if operation.result != "left"]
    latencies = _latencies(not_abandoned)
    in_time = sum(latency <= spec.latency_objective_ms for latency in latencies)
    offered = len(not_abandoned) * spec.priority_weight
    earned = sum(_goodput(operation, spec) for operation in not_abandoned)
    return ClassResult(
        name=spec.name,
        offered=len(not_abandoned),
        in_time=in_time,
        late=len(latencies) - in_time,
        rejected=sum(operation.result == "refused" for operation in not_abandoned),
        failed=sum(operation.result == "failed" for operation in not_abandoned),
        abandoned=len(operations) - len(not_abandoned),
        attempts=sum(operation.attempts for operation in operations),
        goodput_share=round(earned / offered, 5) if offered else 0.0,
        percentiles=percentiles_of(latencies),
        curve=percentile_curve(latencies),
    )


def _seconds(scenario: Scenario, ledger: Ledger) -> list[SecondResult]:
    by_second: dict[int, list[Operation]] = defaultdict(list)
    for operation in ledger.operations:
        if operation.result != "left":
            by_second[int((operation.due_at - ledger.started_at) // 1000.0)].append(operation)
    return [_second_result(at, by_second[at], scenario.traffic.classes) for at in sorted(by_second)]


def _second_result(at: int, operations: list[Operation], specs: tuple[RequestClass, ...]) -> SecondResult:
    latencies = _latencies(operations)
    return SecondResult(
        at=at,
        offered=round(sum(specs[operation.class_index].priority_weight for operation in operations), 3),
        served=round(sum(_goodput(operation, specs[operation.class_index]) for operation in operations), 3),
        requests=len(operations),
        rejected=sum(operation.result == "refused" for operation in operations),
        failed=sum(operation.result == "failed" for operation in operations),
        p99_ms=round(float(np.percentile(latencies, 99)), 2) if latencies else 0.0,
    )


# routers, servers, faults


class _RouterUsage(NamedTuple):
    """Resource usage of one router: the summary and the time series."""

    result: RouterResult
    cpu: TimeSeries
    memory: TimeSeries
    descriptors: TimeSeries


def _router_usages(scenario: Scenario, ledger: Ledger) -> list[_RouterUsage]:
    attempts = Counter(attempt.router for attempt in ledger.attempts)
    received = Counter(attempt.router for attempt in ledger.attempts if attempt.outcome != NO_CONNECTION)
    last_due = max((operation.due_at for operation in ledger.operations), default=ledger.ended_at)
    samples: dict[int, list[RouterSample]] = defaultdict(list)
    for sample in ledger.router_samples:
        if ledger.started_at - SAMPLES_BEFORE_START_MS <= sample.at <= last_due + SAMPLES_AFTER_END_MS:
            samples[sample.router].append(sample)
    return [
        _router_usage(f"r{number}", attempts[number], received[number], samples[number], ledger.started_at)
        for number in range(scenario.routers.count)
    ]


def _router_usage(
    name: str, attempts: int, received: int, samples: list[RouterSample], started_at: float
) -> _RouterUsage:
    times = [_seconds_since(started_at, sample.at) for sample in samples]
    cpu = TimeSeries(name, [], [])
    cpu_s = 0.0
    observed_s = 0.0
    for earlier, later in itertools.pairwise(samples):
        if later.cpu_s < earlier.cpu_s:  # the router restarted between the samples
            continue
        used_s = later.cpu_s - earlier.cpu_s
        span_s = (later.at - earlier.at) / 1000.0
        cpu_s += used_s
        observed_s += span_s
        cpu.at.append(_seconds_since(started_at, later.at))
        cpu.values.append(round(used_s / max(MIN_SAMPLE_SPAN_S, span_s), 4))
    result = RouterResult(
        name=name,
        requests=attempts,
        cpu_us_per_request=round(cpu_s * 1e6 / max(1, received), 1),
        cpu_share=round(cpu_s / observed_s, 4) if observed_s else 0.0,
        peak_memory_mb=round(max((sample.memory_mb for sample in samples), default=0.0), 2),
        peak_descriptors=max((sample.descriptors for sample in samples), default=0),
        received=received,
    )
    memory = TimeSeries(name, times, [round(sample.memory_mb, 2) for sample in samples])
    descriptors = TimeSeries(name, times, [float(sample.descriptors) for sample in samples])
    return _RouterUsage(result, cpu, memory, descriptors)


def _server_series(ledger: Ledger, field: str) -> list[TimeSeries]:
    """Return one field of the server samples as a time series of each server."""
    value_of = attrgetter(field)
    series: dict[int, TimeSeries] = {}
    for sample in ledger.server_samples:
        server_series = series.setdefault(sample.server, TimeSeries(f"server {sample.server}", [], []))
        server_series.at.append(_seconds_since(ledger.started_at, sample.at))
        server_series.values.append(float(value_of(sample)))
    return [series[server] for server in sorted(series)]


def _faults(ledger: Ledger) -> list[FaultRecord]:
    """Return the faults ordered by start time, with times in s since the run's start."""
    return [
        FaultRecord(
            fault.label,
            fault.kind,
            round((fault.began_at - ledger.started_at) / 1000.0, 3),
            round((fault.ended_at - ledger.started_at) / 1000.0, 3),
            fault.target,
        )
        for fault in sorted(ledger.faults, key=lambda fault: fault.began_at)
    ]


def _seconds_since(started_at: float, at: float) -> float:
    return round((at - started_at) / 1000.0, 2)
