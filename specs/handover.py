"""Hand-over of the right to place: leases, views and acknowledgements.

One service, one bucket, a few agents whose order for the bucket is fixed,
and the leader of the control instances. Time goes in ticks. A lease lasts
``lease_ticks`` of true time on the slowest clock within the drift bound;
the leader's fastest clock removes a member after as many ticks, so drift
is covered by the two values' being equal.

Steps: an agent starts, crashes, sends a heartbeat, applies the current
view or, from a source that is behind, the one before it, early, late or
never; the leader gets a heartbeat or none, suspects or removes a
silent member, and loses its office to a new leader.
The agents' verdict is the code's own :func:`ownership.may_place`. The
leader's steps are :class:`membership.Membership` written as functions;
``tests/model`` replays traces against that class.

Property: at no time two agents may place an opening of the bucket.
"""

import dataclasses
import enum
import functools

from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.core import views
from gentianspoke.decisions.agent import ownership
from gentianspoke.decisions.agent import state as agent_state
from gentianspoke.decisions import hashing
from specs import checking

SERVICE_NUMBER = 1
NOT_HEARD = -1
SERVICE = services.Service(
    number=SERVICE_NUMBER,
    name='bookings',
    owner='owner',
    address=bytes(4),
    ports=(443,),
    protocol=packets.TCP,
    traffic=services.Booking(idempotent=False),
    limits=services.Limits(),
    version=1,
)


class Mistake(enum.Enum):
    """A rule of the protocol that is left out, to see the check fail."""

    REMOVAL_BEFORE_LEASE_END = 'a member is removed before its lease ends'
    DRIFT_BEYOND_BOUND = 'an agent keeps its lease a tick too long'
    LEASE_FROM_REPLY = 'the lease counts from the arrival of its reply'
    NO_LEASE = 'an agent places without a lease'
    NO_ACKNOWLEDGEMENT = 'takeover without the acknowledgement'
    NEW_LEADER_ISSUES = 'a new leader issues views at once'
    NEW_LEADER_GRANTS = 'a new leader grants a lease to whoever asks'
    DEPOSED_GRANTS = 'a deposed leader grants leases'
    GRANT_BEFORE_ACK = 'a lease for a member that has not seen its view'
    ACK_GOES_BACK = 'a restarted member gets a lease on an older view'


@dataclasses.dataclass(frozen=True, slots=True)
class Issued:
    """What an issued view means: who may place, with a valid lease."""

    number: int = 0
    deciders: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Agent:
    """An agent: its view, its lease, and a lease on its way.

    ``decides`` is the verdict of the view that it applied last.
    ``reply_ticks`` is the age of a granted lease on its way, ``NOT_HEARD``
    where there is none.
    """

    up: bool = False
    view: int = 0
    decides: bool = False
    lease_ticks: int = 0
    reply_ticks: int = NOT_HEARD


