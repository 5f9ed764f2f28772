"""Random numbers for an experiment: independent streams from one seed, generated in blocks."""

from __future__ import annotations

import numpy as np

from .scenario import Scenario

NUMBERS_PER_BLOCK = 4096  # numpy is slow at generating numbers one by one
# The offset keeps the seed of the speeds distinct from the seeds of other parts of the run.
SPEED_SEED_OFFSET = 8_000_003


class LognormalFactors:
    """Random factors of mean 1 from a lognormal distribution with a given coefficient of variation."""

    def __init__(self, rng: np.random.Generator, cv: float) -> None:
        self._rng = rng
        self._sigma = float(np.sqrt(np.log1p(cv * cv)))
        self._block: list[float] = []

    def next(self) -> float:
        """Return the next factor."""
        if not self._block:
            mu = -self._sigma * self._sigma / 2.0
            self._block = self._rng.lognormal(mu, self._sigma, NUMBERS_PER_BLOCK).tolist()
        return self._block.pop()


class UniformDraws:
    """Uniform numbers in [0, 1)."""

    def __init__(self, rng: np.random.Generator) -> None:
        self._rng = rng
        self._block: list[float] = []

    def next(self) -> float:
        """Return the next number."""
        if not self._block:
            self._block = self._rng.random(NUMBERS_PER_BLOCK).tolist()
        return self._block.pop()


def random_streams(seed: int, count: int) -> list[np.random.Generator]:
    """Return independent random streams: numbers taken from one do not change those of another."""
    return [np.random.default_rng(child) for child in np.random.SeedSequence(seed).spawn(count)]


def server_speeds(scenario: Scenario) -> list[float]:
    """Return the speed of each server, which depends only on the scenario and its seed."""
    fleet = scenario.fleet
    rng = random_streams(scenario.seed + SPEED_SEED_OFFSET, 1)[0]
    factors = rng.uniform(1.0 - fleet.speed_spread, 1.0 + fleet.speed_spread, fleet.servers)
    return [fleet.speed * float(factor) for factor in factors]
