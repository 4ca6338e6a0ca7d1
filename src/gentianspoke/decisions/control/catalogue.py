"""The service catalogue as a deterministic replicated state machine.

Every control instance applies the same requests in the same order, so
all instances return the same answers. Each accepted request increments
the catalogue version by one, except a document that is not newer than the
current one, and an evacuation order or expiry that changes nothing. It stores
the newest answers to edits and evacuation orders by idempotency key, so that a
retried request gets its first answer again.
"""

import collections
import dataclasses

from gentianspoke.core import services
from gentianspoke.decisions.control import catalogue_records
from gentianspoke.decisions.control import documents
from gentianspoke.decisions.control import edit_conflicts
from gentianspoke.decisions.control import endpoints
from gentianspoke.decisions.control import former_pools
from gentianspoke.decisions.control import zone_orders

MAX_STORED_ANSWERS = 10_000
MAX_HISTORY_ITEMS = 50_000
# The names under which programs that embed this package know these classes.
Put = catalogue_records.Put
Retire = catalogue_records.Retire
Edit = catalogue_records.Edit
Request = catalogue_records.Request


class Catalogue:
    """The entries, the evacuated zones and the stored answers to requests."""

    def __init__(self) -> None:
        """Initialize an empty catalogue at version 0."""
        self.version = 0
        self.entries: dict[str, services.Service] = {}
        self.history: list[catalogue_records.HistoryItem] = []
        self.answers: collections.OrderedDict[
            str, catalogue_records.Answer
        ] = collections.OrderedDict()
        self.document: catalogue_records.Document | None = None
        self.pools: dict[str, int] = {}
        self.evacuated_zones: frozenset[str] = frozenset()
        self._last_number = 0
        self._owners = endpoints.EndpointOwners()
        # Whether the owners of endpoints match the entries.
        self._owners_are_current = True

    def export(self) -> catalogue_records.CatalogueState:
        """Return the complete state, which determines all later answers."""
        return catalogue_records.CatalogueState(
            version=self.version,
            last_number=self._last_number,
            entries=tuple(self.list_entries()),
            history=tuple(self.history),
            answers=tuple(
                catalogue_records.KeptAnswer(key, answer)
                for key, answer in self.answers.items()
            ),
            document=self.document,
            pools=tuple(
                catalogue_records.PoolNumber(name, number)
                for name, number in self.pools.items()
            ),
            evacuated_zones=tuple(sorted(self.evacuated_zones)),
        )

    def restore(self, state: catalogue_records.CatalogueState) -> None:
        """Replace the complete state with an exported one."""
        self.version = state.version
        pool_names = {pool.number: pool.name for pool in state.pools}
        self.entries = {
            entry.name: former_pools.name_former_pools(entry, pool_names)
            for entry in state.entries
        }
        self.history = list(state.history)
        self.answers.clear()
        for kept_answer in state.answers:
            self.answers[kept_answer.idempotency_key] = kept_answer.answer
        self.document = state.document
        self.pools = {pool.name: pool.number for pool in state.pools}
        self.evacuated_zones = frozenset(state.evacuated_zones)
        self._last_number = state.last_number
        self._owners_are_current = False

    def known_answer(
        self, idempotency_key: str
    ) -> catalogue_records.Answer | None:
        """Return the stored answer to an idempotency key, or ``None``."""
        return self.answers.get(idempotency_key)

    def apply(
        self, request: catalogue_records.Request
    ) -> catalogue_records.Answer:
        """Apply a request and return its answer.

        Edits and evacuation orders whose request has a known idempotency key
        change nothing and get the stored answer. A document changes nothing
        unless its version is higher than that of the current document; the
        idempotency key of a document is not used. A document with the changes
        to another version of the catalogue than the current one is not
        accepted. An evacuation order and the expiry of former pools are always
        accepted.
        """
        if request.document is not None:
            return self._apply_document(request.document)
        if request.expire_former_pools:
            return self._apply_expiry(request.expire_former_pools)
        stored_answer = self.known_answer(request.idempotency_key)
        if stored_answer is not None:
            return stored_answer
        if request.evacuation is not None:
            answer = self._apply_evacuation(request.evacuation)
            self._store_answer(request.idempotency_key, answer)
            return answer
        conflicts = self._find_conflicts(request)
        if conflicts:
            answer = catalogue_records.Answer(False, self.version, conflicts)
        else:
            self.version += 1
            for edit in request.edits:
                self._apply_edit(request, edit)
            answer = catalogue_records.Answer(True, self.version)
        self._store_answer(request.idempotency_key, answer)
        return answer

    def list_entries(self) -> list[services.Service]:
        """Return all entries ordered by name, including retired ones."""
        return [self.entries[name] for name in sorted(self.entries)]

    def get_pool_number(self, name: str) -> int | None:
        """Return the number of a pool, or ``None`` if the name is unknown.

        A name that no document uses for a pool refers to the entry with
        this name, whose number is then also the number of its pool.
        """
        number = self.pools.get(name)
        if number is None and name in self.entries:
            number = self.entries[name].number
        return number

    def _apply_evacuation(
        self, order: zone_orders.Order
    ) -> catalogue_records.Answer:
        zones = zone_orders.apply_order(self.evacuated_zones, order)
        if zones != self.evacuated_zones:
            self.version += 1
            self.evacuated_zones = zones
        return catalogue_records.Answer(True, self.version)

    def _apply_expiry(self, expired_version: int) -> catalogue_records.Answer:
        changed_entries = former_pools.expire_former_pools(
            self.entries.values(), expired_version, self.version + 1
        )
        if changed_entries:
            self.version += 1
            self.entries.update((item.name, item) for item in changed_entries)
        return catalogue_records.Answer(True, self.version)

    def _apply_document(
        self, document: catalogue_records.Document
    ) -> catalogue_records.Answer:
        # A document whose version is not higher is older, a retry, or another
        # document with the same version. It changes nothing, but is accepted,
        # since the catalogue already has the newest document.
        current_version = self.document.version if self.document else 0
        if document.version <= current_version:
            return catalogue_records.Answer(True, self.version)
        if document.base_version not in (0, self.version):
            return catalogue_records.Answer(False, self.version)
        self.version += 1
        numbered_entries = [
            self._assign_numbers(entry) for entry in document.entries
        ]
        if document.base_version:
            self.entries = documents.change_entries(
                self.entries, numbered_entries, document.removed, self.version
            )
        else:
            self.entries = documents.replace_entries(
                self.entries, numbered_entries, self.version
            )
        self.document = catalogue_records.Document(
            document.version, document.text
        )
        # The owners of endpoints are needed only for edits.
        self._owners_are_current = False
        return catalogue_records.Answer(True, self.version)

    def _assign_numbers(self, entry: services.Service) -> services.Service:
        shares = tuple(
            services.Share(
                self._assign_pool_number(share.name), share.weight, share.name
            )
            for share in entry.shares
        )
        current = self.entries.get(entry.name)
        number = current.number if current else self._allocate_number()
        return services.with_catalogue_fields(
            entry, number, self.version, shares
        )

    def _assign_pool_number(self, name: str) -> int:
        if name not in self.pools:
            self.pools[name] = self._allocate_number()
        return self.pools[name]

    def _find_conflicts(
        self, request: catalogue_records.Request
    ) -> tuple[catalogue_records.Conflict, ...]:
        conflicts: list[catalogue_records.Conflict] = []
        edited_names: set[str] = set()
        for edit in request.edits:
            current = self.entries.get(edit.name)
            reason = edit_conflicts.find_conflict_reason(edit, current)
            if edit.name in edited_names:
                reason = 'edited twice in one request; send one edit of it'
            edited_names.add(edit.name)
            if reason:
                conflicts.append(
                    catalogue_records.Conflict(edit.name, reason, current)
                )
        conflicts.extend(self._find_endpoint_conflicts(request, edited_names))
        return tuple(conflicts)

    def _find_endpoint_conflicts(
        self, request: catalogue_records.Request, edited_names: set[str]
    ) -> list[catalogue_records.Conflict]:
        if not self._owners_are_current:
            self._owners.replace_all(self.list_entries())
            self._owners_are_current = True
        put_entries: dict[str, services.Service] = {}
        for edit in request.edits:
            match edit.change:
                case catalogue_records.Put(entry=entry):
                    put_entries[edit.name] = entry
        conflicts: list[catalogue_records.Conflict] = []
        for conflict in self._owners.find_conflicts(put_entries, edited_names):
            reason = (
                f'port {conflict.port} of this address belongs to'
                f' {conflict.holder}; choose another port or retire that entry'
                ' first'
            )
            current = (
                put_entries.get(conflict.holder)
                or self.entries[conflict.holder]
            )
            conflicts.append(
                catalogue_records.Conflict(conflict.name, reason, current)
            )
        return conflicts

    def _apply_edit(
        self, request: catalogue_records.Request, edit: catalogue_records.Edit
    ) -> None:
        current = self.entries.get(edit.name)
        match edit.change:
            case catalogue_records.Put(entry=entry):
                number = current.number if current else self._allocate_number()
                changed_entry = dataclasses.replace(
                    entry,
                    name=edit.name,
                    number=number,
                    version=self.version,
                    retired=False,
                )
            case catalogue_records.Retire():
                # _find_conflicts has rejected the edit of a missing entry.
                assert current is not None
                changed_entry = dataclasses.replace(
                    current, version=self.version, retired=True
                )
        if current is not None:
            self._owners.release(current)
        self.entries[edit.name] = changed_entry
        self._owners.claim(changed_entry)
        self.history.append(
            catalogue_records.HistoryItem(
                self.version,
                request.operator,
                request.idempotency_key,
                changed_entry,
            )
        )
        if len(self.history) > MAX_HISTORY_ITEMS:
            # Each deletion at the front moves the whole list, so delete a
            # tenth of the limit at once rather than one item at a time.
            del self.history[: MAX_HISTORY_ITEMS // 10]

    def _allocate_number(self) -> int:
        self._last_number += 1
        return self._last_number

    def _store_answer(
        self, key: str, answer: catalogue_records.Answer
    ) -> None:
        self.answers[key] = answer
        while len(self.answers) > MAX_STORED_ANSWERS:
            self.answers.popitem(last=False)