@dataclasses.dataclass(frozen=True, slots=True)
class Leader:
    """The leader: members, when each was heard, and the views' numbers."""

    hold_ticks: int = 0
    number: int = 0
    members: tuple[views.Member, ...] = ()
    silent: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Which faults happen, each any number of times, to how many agents.

    ``view_numbers`` bounds the numbers in use at once, not over a run.
    A heartbeat reaches the leader at once, since a late one brings nothing
    that one sent later does not; with ``late_replies`` its answer may take
    time or be lost.
    """

    agents: int = 2
    lease_ticks: int = 1
    view_numbers: int = 4
    late_replies: bool = False
    crashes: bool = True
    new_leaders: bool = True


class Handover:
    """The specification, with one rule left out where ``mistake`` is set."""

    name = 'handover'
    fields = ('agents', 'leader', 'issued')

    def __init__(
        self, bounds: Bounds = Bounds(), mistake: Mistake | None = None
    ) -> None:
        """Begin with no agent up and a new leader."""
        self.bounds = bounds
        self.mistake = mistake
        self.numbers = tuple(range(1, bounds.agents + 1))
        self.bucket = ordered_bucket(self.numbers)
        self.invariants = {'single-decider': self._single_decider}
        silent = (NOT_HEARD,) * bounds.agents
        leader = Leader(silent=silent)
        self.initial = ((Agent(),) * bounds.agents, leader, ())

    def successors(self, state: tuple) -> list[checking.Step]:
        """Return every step that may follow."""
        agents, leader, _ = state
        found = [('tick', self._tick(state))]
        for index, agent in enumerate(agents):
            if agent.up:
                found.extend(self._agent_steps(state, index))
            else:
                label = f'start {self.numbers[index]}'
                started = Agent(up=True)
                found.append((label, _with_agent(state, index, started)))
            found.extend(self._silent(state, index, leader.silent[index]))
        if self.bounds.new_leaders:
            found.append(('new-leader', self._new_leader(state)))
        return [
            (label, after)
            for label, after in map(_renumber_step, found)
            if after[1].number <= self.bounds.view_numbers
        ]

    def deciders(self, state: tuple) -> list[int]:
        """Return the members that may place now."""
        return [
            number
            for number, agent in zip(self.numbers, state[0])
            if agent.decides
            and (agent.lease_ticks or self.mistake is Mistake.NO_LEASE)
        ]

    def _single_decider(self, state: dict) -> bool:
        values = tuple(state[name] for name in self.fields)
        return len(self.deciders(values)) <= 1

    def _tick(self, state: tuple) -> tuple:
        agents, leader, issued = state
        later = tuple(
            dataclasses.replace(
                agent,
                lease_ticks=max(0, agent.lease_ticks - 1),
            )
            for agent in map(self._age_reply, agents)
        )
        silent = tuple(
            (
                min(item + 1, self.bounds.lease_ticks)
                if item != NOT_HEARD
                else item
            )
            for item in leader.silent
        )
        hold = max(0, leader.hold_ticks - 1)
        ended = leader.hold_ticks == 1
        leader = dataclasses.replace(leader, silent=silent, hold_ticks=hold)
        if ended and leader.members:
            issued = self._with_view(issued, leader)
        return (later, leader, issued)

    def _age_reply(self, agent: Agent) -> Agent:
        age = agent.reply_ticks + 1
        if agent.reply_ticks == NOT_HEARD:
            return agent
        if age >= self.bounds.lease_ticks:
            age = NOT_HEARD
        return dataclasses.replace(agent, reply_ticks=age)

    def _agent_steps(self, state: tuple, index: int) -> list[checking.Step]:
        agents, _, issued = state
        number = self.numbers[index]
        found = [
            self._apply(state, index, view)
            for view in issued
            if view.number >= agents[index].view
        ]
        if self.bounds.crashes:
            crashed = _with_agent(state, index, Agent())
            found.append((f'crash {number}', crashed))
        if agents[index].reply_ticks != NOT_HEARD:
            found.append((f'reply {number}', self._take_reply(state, index)))
        found.extend(self._heartbeat(state, index))
        return found

    def _apply(self, state: tuple, index: int, view: Issued) -> checking.Step:
        number = self.numbers[index]
        agent = dataclasses.replace(
            state[0][index],
            view=view.number,
            decides=number in view.deciders,
        )
        which = 'current' if view is state[2][-1] else 'earlier'
        label = f'apply {number} {which}'
        return (label, _with_agent(state, index, agent))

    def _heartbeat(self, state: tuple, index: int) -> list[checking.Step]:
        agents, leader, issued = state
        number = self.numbers[index]
        granted = self._granted(agents[index], leader, index)
        after = announce(leader, index, number, agents[index].view)
        heard = (agents, after, self._issue(leader, after, issued))
        reply = dataclasses.replace(agents[index], reply_ticks=0)
        answered = _with_agent(heard, index, reply)
        found = []
        if not granted:
            found.append((f'heartbeat {number}', heard))
        else:
            taken = self._take_reply(answered, index)
            found.append((f'heartbeat {number}', taken))
        if granted and self.bounds.late_replies:
            found.append((f'heartbeat {number} (late reply)', answered))
        if self.mistake is Mistake.DEPOSED_GRANTS:
            granted_too = _with_agent(state, index, reply)
            taken = self._take_reply(granted_too, index)
            found.append((f'deposed leader hears {number}', taken))
        return found

    def _take_reply(self, state: tuple, index: int) -> tuple:
        agent = state[0][index]
        lease = max(agent.lease_ticks, self._lease_left(agent))
        agent = dataclasses.replace(
            agent, lease_ticks=lease, reply_ticks=NOT_HEARD
        )
        return _with_agent(state, index, agent)

    def _lease_left(self, agent: Agent) -> int:
        match self.mistake:
            case Mistake.LEASE_FROM_REPLY:
                return self.bounds.lease_ticks
            case Mistake.DRIFT_BEYOND_BOUND:
                return self.bounds.lease_ticks + 1 - agent.reply_ticks
            case _:
                return self.bounds.lease_ticks - agent.reply_ticks

    def _granted(self, agent: Agent, leader: Leader, index: int) -> bool:
        if leader.hold_ticks:
            lax = self.mistake is Mistake.NEW_LEADER_GRANTS
            return agent.lease_ticks > 0 or lax
        known = member_of(leader, self.numbers[index])
        if known is None or not known.is_live:
            return self.mistake is Mistake.GRANT_BEFORE_ACK
        if self.mistake is Mistake.GRANT_BEFORE_ACK:
            return True
        floor = max(known.joined_view, known.acked_view)
        if self.mistake is Mistake.ACK_GOES_BACK:
            floor = known.joined_view
        return agent.view >= floor

    def _silent(
        self, state: tuple, index: int, silent: int
    ) -> list[checking.Step]:
        agents, leader, issued = state
        found = []
        number = self.numbers[index]
        known = member_of(leader, number)
        removal = self.bounds.lease_ticks
        if self.mistake is Mistake.REMOVAL_BEFORE_LEASE_END:
            removal -= 1
        if known is None or silent == NOT_HEARD:
            return []
        if silent >= self.bounds.lease_ticks - 1 and known.is_live:
            after = suspect(leader, number)
            state = (agents, after, self._issue(leader, after, issued))
            found.append((f'suspect {number}', state))
        if silent >= removal:
            after = remove(leader, index, number)
            state = (agents, after, self._issue(leader, after, issued))
            found.append((f'remove {number}', state))
        return found

    def _issue(
        self, before: Leader, after: Leader, issued: tuple[Issued, ...]
    ) -> tuple[Issued, ...]:
        if after.hold_ticks or after.members == before.members:
            return issued
        return self._with_view(issued, after)

    def _with_view(
        self, issued: tuple[Issued, ...], leader: Leader
    ) -> tuple[Issued, ...]:
        trusting = self.mistake is Mistake.NO_ACKNOWLEDGEMENT
        view = view_of(leader)
        deciders = tuple(
            number
            for number in self.numbers
            if may_place(view, self.bucket, number, trusting)
        )
        earlier = [item for item in issued if item.number != view.number]
        return (*earlier[-1:], Issued(view.number, deciders))

    def _new_leader(self, state: tuple) -> tuple:
        agents, leader, issued = state
        hold = self.bounds.lease_ticks
        if self.mistake is Mistake.NEW_LEADER_ISSUES:
            hold = 0
        after = Leader(
            number=leader.number,
            hold_ticks=hold,
            silent=(NOT_HEARD,) * len(self.numbers),
        )
        return (agents, after, issued)


def member_of(leader: Leader, number: int) -> views.Member | None:
    """Return a member that the leader lists."""
    found = (item for item in leader.members if item.number == number)
    return next(found, None)


def announce(
    leader: Leader, index: int, number: int, acked_view: int
) -> Leader:
    """Take a heartbeat, as ``Membership.announce`` does."""
    known = member_of(leader, number)
    heard = list(leader.silent)
    heard[index] = 0
    leader = dataclasses.replace(leader, silent=tuple(heard))
    member = known or _new_member(number)
    acked = max(acked_view, member.acked_view)
    member = dataclasses.replace(member, acked_view=acked)
    if known is None or not known.is_live:
        leader = _next_view(leader)
        member = dataclasses.replace(
            member,
            state=views.State.LIVE,
            joined_view=leader.number,
            closed_view=0,
        )
    return leader if member == known else _with_member(leader, member)


def suspect(leader: Leader, number: int) -> Leader:
    """Take a silent member out of the live set, keeping it listed."""
    known = member_of(leader, number)
    assert known is not None
    leader = _next_view(leader)
    member = dataclasses.replace(
        known, state=views.State.SUSPECT, closed_view=leader.number
    )
    return _with_member(leader, member)


def remove(leader: Leader, index: int, number: int) -> Leader:
    """Remove a member whose lease has run out."""
    leader = _next_view(leader)
    silent = list(leader.silent)
    silent[index] = NOT_HEARD
    members = tuple(item for item in leader.members if item.number != number)
    return dataclasses.replace(leader, members=members, silent=tuple(silent))


def view_of(leader: Leader) -> views.View:
    """Return the leader's current view."""
    return views.View(SERVICE_NUMBER, leader.number, leader.members)


