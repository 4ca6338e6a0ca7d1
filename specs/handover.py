"""Specification of how the right to decide on openings moves between agents.

An opening is a TCP segment that opens a connection. An agent that places an
opening delivers the opening to its own upstream. The service's flows are
divided into buckets. The home of a bucket is the first live member in the
bucket's order of members. The home decides which agent places an opening.

The model has one service, one bucket, the leader of the control instances and
a few agents whose order for the bucket is fixed. The leader issues views,
which list the members of the service, and agents acknowledge the views that
they have applied. The leader grants leases to agents, and an agent decides
and places only while it holds a lease. Time advances in ticks of real time.
``lease_ticks`` is how long a lease lasts on the slowest clock within the
drift bound. It is also the time after which the leader removes a silent
member on the fastest clock, so the model needs no clocks that drift.

An agent starts, crashes, sends a heartbeat, and applies the current view or
the view before it, which it may get from a source that lags behind. An agent
may apply a view early, late or never. The leader marks a silent member as
suspect or removes it. A new leader replaces the leader and knows its
predecessor's last view or knows no view. If ``Bounds.offers`` is above 0,
agents also place the opening, offer it to other agents and ask which agent has
it, and copies of the opening arrive at any time. A home asks all members in
one step.

The production code makes the decisions. ``service_members.ServiceMembers``
makes those of the leader, and ``ownership`` and ``AgentState`` make those of
the agents.

The specification has two properties. At no time may two agents decide for the
bucket. The opening is never at the upstreams of two agents that run and are
listed. The model does not count an opening that an agent placed before the
agent crashed or was removed by control, since nobody knows of it. In these
cases the handshake of TCP prevents two upstreams from accepting the
connection.
"""

import dataclasses

from gentianspoke.core import views
from specs import checking
from specs import handover_agent as agents_code
from specs import handover_leader as leader_code
from specs import handover_state as states

Bounds = states.Bounds
Mistake = states.Mistake
State = states.State
Steps = list[checking.Step]
# Rounds of heartbeats after which every settled agent is live, has
# acknowledged a view that lists it as live, and has a lease.
SETTLING_ROUNDS = 5


