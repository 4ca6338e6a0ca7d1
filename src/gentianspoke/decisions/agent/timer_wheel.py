"""A timer wheel with coarse time slots for the checks of records.

A record is added to the time slot in which its check is due. If the check
finds that the record has been used in the meantime, it adds the record to a
later time slot. The use of a record therefore does not change the wheel, and a
tick visits only the records that may be due. A record that was added several
times is returned several times.
"""

import collections
import dataclasses
import typing

# Width of a time slot.
TIME_SLOT_MS = 250

Record = typing.TypeVar('Record')


@dataclasses.dataclass(slots=True)
class TimerWheel(typing.Generic[Record]):
    """Records grouped by the time slot in which a check of each is due.

    ``_next_slot`` is the first time slot that may hold records, ``None`` if
    the wheel is empty.
    """

    _slots: dict[int, list[Record]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    _next_slot: int | None = None

    def add(self, record: Record, due_ms: int) -> None:
        """Add a record that :meth:`pop_due` returns once it is due."""
        # The slot is rounded up, so that no record is returned too early.
        slot = -(-due_ms // TIME_SLOT_MS)
        if self._next_slot is None or slot < self._next_slot:
            self._next_slot = slot
        self._slots[slot].append(record)

    def pop_due(self, now: int) -> list[Record]:
        """Remove and return the records that are due.

        A record may be returned up to ``TIME_SLOT_MS`` after its due time.
        """
        due_records: list[Record] = []
        last_slot = now // TIME_SLOT_MS
        if self._next_slot is None or last_slot < self._next_slot:
            return due_records
        if last_slot - self._next_slot > len(self._slots):
            # After a long pause, fewer slots hold records than have passed,
            # so iterating over the existing slots is cheaper.
            passed_slots = sorted(
                slot for slot in self._slots if slot <= last_slot
            )
        else:
            passed_slots = list(range(self._next_slot, last_slot + 1))
        for slot in passed_slots:
            due_records.extend(self._slots.pop(slot, ()))
        self._next_slot = last_slot + 1 if self._slots else None
        return due_records
