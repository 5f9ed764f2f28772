"""Measures how evenly the servers of a run were loaded, by the arrival times of requests at each server.

A server's fair share of the load is its share of the total speed of the servers in service. A server is included while
it is in service and warm: from the end of the run's warm-up on, but not from the time it drains, crashes or is removed
until it has returned and warmed up.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from itertools import combinations
from typing import NamedTuple, TypeAlias

import msgspec
import numpy as np
from numpy.typing import NDArray

from ..experiment.randomness import server_speeds
from ..experiment.records import Delivery, Ledger
from ..experiment.scenario import Scenario

BIN_MS = 50.0  # resolution at which arrivals are counted
SHORT_WINDOW_MS = 1000.0  # window of the peak load
LONG_WINDOW_MS = 10000.0
IDLE_WINDOW_MS = 2000.0
IDLE_LOAD_SHARE = 0.25  # a server is idle if it gets less than this part of its fair share for an idle window
# Attempts of one router for one key from which on the server that it used most counts as the key's owner.
MIN_ATTEMPTS_FOR_OWNER = 3
MAX_ROUTERS_COMPARED_PER_KEY = 20
MAX_PERIOD_S = 10.0  # longer periods can't be distinguished from a drift
PERIOD_SIGNIFICANCE = 0.99  # quantile of the peak power of noise that a period must exceed
NOISE_SAMPLES = 400
NOISE_SEED = 1
MIN_VARIANCE = 1e-9

Floats: TypeAlias = NDArray[np.float64]
Flags: TypeAlias = NDArray[np.bool_]


class Evenness(msgspec.Struct, rename={"peak_connections": "connections_most"}):
    """Load ratios of the servers (load divided by fair share; 1 is even) and related measures. Part of the results."""

    busiest_1s: float = 0.0  # highest load ratio of any server in any second
    busiest_10s: float = 0.0  # highest load ratio of any server in any ten seconds
    busiest: float = 0.0  # highest load ratio of any server over the whole run
    least: float = 0.0  # lowest load ratio of any server over the whole run
    variation: float = 0.0  # standard deviation of the servers' load ratios over the whole run
    idle_servers: int = 0  # servers that were idle at least once
    idle_share: float = 0.0  # share of the servers' time in service during which they were idle
    # Index of dispersion: variance of arrivals per 50 ms divided by their mean, within 10 s; 1 for a Poisson process.
    herd_index: float = 0.0
    period_s: float = 0.0  # strongest period in the servers' loads; 0 if it is not significant
    period_strength: float = 0.0  # power of the strongest period divided by the peak power of noise
    owners_differ: float = 0.0  # share of pairs of routers that use different owners for a key
    connections: float = 0.0  # mean number of connections per server
    peak_connections: float = 0.0


# Labels of the fields in reports and comparisons.
EVENNESS_LABELS = {
    "busiest_1s": "peak load ratio in 1 s",
    "busiest_10s": "peak load ratio in 10 s",
    "busiest": "highest load ratio over the run",
    "least": "lowest load ratio over the run",
    "variation": "standard deviation of the load ratios",
    "idle_servers": "servers idle at least once",
    "idle_share": "share of the time idle",
    "herd_index": "herd index",
    "period_s": "strongest period, s",
    "period_strength": "strength of that period",
    "owners_differ": "owner disagreement",
    "connections": "connections per server, mean",
    "peak_connections": "connections per server, peak",
}


class _Period(NamedTuple):
    """The strongest period of the servers' loads (0 if it is not significant), and its power relative to noise."""

    seconds: float
    strength: float


