"""The catalogue as a deterministic state machine over accepted edits.

Every control instance applies the same requests in the same order, so
all of them give the same answers. Versions grow by one for each accepted
request. The answer to each idempotency key is kept, so that a request
that is sent again gets its first answer.
"""

import collections
import dataclasses

from gentianspoke.core import services
from gentianspoke.decisions.control import documents
from gentianspoke.decisions.control import endpoints

MAX_STORED_ANSWERS = 10_000
MAX_HISTORY_ITEMS = 50_000


@dataclasses.dataclass(frozen=True, slots=True)
class Put:
    """Add or replace an entry; number and version are assigned here."""

    entry: services.Service


@dataclasses.dataclass(frozen=True, slots=True)
class Retire:
    """Retire an entry: no new flow, open flows stay."""


@dataclasses.dataclass(frozen=True, slots=True)
class Edit:
    """One change, based on ``base_version`` of the entry (0: new)."""

    name: str
    base_version: int
    change: Put | Retire


@dataclasses.dataclass(frozen=True, slots=True)
class Document:
    """A whole catalogue under the operator's own version.

    ``text`` is what the operator sent, to be read back unchanged. The
    pools of the entries' shares are given by name; numbers are assigned
    here. Of two documents the one with the higher version holds.
    """

    version: int
    text: bytes
    entries: tuple[services.Service, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """Edits that are accepted together or not at all, or a document."""

    idempotency_key: str
    operator: str
    edits: tuple[Edit, ...]
    document: Document | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """Why an edit was not accepted, with the current entry."""

    name: str
    reason: str
    current: services.Service | None


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The result of a request, kept with its idempotency key."""

    accepted: bool
    version: int
    conflicts: tuple[Conflict, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryItem:
    """One accepted text of an entry."""

    version: int
    operator: str
    idempotency_key: str
    entry: services.Service


@dataclasses.dataclass(frozen=True, slots=True)
class KeptAnswer:
    """The first answer to an idempotency key."""

    idempotency_key: str
    answer: Answer


@dataclasses.dataclass(frozen=True, slots=True)
class PoolNumber:
    """The number of a pool, which is never used for another one."""

    name: str
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class CatalogueState:
    """All of a catalogue, for a snapshot; history and answers oldest first.

    ``document`` is the newest whole catalogue, without its entries.
    """

    version: int = 0
    last_number: int = 0
    entries: tuple[services.Service, ...] = ()
    history: tuple[HistoryItem, ...] = ()
    answers: tuple[KeptAnswer, ...] = ()
    document: Document | None = None
    pools: tuple[PoolNumber, ...] = ()


class Catalogue:
    """All entries with their history and the answers given so far."""

    def __init__(self) -> None:
        """Begin empty, at version 0."""
        self.version = 0
        self.entries: dict[str, services.Service] = {}
        self.history: list[HistoryItem] = []
        self.answers: collections.OrderedDict[str, Answer] = (
            collections.OrderedDict()
        )
        self.document: Document | None = None
        self.pools: dict[str, int] = {}
        self._last_number = 0
        self._owners = endpoints.EndpointOwners()

    def export(self) -> CatalogueState:
        """Return everything that later answers depend on."""
        return CatalogueState(
            version=self.version,
            last_number=self._last_number,
            entries=tuple(self.entry_list()),
            history=tuple(self.history),
            answers=tuple(
                KeptAnswer(key, answer) for key, answer in self.answers.items()
            ),
            document=self.document,
            pools=tuple(
                PoolNumber(name, number) for name, number in self.pools.items()
            ),
        )

    def restore(self, state: CatalogueState) -> None:
        """Replace everything by what was exported."""
        self.version = state.version
        self.entries = {entry.name: entry for entry in state.entries}
        self.history = list(state.history)
        self.answers.clear()
        for kept in state.answers:
            self.answers[kept.idempotency_key] = kept.answer
        self.document = state.document
        self.pools = {item.name: item.number for item in state.pools}
        self._last_number = state.last_number
        self._owners.replace_all(state.entries)

    def known_answer(self, idempotency_key: str) -> Answer | None:
        """Return the first answer to a request that was seen before."""
        return self.answers.get(idempotency_key)

    def apply(self, request: Request) -> Answer:
        """Apply a request and return its answer, the first one if repeated."""
        if request.document is not None:
            return self._apply_document(request.document)
        existing = self.known_answer(request.idempotency_key)
        if existing is not None:
            return existing
        conflicts = self._find_conflicts(request)
        if conflicts:
            answer = Answer(False, self.version, conflicts)
        else:
            self.version += 1
            for edit in request.edits:
                self._apply_edit(request, edit)
            answer = Answer(True, self.version)
        self._store_answer(request.idempotency_key, answer)
        return answer

    def entry_list(self) -> list[services.Service]:
        """Return all entries, retired ones included, by name."""
        return [self.entries[name] for name in sorted(self.entries)]

    def pool_number(self, name: str) -> int | None:
        """Return the number of the pool that upstreams name, or ``None``."""
        number = self.pools.get(name)
        if number is None and name in self.entries:
            number = self.entries[name].number
        return number

    def _apply_document(self, document: Document) -> Answer:
        # Resends, races and older documents change nothing and are
        # accepted all the same: the newest one is in force.
        if self.document is not None:
            if document.version <= self.document.version:
                return Answer(True, self.version)
        self.version += 1
        numbered = [self._assign_numbers(item) for item in document.entries]
        self.entries = documents.replace_entries(
            self.entries, numbered, self.version
        )
        self.document = dataclasses.replace(document, entries=())
        self._owners.replace_all(self.entry_list())
        return Answer(True, self.version)

    def _assign_numbers(self, entry: services.Service) -> services.Service:
        shares = tuple(
            dataclasses.replace(item, pool=self._assign_pool_number(item.name))
            for item in entry.shares
        )
        existing = self.entries.get(entry.name)
        number = existing.number if existing else self._next_number()
        return dataclasses.replace(entry, number=number, shares=shares)

    def _assign_pool_number(self, name: str) -> int:
        if name not in self.pools:
            self.pools[name] = self._next_number()
        return self.pools[name]

    def _find_conflicts(self, request: Request) -> tuple[Conflict, ...]:
        found: list[Conflict] = []
        names: set[str] = set()
        for edit in request.edits:
            current = self.entries.get(edit.name)
            reason = _edit_conflict_reason(edit, current)
            if edit.name in names:
                reason = 'edited twice in one request; send one edit of it'
            names.add(edit.name)
            if reason:
                found.append(Conflict(edit.name, reason, current))
        found.extend(self._find_endpoint_conflicts(request, names))
        return tuple(found)

    def _find_endpoint_conflicts(
        self, request: Request, edited: set[str]
    ) -> list[Conflict]:
        put: dict[str, services.Service] = {}
        for edit in request.edits:
            match edit.change:
                case Put(entry=entry):
                    put[edit.name] = entry
        found: list[Conflict] = []
        for conflict in self._owners.conflicts(put, edited):
            reason = (
                f'port {conflict.port} of this address belongs to'
                f' {conflict.holder}; choose another port or retire that entry'
                ' first'
            )
            current = put.get(conflict.holder) or self.entries[conflict.holder]
            found.append(Conflict(conflict.name, reason, current))
        return found

    def _apply_edit(self, request: Request, edit: Edit) -> None:
        current = self.entries.get(edit.name)
        match edit.change:
            case Put(entry=entry):
                number = current.number if current else self._next_number()
                changed = dataclasses.replace(
                    entry,
                    name=edit.name,
                    number=number,
                    version=self.version,
                    retired=False,
                )
            case Retire():
                assert current is not None
                changed = dataclasses.replace(
                    current, version=self.version, retired=True
                )
        if current is not None:
            self._owners.release(current)
        self.entries[edit.name] = changed
        self._owners.claim(changed)
        self.history.append(
            HistoryItem(
                self.version,
                request.operator,
                request.idempotency_key,
                changed,
            )
        )
        if len(self.history) > MAX_HISTORY_ITEMS:
            # Cut a tenth at a time: a cut of one moves the whole list.
            del self.history[: MAX_HISTORY_ITEMS // 10]

    def _next_number(self) -> int:
        self._last_number += 1
        return self._last_number

    def _store_answer(self, key: str, answer: Answer) -> None:
        self.answers[key] = answer
        while len(self.answers) > MAX_STORED_ANSWERS:
            self.answers.popitem(last=False)


def _edit_conflict_reason(edit: Edit, current: services.Service | None) -> str:
    version = current.version if current else 0
    if edit.base_version != version:
        return (
            f'based on version {edit.base_version}, but the entry is at'
            f' {version}; read it again, merge and apply again'
        )
    match edit.change:
        case Retire() if current is None:
            return 'no such entry; check the name with "catalogue list"'
        case Put(entry=entry) if current is not None:
            return _identity_conflict_reason(entry, current)
        case _:
            return ''


def _identity_conflict_reason(
    entry: services.Service, current: services.Service
) -> str:
    if current.retired:
        return 'retired; a name is not used again, so choose another one'
    if (entry.address, entry.protocol) != (current.address, current.protocol):
        return (
            'address and protocol of a service do not change; add a new'
            ' entry, then retire this one'
        )
    if type(entry.traffic) is not type(current.traffic):
        return (
            'the class of a service does not change under open flows; add'
            ' a new entry, then retire this one'
        )
    return ''
