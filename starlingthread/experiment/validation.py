"""Checks of a scenario that its types can't express."""

from __future__ import annotations

from typing import NamedTuple

import tomli_w

from ..options import OptionsError
from ..options import parse as parse_options
from .scenario import Fault, Fleet, Scenario, Traffic, link_groups

MAX_OPERATIONS = 20_000_000  # arrivals are drawn in advance and kept in memory: about 40 bytes each


class ScenarioError(Exception):
    """A scenario is invalid; the text names the file or option, the key and what was expected."""

    def __init__(self, source: str, problem: str, key: str = "") -> None:
        super().__init__(": ".join(part for part in (source, key, problem) if part))
        self.source = source
        self.key = key
        self.problem = problem


class _InvalidKeyError(Exception):
    """A key of a scenario has a value that makes no sense."""

    def __init__(self, key: str, problem: str) -> None:
        super().__init__(f"{key}: {problem}")
        self.key = key
        self.problem = problem


class StrengthRange(NamedTuple):
    """The strengths that a kind of fault can have."""

    minimum: float
    maximum: float
    meaning: str


STRENGTHS: dict[str, StrengthRange] = {
    "slow": StrengthRange(1.0, 1000.0, "how many times slower"),
    "pauses": StrengthRange(1.0, 10000.0, "ms of each pause"),
    "heavy-tail": StrengthRange(1.0, 1000.0, "how many times longer a share of the commands takes"),
    "reset": StrengthRange(0.0, 1.0, "share of answers that become a reset"),
    "late-reports": StrengthRange(0.0, 60000.0, "ms by which load reports are older"),
    "spoilt": StrengthRange(0.0, 1.0, "share of answers that are spoilt"),
    "half-answers": StrengthRange(0.0, 1.0, "share of answers that stop in the middle"),
    "garbage-clients": StrengthRange(0.0, 500.0, "connections a second"),
    "half-commands": StrengthRange(0.0, 500.0, "connections a second"),
    "leaving-clients": StrengthRange(0.0, 1.0, "share of requests whose client leaves"),
    "lost-datagrams": StrengthRange(0.0, 1.0, "share that is lost"),
    "origin-jam": StrengthRange(1.0, 1000.0, "how many times less the origin takes"),
    "surge": StrengthRange(0.0, 100.0, "rate as a multiple"),
    "link-slow": StrengthRange(0.0, 60000.0, "ms more, each way"),
    "link-lossy": StrengthRange(0.0, 1.0, "share of what is sent that is lost at first"),
    "link-broken": StrengthRange(0.0, 1.0, "share of answers in which the connection ends"),
    "discovery-slow": StrengthRange(0.0, 60000.0, "ms that a call takes more"),
    "idle-clients": StrengthRange(1.0, 4000.0, "connections to each router"),
    "replace": StrengthRange(0.0, 60000.0, "ms until the new server answers at the same address"),
}


def validate(scenario: Scenario, source: str) -> Scenario:
    """Return a scenario that is valid. Raise a ScenarioError that names the source, the key and what was expected."""
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
        raise _InvalidKeyError("traffic.classes", f"expected different names, found {names}")
    for number, spec in enumerate(traffic.classes):
        key = f"traffic.classes[{number}]"
        if spec.effect != "repeatable" and not spec.write:
            problem = f"expected true, as effect is {spec.effect!r}: only writes have one"
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
        raise _InvalidKeyError(f"{key}.strength", f"expected none: {fault.kind!r} has no strength")


def _check_numbers(key: str, numbers: tuple[int, ...], count: int) -> None:
    if any(not 0 <= number < count for number in numbers):
        raise _InvalidKeyError(key, f"expected numbers from 0 to {count - 1}")


def _check_operations(scenario: Scenario) -> None:
    surges = [fault.strength for fault in scenario.faults if fault.kind == "surge"]
    operations = scenario.traffic.rate * scenario.length_s * max([1.0, *surges])
    if operations > MAX_OPERATIONS:
        raise _InvalidKeyError(
            "traffic.rate",
            f"expected at most {MAX_OPERATIONS} requests in all, this asks for "
            f"{operations:.0f}; lower traffic.rate or length_s",
        )