def measure(scenario: Scenario, ledger: Ledger) -> Evenness | None:
    """Measure a run. Return None if it was too short or the servers received no requests."""
    begins_at = ledger.started_at + scenario.traffic.warmup_s * 1000.0
    bin_count = int((ledger.started_at + scenario.length_s * 1000.0 - begins_at) // BIN_MS)
    if bin_count < 2 * IDLE_WINDOW_MS // BIN_MS:
        return None
    counts = _arrivals(ledger.deliveries, scenario.fleet.servers, bin_count, begins_at)
    if not counts.sum():
        return None
    speeds = np.asarray(server_speeds(scenario), dtype=np.float64)
    in_service = _in_service(scenario, ledger, bin_count, begins_at)
    run_ms = bin_count * BIN_MS
    short_load = _relative_load(counts, in_service, speeds, min(SHORT_WINDOW_MS, run_ms))
    long_load = _relative_load(counts, in_service, speeds, min(LONG_WINDOW_MS, run_ms))
    idle_window_load = _relative_load(counts, in_service, speeds, IDLE_WINDOW_MS)
    overall_load = _overall_load(counts, in_service, speeds)
    period = _strongest_period(counts, in_service)
    connections = [sample.connections for sample in ledger.server_samples if sample.at >= begins_at]
    return Evenness(
        busiest_1s=round(float(np.nanmax(short_load, initial=0.0)), 3),
        busiest_10s=round(float(np.nanmax(long_load, initial=0.0)), 3),
        busiest=round(float(overall_load.max(initial=0.0)), 3),
        least=round(float(overall_load.min(initial=np.inf)), 3) if len(overall_load) else 0.0,
        variation=round(float(overall_load.std()), 3) if len(overall_load) else 0.0,
        idle_servers=int((idle_window_load < IDLE_LOAD_SHARE).any(axis=1).sum()),
        idle_share=round(
            float((idle_window_load < IDLE_LOAD_SHARE).sum() / max(1, np.isfinite(idle_window_load).sum())), 4
        ),
        herd_index=round(_herd_index(counts, in_service), 3),
        period_s=period.seconds,
        period_strength=period.strength,
        owners_differ=round(_owner_disagreement(ledger), 4),
        connections=round(float(np.mean(connections)), 1) if connections else 0.0,
        peak_connections=float(max(connections, default=0)),
    )


def _arrivals(deliveries: list[Delivery], servers: int, bin_count: int, begins_at: float) -> Floats:
    """Return the number of deliveries to each server (row) in each bin (column)."""
    counts: Floats = np.zeros((servers, bin_count))
    for delivery in deliveries:
        bin_index = int((delivery.first_at - begins_at) // BIN_MS)
        if 0 <= bin_index < bin_count:
            counts[delivery.server, bin_index] += 1
    return counts


def _in_service(scenario: Scenario, ledger: Ledger, bin_count: int, begins_at: float) -> Flags:
    """Return for each server (row) and bin (column) whether the server is in service and warm."""
    in_service = np.ones((scenario.fleet.servers, bin_count), dtype=bool)
    for event in sorted(ledger.server_events, key=lambda e: e.at):
        bin_index = max(0, int((event.at - begins_at) // BIN_MS))
        if event.kind in ("fell", "draining", "gone"):
            in_service[event.server, bin_index:] = False
        elif event.kind == "up":
            in_service[event.server, bin_index:] = True
        elif event.kind == "cold" and event.at > ledger.started_at:
            in_service[event.server, bin_index:] = False
            in_service[event.server, bin_index + int(scenario.fleet.warm_up_ms // BIN_MS) + 1 :] = True
    return in_service


def _window_sums(counts: Floats, window_ms: float) -> Floats:
    """Sum the counts of the bins in each window; windows overlap by half."""
    size = int(window_ms // BIN_MS)
    sums = np.cumsum(np.pad(counts, ((0, 0), (1, 0))), axis=1)
    starts = np.arange(0, counts.shape[1] - size + 1, max(1, size // 2))
    return np.asarray(sums[:, starts + size] - sums[:, starts], dtype=np.float64)


def _relative_load(counts: Floats, in_service: Flags, speeds: Floats, window_ms: float) -> Floats:
    """Return each server's load ratio in each window; NaN if it was not in service for the whole window."""
    size = int(window_ms // BIN_MS)
    load = _window_sums(counts * in_service, window_ms)
    is_in_service = _window_sums(in_service.astype(np.float64), window_ms) >= size
    weight = np.where(is_in_service, speeds[:, None], 0.0)
    with np.errstate(divide="ignore", invalid="ignore"):
        ratio = (load / (load * is_in_service).sum(axis=0)) / (weight / weight.sum(axis=0))
    return np.asarray(np.where(is_in_service, ratio, np.nan), dtype=np.float64)


def _overall_load(counts: Floats, in_service: Flags, speeds: Floats) -> Floats:
    """Return the load ratios over the whole run of the servers that were in service for all of it."""
    is_always_in_service = in_service.all(axis=1)
    load_shares = counts.sum(axis=1)[is_always_in_service] / counts[is_always_in_service].sum()
    return np.asarray(
        load_shares / (speeds[is_always_in_service] / speeds[is_always_in_service].sum()), dtype=np.float64
    )


def _herd_index(counts: Floats, in_service: Flags) -> float:
    """Return the variance of arrivals per bin divided by their mean, within long windows to exclude slow drifts."""
    size = min(int(LONG_WINDOW_MS // BIN_MS), counts.shape[1])
    covered = counts.shape[1] // size * size
    windows = counts[:, :covered].reshape(counts.shape[0], -1, size)
    is_in_service = in_service[:, :covered].reshape(windows.shape).all(axis=2)
    means = windows.mean(axis=2)[is_in_service]
    variances = windows.var(axis=2, ddof=1)[is_in_service]
    return float(variances.sum() / means.sum()) if means.sum() else 0.0


def _strongest_period(counts: Floats, in_service: Flags) -> _Period:
    """Return the strongest period of the servers' loads, by their mean power spectrum."""
    loads = counts[in_service.all(axis=1) & (counts.sum(axis=1) > 0)]
    if not len(loads) or loads.shape[1] < 2 * MAX_PERIOD_S * 1000.0 / BIN_MS:
        return _Period(0.0, 0.0)
    # Subtract the variation that all servers have in common, as it comes from the traffic.
    loads = loads - loads.mean(axis=1, keepdims=True) * (loads.mean(axis=0) / loads.mean())
    variance = loads.var(axis=1, keepdims=True).clip(MIN_VARIANCE)
    power = np.abs(np.fft.rfft(loads, axis=1)) ** 2 / variance
    spectrum = power.mean(axis=0)[1:]
    periods_s = 1.0 / np.fft.rfftfreq(loads.shape[1], BIN_MS / 1000.0)[1:]
    is_candidate = periods_s <= MAX_PERIOD_S
    candidates = spectrum[is_candidate] / np.median(spectrum)
    strongest = int(np.argmax(candidates))
    strength = float(candidates[strongest]) / _noise_peak(len(loads), len(candidates))
    seconds = round(float(periods_s[is_candidate][strongest]), 2) if strength > 1.0 else 0.0
    return _Period(seconds, round(strength, 3))


def _noise_peak(servers: int, frequencies: int) -> float:
    """Return the quantile PERIOD_SIGNIFICANCE of the peak power of noise, relative to its median power.

    The power of noise is exponential at each frequency; its mean over many servers follows a gamma distribution.
    """
    rng = np.random.default_rng(NOISE_SEED)
    samples = rng.gamma(servers, 1.0 / servers, (NOISE_SAMPLES, frequencies))
    return float(np.quantile(samples.max(axis=1) / np.median(samples, axis=1), PERIOD_SIGNIFICANCE))


def _owner_disagreement(ledger: Ledger) -> float:
    """Return the share of pairs of routers with different owners for a key, over the keys that both use often."""
    attempts = {attempt.request_id: attempt for attempt in ledger.attempts}
    servers_by_key: dict[int, dict[int, Counter[int]]] = defaultdict(lambda: defaultdict(Counter))
    for delivery in ledger.deliveries:
        attempt = attempts.get(delivery.request_id)
        if attempt is not None:
            servers_by_key[attempt.key][attempt.router][delivery.server] += 1
    pairs = 0
    disagreements = 0
    for servers_by_router in servers_by_key.values():
        owners = [
            servers.most_common(1)[0][0]
            for servers in servers_by_router.values()
            if servers.total() >= MIN_ATTEMPTS_FOR_OWNER
        ]
        for owner, other_owner in combinations(owners[:MAX_ROUTERS_COMPARED_PER_KEY], 2):
            pairs += 1
            disagreements += owner != other_owner
    return disagreements / pairs if pairs else 0.0
