"""Inject and count the packet faults of the simulated fabric."""

import collections
import collections.abc
import dataclasses
import random


@dataclasses.dataclass(frozen=True, slots=True)
class FaultRates:
    """Probabilities of packet faults and ranges of delays in seconds.

    A rate is the probability of a fault for each packet.
    ``late_duplicate_opening_rate`` applies only to packets that open a flow.
    """

    loss_rate: float = 0.005
    duplication_rate: float = 0.005
    reordering_rate: float = 0.01
    late_duplicate_opening_rate: float = 0.02
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
        """Yield a delay in seconds for each copy of a packet to deliver.

        A packet that is not duplicated has one copy, and a lost packet none.
        """
        rates = self.rates
        if self._draw_fault('lost', rates.loss_rate):
            return
        if self._draw_fault('reordered', rates.reordering_rate):
            yield self._rng.uniform(*rates.reorder_delay_s)
        else:
            yield 0.0
        if self._draw_fault('duplicated', rates.duplication_rate):
            yield self._rng.uniform(*rates.reorder_delay_s)
        if is_opening and self._draw_fault(
            'openings repeated late', rates.late_duplicate_opening_rate
        ):
            yield self._rng.uniform(*rates.late_duplicate_delay_s)

    def _draw_fault(self, name: str, probability: float) -> bool:
        happens = self._rng.random() < probability
        self.counts[name] += happens
        return happens
