"""Specification of elections without a wait, after all voters restarted.

A leader's lease depends on a majority of voters that received a message from
the leader recently. A voter that received such a message grants no vote until
the lease no longer depends on this voter. A voter also waits after each start,
since it may have received such a message before a restart.

There is one exception to the wait after a start. Before a voter becomes a
candidate, it asks the others whether they have led or followed since their
start. If no voter has, the others grant their votes without the wait. The
candidate wins by votes without the wait only if all voters grant their votes.

Exchanges with different voters are separate steps, so that any other step may
come between two answers. The property: while a leader's lease is valid, nobody
leads in a newer term.
"""

import dataclasses
import enum
import typing

from specs import catalogue_state
from specs import checking

VOTERS = 3
GROUP = catalogue_state.build_group(tuple(range(VOTERS)))
NOBODY = catalogue_state.NOBODY


class Mistake(enum.Enum):
    """A rule that the specification leaves out on purpose.

    The search must then find a violation, which shows that it would notice
    the mistake.
    """

    MAJORITY_WITHOUT_WAIT = 'a majority of votes without the wait is enough'
    OWN_VOTE_WITHOUT_WAIT = 'a voter that has just started counts its own vote'


class Voter(typing.NamedTuple):
    """One voter.

    ``had_leader`` tells whether it has led or followed since its start.
    ``willing_voters`` holds the voters that have told it, before its
    candidacy, that they have neither led nor followed since their start. A
    leader holds in ``reached_voters`` the voters that its lease depends on. A
    candidate holds in ``votes_after_wait`` the voters that granted their vote
    after the wait, and in ``all_votes`` those that granted it with or without
    the wait.
    """

    is_up: bool = True
    term: int = 0
    voted_for: int = NOBODY
    had_leader: bool = False
    leads: bool = False
    reached_voters: frozenset = frozenset()
    willing_voters: frozenset = frozenset()
    is_candidate: bool = False
    votes_after_wait: frozenset = frozenset()
    all_votes: frozenset = frozenset()


class State(typing.NamedTuple):
    """All voters, and how many times voters may still stop."""

    voters: tuple[Voter, ...]
    stops: int


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """The bounds of the search.

    ``terms`` is the highest term, and ``stops`` limits how often voters stop.
    """

    terms: int = 2
    stops: int = 3


