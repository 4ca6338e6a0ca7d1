"""What the stand-in fabric does to packets: seeded and counted."""

import collections
import collections.abc
import dataclasses
import random


@dataclasses.dataclass(frozen=True, slots=True)
class FaultRates:
    """Shares of packets, and bounds of delays in seconds."""

    lost: float = 0.005
    duplicated: float = 0.005
    reordered: float = 0.01
    opening_again: float = 0.02
    reorder_s: tuple[float, float] = (0.002, 0.03)
    opening_again_s: tuple[float, float] = (0.5, 3.0)


NO_FAULTS = FaultRates(0, 0, 0, 0)


class Faults:
    """Decides what becomes of each packet."""

    def __init__(self, rates: FaultRates, rng: random.Random) -> None:
        """Begin with nothing counted."""
        self.rates = rates
        self._rng = rng
        self.counts: collections.Counter[str] = collections.Counter()

    def delays(self, is_opening: bool) -> collections.abc.Iterator[float]:
        """Yield a delay in seconds for each copy that is carried."""
        rates = self.rates
        if self._happens('lost', rates.lost):
            return
        if self._happens('reordered', rates.reordered):
            yield self._rng.uniform(*rates.reorder_s)
        else:
            yield 0.0
        if self._happens('duplicated', rates.duplicated):
            yield self._rng.uniform(*rates.reorder_s)
        if is_opening and self._happens(
            'openings repeated late', rates.opening_again
        ):
            yield self._rng.uniform(*rates.opening_again_s)

    def _happens(self, name: str, share: float) -> bool:
        happens = self._rng.random() < share
        self.counts[name] += happens
        return happens
