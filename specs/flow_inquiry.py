"""Specification of inquiries about a flow that its receiver does not know.

Agent 0 receives a caller's packet of a flow that it does not know and asks the
other members. It resets the caller if all instances that it knows have denied
the flow, with the rules of ``decisions/agent/inquiry_results.py`` and
``flow_knowledge.py``. Replies may be lost, late and duplicated: a reply stays
in flight and may arrive at any time until agent 0 restarts.

An agent that restarts loses its record and what it knows of views. Its record
is complete again once its upstream restarts. Power is lost when both restart.
Control may remove a member although its upstream runs, as a new leader does
that never heard of it. A member is removed only after seconds of silence, and
an agent whose feed is older does not answer, so each running agent has known
the member by then. Control may list it again at any time.

The property: no caller is reset while its flow is open at an upstream. It does
not hold if control removes such a member while its upstream runs and all other
listed agents restart, because nobody is left that knows of it.
"""

import dataclasses
import enum
import typing

from specs import checking

MEMBERS = 3
HOME = 0
NOBODY = -1
OTHERS = tuple(range(1, MEMBERS))


class Mistake(enum.Enum):
    """A rule that the specification leaves out on purpose."""

    UNANSWERED = 'a flow is reset although a member has not answered'
    RECOVERING = "a recovering member's answer is counted"
    OWN_RECORD = 'the asking agent does not look at its own record'
    OLD_VIEW = 'the feed need not be confirmed after the packet'
    DEPARTED = 'a member that left the view need not answer'
    FEWER_INSTANCES = 'a member that knows more instances is counted'


class Reply(typing.NamedTuple):
    """A reply, and whether it denies the flow."""

    member: int
    is_absent: bool


class State(typing.NamedTuple):
    """The members, the flow and the inquiry.

    ``listed`` is control's view, and ``known`` the instances that each agent
    knows. ``holder`` is the upstream that has the flow open. ``records`` holds
    the agents that have a record of the flow, and ``complete`` those whose
    record is complete.
    """

    listed: frozenset
    known: tuple
    holder: int
    was_opened: bool
    records: frozenset
    complete: frozenset
    is_asked: bool
    is_confirmed: bool
    in_flight: frozenset
    answers: frozenset
    was_reset_open: bool
    agent_restarts: int
    upstream_restarts: int
    removals: int


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """How often agents restart, upstreams restart and control removes.

    With ``joins``, the last member is listed only during the search.
    """

    agent_restarts: int = 1
    upstream_restarts: int = 1
    removals: int = 0
    joins: bool = True


# In the second bounds, control removes a member that another agent knows.
SMALL_BOUNDS = (
    Bounds(),
    Bounds(removals=1, joins=False),
)
# Further bounds, which only "make model" searches.
LARGE_BOUNDS = (
    Bounds(agent_restarts=2, upstream_restarts=2),
    Bounds(upstream_restarts=2, removals=1, joins=False),
)
# The bounds in which the search finds each mistake.
BOUNDS_OF_MISTAKES = {
    Mistake.UNANSWERED: SMALL_BOUNDS[0],
    Mistake.RECOVERING: SMALL_BOUNDS[0],
    Mistake.OWN_RECORD: SMALL_BOUNDS[0],
    Mistake.OLD_VIEW: SMALL_BOUNDS[0],
    Mistake.DEPARTED: SMALL_BOUNDS[1],
    Mistake.FEWER_INSTANCES: SMALL_BOUNDS[1],
}


