"""The orders that start and end the evacuation of an availability zone.

The set of evacuated zones is part of the catalogue's state, so all control
instances know the same set. An order has the same result if it is applied
again.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """An order after which no upstream of the zone gets new flows."""

    zone: str


@dataclasses.dataclass(frozen=True, slots=True)
class End:
    """An order after which the upstreams of the zone get new flows again."""

    zone: str


Order = Start | End


def apply_order(zones: frozenset[str], order: Order) -> frozenset[str]:
    """Return the evacuated zones after an order; ``zones`` are those before.

    The result equals ``zones`` if the order changes nothing.
    """
    match order:
        case Start(zone=zone):
            return zones | {zone}
        case End(zone=zone):
            return zones - {zone}
