"""What a control instance offers to a front end for operators."""

import dataclasses

from gentianspoke.shells.control import documents
from gentianspoke.shells.control import evacuations
from gentianspoke.shells.control import replicated_log
from gentianspoke.shells import process


@dataclasses.dataclass(frozen=True, slots=True)
class Operations:
    """The store of documents and the evacuation of availability zones."""

    documents: documents.Documents
    evacuations: evacuations.Evacuations


def create_operations(
    proc: process.Process, log: replicated_log.ReplicatedLog | None
) -> Operations:
    """Return the operations on a log, ``None`` if the instance keeps none."""
    return Operations(
        documents.Documents(proc, log), evacuations.Evacuations(proc, log)
    )
