"""How evenly the servers of a run were loaded, from what each was sent and when.

A server's part of the load is its speed's share of all speeds in service. A server counts while it is in service and
warm: from the run's warm-up, and not from its drain, fall or loss until it is back and its ramp is over.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from itertools import combinations

import msgspec
import numpy as np
from numpy.typing import NDArray

from ..experiment.randomness import server_speeds
from ..experiment.records import Ledger
from ..experiment.scenario import Scenario

BIN = 50.0  # ms: in which arrivals are counted for the herd index
SHORT, LONG = 1000.0, 10000.0  # ms: windows for the busiest server
IDLE_FOR, IDLE_UNDER = 2000.0, 0.25  # ms, and share of its part: a server that had less for so long was idle
SETTLED = 3  # attempts of one router for one key from which the server it used most is its owner
CHANCE = 0.99  # a period is one only if it is stronger than this share of what chance gives
LONGEST = 10.0  # s: periods longer than this can't be told from a drift

Floats = NDArray[np.float64]


class Evenness(msgspec.Struct):
    """Load of the servers, against what each should have had; 1 is even."""

    busiest_1s: float = 0.0  # most of any server in any second
    busiest_10s: float = 0.0  # most in any ten seconds
    busiest: float = 0.0  # most over the whole run
    least: float = 0.0  # least over the whole run
    variation: float = 0.0  # standard deviation over the servers, of the whole run
    idle_servers: int = 0  # servers that were idle at least once
    idle_share: float = 0.0  # share of servers' time in service in which they were
    herd_index: float = 0.0  # variance of arrivals in 50 ms over their mean, within 10 s; Poisson's is 1
    period_s: float = 0.0  # strongest period in a server's load; 0: none beyond chance
    period_strength: float = 0.0  # its power against what chance gives at most (1)
    owners_differ: float = 0.0  # share of pairs of routers that have another first owner for a key
    connections: float = 0.0  # at a server, mean
    connections_most: float = 0.0


def _in_service(scenario: Scenario, ledger: Ledger, bins: int, begin: float) -> NDArray[np.bool_]:
    """Tell in which bins each server is in service and warm."""
    serving = np.ones((scenario.fleet.servers, bins), dtype=bool)
    for event in sorted(ledger.server_events, key=lambda e: e.at):
        at = max(0, int((event.at - begin) // BIN))
        if event.kind in ("fell", "draining", "gone"):
            serving[event.server, at:] = False
        elif event.kind == "up":
            serving[event.server, at:] = True
        elif event.kind == "cold" and event.at > ledger.started_at:
            serving[event.server, at:] = False
            serving[event.server, at + int(scenario.fleet.cold_ms // BIN) + 1 :] = True
    return serving


def _windows(counts: Floats, span: float) -> Floats:
    """Sum the bins of each window; windows half overlap."""
    size = int(span // BIN)
    sums = np.cumsum(np.pad(counts, ((0, 0), (1, 0))), axis=1)
    starts = np.arange(0, counts.shape[1] - size + 1, max(1, size // 2))
    return np.asarray(sums[:, starts + size] - sums[:, starts], dtype=np.float64)


def _against_part(counts: Floats, serving: NDArray[np.bool_], speeds: Floats, span: float) -> Floats:
    """Return each server's load in each window against its part; NaN where it was not in service throughout."""
    got, size = _windows(counts * serving, span), int(span // BIN)
    there = _windows(serving.astype(np.float64), span) >= size
    weight = np.where(there, speeds[:, None], 0.0)
    with np.errstate(divide="ignore", invalid="ignore"):
        ratio = (got / (got * there).sum(axis=0)) / (weight / weight.sum(axis=0))
    return np.asarray(np.where(there, ratio, np.nan), dtype=np.float64)


def _herd(counts: Floats, serving: NDArray[np.bool_]) -> float:
    """Return the variance over the mean in BIN, within LONG, so that drifts slower than that don't count."""
    size = min(int(LONG // BIN), counts.shape[1])
    whole = counts.shape[1] // size * size
    parts = counts[:, :whole].reshape(counts.shape[0], -1, size)
    there = serving[:, :whole].reshape(parts.shape).all(axis=2)
    means = parts.mean(axis=2)[there]
    variances = parts.var(axis=2, ddof=1)[there]
    return float(variances.sum() / means.sum()) if means.sum() else 0.0


def _period(counts: Floats, serving: NDArray[np.bool_]) -> tuple[float, float]:
    """Return the strongest period of the servers' loads in s, 0 if chance explains it, and its strength."""
    steady = counts[serving.all(axis=1) & (counts.sum(axis=1) > 0)]
    if not len(steady) or steady.shape[1] < 2 * LONGEST * 1000.0 / BIN:
        return 0.0, 0.0
    # Against the whole: what all servers have in common is the traffic's own doing.
    steady = steady - steady.mean(axis=1, keepdims=True) * (steady.mean(axis=0) / steady.mean())
    power = np.abs(np.fft.rfft(steady, axis=1)) ** 2 / steady.var(axis=1, keepdims=True).clip(1e-9)
    spectrum = power.mean(axis=0)
    seconds = 1.0 / np.fft.rfftfreq(steady.shape[1], BIN / 1000.0)[1:]
    near = spectrum[1:][seconds <= LONGEST] / np.median(spectrum[1:])
    # Power of noise is exponential at each frequency; over many servers its mean is a gamma.
    draws = np.random.default_rng(1).gamma(len(steady), 1.0 / len(steady), (400, len(near)))
    chance = float(np.quantile(draws.max(axis=1) / np.median(draws, axis=1), CHANCE))
    at = int(np.argmax(near))
    strength = float(near[at]) / chance
    return (round(float(seconds[seconds <= LONGEST][at]), 2) if strength > 1.0 else 0.0), round(strength, 3)


def _owners_differ(ledger: Ledger) -> float:
    """Return for how many pairs of routers that asked for a key often the server used most is another one."""
    asked = {t.request_id: (t.key, t.router) for t in ledger.attempts}
    used: dict[int, dict[int, Counter[int]]] = defaultdict(lambda: defaultdict(Counter))
    for one in ledger.deliveries:
        if (who := asked.get(one.request_id)) is not None:
            used[who[0]][who[1]][one.server] += 1
    pairs = differ = 0
    for routers in used.values():
        owners = [c.most_common(1)[0][0] for c in routers.values() if c.total() >= SETTLED]
        for one_owner, other in combinations(owners[:20], 2):
            pairs += 1
            differ += one_owner != other
    return differ / pairs if pairs else 0.0


def measure(scenario: Scenario, ledger: Ledger) -> Evenness | None:
    """Measure a run; None if it was too short or had too little to tell."""
    begin = ledger.started_at + scenario.traffic.warmup_s * 1000.0
    bins = int((ledger.started_at + scenario.length_s * 1000.0 - begin) // BIN)
    if bins < 2 * IDLE_FOR // BIN:
        return None
    counts: Floats = np.zeros((scenario.fleet.servers, bins))
    for one in ledger.deliveries:
        if 0 <= (at := int((one.first_at - begin) // BIN)) < bins:
            counts[one.server, at] += 1
    if not counts.sum():
        return None
    speeds = np.asarray(server_speeds(scenario), dtype=np.float64)
    serving = _in_service(scenario, ledger, bins, begin)
    short, long = (_against_part(counts, serving, speeds, min(span, bins * BIN)) for span in (SHORT, LONG))
    idle = _against_part(counts, serving, speeds, IDLE_FOR)
    steady = serving.all(axis=1)
    whole = counts.sum(axis=1)[steady] / counts[steady].sum() / (speeds[steady] / speeds[steady].sum())
    period, strength = _period(counts, serving)
    open_now = [s.connections for s in ledger.server_samples if s.at >= begin]
    return Evenness(
        round(float(np.nanmax(short, initial=0.0)), 3),
        round(float(np.nanmax(long, initial=0.0)), 3),
        round(float(whole.max(initial=0.0)), 3),
        round(float(whole.min(initial=np.inf)), 3) if len(whole) else 0.0,
        round(float(whole.std()), 3) if len(whole) else 0.0,
        int((idle < IDLE_UNDER).any(axis=1).sum()),
        round(float((idle < IDLE_UNDER).sum() / max(1, np.isfinite(idle).sum())), 4),
        round(_herd(counts, serving), 3),
        period,
        strength,
        round(_owners_differ(ledger), 4),
        round(float(np.mean(open_now)), 1) if open_now else 0.0,
        float(max(open_now, default=0)),
    )