class Handover:
    """The specification, which leaves out one rule if ``mistake`` is set."""

    name = 'handover'
    fields: tuple[str, ...] = State._fields

    def __init__(
        self, bounds: Bounds = Bounds(), mistake: Mistake | None = None
    ) -> None:
        """Start with the agents of ``bounds.settled`` as live members."""
        self.bounds = bounds
        self.mistake = mistake
        self.numbers = tuple(range(1, bounds.agents + 1))
        self.invariants: checking.Invariants = {
            'single-decider': self._has_single_decider,
            'one-holder': self._has_one_holder,
        }
        agents = (states.Agent(),) * bounds.agents
        self.initial: tuple = self._build_settled_state(
            State(agents, states.Leader(), (), frozenset())
        )

    def successors(self, state: tuple) -> Steps:
        """Return every step that is possible in a state within the bounds.

        View numbers are replaced by their ranks in the states returned.
        """
        steps = self.list_steps(State(*state))
        renumbered_steps = [
            (label, states.rank_view_numbers(State(*after)))
            for label, after in steps
        ]
        max_number = self.bounds.view_numbers
        return [
            step
            for step in renumbered_steps
            if step[1].leader.number <= max_number
        ]

    def list_steps(self, state: State) -> Steps:
        """Return every possible step, with unbounded view numbers."""
        steps: Steps = [('tick', self._tick(state))]
        for index in range(self.bounds.agents):
            if state.agents[index].is_up:
                steps.extend(self._list_agent_steps(state, index))
            else:
                steps.append(self._start_agent(state, index))
        steps.extend(self._list_leader_steps(state))
        return steps

    def find_deciders(self, state: State) -> list[int]:
        """Return the numbers of the agents that may decide in a state."""
        return [
            number
            for number, agent in zip(self.numbers, state.agents)
            if agent.is_up
            and self._holds_lease(agent)
            and agent.applied.may_place
            and not agent.joining
        ]

    def _build_settled_state(self, state: State) -> State:
        for number in self.bounds.settled:
            state = State(*self._start_agent(state, number - 1)[1])
        for _ in range(SETTLING_ROUNDS):
            for number in self.bounds.settled:
                state = State(*self._send_heartbeat(state, number - 1)[0][1])
            for number in self.bounds.settled:
                view = state.issued[-1]
                state = State(*self._apply_view(state, number - 1, view)[1])
        return states.rank_view_numbers(state)

    def _has_single_decider(self, state: dict) -> bool:
        return len(self.find_deciders(State(**state))) <= 1

    def _has_one_holder(self, state: dict) -> bool:
        holders = [
            agent
            for number, agent in zip(self.numbers, state['agents'])
            if _has_placed(agent, number) and not agent.record.lost
        ]
        return len(holders) <= 1

    def _holds_lease(self, agent: states.Agent) -> bool:
        return agent.lease_ticks > 0 or self.mistake is Mistake.NO_LEASE

    def _tick(self, state: State) -> State:
        agents = tuple(map(self._advance_agent, state.agents))
        max_ticks = self.bounds.lease_ticks
        listed = tuple(
            dataclasses.replace(
                listed_member,
                silent_ticks=min(listed_member.silent_ticks + 1, max_ticks),
            )
            for listed_member in state.leader.listed
        )
        grace_ticks = max(0, state.leader.grace_ticks - 1)
        leader = states.Leader(state.leader.number, listed, grace_ticks)
        after = state._replace(agents=agents, leader=leader)
        grace_ended = state.leader.grace_ticks == 1
        return _issue_view(after, leader) if grace_ended else after

    def _advance_agent(self, agent: states.Agent) -> states.Agent:
        max_ticks = self.bounds.lease_ticks
        reply_ticks = agent.reply_ticks
        if reply_ticks != states.NO_REPLY:
            reply_ticks = (
                reply_ticks + 1
                if reply_ticks + 1 < max_ticks
                else states.NO_REPLY
            )
        return dataclasses.replace(
            agent,
            lease_ticks=max(0, agent.lease_ticks - 1),
            reply_ticks=reply_ticks,
            age_ticks=min(agent.age_ticks + 1, max_ticks),
        )

    def _start_agent(self, state: State, index: int) -> checking.Step:
        age_ticks = self.bounds.lease_ticks
        joining = self.mistake is not Mistake.RESTARTED_MEMBER_ACTS
        agent = states.Agent(is_up=True, joining=joining, age_ticks=age_ticks)
        label = f'start {self.numbers[index]}'
        return (label, state.replace_agent(index, agent))

    def _list_agent_steps(self, state: State, index: int) -> Steps:
        number = self.numbers[index]
        agent = state.agents[index]
        steps: Steps = []
        view_count = 2 if self.bounds.stale_sources else 1
        for view in state.issued[-view_count:]:
            if view.number >= agent.applied.number:
                steps.append(self._apply_view(state, index, view))
        if self.bounds.crashes:
            after = state.replace_agent(index, states.Agent())
            steps.append((f'crash {number}', after))
        if agent.reply_ticks != states.NO_REPLY:
            steps.append(
                (f'reply {number}', self._receive_reply(state, index))
            )
        steps.extend(self._send_heartbeat(state, index))
        if self.bounds.offers:
            steps.extend(self._list_opening_steps(state, index))
        return steps

    def _apply_view(
        self, state: State, index: int, view: views.View
    ) -> checking.Step:
        number = self.numbers[index]
        agent = state.agents[index]
        may_have_missed_views = agent.age_ticks >= self.bounds.lease_ticks
        previous = agent.applied
        if may_have_missed_views and view.number > previous.number:
            previous = states.AppliedView()
        assume_acknowledged = self.mistake is Mistake.NO_ACKNOWLEDGEMENT
        applied = agents_code.apply_view(
            view, number, previous, assume_acknowledged
        )
        if not self.bounds.offers:
            # Without an opening no step reads these fields, nor which other
            # agent is the home. Clearing both makes states equal that behave
            # alike.
            applied = dataclasses.replace(
                applied, decides_since=0, asked=(), live=()
            )
            if applied.home != number:
                applied = states.AppliedView(applied.number)
        is_listed_as_not_live = agents_code.is_listed_as_not_live(view, number)
        is_current = view is state.issued[-1]
        changed_agent = dataclasses.replace(
            agent,
            applied=applied,
            joining=agent.joining and not is_listed_as_not_live,
            age_ticks=0 if is_current else agent.age_ticks,
        )
        view_name = 'the current view' if is_current else 'the view before'
        label = f'{number} applies {view_name}'
        return (label, state.replace_agent(index, changed_agent))

    def _send_heartbeat(self, state: State, index: int) -> Steps:
        number = self.numbers[index]
        agent = state.agents[index]
        result = leader_code.announce(
            dataclasses.replace(state.leader, grace_ticks=0),
            number,
            agent.joining,
            agent.applied.number,
            _find_oldest_flow_view(agent, number),
            self.mistake is Mistake.RESTARTED_MEMBER_ACTS,
        )
        granted = self._is_lease_granted(state, agent, result.has_caught_up)
        after = _apply_leader_change(state, result.leader)
        waiting_agent = dataclasses.replace(agent, reply_ticks=0)
        reply_in_flight = after.replace_agent(index, waiting_agent)
        label = f'heartbeat {number}'
        if not granted:
            return [
                (label, after),
                *self._list_deposed_leader_steps(state, index),
            ]
        steps: Steps = [(label, self._receive_reply(reply_in_flight, index))]
        if self.bounds.late_replies:
            steps.append((f'{label}, late reply', reply_in_flight))
        return [*steps, *self._list_deposed_leader_steps(state, index)]

    def _list_deposed_leader_steps(self, state: State, index: int) -> Steps:
        # The leases of a deposed leader count from its last confirmation by
        # a majority, so they expire by the end of the new leader's grace
        # period.
        agent = state.agents[index]
        lease_ticks = min(self.bounds.lease_ticks, state.leader.grace_ticks)
        if (
            self.mistake is Mistake.DEPOSED_LEADER_GRANTS
            and state.leader.grace_ticks
        ):
            lease_ticks = self.bounds.lease_ticks
        has_caught_up = self._has_current_view(state, agent)
        if lease_ticks <= agent.lease_ticks or not has_caught_up:
            return []
        changed_agent = dataclasses.replace(agent, lease_ticks=lease_ticks)
        label = f'deposed leader grants a lease to {self.numbers[index]}'
        return [(label, state.replace_agent(index, changed_agent))]

    def _has_current_view(self, state: State, agent: states.Agent) -> bool:
        if not state.issued:
            return False
        return agent.applied.number == state.issued[-1].number

    def _is_lease_granted(
        self, state: State, agent: states.Agent, has_caught_up: bool
    ) -> bool:
        # A lease that the agent still holds is extended in any case.
        if agent.lease_ticks > 0 or has_caught_up:
            return True
        if state.leader.grace_ticks:
            return self.mistake is Mistake.NEW_LEADER_GRANTS
        return self.mistake is Mistake.GRANT_BEFORE_ACK

    def _receive_reply(self, state: State, index: int) -> State:
        agent = state.agents[index]
        remaining_ticks = self.bounds.lease_ticks - agent.reply_ticks
        match self.mistake:
            case Mistake.LEASE_FROM_REPLY:
                remaining_ticks = self.bounds.lease_ticks
            case Mistake.DRIFT_BEYOND_BOUND:
                remaining_ticks += 1
        changed_agent = dataclasses.replace(
            agent,
            lease_ticks=max(agent.lease_ticks, remaining_ticks),
            reply_ticks=states.NO_REPLY,
        )
        return state.replace_agent(index, changed_agent)

    def _list_leader_steps(self, state: State) -> Steps:
        steps: Steps = []
        leader = dataclasses.replace(state.leader, grace_ticks=0)
        removal_ticks = self.bounds.lease_ticks
        if self.mistake is Mistake.REMOVAL_BEFORE_LEASE_END:
            removal_ticks -= 1
        for listed_member in leader.listed:
            number = listed_member.member.number
            if listed_member.silent_ticks >= self.bounds.lease_ticks - 1:
                changed_leader = leader_code.mark_suspect(leader, number)
                steps.append(
                    (
                        f'suspect {number}',
                        _apply_leader_change(state, changed_leader),
                    )
                )
            if listed_member.silent_ticks >= removal_ticks:
                changed_leader = leader_code.remove(leader, number)
                steps.append(
                    (
                        f'remove {number}',
                        _apply_leader_change(state, changed_leader),
                    )
                )
        if self.bounds.new_leaders:
            steps.extend(self._list_new_leader_steps(state))
        return steps

    def _list_new_leader_steps(self, state: State) -> Steps:
        grace_ticks = self.bounds.lease_ticks
        if self.mistake is Mistake.NEW_LEADER_ISSUES:
            grace_ticks = 0
        number = state.leader.number
        steps: Steps = []
        for last_view in (None, *state.issued[-1:]):
            leader = leader_code.begin_term(number, last_view, grace_ticks)
            preposition = 'with' if last_view else 'without'
            after = state._replace(leader=leader)
            steps.append((f'new leader {preposition} the last view', after))
        return steps

    def _list_opening_steps(self, state: State, index: int) -> Steps:
        number = self.numbers[index]
        agent = state.agents[index]
        if not self._holds_lease(agent):
            return []
        steps: Steps = []
        for offer in state.offers:
            if offer.target == number and agent.record is None:
                steps.extend(
                    self._list_accept_offer_steps(state, index, offer)
                )
        if self._may_decide(state, index):
            steps.extend(self._list_decision_steps(state, index))
        return steps

    def _may_decide(self, state: State, index: int) -> bool:
        number = self.numbers[index]
        agent = state.agents[index]
        applied = agent.applied
        if agent.joining or not applied.may_place:
            return False
        if agent.record is not None:
            if agent.record.target == number:
                return False
            if agent.record.view >= applied.decides_since:
                # The home renews its offer to the same target.
                return agent.record.view < applied.number
        if self.mistake is Mistake.OTHERS_NOT_ASKED:
            return True
        return all(
            self._reports_unknown(state, asked, ()) for asked in applied.asked
        )

    def _reports_unknown(
        self, state: State, number: int, visited: tuple[int, ...]
    ) -> bool:
        """Return whether a member replies that the opening is unknown.

        A member that has a record of an offer asks the target of the offer.
        """
        agent = state.agents[number - 1]
        if not agent.is_up or number in visited:
            # The query is lost, or it circulates until its hop limit is
            # reached.
            return False
        if agent.record is None:
            return True
        if agent.record.target == number:
            return False
        return self._reports_unknown(
            state, agent.record.target, (*visited, number)
        )

    def _list_decision_steps(self, state: State, index: int) -> Steps:
        number = self.numbers[index]
        agent = state.agents[index]
        view = agent.applied.number
        targets = agent.applied.live
        if agent.record is not None:
            # The first offer may still arrive at its target, so the renewed
            # offer goes to the same one.
            targets = (agent.record.target,)
        steps: Steps = []
        for target in targets:
            record = states.Record(target, number, view, view)
            after = state.replace_agent(
                index, dataclasses.replace(agent, record=record)
            )
            if target == number:
                steps.append((f'{number} places the opening', after))
                continue
            offers = state.offers | {states.Offer(target, number, view)}
            if len(offers) <= self.bounds.offers:
                label = f'{number} offers the opening to {target}'
                steps.append((label, after._replace(offers=offers)))
        return steps

    def _list_accept_offer_steps(
        self, state: State, index: int, offer: states.Offer
    ) -> Steps:
        number = self.numbers[index]
        agent = state.agents[index]
        accepted = not agent.joining and agents_code.accepts_offer(
            agent.applied, number, offer.decider, offer.view
        )
        if not accepted:
            return []
        record = states.Record(
            number, offer.decider, offer.view, agent.applied.number
        )
        changed_agent = dataclasses.replace(agent, record=record)
        label = f'{number} accepts the offer of {offer.decider}'
        return [(label, state.replace_agent(index, changed_agent))]


