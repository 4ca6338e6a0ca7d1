"""The arrivals and the work of a load pattern, the same for all rules."""

import math
import random

from benchmarks.policy import patterns
from benchmarks.policy import replay_model

# Shape of the gamma distribution of the work of a request.
WORK_SHAPE = 2.0


class Demand:
    """Draws arrivals at the greatest demand, and thins them to the present."""

    def __init__(self, pattern: patterns.Pattern, seed: int) -> None:
        """Draw from a generator that nothing else draws from."""
        self._pattern = pattern
        self._rng = random.Random(seed)
        self._peak = (1 + pattern.wave) * max(1.0, pattern.burst_factor)

    def draw_interval_ms(self, service: int) -> float:
        """Return the time to the next opening of a service at the peak."""
        rate = replay_model.compute_opening_rate(self._pattern, service)
        return self._rng.expovariate(rate * self._peak)

    def is_drawn(self, now: float) -> bool:
        """Return whether an opening of a random zone occurs at a time."""
        pattern = self._pattern
        zone = self._rng.randrange(pattern.zones)
        shift = pattern.wave_shift * zone / pattern.zones
        phase = now / pattern.wave_ms - shift
        demand = 1 + pattern.wave * math.sin(2 * math.pi * phase)
        if 0 <= now - pattern.burst_at_ms < pattern.burst_ms:
            demand *= pattern.burst_factor
        return self._rng.random() * self._peak < demand

    def draw_work_ms(self, service: int) -> list[float]:
        """Return the work of a new flow's requests, at the speed of 1."""
        pattern = self._pattern
        requests = 1
        mean_ms = pattern.short_work_ms
        if service == replay_model.LONG:
            mean_ms = pattern.long_work_ms
            while self._rng.random() * pattern.requests_per_flow > 1:
                requests += 1
        return [
            self._rng.gammavariate(WORK_SHAPE, mean_ms / WORK_SHAPE)
            for _ in range(requests)
        ]
