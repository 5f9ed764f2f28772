"""Results of a run and their file (JSON, format 2): goodput, latencies, time series and resource usage of routers.

Attributes are named like the keys of the file, except where ``rename`` maps them to the keys of older versions.
"""

from __future__ import annotations

from pathlib import Path

import msgspec

from ..experiment.records import FaultRecord
from ..experiment.scenario import Scenario
from .evenness import Evenness
from .verdict import Verdict

FORMAT = 2


class ResultError(Exception):
    """A results file can't be read. The message names the file and the reason."""


class ClassResult(
    msgspec.Struct,
    rename={"rejected": "refused", "abandoned": "left", "attempts": "tries", "goodput_share": "worth_share"},
):
    """Operations of one class; retries do not count again. Latencies are in ms from the scheduled send time."""

    name: str
    offered: int
    in_time: int  # operations served within the latency objective
    late: int  # operations served after the latency objective
    rejected: int
    failed: int
    abandoned: int  # operations whose client disconnected before the answer; they are not part of ``offered``
    attempts: int
    goodput_share: float  # earned share of the offered priority weight
    percentiles: dict[str, float]  # latencies of the served operations
    curve: list[tuple[float, float]]  # (percentile, ms)


class RouterResult(
    msgspec.Struct,
    rename={"peak_memory_mb": "memory_mb_most", "peak_descriptors": "descriptors_most"},
):
    """Resource usage of one router between the first and the last request."""

    name: str
    requests: int  # attempts of clients, including those that got no connection
    cpu_us_per_request: float
    cpu_share: float
    peak_memory_mb: float
    peak_descriptors: int
    received: int = 0  # attempts that were sent on a connection; 0 in results of older versions


class SecondResult(msgspec.Struct, rename={"rejected": "refused"}):
    """One second of a run."""

    at: int
    offered: float  # priority weight
    served: float  # priority weight earned
    requests: int
    rejected: int
    failed: int
    p99_ms: float


class TimeSeries(msgspec.Struct):
    """Values with their times in seconds since the run's start."""

    name: str
    at: list[float]
    values: list[float]


class Results(
    msgspec.Struct,
    kw_only=True,
    rename={"goodput_share": "worth_share", "bad_client_outcomes": "garbage"},
):
    """The results of one run. ``write`` stores them in a file, ``read`` loads them."""

    format: int = FORMAT
    version: str
    python: str
    scenario: Scenario
    goodput_share: float
    requests: int
    requests_per_s: float
    attempts_per_request: float
    hit_share: float
    classes: list[ClassResult]
    routers: list[RouterResult]
    seconds: list[SecondResult]
    faults: list[FaultRecord]  # faults with their times in s since the run's start
    server_load: list[TimeSeries]
    server_commands: list[TimeSeries]
    server_connections: list[TimeSeries]
    router_cpu: list[TimeSeries]
    router_memory: list[TimeSeries]
    router_descriptors: list[TimeSeries]
    facts: dict[str, float]
    lags: dict[str, float]  # longest stall of each process of the testbed, ms
    bad_client_outcomes: dict[str, int]
    verdict: Verdict
    evenness: Evenness | None = None  # None if the run was too short to measure it

    @property
    def passed(self) -> bool:
        """Whether the run is valid and no rule was violated."""
        return self.verdict.is_clean


def write(results: Results, path: Path) -> None:
    """Write results as JSON."""
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(msgspec.json.format(msgspec.json.encode(results), indent=1))


def read(path: str | Path) -> Results:
    """Read results from a file. Raise a ResultError if it can't be read."""
    try:
        results = msgspec.json.decode(Path(path).read_bytes(), type=Results)
    except OSError as error:
        raise ResultError(f"{path}: {error.strerror}") from None
    except (msgspec.ValidationError, msgspec.DecodeError) as error:
        raise ResultError(f"{path}: contains no results of a run: {error}") from None
    if results.format != FORMAT:
        raise ResultError(f"{path}: results have format {results.format}, this version reads format {FORMAT}")
    return results
