"""Inject and count the packet faults of the simulated fabric."""

import collections
import collections.abc
import dataclasses
import random


@dataclasses.dataclass(frozen=True, slots=True)
class FaultRates:
    """Probabilities of packet faults and ranges of delays in seconds.

    ``late_duplicate_opening`` applies only to packets that open a flow.
    """

    lost: float = 0.005
    duplicated: float = 0.005
    reordered: float = 0.01
    late_duplicate_opening: float = 0.02
    reorder_delay_s: tuple[float, float] = (0.002, 0.03)
    late_duplicate_delay_s: tuple[float, float] = (0.5, 3.0)


NO_FAULTS = FaultRates(0, 0, 0, 0)


class FaultInjector:
    """Draws the faults of each packet from a seeded random generator.

    ``counts`` holds the number of packets that each kind of fault affected.
    """

    def __init__(self, rates: FaultRates, rng: random.Random) -> None:
        """Start with all fault counts at zero."""
        self.rates = rates
        self._rng = rng
        self.counts: collections.Counter[str] = collections.Counter()

    def draw_copy_delays(
        self, is_opening: bool
    ) -> collections.abc.Iterator[float]:
        """Yield the delay in seconds of each copy of a packet to deliver.

        Nothing is yielded for a packet that is lost.
        """
        rates = self.rates
        if self._draw('lost', rates.lost):
            return
        if self._draw('reordered', rates.reordered):
            yield self._rng.uniform(*rates.reorder_delay_s)
        else:
            yield 0.0
        if self._draw('duplicated', rates.duplicated):
            yield self._rng.uniform(*rates.reorder_delay_s)
        if is_opening and self._draw(
            'openings repeated late', rates.late_duplicate_opening
        ):
            yield self._rng.uniform(*rates.late_duplicate_delay_s)

    def _draw(self, name: str, probability: float) -> bool:
        happens = self._rng.random() < probability
        self.counts[name] += happens
        return happens
