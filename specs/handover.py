"""Hand-over of the right to place: leases, views and acknowledgements.

One service, one bucket, a few agents whose order for the bucket is fixed,
and the leader of the control instances. Time goes in ticks. A lease lasts
``lease_ticks`` of true time on the slowest clock within the drift bound;
the leader's fastest clock removes a member after as many ticks, so drift
is covered by the two values' being equal.

Steps: an agent starts, crashes, sends a heartbeat, applies the current
view or, from a source that is behind, the one before it, early, late or
never; the leader suspects or removes a silent member, and a new leader
takes its place with or without its last view. With ``offers``, one
opening is placed, offered, and asked for, its copies coming at any time;
a home asks all members in one step.

The verdicts are the code's own: ``service_members.ServiceMembers`` for
the leader, ``ownership`` and ``AgentState`` for the agents.

Properties: at no time two agents may decide for the bucket; the opening
is never at the upstreams of two agents that run. (What an agent that died
had placed is known to nobody; TCP's handshake is the second line there.)
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


class Handover:
    """The specification, with one rule left out where ``mistake`` is set."""

    name = 'handover'
    fields = State._fields

    def __init__(
        self, bounds: Bounds = Bounds(), mistake: Mistake | None = None
    ) -> None:
        """Begin with no agent up."""
        self.bounds = bounds
        self.mistake = mistake
        self.numbers = tuple(range(1, bounds.agents + 1))
        self.invariants = {
            'single-decider': self._single_decider,
            'one-holder': self._one_holder,
        }
        agents = (states.Agent(),) * bounds.agents
        self.initial = State(agents, states.Leader(), (), frozenset())

    def successors(self, state: tuple) -> Steps:
        """Return every step that may follow."""
        state = State(*state)
        found: Steps = [('tick', self._tick(state))]
        for index in range(self.bounds.agents):
            if state.agents[index].up:
                found.extend(self._agent_steps(state, index))
            else:
                found.append(self._start(state, index))
        found.extend(self._leader_steps(state))
        ranked = [(label, states.renumber(State(*s))) for label, s in found]
        most = self.bounds.view_numbers
        return [step for step in ranked if step[1].leader.number <= most]

    def deciders(self, state: State) -> list[int]:
        """Return the agents that may decide now."""
        return [
            number
            for number, agent in zip(self.numbers, state.agents)
            if agent.up
            and self._holds_lease(agent)
            and self._verdict(number, agent).may_place
        ]

    def _single_decider(self, state: dict) -> bool:
        return len(self.deciders(State(**state))) <= 1

    def _one_holder(self, state: dict) -> bool:
        holders = [
            agent
            for number, agent in zip(self.numbers, state['agents'])
            if agent.record is not None and agent.record.target == number
        ]
        return len(holders) <= 1

    def _holds_lease(self, agent: states.Agent) -> bool:
        return agent.lease_ticks > 0 or self.mistake is Mistake.NO_LEASE

    def _verdict(
        self, number: int, agent: states.Agent
    ) -> agents_code.Verdict:
        trusting = self.mistake is Mistake.NO_ACKNOWLEDGEMENT
        return agents_code.verdict(
            agent.view, number, agent.since, agent.joining, trusting
        )

    def _tick(self, state: State) -> State:
        agents = tuple(map(self._age, state.agents))
        most = self.bounds.lease_ticks
        listed = tuple(
            dataclasses.replace(
                item, silent_ticks=min(item.silent_ticks + 1, most)
            )
            for item in state.leader.listed
        )
        hold = max(0, state.leader.hold_ticks - 1)
        leader = states.Leader(state.leader.number, listed, hold)
        after = state._replace(agents=agents, leader=leader)
        ended = state.leader.hold_ticks == 1
        return _issue(after, leader) if ended else after

    def _age(self, agent: states.Agent) -> states.Agent:
        most = self.bounds.lease_ticks
        reply = agent.reply_ticks
        if reply != states.NONE:
            reply = reply + 1 if reply + 1 < most else states.NONE
        return dataclasses.replace(
            agent,
            lease_ticks=max(0, agent.lease_ticks - 1),
            reply_ticks=reply,
            age_ticks=min(agent.age_ticks + 1, most),
        )

    def _start(self, state: State, index: int) -> checking.Step:
        age = self.bounds.lease_ticks
        agent = states.Agent(up=True, age_ticks=age)
        label = f'start {self.numbers[index]}'
        return (label, state.with_agent(index, agent))

    def _agent_steps(self, state: State, index: int) -> Steps:
        number = self.numbers[index]
        agent = state.agents[index]
        found: Steps = []
        for view in state.issued:
            if view.number >= agent.view.number and view != agent.view:
                found.append(self._apply(state, index, view))
        if state.issued and agent.view == state.issued[-1]:
            confirmed = dataclasses.replace(agent, age_ticks=0, missed=False)
            after = state.with_agent(index, confirmed)
            found.append((f'confirm {number}', after))
        if self.bounds.crashes:
            after = state.with_agent(index, states.Agent())
            found.append((f'crash {number}', after))
        if agent.reply_ticks != states.NONE:
            found.append((f'reply {number}', self._take_reply(state, index)))
        found.extend(self._heartbeat(state, index))
        if self.bounds.offers:
            found.extend(self._opening_steps(state, index))
        return found

    def _apply(
        self, state: State, index: int, view: views.View
    ) -> checking.Step:
        number = self.numbers[index]
        agent = state.agents[index]
        missed = agent.missed or agent.age_ticks >= self.bounds.lease_ticks
        if self.mistake is Mistake.MISSED_VIEWS:
            missed = False
        since = agent.since
        if view.number > agent.view.number:
            was_home = agents_code.home_of(agent.view) == number
            kept = was_home and not missed
            since = agent.since if kept else view.number
        if agents_code.home_of(view) != number:
            since = 0
        shown = agents_code.is_shown_not_live(view, number)
        current = view is state.issued[-1]
        after = dataclasses.replace(
            agent,
            view=view,
            since=since,
            joining=agent.joining and not shown,
            missed=missed and not current,
            age_ticks=0 if current else agent.age_ticks,
        )
        which = 'the current view' if current else 'the view before'
        label = f'{number} applies {which}'
        return (label, state.with_agent(index, after))

    def _heartbeat(self, state: State, index: int) -> Steps:
        number = self.numbers[index]
        agent = state.agents[index]
        heard = leader_code.announce(
            dataclasses.replace(state.leader, hold_ticks=0),
            number,
            agent.joining,
            agent.view.number,
            _oldest_flow_view(agent, number),
            self.mistake is Mistake.ACK_GOES_BACK,
        )
        granted = self._is_granted(state, agent, heard.caught_up)
        after = _lead(state, heard.leader)
        reply = dataclasses.replace(agent, reply_ticks=0)
        answered = after.with_agent(index, reply)
        label = f'heartbeat {number}'
        if not granted:
            return [(label, after), *self._deposed(state, index)]
        found: Steps = [(label, self._take_reply(answered, index))]
        if self.bounds.late_replies:
            found.append((f'{label}, late reply', answered))
        return [*found, *self._deposed(state, index)]

    def _deposed(self, state: State, index: int) -> Steps:
        # A deposed leader's leases count from its last confirmation by a
        # majority, so they end with the grace of the new leader.
        agent = state.agents[index]
        lease = min(self.bounds.lease_ticks, state.leader.hold_ticks)
        if self.mistake is Mistake.DEPOSED_GRANTS and state.leader.hold_ticks:
            lease = self.bounds.lease_ticks
        caught_up = state.issued and agent.view == state.issued[-1]
        if lease <= agent.lease_ticks or not caught_up:
            return []
        after = dataclasses.replace(agent, lease_ticks=lease)
        label = f'deposed leader hears {self.numbers[index]}'
        return [(label, state.with_agent(index, after))]

    def _is_granted(
        self, state: State, agent: states.Agent, caught_up: bool
    ) -> bool:
        if agent.lease_ticks > 0 or caught_up:
            return True
        if state.leader.hold_ticks:
            return self.mistake is Mistake.NEW_LEADER_GRANTS
        return self.mistake is Mistake.GRANT_BEFORE_ACK

    def _take_reply(self, state: State, index: int) -> State:
        agent = state.agents[index]
        left = self.bounds.lease_ticks - agent.reply_ticks
        match self.mistake:
            case Mistake.LEASE_FROM_REPLY:
                left = self.bounds.lease_ticks
            case Mistake.DRIFT_BEYOND_BOUND:
                left += 1
        after = dataclasses.replace(
            agent,
            lease_ticks=max(agent.lease_ticks, left),
            reply_ticks=states.NONE,
        )
        return state.with_agent(index, after)

    def _leader_steps(self, state: State) -> Steps:
        found: Steps = []
        leader = dataclasses.replace(state.leader, hold_ticks=0)
        removal = self.bounds.lease_ticks
        if self.mistake is Mistake.REMOVAL_BEFORE_LEASE_END:
            removal -= 1
        for item in leader.listed:
            number = item.member.number
            if item.silent_ticks >= self.bounds.lease_ticks - 1:
                after = leader_code.suspect(leader, number)
                found.append((f'suspect {number}', _lead(state, after)))
            if item.silent_ticks >= removal:
                after = leader_code.remove(leader, number)
                found.append((f'remove {number}', _lead(state, after)))
        if self.bounds.new_leaders:
            found.extend(self._new_leaders(state))
        return found

    def _new_leaders(self, state: State) -> Steps:
        hold = self.bounds.lease_ticks
        if self.mistake is Mistake.NEW_LEADER_ISSUES:
            hold = 0
        number = state.leader.number
        found: Steps = []
        for known in (None, *state.issued[-1:]):
            leader = leader_code.begin_term(number, known, hold)
            which = 'with' if known else 'without'
            after = state._replace(leader=leader)
            found.append((f'new leader {which} the last view', after))
        return found

    def _opening_steps(self, state: State, index: int) -> Steps:
        number = self.numbers[index]
        agent = state.agents[index]
        if not self._holds_lease(agent):
            return []
        found: Steps = []
        for offer in state.offers:
            if offer.target == number and agent.record is None:
                found.extend(self._take_offer(state, index, offer))
        if self._may_decide(state, index):
            found.extend(self._decide(state, index))
        return found

    def _may_decide(self, state: State, index: int) -> bool:
        number = self.numbers[index]
        agent = state.agents[index]
        verdict = self._verdict(number, agent)
        if not verdict.may_place:
            return False
        if agent.record is not None:
            offered = agent.record.target != number
            if not offered or agent.record.view >= verdict.since:
                return False
        if self.mistake is Mistake.NO_ASKING:
            return True
        return all(self._denies(state, asked, ()) for asked in verdict.asked)

    def _denies(
        self, state: State, number: int, passed: tuple[int, ...]
    ) -> bool:
        """Return whether a member that is asked does not know the opening."""
        agent = state.agents[number - 1]
        if not agent.up or number in passed:
            # The question is lost, or goes round until its hops are used.
            return False
        if agent.record is None:
            return True
        if agent.record.target == number:
            return False
        return self._denies(state, agent.record.target, (*passed, number))

    def _decide(self, state: State, index: int) -> Steps:
        number = self.numbers[index]
        agent = state.agents[index]
        view = agent.view.number
        found: Steps = []
        for target in self.numbers:
            record = states.Record(target, number, view, view)
            after = state.with_agent(
                index, dataclasses.replace(agent, record=record)
            )
            if target == number:
                found.append((f'{number} places the opening', after))
            elif _is_live(agent.view, target):
                offer = states.Offer(target, number, view)
                offers = state.offers | {offer}
                if len(offers) <= self.bounds.offers:
                    label = f'{number} offers the opening to {target}'
                    found.append((label, after._replace(offers=offers)))
        return found

    def _take_offer(
        self, state: State, index: int, offer: states.Offer
    ) -> Steps:
        number = self.numbers[index]
        agent = state.agents[index]
        accepted = agents_code.accepts_offer(
            agent.view, number, agent.joining, offer.decider, offer.view
        )
        if not accepted and self.mistake is not Mistake.STALE_OFFER:
            return []
        record = states.Record(
            number, offer.decider, offer.view, agent.view.number
        )
        after = dataclasses.replace(agent, record=record)
        label = f'{number} takes the offer of {offer.decider}'
        return [(label, state.with_agent(index, after))]


def _lead(state: State, leader: states.Leader) -> State:
    hold = state.leader.hold_ticks
    before = state.leader
    after = state._replace(leader=dataclasses.replace(leader, hold_ticks=hold))
    changed = leader_code.view_of(before) != leader_code.view_of(leader)
    return _issue(after, leader) if changed and not hold else after


def _issue(state: State, leader: states.Leader) -> State:
    view = leader_code.view_of(leader)
    earlier = [item for item in state.issued if item.number != view.number]
    return state._replace(issued=(*earlier[-1:], view))


def _oldest_flow_view(agent: states.Agent, number: int) -> int:
    if agent.record is None or agents_code.home_of(agent.view) == number:
        return 0
    return agent.record.placed_view


def _is_live(view: views.View, number: int) -> bool:
    return any(
        member.is_live and member.number == number for member in view.members
    )
