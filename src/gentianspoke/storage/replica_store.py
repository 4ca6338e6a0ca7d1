"""The durable state of a replica, kept in a journal."""

import dataclasses

from gentianspoke.codec import replica as codec
from gentianspoke.decisions.control.replica import effects
from gentianspoke.decisions.control.replica import records
from gentianspoke.storage import journal as journals


@dataclasses.dataclass(frozen=True, slots=True)
class Loaded:
    """What was stored, and how much of a torn last entry was cut."""

    stored: effects.Stored
    cut_bytes: int


class ReplicaStore:
    """Saves what the effects of a replica name."""

    def __init__(self, journal: journals.Journal) -> None:
        """Save to a journal."""
        self._journal = journal

    def load(self) -> Loaded | None:
        """Return what was stored, ``None`` for a new folder.

        Raises :class:`gentianspoke.errors.StorageError`.
        """
        content = self._journal.load()
        if content is None:
            return None
        stored = codec.decode_head(content.head)
        vote = stored.vote
        log = records.RecordLog(stored.base, stored.records)
        for data in content.entries:
            entry = codec.decode_entry(data)
            vote = entry.vote or vote
            log.append(entry.records)
        stored = dataclasses.replace(
            stored, vote=vote, records=tuple(log.records)
        )
        return Loaded(stored, content.cut_bytes)

    def save_all(self, stored: effects.Stored) -> None:
        """Replace everything; durable on return."""
        self._journal.rewrite(codec.encode_head(stored))

    def save(self, entry: codec.Entry) -> None:
        """Add a vote and records; durable on return."""
        self._journal.append(codec.encode_entry(entry))
