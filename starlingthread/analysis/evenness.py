"""How evenly the servers of a run were loaded, from what each was sent and when.

A server's fair share of the load is its speed's share of all speeds in service. A server counts while it is in service
and warm: from the run's warm-up on, and not from its drain, fall or loss until it is back and has warmed up.
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

BIN_MS = 50.0  # in which arrivals are counted for the herd index
SHORT_WINDOW_MS = 1000.0  # for the busiest server
LONG_WINDOW_MS = 10000.0
IDLE_WINDOW_MS = 2000.0
IDLE_SHARE = 0.25  # of its fair share; a server that had less for an idle window was idle
MIN_ATTEMPTS_FOR_OWNER = 3  # of one router for one key, from which on the server it used most is the key's owner
MAX_ROUTERS_COMPARED = 20  # for one key
MAX_PERIOD_S = 10.0  # longer periods can't be told from a drift
PERIOD_SIGNIFICANCE = 0.99  # a period counts only if it is stronger than this share of what chance gives
NOISE_DRAWS = 400
NOISE_SEED = 1
MIN_VARIANCE = 1e-9

Floats: TypeAlias = NDArray[np.float64]
Flags: TypeAlias = NDArray[np.bool_]


class Evenness(msgspec.Struct, rename={"peak_connections": "connections_most"}):
    """Load of the servers relative to their fair shares; 1 is even. Part of the results file."""

    busiest_1s: float = 0.0  # highest of any server in any second
    busiest_10s: float = 0.0  # highest in any ten seconds
    busiest: float = 0.0  # highest over the whole run
    least: float = 0.0  # lowest over the whole run
    variation: float = 0.0  # standard deviation over the servers, of the whole run
    idle_servers: int = 0  # servers that were idle at least once
    idle_share: float = 0.0  # share of the servers' time in service in which they were idle
    herd_index: float = 0.0  # variance of arrivals in 50 ms over their mean, within 10 s; 1 for a Poisson process
    period_s: float = 0.0  # strongest period in a server's load; 0: none beyond chance
    period_strength: float = 0.0  # its power over the highest that chance gives
    owners_differ: float = 0.0  # share of pairs of routers with different owners for a key
    connections: float = 0.0  # at a server, mean
    peak_connections: float = 0.0


EVENNESS_LABELS = {  # by field, as reports and comparisons show it
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
    """The strongest period of the servers' loads, 0 if chance explains it, and its power against chance."""

    seconds: float
    strength: float