class FreshStart:
    """The specification; ``mistake`` names the rule that it leaves out."""

    name = 'fresh-start'
    fields: tuple[str, ...] = State._fields

    def __init__(
        self, bounds: Bounds = Bounds(), mistake: Mistake | None = None
    ) -> None:
        """Start with voters that have just started."""
        self.bounds = bounds
        self.mistake = mistake
        self.initial: tuple = State((Voter(),) * VOTERS, bounds.stops)
        self.invariants: checking.Invariants = {
            'no-newer-leader-during-a-lease': _has_no_newer_leader
        }

    def successors(self, state: tuple) -> list[checking.Step]:
        """Return all steps that are possible in a state."""
        current = State(*state)
        steps: list[checking.Step] = []
        for number, voter in enumerate(current.voters):
            if not voter.is_up:
                steps.append(self._start(current, number))
                continue
            if current.stops:
                steps.append(self._stop(current, number))
            steps.extend(self._list_expirations(current, number))
            for other in range(VOTERS):
                if other != number and current.voters[other].is_up:
                    steps.extend(self._list_exchanges(current, number, other))
            steps.extend(self._list_candidacy_changes(current, number))
        return steps

    def _start(self, state: State, number: int) -> checking.Step:
        old = state.voters[number]
        fresh = Voter(term=old.term, voted_for=old.voted_for)
        return f'{number} starts', _replace_voter(state, number, fresh)

    def _stop(self, state: State, number: int) -> checking.Step:
        old = state.voters[number]
        stopped = Voter(is_up=False, term=old.term, voted_for=old.voted_for)
        after = _replace_voter(state, number, stopped)
        return f'{number} stops', after._replace(stops=state.stops - 1)

    def _list_expirations(
        self, state: State, number: int
    ) -> list[checking.Step]:
        leader = state.voters[number]
        return [
            (
                f'the lease of {number} no longer depends on {other}',
                _replace_voter(
                    state,
                    number,
                    leader._replace(
                        reached_voters=leader.reached_voters - {other}
                    ),
                ),
            )
            for other in leader.reached_voters
        ]

    def _list_exchanges(
        self, state: State, number: int, other: int
    ) -> list[checking.Step]:
        requester = state.voters[number]
        if requester.leads:
            return self._reach_voter(state, number, other)
        if requester.is_candidate:
            return self._ask_vote(state, number, other)
        return self._ask_willingness(state, number, other)

    def _reach_voter(
        self, state: State, number: int, other: int
    ) -> list[checking.Step]:
        leader, voter = state.voters[number], state.voters[other]
        if voter.term > leader.term:
            return []
        follower = Voter(
            term=leader.term,
            voted_for=voter.voted_for if voter.term == leader.term else NOBODY,
            had_leader=True,
        )
        after = _replace_voter(state, other, follower)
        leader = leader._replace(
            reached_voters=leader.reached_voters | {other}
        )
        return [
            (
                f'{number} reaches {other}',
                _replace_voter(after, number, leader),
            )
        ]

    def _ask_willingness(
        self, state: State, number: int, other: int
    ) -> list[checking.Step]:
        requester, voter = state.voters[number], state.voters[other]
        if requester.had_leader or voter.had_leader:
            return []
        if voter.term > requester.term:
            return []
        requester = requester._replace(
            willing_voters=requester.willing_voters | {other}
        )
        label = f'{other} is willing to vote for {number}'
        return [(label, _replace_voter(state, number, requester))]

    def _list_candidacy_changes(
        self, state: State, number: int
    ) -> list[checking.Step]:
        voter = state.voters[number]
        if voter.is_candidate:
            # The voter asks again who is willing and discards older answers.
            follower = voter._replace(
                is_candidate=False,
                willing_voters=frozenset(),
                votes_after_wait=frozenset(),
                all_votes=frozenset(),
            )
            return [
                (
                    f'{number} ends its candidacy',
                    _replace_voter(state, number, follower),
                )
            ]
        if voter.leads or voter.term >= self.bounds.terms:
            return []
        may_vote = not _supports_lease(state, number)
        if self.mistake is Mistake.OWN_VOTE_WITHOUT_WAIT:
            may_vote = may_vote or not voter.had_leader
        if not may_vote and not self._is_unopposed(voter, number):
            return []
        candidate = voter._replace(
            term=voter.term + 1,
            voted_for=number,
            is_candidate=True,
            votes_after_wait=frozenset({number} if may_vote else ()),
            all_votes=frozenset({number}),
        )
        label = f'{number} is a candidate in term {candidate.term}'
        return [(label, _replace_voter(state, number, candidate))]

    def _ask_vote(
        self, state: State, number: int, other: int
    ) -> list[checking.Step]:
        requester, voter = state.voters[number], state.voters[other]
        if not self._grants_vote(state, number, other):
            return []
        granted = Voter(
            term=requester.term,
            voted_for=number,
            had_leader=voter.had_leader,
        )
        after = _replace_voter(state, other, granted)
        requester = requester._replace(all_votes=requester.all_votes | {other})
        if not _supports_lease(state, other):
            requester = requester._replace(
                votes_after_wait=requester.votes_after_wait | {other}
            )
        if _is_majority(requester.votes_after_wait) or self._wins_without_wait(
            requester.all_votes
        ):
            requester = requester._replace(
                leads=True, had_leader=True, is_candidate=False
            )
        label = f'{other} votes for {number}'
        return [(label, _replace_voter(after, number, requester))]

    def _grants_vote(self, state: State, number: int, other: int) -> bool:
        requester, voter = state.voters[number], state.voters[other]
        if voter.term > requester.term:
            return False
        if voter.term == requester.term and voter.voted_for not in (
            NOBODY,
            number,
        ):
            return False
        if self._is_unopposed(requester, number) and not voter.had_leader:
            return True
        return not _supports_lease(state, other)

    def _wins_without_wait(self, all_votes: frozenset) -> bool:
        if self.mistake is Mistake.MAJORITY_WITHOUT_WAIT:
            return _is_majority(all_votes)
        return len(all_votes) == VOTERS

    def _is_unopposed(self, requester: Voter, number: int) -> bool:
        """Return whether all voters are willing to vote without the wait."""
        if requester.had_leader:
            return False
        return len(requester.willing_voters | {number}) == VOTERS


def _supports_lease(state: State, number: int) -> bool:
    """Return whether a voter holds a lease or a lease depends on it."""
    if _holds_lease(state.voters[number], number):
        return True
    return any(number in voter.reached_voters for voter in state.voters)


def _holds_lease(voter: Voter, number: int) -> bool:
    return voter.leads and _is_majority(voter.reached_voters | {number})


def _is_majority(numbers: frozenset) -> bool:
    return GROUP.is_majority(set(numbers))


def _has_no_newer_leader(state: dict) -> bool:
    voters = state['voters']
    newest_term = max(
        (voter.term for voter in voters if voter.leads), default=0
    )
    return not any(
        _holds_lease(voter, number) and voter.term < newest_term
        for number, voter in enumerate(voters)
    )


def _replace_voter(state: State, number: int, voter: Voter) -> State:
    voters = list(state.voters)
    voters[number] = voter
    return state._replace(voters=tuple(voters))
