"""What a replica asks its shell to do, in this order.

What is saved has to be durable before any later effect is carried out
and before any message is sent.
"""

import dataclasses

from gentianspoke.decisions.control import catalogue
from gentianspoke.decisions.control.replica import messages
from gentianspoke.decisions.control.replica import records


@dataclasses.dataclass(frozen=True, slots=True)
class SaveVote:
    """The newest term, and who got this instance's vote in it."""

    term: int
    voted_for: int


@dataclasses.dataclass(frozen=True, slots=True)
class SaveRecords:
    """Records; the first replaces all of its index and above."""

    records: tuple[records.Record, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Stored:
    """All that a replica needs to begin again."""

    number: int
    instance: str
    vote: SaveVote
    snapshot: records.Snapshot
    base: records.Base
    records: tuple[records.Record, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SaveAll:
    """Everything, in place of what was saved before."""

    stored: Stored


@dataclasses.dataclass(frozen=True, slots=True)
class Respond:
    """The reply to the request that was asked."""

    reply: messages.Reply


@dataclasses.dataclass(frozen=True, slots=True)
class Proposed:
    """A request has its place in the log, not yet committed."""

    index: int
    term: int
    idempotency_key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Committed:
    """A record is committed; ``answer`` is set for a request."""

    index: int
    term: int
    answer: catalogue.Answer | None


@dataclasses.dataclass(frozen=True, slots=True)
class Restored:
    """A snapshot took the place of the catalogue."""

    index: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """A proposal or change was not taken; ``reason`` has the remedy."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class RoleChanged:
    """The replica has another role, or the same in another term."""

    role: str
    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class GroupChanged:
    """Other members are in force."""


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