class FlowInquiry:
    """The specification; ``mistake`` names the rule that it leaves out."""

    name = 'flow-inquiry'
    fields: tuple[str, ...] = State._fields

    def __init__(
        self, bounds: Bounds = Bounds(), mistake: Mistake | None = None
    ) -> None:
        """Start with listed members that know each other."""
        self.mistake = mistake
        listed = frozenset(range(MEMBERS - bounds.joins))
        known = tuple(
            listed if number in listed else frozenset()
            for number in range(MEMBERS)
        )
        self.initial: tuple = State(
            listed=listed,
            known=known,
            holder=NOBODY,
            was_opened=False,
            records=frozenset(),
            complete=frozenset(range(MEMBERS)),
            is_asked=False,
            is_confirmed=False,
            in_flight=frozenset(),
            answers=frozenset(),
            was_reset_open=False,
            agent_restarts=bounds.agent_restarts,
            upstream_restarts=bounds.upstream_restarts,
            removals=bounds.removals,
        )
        self.invariants: checking.Invariants = {
            'no-open-flow-is-reset': lambda state: not state['was_reset_open']
        }

    def successors(self, state: tuple) -> list[checking.Step]:
        """Return all steps that are possible in a state."""
        current = State(*state)
        if current.was_reset_open:
            return []
        steps = self._list_flow_steps(current)
        for number in range(MEMBERS):
            steps.extend(self._list_member_steps(current, number))
        if current.is_asked:
            steps.extend(self._list_inquiry_steps(current))
        return steps

    def _list_flow_steps(self, state: State) -> list[checking.Step]:
        if not state.was_opened:
            return [
                (
                    f'the flow is opened at {number}',
                    state._replace(
                        holder=number,
                        was_opened=True,
                        records=state.records | {number},
                    ),
                )
                for number in state.listed
            ]
        if state.is_asked or HOME in state.records:
            return []
        asked = state._replace(is_asked=True, is_confirmed=False)
        return [('0 receives a packet of the flow', asked)]

    def _list_member_steps(
        self, state: State, number: int
    ) -> list[checking.Step]:
        steps: list[checking.Step] = []
        if number not in state.listed:
            listed = state._replace(listed=state.listed | {number})
            steps.append((f'{number} is listed', listed))
        elif state.removals and all(number in item for item in state.known):
            removed = state._replace(
                listed=state.listed - {number}, removals=state.removals - 1
            )
            steps.append((f'{number} is removed', removed))
        steps.append(
            (f'{number} gets the view', self._apply_view(state, number))
        )
        if state.agent_restarts:
            steps.append(
                (f'agent {number} restarts', _restart_agent(state, number))
            )
        if state.upstream_restarts:
            after = _restart_upstream(state, number)
            steps.append((f'upstream {number} restarts', after))
        return steps

    def _apply_view(self, state: State, number: int) -> State:
        known = list(state.known)
        if self.mistake is Mistake.DEPARTED:
            known[number] = state.listed
        else:
            known[number] = known[number] | state.listed
        return state._replace(known=tuple(known))

    def _list_inquiry_steps(self, state: State) -> list[checking.Step]:
        steps: list[checking.Step] = []
        if state.listed <= state.known[HOME]:
            confirmed = state._replace(is_confirmed=True)
            steps.append(('the feed of 0 is confirmed', confirmed))
        for number in state.known[HOME] - {HOME}:
            if self._counts_answer(state, number):
                reply = Reply(number, self._denies(state, number))
                after = state._replace(in_flight=state.in_flight | {reply})
                steps.append((f'{number} answers', after))
        for reply in state.in_flight:
            after = state._replace(answers=state.answers | {reply})
            steps.append((f'0 gets a reply of {reply.member}', after))
        if self._may_reset(state):
            after = state._replace(
                was_reset_open=state.holder != NOBODY, is_asked=False
            )
            steps.append(('0 resets the caller', after))
        return steps

    def _counts_answer(self, state: State, number: int) -> bool:
        if self.mistake is Mistake.FEWER_INSTANCES:
            return True
        return state.known[number] <= state.known[HOME]

    def _denies(self, state: State, number: int) -> bool:
        if number in state.records:
            return False
        return number in state.complete or self.mistake is Mistake.RECOVERING

    def _may_reset(self, state: State) -> bool:
        if not state.is_confirmed and self.mistake is not Mistake.OLD_VIEW:
            return False
        if self.mistake is not Mistake.OWN_RECORD and (
            HOME not in state.complete or HOME in state.records
        ):
            return False
        if HOME not in state.known[HOME]:
            return False
        return all(
            self._is_denied(state, number)
            for number in state.known[HOME] - {HOME}
        )

    def _is_denied(self, state: State, number: int) -> bool:
        answers = {
            reply.is_absent
            for reply in state.answers
            if reply.member == number
        }
        if not answers:
            return self.mistake is Mistake.UNANSWERED
        return answers == {True}


def _restart_agent(state: State, number: int) -> State:
    known = list(state.known)
    known[number] = frozenset()
    after = state._replace(
        records=state.records - {number},
        complete=state.complete - {number},
        known=tuple(known),
        agent_restarts=state.agent_restarts - 1,
    )
    return _end_inquiry(after) if number == HOME else after


def _restart_upstream(state: State, number: int) -> State:
    after = state._replace(
        holder=NOBODY if state.holder == number else state.holder,
        records=state.records - {number},
        complete=state.complete | {number},
        upstream_restarts=state.upstream_restarts - 1,
    )
    return _end_inquiry(after) if number == HOME else after


def _end_inquiry(state: State) -> State:
    return state._replace(
        is_asked=False,
        is_confirmed=False,
        in_flight=frozenset(),
        answers=frozenset(),
    )
