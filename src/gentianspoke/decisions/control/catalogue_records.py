"""Requests to the catalogue, their answers, and the state in a snapshot."""

import dataclasses

from gentianspoke.core import services
from gentianspoke.decisions.control import zone_orders


@dataclasses.dataclass(frozen=True, slots=True)
class Put:
    """A change that adds or replaces an entry.

    The catalogue assigns the number and the version of the entry.
    """

    entry: services.Service


@dataclasses.dataclass(frozen=True, slots=True)
class Retire:
    """A change that retires an entry.

    A retired entry gets no new flows, and its open flows continue.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class Edit:
    """One change to an entry, with optimistic concurrency control.

    ``base_version`` is the version of the entry that the operator read
    before the change, and 0 for a new entry.
    """

    name: str
    base_version: int
    change: Put | Retire


@dataclasses.dataclass(frozen=True, slots=True)
class Document:
    """A complete catalogue with a version that the operator chose.

    ``text`` is the body that the operator sent; reads return it unchanged.
    The store of documents keeps it in compressed form. The shares of
    ``entries`` refer to pools by name, and the catalogue assigns the pool
    numbers. A document replaces only documents with a lower version.

    In the log, a document holds only its changes to the catalogue if
    ``base_version``, the version of that catalogue, is not 0. Then ``entries``
    lists the new and changed entries, and ``removed`` the names of those that
    the document omits.
    """

    version: int
    text: bytes
    entries: tuple[services.Service, ...] = ()
    base_version: int = 0
    removed: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """An atomic list of edits, a document, an evacuation order or an expiry.

    Either all edits of a request are accepted or none is. An expiry removes
    the former pools that have got no new flows since the catalogue version
    ``expire_former_pools`` or an earlier one; with 0 it removes none.
    """

    idempotency_key: str
    operator: str
    edits: tuple[Edit, ...]
    document: Document | None = None
    evacuation: zone_orders.Order | None = None
    expire_former_pools: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """The reason for rejecting the edit of the entry ``name``.

    ``current`` is the entry before the request, ``None`` if it does not
    exist. If the edit claims a port of another entry, ``current`` is that
    other entry.
    """

    name: str
    reason: str
    current: services.Service | None


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The result of a request.

    ``version`` is the catalogue version after the request.
    """

    accepted: bool
    version: int
    conflicts: tuple[Conflict, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryItem:
    """The result of one accepted edit of an entry.

    ``operator`` and ``idempotency_key`` are those of the edit's request.
    Documents add no items to the history.
    """

    version: int
    operator: str
    idempotency_key: str
    entry: services.Service


@dataclasses.dataclass(frozen=True, slots=True)
class KeptAnswer:
    """An idempotency key with the answer to its first request."""

    idempotency_key: str
    answer: Answer


@dataclasses.dataclass(frozen=True, slots=True)
class PoolNumber:
    """The name and the number of a pool; numbers are never reused."""

    name: str
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class CatalogueState:
    """The complete state of a catalogue, as a snapshot contains it.

    ``last_number`` is the last number that was assigned to a service or a
    pool. ``history`` and ``answers`` are ordered from the oldest to the
    newest item. ``document`` is the newest document, without its entries.
    ``evacuated_zones`` is sorted.
    """

    version: int = 0
    last_number: int = 0
    entries: tuple[services.Service, ...] = ()
    history: tuple[HistoryItem, ...] = ()
    answers: tuple[KeptAnswer, ...] = ()
    document: Document | None = None
    pools: tuple[PoolNumber, ...] = ()
    evacuated_zones: tuple[str, ...] = ()
