"""When records are looked at again: a wheel of coarse time slots.

Every record stands in one slot. A record that was used meanwhile is put
into a later slot when its turn comes, so the use itself costs nothing and
a tick touches only what may be due.
"""

import collections
import dataclasses
import typing

SLOT_MS = 250

Record = typing.TypeVar('Record')


@dataclasses.dataclass(slots=True)
class Schedule(typing.Generic[Record]):
    """Records by the time slot in which each is looked at again."""

    _slots: dict[int, list[Record]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    _next_slot: int | None = None

    def add(self, record: Record, due_ms: int) -> None:
        """Have a record returned by :meth:`take_due` once it is due."""
        slot = -(-due_ms // SLOT_MS)
        if self._next_slot is None or slot < self._next_slot:
            self._next_slot = slot
        self._slots[slot].append(record)

    def take_due(self, now: int) -> list[Record]:
        """Return the records that are due and remove them.

        A record may be returned up to ``SLOT_MS`` after it was due.
        """
        due: list[Record] = []
        last = now // SLOT_MS
        if self._next_slot is None or last < self._next_slot:
            return due
        if last - self._next_slot > len(self._slots):
            # After a long pause the slots that exist are the fewer ones.
            passed = sorted(slot for slot in self._slots if slot <= last)
        else:
            passed = list(range(self._next_slot, last + 1))
        for slot in passed:
            due.extend(self._slots.pop(slot, ()))
        self._next_slot = last + 1 if self._slots else None
        return due
