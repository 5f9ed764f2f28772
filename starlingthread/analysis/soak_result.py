"""The outcome of each run of the soak test, as stored in its summary file."""

from __future__ import annotations

from pathlib import Path

import msgspec

from ..experiment.scenario import Scenario
from ..experiment.soak import restarted_routers
from .growth import Growth, measure_growth
from .results import Results

MAX_VIOLATIONS = 10  # violations of one run that are stored


class SoakResult(msgspec.Struct):
    """The outcome of the run of one seed."""

    seed: int
    length_s: float
    faults: list[str]
    goodput_share: float = 0.0
    requests: int = 0
    broken: dict[str, int] = {}  # number of violations by rule
    void: list[str] = []  # reasons why the run is inconclusive
    findings: list[str] = []  # violations with their times, and growth of resource usage
    growth: list[Growth] = []
    peak_memory_mb: float = 0.0
    peak_descriptors: int = 0

    @classmethod
    def from_testbed_error(cls, scenario: Scenario, length_s: float, reason: str) -> SoakResult:
        """Return the outcome of a seed whose run failed because of the testbed."""
        return cls(scenario.seed, length_s, _fault_labels(scenario), void=[reason], findings=[f"VOID: {reason}"])

    @property
    def is_void(self) -> bool:
        """Whether the run is inconclusive."""
        return bool(self.void) and not self.broken

    @property
    def passed(self) -> bool:
        """Whether the run is valid, no rule was violated and no router's resource usage grew."""
        return not self.void and not self.findings

    @property
    def verdict(self) -> str:
        """A short text with the verdict."""
        if self.broken:
            return ", ".join(f"{rule} {count}" for rule, count in self.broken.items())
        if self.void:
            return "void"
        return "passed" if self.passed else "growth"

    @property
    def replay_command(self) -> str:
        """The command that runs this seed again."""
        return f"starlingthread soak --first-seed {self.seed} --seeds 1 --length {self.length_s:g} --logs soak-logs"

    def summary(self) -> str:
        """Return a summary of this seed in one line."""
        return f"seed {self.seed}, {self.verdict}, goodput {self.goodput_share:.3f}, {', '.join(self.faults)}"


def _fault_labels(scenario: Scenario) -> list[str]:
    return [fault.label() for fault in scenario.faults]


def summarize(results: Results, length_s: float) -> SoakResult:
    """Return the outcome of a run from its results."""
    growth = measure_growth(results, restarted_routers(results.scenario))
    verdict = results.verdict
    findings = [f"VOID: {reason}" for reason in verdict.void]
    findings += [
        f"{v.rule} at {v.at_s} s, router {v.router}, request {v.request or '-'}: {v.text}"
        for v in verdict.violations[:MAX_VIOLATIONS]
    ]
    findings += [f"growth of {g.router}: {g.memory_mb} MB, {g.descriptors} descriptors" for g in growth if g.is_finding]
    return SoakResult(
        seed=results.scenario.seed,
        length_s=length_s,
        goodput_share=results.goodput_share,
        requests=results.requests,
        faults=_fault_labels(results.scenario),
        broken=verdict.counts,
        void=verdict.void,
        findings=findings,
        growth=growth,
        peak_memory_mb=max((router.peak_memory_mb for router in results.routers), default=0.0),
        peak_descriptors=max((router.peak_descriptors for router in results.routers), default=0),
    )


def write(outcomes: list[SoakResult], path: Path) -> None:
    """Write the outcomes as JSON."""
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(msgspec.json.format(msgspec.json.encode(outcomes), indent=1))
