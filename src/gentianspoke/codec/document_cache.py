"""Cache of the encoded records of the control log that hold documents."""

import collections

from gentianspoke.decisions.control.replica import records
from gentianspoke.generated import replica_pb2

# How many encoded documents are kept. The same document is sent to each peer
# and written to the journal.
MAX_CACHED_DOCUMENTS = 8


class DocumentCache:
    """The newest encoded documents, each with the record that holds it.

    Records are immutable, so a record is recognized by its identity.
    """

    def __init__(self) -> None:
        """Start without documents."""
        self._items: collections.OrderedDict[
            int, tuple[records.Record, replica_pb2.Record]
        ] = collections.OrderedDict()

    def find(self, record: records.Record) -> replica_pb2.Record | None:
        """Return the message of a record, ``None`` if it is not kept."""
        item = self._items.get(id(record))
        return item[1] if item is not None and item[0] is record else None

    def store(
        self, record: records.Record, message: replica_pb2.Record
    ) -> None:
        """Keep the message of a record, and discard the oldest one."""
        self._items[id(record)] = (record, message)
        while len(self._items) > MAX_CACHED_DOCUMENTS:
            self._items.popitem(last=False)
