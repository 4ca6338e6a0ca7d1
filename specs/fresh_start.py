"""Elections that do not wait, where all voters have just started.

A leader's claim rests on a majority of voters that it reached a moment ago;
a voter that was reached gives no vote before that part of the claim has
lapsed, also after a restart, which it cannot tell from a first start. The
exception: a candidate that every voter has told, since its start, that it
neither leads nor follows is voted for at once, and wins by such votes only
with those of all.

Exchanges with different voters are steps of their own, so that anything may
happen between two answers. The property: while a leader's claim holds,
nobody leads in a newer term.
"""

import dataclasses
import enum
import typing

from specs import catalogue_state
from specs import checking

VOTERS = 3
GROUP = catalogue_state.group_of(tuple(range(VOTERS)))
NOBODY = catalogue_state.NOBODY


class Mistake(enum.Enum):
    """A rule that the specification leaves out, to see it missed."""

    HASTY_MAJORITY = 'a majority of votes without the wait is enough'
    STANDS_AT_ONCE = 'a voter that has just started counts its own vote'


class Voter(typing.NamedTuple):
    """One voter; ``reached`` are those that its claim rests on.

    ``knew`` tells that it led or followed since its start, ``willing`` who
    has said so, ``votes`` who has voted after the wait and ``hasty`` who has
    without it.
    """

    up: bool = True
    term: int = 0
    voted: int = NOBODY
    knew: bool = False
    leads: bool = False
    reached: frozenset = frozenset()
    willing: frozenset = frozenset()
    stands: bool = False
    votes: frozenset = frozenset()
    hasty: frozenset = frozenset()


class State(typing.NamedTuple):
    """All voters, and how many may still stop."""

    voters: tuple[Voter, ...]
    stops: int


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """How far the search goes."""

    terms: int = 2
    stops: int = 3


