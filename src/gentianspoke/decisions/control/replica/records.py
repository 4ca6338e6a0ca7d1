"""Records of the log, and the part of the log that is kept in memory."""

import dataclasses

from gentianspoke.decisions.control import catalogue_records
from gentianspoke.decisions.control.replica import group as groups

# A batch is sent in one message and made durable by one sync. A record that
# exceeds the limit is a batch of its own. The weight of a request with edits
# is the sum of its edits' weights: 1 for each edit, plus 1 for each
# PORTS_PER_WEIGHT ports. _weigh_record gives the weights of other records.
MAX_BATCH_WEIGHT = 256
PORTS_PER_WEIGHT = 16


@dataclasses.dataclass(frozen=True, slots=True)
class NoOp:
    """An empty record, which a new leader appends first in its term.

    Its commit also commits all records of older terms before it. Where the
    log is empty, the leader appends a ``SetGroup`` record instead.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class Command:
    """A request from an operator."""

    request: catalogue_records.Request


@dataclasses.dataclass(frozen=True, slots=True)
class SetGroup:
    """A change of members, which takes effect once it is in the log."""

    group: groups.Group


Payload = NoOp | Command | SetGroup


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """One entry of the replicated log."""

    index: int
    term: int
    payload: Payload


@dataclasses.dataclass(frozen=True, slots=True)
class Base:
    """The position in the log before the first record that is kept.

    ``group`` holds the group's members at this position.
    """

    index: int = 0
    term: int = 0
    group: groups.Group = groups.Group()


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """The state after all records up to ``index`` have been applied."""

    index: int
    term: int
    group: groups.Group
    state: catalogue_records.CatalogueState


class RecordLog:
    """The records after a base, without gaps.

    ``group`` holds the members that the newest ``SetGroup`` record set, and
    ``group_index`` is the index of that record. Without such a record, both
    are those of the base.
    """

    def __init__(self, base: Base, records: tuple[Record, ...] = ()) -> None:
        """Start with the stored records."""
        self.base = base
        self.records: list[Record] = []
        self.group = base.group
        self.group_index = base.index
        self.append(records)

    @property
    def last_index(self) -> int:
        """The index of the newest record, or the base's if there is none."""
        return self.base.index + len(self.records)

    @property
    def last_term(self) -> int:
        """The term of the newest record, or the base's if there is none."""
        return self.records[-1].term if self.records else self.base.term

    def get_term(self, index: int) -> int | None:
        """Return the term at an index, ``None`` if the log does not hold it.

        The index of the base has a term, too.
        """
        if index == self.base.index:
            return self.base.term
        if self.base.index < index <= self.last_index:
            return self.get(index).term
        return None

    def get(self, index: int) -> Record:
        """Return the record at an index, which the log must still hold."""
        return self.records[index - self.base.index - 1]

    def get_batch(self, index: int) -> tuple[Record, ...]:
        """Return a batch of the records from ``index`` on.

        It holds at least one record if there is one.
        """
        batch: list[Record] = []
        weight = 0
        for record in self.records[index - self.base.index - 1 :]:
            weight += _weigh_record(record)
            if batch and weight > MAX_BATCH_WEIGHT:
                break
            batch.append(record)
        return tuple(batch)

    def append(self, records: tuple[Record, ...]) -> None:
        """Append records.

        The first one replaces the record at its index and all later ones.
        """
        if not records:
            return
        kept_count = records[0].index - self.base.index - 1
        if kept_count < len(self.records):
            del self.records[kept_count:]
            self._recompute_group()
        for record in records:
            self.records.append(record)
            self._apply_group(record)

    def discard_after(self, index: int) -> None:
        """Discard the records after ``index``."""
        kept_count = max(0, index - self.base.index)
        if kept_count < len(self.records):
            del self.records[kept_count:]
            self._recompute_group()

    def discard_until(self, index: int) -> None:
        """Discard the records up to ``index``, which a snapshot covers."""
        if index <= self.base.index:
            return
        group = self.base.group
        for record in self.records[: index - self.base.index]:
            match record.payload:
                case SetGroup(group=new_group):
                    group = new_group
        term = self.get(index).term
        del self.records[: index - self.base.index]
        self.base = Base(index, term, group)

    def _recompute_group(self) -> None:
        self.group = self.base.group
        self.group_index = self.base.index
        for record in self.records:
            self._apply_group(record)

    def _apply_group(self, record: Record) -> None:
        match record.payload:
            case SetGroup(group=group):
                self.group = group
                self.group_index = record.index


def _weigh_record(record: Record) -> int:
    match record.payload:
        case Command(request=request) if request.document is not None:
            # A document is a batch of its own.
            return MAX_BATCH_WEIGHT
        case Command(request=request):
            return sum(_weigh_edit(edit) for edit in request.edits)
        case _:
            return 1


def _weigh_edit(edit: catalogue_records.Edit) -> int:
    match edit.change:
        case catalogue_records.Put(entry=entry):
            return 1 + len(entry.ports) // PORTS_PER_WEIGHT
        case catalogue_records.Retire():
            return 1