@functools.cache
def may_place(
    view: views.View, bucket: int, number: int, trusting: bool
) -> bool:
    """Return the code's verdict on an agent with a valid lease.

    ``trusting`` assumes that all members have acknowledged the view.
    """
    if trusting:
        members = tuple(
            dataclasses.replace(item, acked_view=view.number)
            for item in view.members
        )
        view = dataclasses.replace(view, members=members)
    ranking = hashing.Ranking(view)
    home = ranking.home(bucket)
    if home is None or home.number != number:
        return False
    state = agent_state.AgentState(
        number=number,
        zone='',
        capacity=agent_state.Capacity(1, 1, 0),
        started_ms=0,
        lease_until_ms=1,
    )
    return ownership.may_place(state, SERVICE, ranking, bucket, now=0)


def ordered_bucket(numbers: tuple[int, ...]) -> int:
    """Return the first bucket for which members rank as they are given."""
    members = tuple(_new_member(number) for number in numbers)
    ranking = hashing.Ranking(views.View(SERVICE_NUMBER, 1, members))
    for bucket in range(hashing.BUCKETS_PER_SERVICE):
        order = tuple(item.number for item in ranking.order(bucket))
        if order == numbers:
            return bucket
    raise ValueError(f'no bucket has the order {numbers}; use fewer members')


