"""The catalogue's log: votes, replication, commits, changes of members.

A few members, of which some vote at first. An exchange between two of
them is one step; its answer may be lost, and it may be repeated or come
late, since any member that leads may send at any time what it has. What
is in a member's state is synced, so that a crash loses only its role,
and a member without its disk is not the member any more: it begins as a
new one, with an empty log, and votes only once a majority has added it.

The answers are those of the code's own :class:`catalogue.Catalogue`.

Properties: no two leaders in a term; an accepted request stays in the
log of every later leader's committed part; one winner per version and
one answer per idempotency key.
"""

import dataclasses
import enum
import functools
import typing

from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.decisions.control import catalogue
from specs import checking


class Mistake(enum.Enum):
    """A rule of the protocol that is left out, to see the check fail."""

    VOTE_BEFORE_CAUGHT_UP = 'a wiped member votes under its old identity'
    NO_SYNC = 'a member answers before its log is synced'
    VOTE_NOT_SAVED = 'a crash forgets the vote'
    OLD_LOG_WINS = 'a vote for a candidate whose log is behind'
    OLD_TERM_COMMIT = 'an entry of an older term is committed by counting'
    TWO_CHANGES = 'two members are changed at once'
    NO_MAJORITY = 'the leader answers without a majority'
    ANSWERS_NOT_IN_SNAPSHOT = 'a snapshot without the answers'


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Members, terms, and records of a log; which faults happen."""

    members: int = 3
    voters: tuple[int, ...] = (1, 2, 3)
    terms: int = 2
    records: int = 2
    crashes: int = 1
    wipes: int = 0
    changes: bool = False
    snapshots: bool = False


# A request's key, or the numbers of the voters that a change makes.
Value = str | frozenset[int]


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """One record of the log."""

    term: int
    value: Value


Log = tuple[Record, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """One member: term, vote and log are synced, the rest is not."""

    term: int = 0
    vote: int = 0
    log: Log = ()
    snapshot: int = 0
    leads: bool = False
    votes: frozenset[int] = frozenset()
    matched: frozenset[tuple[int, int]] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class Given:
    """An answer that a caller got: the record, its place, its result."""

    index: int
    record: Record
    answer: catalogue.Answer | None


class State(typing.NamedTuple):
    """One state; ``given`` are all answers that callers got."""

    members: tuple[Member, ...]
    given: frozenset[Given]
    crashes: int
    wipes: int

    def replaced(self, number: int, member: Member) -> 'State':
        """Return the state with one member replaced."""
        place = number - 1
        members = (*self.members[:place], member, *self.members[place + 1 :])
        return self._replace(members=members)


class ReplicatedLog:
    """The specification, with one rule left out where ``mistake`` is set."""

    name = 'log'
    fields: tuple[str, ...] = State._fields

    def __init__(
        self, bounds: Bounds = Bounds(), mistake: Mistake | None = None
    ) -> None:
        """Begin with empty logs."""
        self.bounds = bounds
        self.mistake = mistake
        self.numbers = tuple(range(1, bounds.members + 1))
        self.invariants: checking.Invariants = {
            'one-leader-per-term': _one_leader,
            'accepted-stays': _accepted_stays,
            'one-answer': _one_answer,
        }
        members = (Member(),) * bounds.members
        self.initial: tuple = State(members, frozenset(), 0, 0)

    def successors(self, state: tuple) -> list[checking.Step]:
        """Return every step that may follow."""
        state = State(*state)
        found: list[checking.Step] = []
        for number in self.numbers:
            found.extend(self._own_steps(state, number))
            for other in self.numbers:
                if other != number:
                    found.extend(self._vote(state, number, other))
                    found.extend(self._append(state, number, other))
        return found

    def voters(self, log: Log) -> frozenset[int]:
        """Return the voters that the newest change in a log names."""
        for record in reversed(log):
            if isinstance(record.value, frozenset):
                return record.value
        return frozenset(self.bounds.voters)

    def _own_steps(self, state: State, number: int) -> list[checking.Step]:
        found: list[checking.Step] = []
        member = state.members[number - 1]
        if member.term < self.bounds.terms and not member.leads:
            if number in self.voters(member.log):
                found.append(self._campaign(state, number))
        if member.leads:
            found.extend(self._propose(state, number))
            found.extend(self._commit(state, number))
        if state.crashes < self.bounds.crashes:
            found.append(self._crash(state, number))
        if state.wipes < self.bounds.wipes:
            found.append(self._wipe(state, number))
        if self.bounds.snapshots and member.snapshot < len(member.log):
            if member.leads and _committed(state, member):
                after = dataclasses.replace(member, snapshot=len(member.log))
                found.append(
                    (f'{number} snapshots', state.replaced(number, after))
                )
        return found

    def _campaign(self, state: State, number: int) -> checking.Step:
        member = state.members[number - 1]
        after = dataclasses.replace(
            member,
            term=member.term + 1,
            vote=number,
            votes=frozenset({number}),
            matched=frozenset(),
        )
        return (f'{number} campaigns', state.replaced(number, after))

    def _vote(
        self, state: State, number: int, other: int
    ) -> list[checking.Step]:
        candidate = state.members[number - 1]
        voter = state.members[other - 1]
        if not candidate.votes or candidate.leads:
            return []
        if candidate.term < voter.term or other in candidate.votes:
            return []
        voted = voter.vote if voter.term == candidate.term else 0
        if voted not in (0, number):
            return []
        behind = _newest(candidate.log) < _newest(voter.log)
        if behind and self.mistake is not Mistake.OLD_LOG_WINS:
            if candidate.term == voter.term:
                return []
            refused = _follow(voter, candidate.term)
            label = f'{other} refuses {number} its vote'
            return [(label, state.replaced(other, refused))]
        followed = _follow(voter, candidate.term, vote=number)
        lost = state.replaced(other, followed)
        votes = candidate.votes | {other}
        voters = self.voters(candidate.log)
        leads = 2 * len(votes & voters) > len(voters)
        after = dataclasses.replace(candidate, votes=votes, leads=leads)
        if leads:
            after = dataclasses.replace(after, votes=frozenset())
        label = f'{other} votes for {number}'
        found: list[checking.Step] = [(label, lost.replaced(number, after))]
        if followed != voter:
            found.append((f'{label}, answer lost', lost))
        return found

    def _propose(self, state: State, number: int) -> list[checking.Step]:
        member = state.members[number - 1]
        if len(member.log) >= self.bounds.records:
            return []
        values: list[Value] = list(REQUESTS)
        if self.bounds.changes:
            values.extend(self._changes(state, member))
        found: list[checking.Step] = []
        for value in values:
            record = Record(member.term, value)
            after = dataclasses.replace(member, log=(*member.log, record))
            label = f'{number} appends {_name(value)}'
            found.append((label, state.replaced(number, after)))
        return found

    def _changes(self, state: State, member: Member) -> list[Value]:
        # One change at a time, and only by a leader that has committed a
        # record of its own term, so that no older change is open.
        settled = _committed(state, member) and (
            member.log[-1].term == member.term
        )
        voters = self.voters(member.log)
        if self.mistake is Mistake.TWO_CHANGES:
            return [
                frozenset(self.numbers) - {first, second}
                for first in self.numbers
                for second in self.numbers
                if first < second
            ]
        if not settled:
            return []
        return [voters ^ {number} for number in self.numbers]

    def _append(
        self, state: State, number: int, other: int
    ) -> list[checking.Step]:
        leader = state.members[number - 1]
        follower = state.members[other - 1]
        if not leader.leads or follower.term > leader.term:
            return []
        size = _common(leader.log, follower.log)
        log = follower.log
        if size < len(leader.log):
            size += 1
            log = leader.log[:size]
        followed = _follow(follower, leader.term)
        followed = dataclasses.replace(followed, log=log)
        lost = state.replaced(other, followed)
        known = {item for item in leader.matched if item[0] != other}
        after = dataclasses.replace(
            leader, matched=frozenset(known | {(other, size)})
        )
        label = f'{other} stores {size} of {number}'
        found: list[checking.Step] = [(label, lost.replaced(number, after))]
        if followed != follower:
            found.append((f'{label}, answer lost', lost))
        return [step for step in found if step[1] != state]

    def _commit(self, state: State, number: int) -> list[checking.Step]:
        leader = state.members[number - 1]
        matched = dict(leader.matched) | {number: len(leader.log)}
        found: list[checking.Step] = []
        for size in range(1, len(leader.log) + 1):
            holders = {item for item, held in matched.items() if held >= size}
            voters = self.voters(leader.log)
            enough = 2 * len(holders & voters) > len(voters)
            own = leader.log[size - 1].term == leader.term
            own = own or self.mistake is Mistake.OLD_TERM_COMMIT
            if not (enough or self.mistake is Mistake.NO_MAJORITY) or not own:
                continue
            given = state.given | self._answers(leader, size)
            if given != state.given:
                label = f'{number} answers {size}'
                found.append((label, state._replace(given=given)))
        return found

    def _answers(self, leader: Member, size: int) -> frozenset[Given]:
        forgets = self.mistake is Mistake.ANSWERS_NOT_IN_SNAPSHOT
        snapshot = leader.snapshot if forgets else 0
        values = tuple(record.value for record in leader.log[:size])
        answers = answers_of(values, snapshot)
        return frozenset(
            Given(index, record, answer)
            for index, (record, answer) in enumerate(
                zip(leader.log[:size], answers)
            )
        )

    def _crash(self, state: State, number: int) -> checking.Step:
        member = state.members[number - 1]
        log, vote = member.log, member.vote
        if self.mistake is Mistake.NO_SYNC:
            log = log[:-1]
        if self.mistake is Mistake.VOTE_NOT_SAVED:
            vote = 0
        after = Member(member.term, vote, log, member.snapshot)
        crashed = state._replace(crashes=state.crashes + 1)
        return (f'{number} crashes', crashed.replaced(number, after))

    def _wipe(self, state: State, number: int) -> checking.Step:
        # The folder is refused under the old identity, so the member is
        # gone; with the mistake it goes on with an empty log.
        gone = Member(term=self.bounds.terms + 1)
        if self.mistake is Mistake.VOTE_BEFORE_CAUGHT_UP:
            gone = Member()
        wiped = state._replace(wipes=state.wipes + 1)
        return (f'{number} loses its disk', wiped.replaced(number, gone))


def _entry(name: str, owner: str) -> services.Service:
    return services.Service(
        number=0,
        name=name,
        owner=owner,
        address=bytes(4),
        ports=(443,),
        protocol=packets.TCP,
        traffic=services.Board(),
        limits=services.Limits(),
        version=0,
    )


def _request(key: str) -> catalogue.Request:
    edit = catalogue.Edit('a', 0, catalogue.Put(_entry('a', key)))
    return catalogue.Request(key, 'operator', (edit,))


# Two operators that both add the entry "a".
REQUESTS = ('first', 'second')


@functools.cache
def answers_of(
    values: tuple[Value, ...], forgotten: int
) -> tuple[catalogue.Answer | None, ...]:
    """Return the catalogue's answers to a log, ``None`` for a change.

    The answers to the first ``forgotten`` records are not kept.
    """
    state = catalogue.Catalogue()
    answers: list[catalogue.Answer | None] = []
    for index, value in enumerate(values):
        if index == forgotten:
            state.answers.clear()
        if isinstance(value, str):
            answers.append(state.apply(_request(value)))
        else:
            answers.append(None)
    return tuple(answers)


def _one_leader(state: dict) -> bool:
    terms = [member.term for member in state['members'] if member.leads]
    return len(terms) == len(set(terms))


def _accepted_stays(state: dict) -> bool:
    """Return whether all answers can be from one and the same log."""
    places: dict[int, Record] = {}
    return all(
        places.setdefault(item.index, item.record) == item.record
        for item in state['given']
    )


def _one_answer(state: dict) -> bool:
    answers: dict[Value, catalogue.Answer | None] = {}
    for item in state['given']:
        value = item.record.value
        if isinstance(value, str):
            if answers.setdefault(value, item.answer) != item.answer:
                return False
    winners = [
        value
        for value, answer in answers.items()
        if answer and answer.accepted
    ]
    return len(winners) <= 1


def _committed(state: State, member: Member) -> bool:
    if not member.log:
        return False
    last = len(member.log) - 1
    return any(
        item.index == last and item.record == member.log[-1]
        for item in state.given
    )


def _follow(member: Member, term: int, vote: int = 0) -> Member:
    if term == member.term:
        vote = vote or member.vote
    return Member(term, vote, member.log, member.snapshot)


def _newest(log: Log) -> tuple[int, int]:
    return (log[-1].term if log else 0, len(log))


def _common(first: Log, second: Log) -> int:
    size = 0
    for one, other in zip(first, second):
        if one != other:
            break
        size += 1
    return size


def _name(value: Value) -> str:
    if isinstance(value, str):
        return value
    return 'voters ' + ' '.join(str(number) for number in sorted(value))