class FreshStart:
    """The specification, with one rule left out where ``mistake`` is set."""

    name = 'fresh-start'
    fields: tuple[str, ...] = State._fields

    def __init__(
        self, bounds: Bounds = Bounds(), mistake: Mistake | None = None
    ) -> None:
        """Begin with voters that have just started."""
        self.bounds = bounds
        self.mistake = mistake
        self.initial: tuple = State((Voter(),) * VOTERS, bounds.stops)
        self.invariants: checking.Invariants = {
            'a-claim-is-alone': _claim_is_alone
        }

    def successors(self, state: tuple) -> list[checking.Step]:
        """Return every step that may follow."""
        now = State(*state)
        found: list[checking.Step] = []
        for number, voter in enumerate(now.voters):
            if not voter.up:
                found.append(self._start(now, number))
                continue
            if now.stops:
                found.append(self._stop(now, number))
            found.extend(self._lapse(now, number))
            for other in range(VOTERS):
                if other != number and now.voters[other].up:
                    found.extend(self._exchange(now, number, other))
            found.extend(self._stand(now, number))
        return found

    def _start(self, state: State, number: int) -> checking.Step:
        old = state.voters[number]
        fresh = Voter(term=old.term, voted=old.voted)
        return f'{number} starts', _with(state, number, fresh)

    def _stop(self, state: State, number: int) -> checking.Step:
        old = state.voters[number]
        stopped = Voter(up=False, term=old.term, voted=old.voted)
        after = _with(state, number, stopped)
        return f'{number} stops', after._replace(stops=state.stops - 1)

    def _lapse(self, state: State, number: int) -> list[checking.Step]:
        leader = state.voters[number]
        return [
            (
                f'what {number} claims by {other} lapses',
                _with(
                    state,
                    number,
                    leader._replace(reached=leader.reached - {other}),
                ),
            )
            for other in leader.reached
        ]

    def _exchange(
        self, state: State, number: int, other: int
    ) -> list[checking.Step]:
        asker = state.voters[number]
        if asker.leads:
            return self._reach(state, number, other)
        if asker.stands:
            return self._ask_vote(state, number, other)
        return self._ask_willing(state, number, other)

    def _reach(
        self, state: State, number: int, other: int
    ) -> list[checking.Step]:
        leader, voter = state.voters[number], state.voters[other]
        if voter.term > leader.term:
            return []
        follower = Voter(
            term=leader.term,
            voted=voter.voted if voter.term == leader.term else NOBODY,
            knew=True,
        )
        after = _with(state, other, follower)
        reached = leader._replace(reached=leader.reached | {other})
        return [(f'{number} reaches {other}', _with(after, number, reached))]

    def _ask_willing(
        self, state: State, number: int, other: int
    ) -> list[checking.Step]:
        asker, voter = state.voters[number], state.voters[other]
        if asker.knew or voter.knew:
            return []
        if voter.term > asker.term:
            return []
        willing = asker._replace(willing=asker.willing | {other})
        label = f'{other} is willing to vote for {number}'
        return [(label, _with(state, number, willing))]

    def _stand(self, state: State, number: int) -> list[checking.Step]:
        voter = state.voters[number]
        if voter.stands:
            # It asks anew who is willing: older answers count no more.
            again = voter._replace(
                stands=False,
                willing=frozenset(),
                votes=frozenset(),
                hasty=frozenset(),
            )
            return [(f'{number} gives up', _with(state, number, again))]
        if voter.leads or voter.term >= self.bounds.terms:
            return []
        may_vote = not _is_claimed(state, number)
        if self.mistake is Mistake.STANDS_AT_ONCE:
            may_vote = may_vote or not voter.knew
        if not may_vote and not self._is_unopposed(voter, number):
            return []
        candidate = voter._replace(
            term=voter.term + 1,
            voted=number,
            stands=True,
            votes=frozenset({number} if may_vote else ()),
            hasty=frozenset({number}),
        )
        label = f'{number} stands in term {candidate.term}'
        return [(label, _with(state, number, candidate))]

    def _ask_vote(
        self, state: State, number: int, other: int
    ) -> list[checking.Step]:
        asker, voter = state.voters[number], state.voters[other]
        if not self._grants(state, number, other):
            return []
        granted = Voter(
            term=asker.term,
            voted=number,
            knew=voter.knew,
        )
        after = _with(state, other, granted)
        asker = asker._replace(hasty=asker.hasty | {other})
        if not _is_claimed(state, other):
            asker = asker._replace(votes=asker.votes | {other})
        if _is_majority(asker.votes) or self._is_enough(asker.hasty):
            asker = asker._replace(leads=True, knew=True, stands=False)
        label = f'{other} votes for {number}'
        return [(label, _with(after, number, asker))]

    def _grants(self, state: State, number: int, other: int) -> bool:
        asker, voter = state.voters[number], state.voters[other]
        if voter.term > asker.term:
            return False
        if voter.term == asker.term and voter.voted not in (NOBODY, number):
            return False
        if self._is_unopposed(asker, number) and not voter.knew:
            return True
        return not _is_claimed(state, other)

    def _is_enough(self, hasty: frozenset) -> bool:
        if self.mistake is Mistake.HASTY_MAJORITY:
            return _is_majority(hasty)
        return len(hasty) == VOTERS

    def _is_unopposed(self, asker: Voter, number: int) -> bool:
        if asker.knew:
            return False
        return len(asker.willing | {number}) == VOTERS


def _is_claimed(state: State, number: int) -> bool:
    """Return whether a claim still rests on a voter, or it claims itself."""
    if _claims(state.voters[number], number):
        return True
    return any(number in voter.reached for voter in state.voters)


def _claims(voter: Voter, number: int) -> bool:
    return voter.leads and _is_majority(voter.reached | {number})


def _is_majority(numbers: frozenset) -> bool:
    return GROUP.is_majority(set(numbers))


def _claim_is_alone(state: dict) -> bool:
    voters = state['voters']
    newest = max((voter.term for voter in voters if voter.leads), default=0)
    return not any(
        _claims(voter, number) and voter.term < newest
        for number, voter in enumerate(voters)
    )


def _with(state: State, number: int, voter: Voter) -> State:
    voters = list(state.voters)
    voters[number] = voter
    return state._replace(voters=tuple(voters))