def renumber(state: tuple) -> tuple:
    """Return a state with its view numbers replaced by their ranks.

    Only the order of view numbers matters, so states that differ in the
    numbers alone are one state, and the search needs no bound on them.
    """
    agents, leader, issued = state
    used = {0, leader.number}
    used.update(item.number for item in issued)
    for agent in agents:
        used.add(agent.view)
    for member in leader.members:
        used.update(_member_numbers(member))
    rank = {number: place for place, number in enumerate(sorted(used))}
    if all(number == place for number, place in rank.items()):
        return state
    return (
        tuple(
            dataclasses.replace(agent, view=rank[agent.view])
            for agent in agents
        ),
        _renumber_leader(leader, rank),
        tuple(Issued(rank[item.number], item.deciders) for item in issued),
    )


def _renumber_step(step: checking.Step) -> checking.Step:
    return (step[0], renumber(step[1]))


def _member_numbers(member: views.Member) -> tuple[int, ...]:
    return (member.joined_view, member.closed_view, member.acked_view)


def _renumber_leader(leader: Leader, rank: dict[int, int]) -> Leader:
    members = tuple(
        dataclasses.replace(
            member,
            joined_view=rank[member.joined_view],
            closed_view=rank[member.closed_view],
            acked_view=rank[member.acked_view],
        )
        for member in leader.members
    )
    return dataclasses.replace(
        leader, number=rank[leader.number], members=members
    )


def _new_member(number: int) -> views.Member:
    return views.Member(
        number=number,
        instance=f'agent-{number}',
        host='127.0.0.1',
        port=number,
        zone='',
        weight=100,
        state=views.State.LIVE,
        joined_view=0,
    )


def _next_view(leader: Leader) -> Leader:
    return dataclasses.replace(leader, number=leader.number + 1)


def _with_member(leader: Leader, member: views.Member) -> Leader:
    others = [item for item in leader.members if item.number != member.number]
    members = sorted([*others, member], key=lambda item: item.number)
    return dataclasses.replace(leader, members=tuple(members))


def _with_agent(state: tuple, index: int, agent: Agent) -> tuple:
    agents = list(state[0])
    agents[index] = agent
    return (tuple(agents), *state[1:])
