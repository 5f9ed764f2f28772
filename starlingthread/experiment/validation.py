"""Validation of scenarios beyond what their types can express."""

from __future__ import annotations

from typing import NamedTuple

import tomli_w

from ..options import OptionsError
from ..options import parse as parse_options
from .scenario import Fault, Fleet, Scenario, Traffic, link_groups

MAX_OPERATIONS = 20_000_000  # arrivals are generated in advance and kept in memory, at about 40 bytes each


class ScenarioError(Exception):
    """A scenario is invalid. The message names the file or option, the key and the expected value."""

    def __init__(self, source: str, problem: str, key: str = "") -> None:
        super().__init__(": ".join(part for part in (source, key, problem) if part))
        self.source = source
        self.key = key
        self.problem = problem


class _InvalidKeyError(Exception):
    """A key of a scenario has an invalid value."""

    def __init__(self, key: str, problem: str) -> None:
        super().__init__(f"{key}: {problem}")
        self.key = key
        self.problem = problem


class StrengthRange(NamedTuple):
    """The valid strengths of a kind of fault, and their meaning."""

    minimum: float
    maximum: float
    meaning: str


STRENGTHS: dict[str, StrengthRange] = {
    "slow": StrengthRange(1.0, 1000.0, "factor by which commands take longer"),
    "pauses": StrengthRange(1.0, 10000.0, "ms, the length of each pause"),
    "heavy-tail": StrengthRange(1.0, 1000.0, "factor by which a share of the commands takes longer"),
    "reset": StrengthRange(0.0, 1.0, "share of answers replaced by a connection reset"),
    "late-reports": StrengthRange(0.0, 60000.0, "ms by which load reports are delayed"),
    "spoilt": StrengthRange(0.0, 1.0, "share of answers that are corrupted"),
    "half-answers": StrengthRange(0.0, 1.0, "share of answers that are truncated"),
    "garbage-clients": StrengthRange(0.0, 500.0, "connections a second"),
    "half-commands": StrengthRange(0.0, 500.0, "connections a second"),
    "leaving-clients": StrengthRange(0.0, 1.0, "share of requests whose client disconnects before the answer"),
    "lost-datagrams": StrengthRange(0.0, 1.0, "share of datagrams that are lost"),
    "origin-jam": StrengthRange(1.0, 1000.0, "factor by which requests to the origin take longer"),
    "surge": StrengthRange(0.0, 100.0, "factor by which the rate is multiplied"),
    "link-slow": StrengthRange(0.0, 60000.0, "ms of added delay in each direction"),
    "link-lossy": StrengthRange(0.0, 1.0, "share of data segments that are lost and retransmitted"),
    "link-broken": StrengthRange(0.0, 1.0, "share of answers during which the connection closes"),
    "discovery-slow": StrengthRange(0.0, 60000.0, "ms by which a call takes longer"),
    "idle-clients": StrengthRange(1.0, 4000.0, "connections to each router"),
    "greedy-clients": StrengthRange(0.0, 500.0, "connections a second"),
    "slow-reads": StrengthRange(0.0, 1e9, "bytes a second that a server reads of each connection, 0 for no limit"),
    "replace": StrengthRange(0.0, 60000.0, "ms until the new server answers at the same address"),
}


def validate(scenario: Scenario, source: str) -> Scenario:
    """Return the scenario if it is valid. Raise a ScenarioError that names source, key and expected value."""
    try:
        _check_classes(scenario.traffic)
        _check_zones(scenario)
        _check_options(scenario, source)
        _check_fleet(scenario.fleet)
        for number, fault in enumerate(scenario.faults):
            _check_fault(scenario, fault, f"faults[{number}]")
        _check_operations(scenario)
    except _InvalidKeyError as error:
        raise ScenarioError(source, error.problem, error.key) from None
    return scenario


