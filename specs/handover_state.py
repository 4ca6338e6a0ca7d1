"""State of the hand-over specification, its bounds and its mistakes."""

import dataclasses
import enum
import functools
import typing

from gentianspoke.core import views

SERVICE_NUMBER = 1
NO_REPLY = -1


class Mistake(enum.Enum):
    """A rule of the protocol that is left out, to see the check fail."""

    REMOVAL_BEFORE_LEASE_END = 'a member is removed before its lease ends'
    DRIFT_BEYOND_BOUND = 'an agent keeps its lease a tick too long'
    LEASE_FROM_REPLY = 'the lease counts from the arrival of its reply'
    NO_LEASE = 'an agent places without a lease'
    NO_ACKNOWLEDGEMENT = 'takeover without the acknowledgements'
    NEW_LEADER_ISSUES = 'a new leader issues views at once'
    NEW_LEADER_GRANTS = 'a new leader grants a lease to whoever asks'
    DEPOSED_GRANTS = 'a deposed leader grants whole leases'
    GRANT_BEFORE_ACK = 'a lease for a member that has not seen its view'
    RESTART_ACTS = 'a restarted member acts on an older view'
    NO_ASKING = 'a new home places without asking who knows the opening'


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """What happens, any number of times, and to how many agents.

    ``view_numbers`` bounds the numbers in use at once, not over a run. A
    stale source gives the view before the current one. A heartbeat reaches
    the leader at once, since a late one brings nothing that one sent later
    does not; with ``late_replies`` its answer may take time or be lost. The
    search begins with the agents of ``settled`` in service. ``offers`` adds
    one opening, whose copies reach every agent at any time, with as many
    offers of it on their way.
    """

    agents: int = 2
    settled: tuple[int, ...] = ()
    lease_ticks: int = 1
    view_numbers: int = 4
    late_replies: bool = False
    stale_sources: bool = True
    crashes: bool = True
    new_leaders: bool = True
    offers: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """What an agent knows of the opening: handed over, or offered to.

    ``target`` is the agent itself where the upstream has the opening. A
    ``lost`` record is that of an agent which control has removed.
    """

    target: int
    decider: int
    view: int
    placed_view: int
    lost: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Offer:
    """An offer of the opening that may arrive at any time, repeatedly."""

    target: int
    decider: int
    view: int


@dataclasses.dataclass(frozen=True, slots=True)
class AppliedView:
    """What an agent draws from the view that it applied last.

    ``home`` is the bucket's home, ``since`` the number of the oldest view
    from which on it has seen that home without a gap, and
    ``decides_since`` what the code makes of that. For the home itself,
    ``may_place`` is the verdict of the code for a valid lease; it asks the
    members ``asked`` before it places, and may offer to those ``live``.
    """

    number: int = 0
    home: int = 0
    since: int = 0
    decides_since: int = 0
    may_place: bool = False
    asked: tuple[int, ...] = ()
    live: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Agent:
    """An agent: its view, its lease, and what it knows of the opening.

    ``age_ticks`` counts from the last confirmation of its view, up to the
    length of a lease, from which on it may have missed views;
    ``reply_ticks`` is the age of a granted lease on its way, ``NO_REPLY``
    where there is none.
    """

    up: bool = False
    joining: bool = True
    applied: AppliedView = AppliedView()
    age_ticks: int = 0
    lease_ticks: int = 0
    reply_ticks: int = NO_REPLY
    record: Record | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ListedMember:
    """A member as the leader lists it."""

    member: views.Member
    min_lease_view: int
    silent_ticks: int


@dataclasses.dataclass(frozen=True, slots=True)
class Leader:
    """The leader of the newest term; ``grace_ticks`` are left of its grace."""

    number: int = 0
    listed: tuple[ListedMember, ...] = ()
    grace_ticks: int = 0


class State(typing.NamedTuple):
    """One state; ``issued`` holds the last view of the last two numbers."""

    agents: tuple[Agent, ...]
    leader: Leader
    issued: tuple[views.View, ...]
    offers: frozenset[Offer]

    def replace_agent(self, index: int, agent: Agent) -> 'State':
        """Return the state with one agent replaced."""
        agents = (*self.agents[:index], agent, *self.agents[index + 1 :])
        return self._replace(agents=agents)


def rank_view_numbers(state: State) -> State:
    """Return a state with its view numbers replaced by their ranks.

    Only the order of view numbers matters, so states that differ in the
    numbers alone are one state, and the search needs no bound on them.
    """
    used = {0, state.leader.number}
    used.update(offer.view for offer in state.offers)
    for agent in state.agents:
        applied = agent.applied
        used.update((applied.number, applied.since, applied.decides_since))
        if agent.record is not None:
            used.update((agent.record.view, agent.record.placed_view))
    for listed in state.leader.listed:
        used.update(_member_numbers(listed.member), (listed.min_lease_view,))
    for view in state.issued:
        used.update(_view_numbers(view))
    numbers = tuple(sorted(used))
    if numbers[-1] == len(numbers) - 1:
        return state
    rank = {number: position for position, number in enumerate(numbers)}
    return State(
        tuple(_rank_agent(agent, rank) for agent in state.agents),
        _rank_leader(state.leader, rank),
        tuple(_rank_view(view, rank) for view in state.issued),
        frozenset(
            Offer(item.target, item.decider, rank[item.view])
            for item in state.offers
        ),
    )


@functools.cache
def _view_numbers(view: views.View) -> frozenset[int]:
    found = {view.number}
    for member in view.members:
        found.update(_member_numbers(member))
    return frozenset(found)


def _member_numbers(member: views.Member) -> tuple[int, ...]:
    return (
        member.joined_view,
        member.closed_view,
        member.acked_view,
        member.oldest_flow_view,
    )


def _rank_agent(agent: Agent, rank: dict[int, int]) -> Agent:
    record = agent.record
    if record is not None:
        record = dataclasses.replace(
            record,
            view=rank[record.view],
            placed_view=rank[record.placed_view],
        )
    return dataclasses.replace(
        agent,
        applied=dataclasses.replace(
            agent.applied,
            number=rank[agent.applied.number],
            since=rank[agent.applied.since],
            decides_since=rank[agent.applied.decides_since],
        ),
        record=record,
    )


def _rank_leader(leader: Leader, rank: dict[int, int]) -> Leader:
    listed = tuple(
        ListedMember(
            _rank_member(item.member, rank),
            rank[item.min_lease_view],
            item.silent_ticks,
        )
        for item in leader.listed
    )
    return Leader(rank[leader.number], listed, leader.grace_ticks)


def _rank_view(view: views.View, rank: dict[int, int]) -> views.View:
    members = tuple(_rank_member(member, rank) for member in view.members)
    return views.View(view.service, rank[view.number], members)


def _rank_member(member: views.Member, rank: dict[int, int]) -> views.Member:
    return dataclasses.replace(
        member,
        joined_view=rank[member.joined_view],
        closed_view=rank[member.closed_view],
        acked_view=rank[member.acked_view],
        oldest_flow_view=rank[member.oldest_flow_view],
    )
