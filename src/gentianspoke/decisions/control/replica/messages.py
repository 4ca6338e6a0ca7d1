"""Messages between members, and the events that a replica takes.

``sent_ms`` is a time of the sender's own clock and stays with the sender.
"""

import dataclasses

from gentianspoke.decisions.control import catalogue
from gentianspoke.decisions.control.replica import group as groups
from gentianspoke.decisions.control.replica import records


@dataclasses.dataclass(frozen=True, slots=True)
class VoteRequest:
    """Asks for a vote, or with ``pre`` whether one would be given.

    ``unopposed`` tells that all voters were willing; see ``VoteReply``.
    """

    sender: int
    to: int
    term: int
    last_index: int
    last_term: int
    pre: bool
    unopposed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class VoteReply:
    """Answers a vote request; ``term`` is the newest that is known.

    ``willing`` tells that the sender does not lead, has heard no leader
    since its start, and gives its vote without the wait after that: it
    counts only where all voters give theirs.
    """

    sender: int
    term: int
    granted: bool
    willing: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class AppendRequest:
    """The leader's heartbeat, with the records that follow a place."""

    sender: int
    to: int
    term: int
    previous_index: int
    previous_term: int
    records: tuple[records.Record, ...]
    commit_index: int
    echo_ms: int = 0
    confirmed_age_ms: int = 0
    sent_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class AppendReply:
    """Says up to which index the sender's log is synced and the same.

    Without ``success``, ``match_index`` is where the leader tries next.
    ``clock_ms`` is the sender's time, which the leader sends back.
    """

    sender: int
    term: int
    success: bool
    match_index: int
    clock_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class InstallRequest:
    """A snapshot for a member that is behind the records still kept."""

    sender: int
    to: int
    term: int
    snapshot: records.Snapshot
    sent_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class WrongFolder:
    """The receiver's folder has another number than the one asked."""

    number: int


Request = VoteRequest | AppendRequest | InstallRequest
Reply = VoteReply | AppendReply | WrongFolder


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


@dataclasses.dataclass(frozen=True, slots=True)
class RequestReceived:
    """A request of a peer arrived."""

    request: Request


@dataclasses.dataclass(frozen=True, slots=True)
class ReplyReceived:
    """A peer's reply to a request arrived."""

    request: Request
    reply: Reply


@dataclasses.dataclass(frozen=True, slots=True)
class RequestTimedOut:
    """A request was not answered in time; its channel is given up."""

    request: Request


@dataclasses.dataclass(frozen=True, slots=True)
class Propose:
    """Operators' requests for the log."""

    requests: tuple[catalogue.Request, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class AddLearner:
    """An operator adds an instance that waits to be added.

    ``has_group`` tells that the instance belongs to a group already.
    """

    member: groups.Member
    has_group: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RemoveMember:
    """An operator removes a member."""

    instance: str


@dataclasses.dataclass(frozen=True, slots=True)
class FormGroup:
    """All first members know each other's folders: the group begins."""

    group: groups.Group


@dataclasses.dataclass(frozen=True, slots=True)
class Synced:
    """The records up to ``index`` are durable on this instance."""

    index: int


Event = (
    Tick
    | RequestReceived
    | ReplyReceived
    | RequestTimedOut
    | Propose
    | AddLearner
    | RemoveMember
    | FormGroup
    | Synced
)
