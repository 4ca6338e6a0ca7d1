"""States of the catalogue log's specification and effects of its records."""

import dataclasses
import enum
import functools
import typing

from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.decisions.control import catalogue
from gentianspoke.decisions.control import catalogue_records
from gentianspoke.decisions.control.replica import group as groups

NOBODY = -1


class Kind(enum.IntEnum):
    """The kind of a record.

    A record of the kind ``VOTERS`` changes the voters; it holds the whole new
    set of voters.
    """

    NO_OP = 0
    EDIT_A = 1
    EDIT_B = 2
    VOTERS = 3


class Mistake(enum.Enum):
    """A rule that the specification leaves out on purpose.

    The search must then find a violation, which shows that it would notice
    the mistake.
    """

    ANSWER_BEFORE_MAJORITY = 'answer before a majority has the record'
    NO_SYNC_BEFORE_REPLY = 'reply before the record is synced'
    VOTE_NOT_SYNCED = 'a vote that a crash forgets'
    VOTE_IGNORES_LOG = 'a vote for a log that is behind'
    COMMIT_OLD_TERM = 'commit a record of an older term by counting'
    WIPED_KEEPS_IDENTITY = 'a wiped member votes under its old identity'
    SWAP_IN_ONE_CHANGE = 'one change takes a voter out and another one in'
    TWO_CHANGES_AT_ONCE = 'a change of voters before the last is committed'
    ANSWERS_NOT_IN_SNAPSHOT = 'a snapshot without the answers'
    NO_ANSWERS_KEPT = 'an edit that is sent again is applied again'
    SILENT_MEMBER_REMOVED = 'silent members are removed, however few are left'
    UNSAVED_RECORD_COUNTS = 'a record counts that a full disk refused'
    UNSAVED_VOTE_COUNTS = 'a vote counts that a full disk refused'
    STOP_BEFORE_VOTE_IS_TAKEN = 'a member stops for good while it still votes'
    ONLY_VOTERS_CAMPAIGN = 'a leader that took its own vote is never elected'
    BASE_VERSION_IGNORED = 'an edit is accepted on any version'


class Record(typing.NamedTuple):
    """One entry of the log."""

    term: int
    kind: int
    voters: tuple[int, ...] = ()


Log = tuple[Record, ...]


class Node(typing.NamedTuple):
    """One control instance; ``synced`` counts its durable records.

    ``synced_voted_for`` is the durable vote, which replaces ``voted_for`` if
    the instance crashes. If the instance leads, ``match_indexes`` holds for
    each instance number the index up to which that instance's log is known to
    match the leader's.
    ``can_write`` is false while the disk refuses writes; ``durable_term`` is
    then the term that the disk holds, and ``NOBODY`` otherwise.
    ``stopped`` tells whether the instance has stopped for good, as planned.
    ``dropped`` counts the records whose answers a snapshot has lost, which
    happens only with ``Mistake.ANSWERS_NOT_IN_SNAPSHOT``.
    """

    is_up: bool = True
    disk_lost: bool = False
    term: int = 0
    voted_for: int = NOBODY
    synced_voted_for: int = NOBODY
    log: Log = ()
    synced: int = 0
    commit_index: int = 0
    dropped: int = 0
    leads: bool = False
    match_indexes: tuple[int, ...] = ()
    can_write: bool = True
    durable_term: int = NOBODY
    stopped: bool = False

    @property
    def is_gone(self) -> bool:
        """Whether neither the instance nor its disk will ever return."""
        return self.disk_lost or self.stopped