def _check_classes(traffic: Traffic) -> None:
    if not traffic.classes or sum(spec.share for spec in traffic.classes) <= 0:
        raise _InvalidKeyError("traffic.classes", "expected at least one class with a share above 0")
    names = [spec.name for spec in traffic.classes]
    if len(set(names)) < len(names):
        raise _InvalidKeyError("traffic.classes", f"expected distinct names, found {names}")
    for number, spec in enumerate(traffic.classes):
        key = f"traffic.classes[{number}]"
        if spec.effect != "repeatable" and not spec.write:
            problem = f"expected true, as effect is {spec.effect!r}: only writes have an effect other than repeatable"
            raise _InvalidKeyError(f"{key}.write", problem)
        if spec.latency_objective_ms > spec.deadline_ms:
            raise _InvalidKeyError(f"{key}.aim_ms", f"expected at most deadline_ms {spec.deadline_ms:g}")


def _check_zones(scenario: Scenario) -> None:
    fleet = scenario.fleet
    if fleet.regions and len(fleet.regions) != len(fleet.zones):
        problem = f"expected the region of each of the {len(fleet.zones)} zones, in their order"
        raise _InvalidKeyError("fleet.regions", problem)
    if link_groups(scenario) % len(fleet.zones):
        raise _InvalidKeyError(
            "routers.link_groups",
            f"expected a multiple of the {len(fleet.zones)} zones, so that the routers of a group are of one zone",
        )


def _check_options(scenario: Scenario, source: str) -> None:
    try:
        parse_options(tomli_w.dumps(scenario.routers.options), "routers.options")
    except OptionsError as error:
        raise ScenarioError(source, str(error)) from None


def _check_fleet(fleet: Fleet) -> None:
    if fleet.cold_servers > fleet.servers:
        raise _InvalidKeyError("fleet.cold_servers", f"expected at most fleet.servers {fleet.servers}")


def _check_fault(scenario: Scenario, fault: Fault, key: str) -> None:
    if fault.start_s >= scenario.length_s:
        raise _InvalidKeyError(f"{key}.start_s", f"expected less than length_s {scenario.length_s:g}")
    _check_strength(fault, key)
    _check_numbers(f"{key}.servers", fault.servers, scenario.fleet.servers)
    _check_numbers(f"{key}.routers", fault.routers, scenario.routers.count)
    zones = scenario.fleet.zones
    for name, zone in (("zone", fault.zone), ("from_zone", fault.from_zone)):
        is_required = name == "zone" and fault.kind == "zone-dark"
        if zone not in zones and (zone or is_required):
            raise _InvalidKeyError(f"{key}.{name}", f"expected one of {', '.join(zones)}, found {zone!r}")
    _check_numbers(f"{key}.groups", fault.groups, link_groups(scenario))


def _check_strength(fault: Fault, key: str) -> None:
    if fault.kind in STRENGTHS:
        minimum, maximum, meaning = STRENGTHS[fault.kind]
        if not minimum <= fault.strength <= maximum:
            problem = f"expected {minimum:g} to {maximum:g} ({meaning}), found {fault.strength:g}"
            raise _InvalidKeyError(f"{key}.strength", problem)
    elif fault.strength:
        raise _InvalidKeyError(f"{key}.strength", f"expected no strength: {fault.kind!r} has none")


def _check_numbers(key: str, numbers: tuple[int, ...], count: int) -> None:
    if any(not 0 <= number < count for number in numbers):
        raise _InvalidKeyError(key, f"expected numbers from 0 to {count - 1}")


def _check_operations(scenario: Scenario) -> None:
    surges = [fault.strength for fault in scenario.faults if fault.kind == "surge"]
    operations = scenario.traffic.rate * scenario.length_s * max([1.0, *surges])
    if operations > MAX_OPERATIONS:
        raise _InvalidKeyError(
            "traffic.rate",
            f"expected at most {MAX_OPERATIONS} requests in total, found "
            f"{operations:.0f}; lower traffic.rate or length_s",
        )
