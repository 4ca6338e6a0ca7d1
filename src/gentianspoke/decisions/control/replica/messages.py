"""Messages between members, and the events that a replica handles.

``sender`` and ``to`` are the numbers of the members' data folders;
``group.Member`` explains these numbers. ``sent_ms`` is a time of the sender's
clock and is not transmitted. The sender reads it when the reply arrives.
"""

import dataclasses

from gentianspoke.decisions.control import catalogue_records
from gentianspoke.decisions.control.replica import group as groups
from gentianspoke.decisions.control.replica import records


@dataclasses.dataclass(frozen=True, slots=True)
class VoteRequest:
    """Asks for a vote, or, with ``pre``, asks whether it would be granted.

    ``unopposed`` tells whether all voters were willing to vote without the
    wait after a start; see ``VoteReply``.
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
    """Answers a vote request; ``term`` is the sender's current term.

    In the reply to a vote request, ``willing`` tells whether the sender
    granted its vote without the wait after a start. In the reply to a
    pre-vote, it tells whether the sender would do so. A voter that has led
    or heard from a leader since its start never skips the wait. A vote
    without the wait counts only if all voters grant their votes.
    """

    sender: int
    term: int
    granted: bool
    willing: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class AppendRequest:
    """The leader's heartbeat, with a batch of records, which may be empty.

    The first record follows ``previous_index``, and ``previous_term`` is the
    term of the record at that index. ``echo_ms`` is the time that the
    receiver sent in its last reply, 0 if there is none. ``confirmed_age_ms``
    is how long ago a majority confirmed the leader's state.

    A request with ``is_heartbeat_only`` holds no records, though the leader
    may have some to send. Its reply tells the leader only that the receiver is
    in contact, whether it can write and whether it stops.
    """

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
    is_heartbeat_only: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class AppendReply:
    """Tells up to which index the sender's log matches the leader's.

    With ``success``, the sender's log matches up to ``match_index`` and is
    durable up to there. Without it, ``match_index`` is the index at which the
    leader compares the two logs next. ``clock_ms`` is the time of the
    sender's clock, which the leader sends back in ``echo_ms``. Without
    ``can_write``, the sender's disk takes no writes, so it needs no records.
    With ``stopping``, the sender's process is about to end.
    """

    sender: int
    term: int
    success: bool
    match_index: int
    clock_ms: int = 0
    can_write: bool = True
    stopping: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class InstallRequest:
    """A snapshot for a member that needs records no longer in the log."""

    sender: int
    to: int
    term: int
    snapshot: records.Snapshot
    sent_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class WrongFolder:
    """Answers a request that was addressed to another data folder.

    ``number`` is that of the data folder that received the request.
    """

    number: int


Request = VoteRequest | AppendRequest | InstallRequest
Reply = VoteReply | AppendReply | WrongFolder


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Some time has passed since the last event."""


@dataclasses.dataclass(frozen=True, slots=True)
class RequestReceived:
    """A request from a peer arrived."""

    request: Request


@dataclasses.dataclass(frozen=True, slots=True)
class ReplyReceived:
    """A peer's reply to a request arrived."""

    request: Request
    reply: Reply


@dataclasses.dataclass(frozen=True, slots=True)
class RequestFailed:
    """A request failed or its reply timed out; its connection is closed."""

    request: Request


@dataclasses.dataclass(frozen=True, slots=True)
class Propose:
    """Operators sent requests, which are to be appended to the log."""

    requests: tuple[catalogue_records.Request, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class AddLearner:
    """A request to add an instance as a learner.

    It comes from an operator or from the instance itself. ``has_other_group``
    tells whether the instance belongs to a group that shares no member with
    the leader's group.
    """

    member: groups.Member
    has_other_group: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RemoveMember:
    """An operator asks to remove a member."""

    instance: str


@dataclasses.dataclass(frozen=True, slots=True)
class FormGroup:
    """The numbers of all initial members are known: form the group."""

    group: groups.Group


@dataclasses.dataclass(frozen=True, slots=True)
class Synced:
    """The records up to ``index`` are durable on this instance."""

    index: int


@dataclasses.dataclass(frozen=True, slots=True)
class WriteFailed:
    """What the effects of the last step save could not be written."""


@dataclasses.dataclass(frozen=True, slots=True)
class StopPlanned:
    """The process of this instance is about to end."""


@dataclasses.dataclass(frozen=True, slots=True)
class WritesRestored:
    """The whole state has been written, after writes had failed."""


Event = (
    Tick
    | RequestReceived
    | ReplyReceived
    | RequestFailed
    | Propose
    | AddLearner
    | RemoveMember
    | FormGroup
    | Synced
    | WriteFailed
    | StopPlanned
    | WritesRestored
)