def _apply_leader_change(state: State, leader: states.Leader) -> State:
    """Return the state with ``leader``; its view is issued if it has changed.

    The grace period of the state is kept, so ``leader.grace_ticks`` is not
    used. During the grace period no view is issued.
    """
    grace_ticks = state.leader.grace_ticks
    before = state.leader
    after = state._replace(
        leader=dataclasses.replace(leader, grace_ticks=grace_ticks)
    )
    has_changed = leader_code.build_view(before) != leader_code.build_view(
        leader
    )
    return (
        _issue_view(after, leader)
        if has_changed and not grace_ticks
        else after
    )


def _issue_view(state: State, leader: states.Leader) -> State:
    view = leader_code.build_view(leader)
    earlier_views = [
        earlier for earlier in state.issued if earlier.number != view.number
    ]
    listed_numbers = {member.number for member in view.members}
    agents = tuple(
        (
            _mark_record_lost(agent)
            if _has_placed(agent, number) and number not in listed_numbers
            else agent
        )
        for number, agent in enumerate(state.agents, start=1)
    )
    return state._replace(agents=agents, issued=(*earlier_views[-1:], view))


def _has_placed(agent: states.Agent, number: int) -> bool:
    return agent.record is not None and agent.record.target == number


def _mark_record_lost(agent: states.Agent) -> states.Agent:
    assert agent.record is not None
    lost_record = dataclasses.replace(agent.record, lost=True)
    return dataclasses.replace(agent, record=lost_record)


def _find_oldest_flow_view(agent: states.Agent, number: int) -> int:
    if agent.record is None or agent.applied.home == number:
        return 0
    return agent.record.placed_view