def measure(scenario: Scenario, ledger: Ledger) -> Evenness | None:
    """Measure a run; return None if it was too short or had too little traffic."""
    begin = ledger.started_at + scenario.traffic.warmup_s * 1000.0
    bins = int((ledger.started_at + scenario.length_s * 1000.0 - begin) // BIN_MS)
    if bins < 2 * IDLE_WINDOW_MS // BIN_MS:
        return None
    counts = _arrivals(ledger.deliveries, scenario.fleet.servers, bins, begin)
    if not counts.sum():
        return None
    speeds = np.asarray(server_speeds(scenario), dtype=np.float64)
    serving = _in_service(scenario, ledger, bins, begin)
    run_ms = bins * BIN_MS
    short = _relative_load(counts, serving, speeds, min(SHORT_WINDOW_MS, run_ms))
    long = _relative_load(counts, serving, speeds, min(LONG_WINDOW_MS, run_ms))
    idle = _relative_load(counts, serving, speeds, IDLE_WINDOW_MS)
    overall = _overall_load(counts, serving, speeds)
    period = _strongest_period(counts, serving)
    connections = [sample.connections for sample in ledger.server_samples if sample.at >= begin]
    return Evenness(
        busiest_1s=round(float(np.nanmax(short, initial=0.0)), 3),
        busiest_10s=round(float(np.nanmax(long, initial=0.0)), 3),
        busiest=round(float(overall.max(initial=0.0)), 3),
        least=round(float(overall.min(initial=np.inf)), 3) if len(overall) else 0.0,
        variation=round(float(overall.std()), 3) if len(overall) else 0.0,
        idle_servers=int((idle < IDLE_SHARE).any(axis=1).sum()),
        idle_share=round(float((idle < IDLE_SHARE).sum() / max(1, np.isfinite(idle).sum())), 4),
        herd_index=round(_herd_index(counts, serving), 3),
        period_s=period.seconds,
        period_strength=period.strength,
        owners_differ=round(_owner_disagreement(ledger), 4),
        connections=round(float(np.mean(connections)), 1) if connections else 0.0,
        peak_connections=float(max(connections, default=0)),
    )


def _arrivals(deliveries: list[Delivery], servers: int, bins: int, begin: float) -> Floats:
    """Count the deliveries to each server in each bin."""
    counts: Floats = np.zeros((servers, bins))
    for delivery in deliveries:
        at = int((delivery.first_at - begin) // BIN_MS)
        if 0 <= at < bins:
            counts[delivery.server, at] += 1
    return counts


def _in_service(scenario: Scenario, ledger: Ledger, bins: int, begin: float) -> Flags:
    """Return in which bins each server is in service and warm."""
    serving = np.ones((scenario.fleet.servers, bins), dtype=bool)
    for event in sorted(ledger.server_events, key=lambda e: e.at):
        at = max(0, int((event.at - begin) // BIN_MS))
        if event.kind in ("fell", "draining", "gone"):
            serving[event.server, at:] = False
        elif event.kind == "up":
            serving[event.server, at:] = True
        elif event.kind == "cold" and event.at > ledger.started_at:
            serving[event.server, at:] = False
            serving[event.server, at + int(scenario.fleet.warm_up_ms // BIN_MS) + 1 :] = True
    return serving


def _window_sums(counts: Floats, window_ms: float) -> Floats:
    """Sum the bins of each window; windows overlap by half."""
    size = int(window_ms // BIN_MS)
    sums = np.cumsum(np.pad(counts, ((0, 0), (1, 0))), axis=1)
    starts = np.arange(0, counts.shape[1] - size + 1, max(1, size // 2))
    return np.asarray(sums[:, starts + size] - sums[:, starts], dtype=np.float64)


def _relative_load(counts: Floats, serving: Flags, speeds: Floats, window_ms: float) -> Floats:
    """Return each server's load in each window by its fair share; NaN where it was not in service throughout."""
    size = int(window_ms // BIN_MS)
    load = _window_sums(counts * serving, window_ms)
    is_serving = _window_sums(serving.astype(np.float64), window_ms) >= size
    weight = np.where(is_serving, speeds[:, None], 0.0)
    with np.errstate(divide="ignore", invalid="ignore"):
        ratio = (load / (load * is_serving).sum(axis=0)) / (weight / weight.sum(axis=0))
    return np.asarray(np.where(is_serving, ratio, np.nan), dtype=np.float64)


def _overall_load(counts: Floats, serving: Flags, speeds: Floats) -> Floats:
    """Return the load of the servers that were in service throughout by their fair shares, over the whole run."""
    steady = serving.all(axis=1)
    load_shares = counts.sum(axis=1)[steady] / counts[steady].sum()
    return np.asarray(load_shares / (speeds[steady] / speeds[steady].sum()), dtype=np.float64)


def _herd_index(counts: Floats, serving: Flags) -> float:
    """Return the variance over the mean of arrivals in a bin, within long windows, so that slow drifts don't count."""
    size = min(int(LONG_WINDOW_MS // BIN_MS), counts.shape[1])
    covered = counts.shape[1] // size * size
    windows = counts[:, :covered].reshape(counts.shape[0], -1, size)
    is_serving = serving[:, :covered].reshape(windows.shape).all(axis=2)
    means = windows.mean(axis=2)[is_serving]
    variances = windows.var(axis=2, ddof=1)[is_serving]
    return float(variances.sum() / means.sum()) if means.sum() else 0.0


def _strongest_period(counts: Floats, serving: Flags) -> _Period:
    """Return the strongest period of the servers' loads."""
    steady = counts[serving.all(axis=1) & (counts.sum(axis=1) > 0)]
    if not len(steady) or steady.shape[1] < 2 * MAX_PERIOD_S * 1000.0 / BIN_MS:
        return _Period(0.0, 0.0)
    # Relative to the mean of all servers: what they have in common comes from the traffic.
    steady = steady - steady.mean(axis=1, keepdims=True) * (steady.mean(axis=0) / steady.mean())
    variance = steady.var(axis=1, keepdims=True).clip(MIN_VARIANCE)
    power = np.abs(np.fft.rfft(steady, axis=1)) ** 2 / variance
    spectrum = power.mean(axis=0)[1:]
    periods_s = 1.0 / np.fft.rfftfreq(steady.shape[1], BIN_MS / 1000.0)[1:]
    is_candidate = periods_s <= MAX_PERIOD_S
    candidates = spectrum[is_candidate] / np.median(spectrum)
    strongest = int(np.argmax(candidates))
    strength = float(candidates[strongest]) / _noise_peak(len(steady), len(candidates))
    seconds = round(float(periods_s[is_candidate][strongest]), 2) if strength > 1.0 else 0.0
    return _Period(seconds, round(strength, 3))


def _noise_peak(servers: int, frequencies: int) -> float:
    """Return the highest power over the median that noise reaches, but for the rarest cases.

    The power of noise is exponential at each frequency; its mean over many servers follows a gamma distribution.
    """
    rng = np.random.default_rng(NOISE_SEED)
    draws = rng.gamma(servers, 1.0 / servers, (NOISE_DRAWS, frequencies))
    return float(np.quantile(draws.max(axis=1) / np.median(draws, axis=1), PERIOD_SIGNIFICANCE))


def _owner_disagreement(ledger: Ledger) -> float:
    """Return for which share of pairs of routers that use a key often the server used most differs."""
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
        for owner, other_owner in combinations(owners[:MAX_ROUTERS_COMPARED], 2):
            pairs += 1
            disagreements += owner != other_owner
    return disagreements / pairs if pairs else 0.0