class State(typing.NamedTuple):
    """All instances, one delayed message and the answers to operators.

    ``delayed`` is an append that is still under way, or empty.
    ``committed`` is the longest log that any instance has committed.
    ``answers`` holds the kind of the edit, whether the edit was accepted, and
    the catalogue version, for each answer that an operator received.
    ``crashes``, ``losses``, ``delays`` and ``refusals`` count the faults that
    may still occur, and ``stops`` the planned stops.
    """

    nodes: tuple[Node, ...]
    delayed: tuple
    committed: Log
    answers: frozenset
    crashes: int
    losses: int
    delays: int
    refusals: int
    stops: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """The bounds of the search.

    ``voters`` counts the initial voters and ``spares`` the other instances.
    ``terms`` is the highest term. A leader whose log has ``records`` records
    proposes no more. ``sends_a`` and ``sends_b`` limit how often the log holds
    the edits A and B. ``crashes``, ``losses`` (of disks), ``delays`` (of
    appends) and ``refusals`` (of writes, by a full disk, until there is room)
    limit how often these faults occur. ``stops`` limits how many instances
    stop for good as planned.
    """

    voters: int = 3
    spares: int = 0
    terms: int = 2
    records: int = 3
    sends_a: int = 2
    sends_b: int = 1
    crashes: int = 1
    losses: int = 0
    delays: int = 0
    refusals: int = 0
    stops: int = 0
    # The number of disks that may be lost before their members are replaced.
    # If it is set, the leader removes a member without an operator, but only
    # one that has lost its disk. The leader knows of the loss when another
    # data folder answers at the member's address. If there are ``stops``, the
    # leader also takes the vote of any member, itself included, while there
    # is a voter to spare, since any member may seem silent; the member may
    # vote again later. With None, operators add and remove members.
    tolerate: int | None = None
    # Whether a batch may end before the newest record.
    short_batches: bool = False


@functools.lru_cache(maxsize=None)
def build_group(voters: tuple[int, ...]) -> groups.Group:
    """Return the group of the production code for a set of voters."""
    members = (
        groups.Member(number, f'control-{number}', '127.0.0.1:1', True)
        for number in voters
    )
    return groups.Group(tuple(members))


def find_voters(log: Log, initial_voters: tuple[int, ...]) -> tuple[int, ...]:
    """Return the current voters, which the newest change of voters set."""
    for record in reversed(log):
        if record.kind == Kind.VOTERS:
            return record.voters
    return initial_voters


def find_log_end(log: Log) -> tuple[int, int]:
    """Return the term of a log's last record and the log's length.

    A voter does not vote for a candidate whose log has a lower pair.
    """
    return (log[-1].term if log else 0, len(log))


@functools.lru_cache(maxsize=None)
def compute_answers(
    log: Log, dropped: int, mistake: Mistake | None
) -> dict[int, catalogue_records.Answer]:
    """Return the production catalogue's answer to each edit, by edit kind.

    The answers to the first ``dropped`` records of the log are left out, as
    if a snapshot had lost them.
    """
    state = catalogue.Catalogue()
    answers_by_kind: dict[int, catalogue_records.Answer] = {}
    for position, record in enumerate(log):
        if position == dropped:
            state = _drop_answers(state)
            answers_by_kind = {}
        if record.kind in (Kind.EDIT_A, Kind.EDIT_B):
            if mistake is Mistake.NO_ANSWERS_KEPT:
                state = _drop_answers(state)
            answers_by_kind[record.kind] = state.apply(
                _build_request(record.kind, mistake)
            )
    return answers_by_kind if dropped < len(log) or not dropped else {}


def _drop_answers(state: catalogue.Catalogue) -> catalogue.Catalogue:
    state_without_answers = catalogue.Catalogue()
    state_without_answers.restore(
        dataclasses.replace(state.export(), answers=())
    )
    return state_without_answers


def _build_request(
    kind: int, mistake: Mistake | None
) -> catalogue_records.Request:
    entry = services.Service(
        number=0,
        name='board',
        owner=f'owner-{kind}',
        address=bytes((10, 1, 0, 1)),
        ports=(443,),
        protocol=packets.TCP,
        traffic=services.Board(),
        limits=services.Limits(),
        version=0,
    )
    name = 'board'
    if mistake is Mistake.BASE_VERSION_IGNORED:
        # Each edit adds an entry of its own at a port of its own, so that the
        # catalogue finds no conflict.
        name = f'board-{kind}'
        entry = dataclasses.replace(entry, name=name, ports=(kind,))
    edit = catalogue_records.Edit(name, 0, catalogue_records.Put(entry))
    return catalogue_records.Request(f'key-{kind}', 'operator', (edit,))
