"""Storage of the durable state of a replica in a journal."""

import dataclasses

from gentianspoke.codec import replica as codec
from gentianspoke.decisions.control.replica import effects
from gentianspoke.decisions.control.replica import records
from gentianspoke.storage import journal as journals


@dataclasses.dataclass(frozen=True, slots=True)
class LoadedState:
    """The stored state of a replica, as read from its journal.

    ``cut_bytes`` is the size in bytes of the incomplete or corrupt last entry,
    which was ignored, or 0 if there is none.
    """

    stored: effects.Stored
    cut_bytes: int


class ReplicaStore:
    """Stores the votes, records and snapshots of a replica."""

    def __init__(self, journal: journals.Journal) -> None:
        """Use ``journal`` to store the state."""
        self._journal = journal

    def load(self) -> LoadedState | None:
        """Return the stored state, or ``None`` if the folder is new.

        Raises :class:`gentianspoke.errors.StorageError` if the state cannot
        be read, and :class:`gentianspoke.errors.ControlError` if a record or
        the snapshot is invalid.
        """
        content = self._journal.load()
        if content is None:
            return None
        stored = codec.decode_journal_head(content.head)
        vote = stored.vote
        log = records.RecordLog(stored.base, stored.records)
        for entry_bytes in content.entries:
            entry = codec.decode_journal_entry(entry_bytes)
            vote = entry.vote or vote
            log.append(entry.records)
        stored = dataclasses.replace(
            stored, vote=vote, records=tuple(log.records)
        )
        return LoadedState(stored, content.cut_bytes)

    def save_all(self, stored: effects.Stored) -> None:
        """Replace the whole stored state, durably on return.

        Raises :class:`gentianspoke.errors.WriteError` if a write fails.
        """
        self._journal.rewrite(codec.encode_journal_head(stored))

    def check_space(self) -> None:
        """See whether the disk takes writes, with a small file.

        Raises :class:`gentianspoke.errors.WriteError` if it does not.
        """
        self._journal.check_space()

    def save(self, entry: codec.JournalEntry) -> None:
        """Add the vote and the records of an entry, durably on return.

        Raises :class:`gentianspoke.errors.WriteError` if a write fails.
        """
        self._journal.append(codec.encode_journal_entry(entry))
