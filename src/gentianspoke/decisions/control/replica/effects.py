"""The effects that a replica returns, for the calling code to carry out.

The effects are carried out in the order of the list, except that those which
save something may be carried out earlier. What an effect saves has to be
durable before any later effect is carried out and before any message is sent.
"""

import dataclasses

from gentianspoke.decisions.control import catalogue_records
from gentianspoke.decisions.control.replica import messages
from gentianspoke.decisions.control.replica import records


@dataclasses.dataclass(frozen=True, slots=True)
class SaveVote:
    """Saves the current term and the member voted for in it.

    ``voted_for`` is the member's number, or ``group.NOBODY`` if no vote was
    given.
    """

    term: int
    voted_for: int


@dataclasses.dataclass(frozen=True, slots=True)
class SaveRecords:
    """Saves records at the end of the log.

    The records replace all stored ones from the index of the first record on.
    """

    records: tuple[records.Record, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Stored:
    """Everything that a replica needs for a restart.

    ``number`` is that of the data folder; ``base`` is the position before
    the first of ``records``.
    """

    number: int
    instance: str
    vote: SaveVote
    snapshot: records.Snapshot
    base: records.Base
    records: tuple[records.Record, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SaveAll:
    """Saves the whole state and replaces all that was saved before."""

    stored: Stored


@dataclasses.dataclass(frozen=True, slots=True)
class Respond:
    """Sends the reply to the request that was just handled."""

    reply: messages.Reply


@dataclasses.dataclass(frozen=True, slots=True)
class Proposed:
    """Reports that a request was appended to the log, not yet committed."""

    index: int
    term: int
    idempotency_key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Committed:
    """Reports that a record is committed.

    ``answer`` is the catalogue's answer if the record holds a request, and
    ``None`` otherwise.
    """

    index: int
    term: int
    answer: catalogue_records.Answer | None


@dataclasses.dataclass(frozen=True, slots=True)
class Restored:
    """Reports that a snapshot replaced the content of the catalogue.

    ``index`` is the index of the last record that the snapshot covers.
    """

    index: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Reports that a proposal or a change of members was refused.

    ``reason`` says why and what the operator can do.
    """

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class RoleChanged:
    """Reports the role after a transition, and the current term.

    If a pre-candidate starts another pre-vote, neither has changed.
    """

    role: str
    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class GroupChanged:
    """Reports that the members changed or that a snapshot set them."""


Effect = (
    SaveVote
    | SaveRecords
    | SaveAll
    | Respond
    | Proposed
    | Committed
    | Restored
    | Refused
    | RoleChanged
    | GroupChanged
)
