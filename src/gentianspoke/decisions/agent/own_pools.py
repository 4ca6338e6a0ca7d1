"""The pool that an agent's upstream belongs to."""

import collections.abc
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


def make(name: str) -> OwnPool:
    """Return the own pool before a catalogue is known; ``name`` may be empty.

    ``name`` is that of the pool in the settings, if they name one.
    """
    return NamedPool(name) if name else PoolPerService()


def update(own_pool: OwnPool, entries: list[services.Service]) -> OwnPool:
    """Return the own pool after a change of the catalogue.

    The number of a pool never changes, so it is looked up only once.
    """
    match own_pool:
        case NamedPool(name=name, number=0):
            return NamedPool(name, services.find_pool_number(entries, name))
        case _:
            return own_pool


def get_number(own_pool: OwnPool, service_number: int) -> int:
    """Return the pool in which an agent serves a service.

    It is 0, which no pool has, if the agent does not know its own pool.
    """
    match own_pool:
        case PoolPerService():
            return service_number
        case NamedPool(number=number):
            return number


def list_numbers(
    own_pool: OwnPool, service_numbers: collections.abc.Iterable[int]
) -> list[int]:
    """Return the pools of an agent that knows these services.

    The list is empty if the agent does not know its own pool.
    """
    match own_pool:
        case PoolPerService():
            return list(service_numbers)
        case NamedPool(number=0):
            return []
        case NamedPool(number=number):
            return [number]
