"""Random numbers of an experiment: independent streams from one seed, drawn in blocks."""

from __future__ import annotations

import numpy as np

from .scenario import Scenario

BLOCK_SIZE = 4096


class LognormalFactors:
    """Factors around 1 of a lognormal law with the given coefficient of variation, drawn in blocks."""

    def __init__(self, rng: np.random.Generator, cv: float) -> None:
        self._rng = rng
        self._sigma = float(np.sqrt(np.log1p(cv * cv)))
        self._block: list[float] = []

    def next(self) -> float:
        """Return the next factor."""
        if not self._block:
            mu = -self._sigma * self._sigma / 2.0
            self._block = self._rng.lognormal(mu, self._sigma, BLOCK_SIZE).tolist()
        return self._block.pop()


class UniformDraws:
    """Uniform numbers in [0, 1), drawn in blocks."""

    def __init__(self, rng: np.random.Generator) -> None:
        self._rng = rng
        self._block: list[float] = []

    def next(self) -> float:
        """Return the next number."""
        if not self._block:
            self._block = self._rng.random(BLOCK_SIZE).tolist()
        return self._block.pop()


def streams(seed: int, count: int) -> list[np.random.Generator]:
    """Return independent random streams: what one draws does not move what another draws."""
    return [np.random.default_rng(s) for s in np.random.SeedSequence(seed).spawn(count)]


def server_speeds(scenario: Scenario) -> list[float]:
    """Return the speed of each server, drawn by the seed: the same wherever it is asked for."""
    fleet = scenario.fleet
    draw = streams(scenario.seed + 8_000_003, 1)[0].uniform(
        1.0 - fleet.speed_spread, 1.0 + fleet.speed_spread, fleet.servers
    )
    return [fleet.speed * float(one) for one in draw]
