"""The pool that an agent's upstream belongs to."""

import dataclasses

from gentianspoke.core import services


@dataclasses.dataclass(frozen=True, slots=True)
class PoolPerService:
    """The upstream belongs to the pool of each service that it serves.

    Such a pool has the number of its service.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class NamedPool:
    """The upstream belongs to one pool, to which services refer by name.

    ``number`` is 0, which no pool has, while no entry of the catalogue refers
    to the pool. No service then has open flows at the upstream.
    """

    name: str
    number: int = 0


OwnPool = PoolPerService | NamedPool


def update(own_pool: OwnPool, entries: list[services.Service]) -> OwnPool:
    """Return the own pool after a change of the catalogue.

    A number that is known stays known if no entry refers to the pool any more,
    because the number of a pool never changes.
    """
    match own_pool:
        case PoolPerService():
            return own_pool
        case NamedPool(name=name, number=number):
            found = services.find_pool_number(entries, name)
            return NamedPool(name, found or number)
