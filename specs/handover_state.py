"""The state, the bounds and the mistakes of the hand-over specification."""

import dataclasses
import enum
import functools
import typing

from gentianspoke.core import views

SERVICE_NUMBER = 1
NO_REPLY = -1


class Mistake(enum.Enum):
    """A rule of the protocol that is left out, so that the check must fail."""

    REMOVAL_BEFORE_LEASE_END = 'a member is removed before its lease ends'
    DRIFT_BEYOND_BOUND = 'an agent keeps its lease a tick too long'
    LEASE_FROM_REPLY = 'the lease counts from the arrival of its reply'
    NO_LEASE = 'an agent places without a lease'
    NO_ACKNOWLEDGEMENT = 'takeover without the acknowledgements'
    NEW_LEADER_ISSUES = 'a new leader issues views at once'
    NEW_LEADER_GRANTS = 'a new leader grants a lease to whoever asks'
    DEPOSED_LEADER_GRANTS = 'a deposed leader grants leases of full length'
    GRANT_BEFORE_ACK = 'a lease for a member that has not seen its view'
    RESTARTED_MEMBER_ACTS = 'a restarted member acts on an older view'
    OTHERS_NOT_ASKED = 'a new home places without asking who knows the opening'


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """The bounds of the search: the agents and the events that may occur.

    Each enabled event may occur any number of times. ``view_numbers``
    bounds the view numbers in use at one time, not over a whole run. With
    ``stale_sources`` an agent may get the view before the current one. A
    heartbeat reaches the leader at once, since a delayed heartbeat has the
    same effect as one that is sent later; with ``late_replies`` the reply to
    a heartbeat may be delayed or lost. The search starts with the agents
    numbered in ``settled`` as live members. ``offers`` above 0 adds one
    opening, whose copies may reach every agent at any time. ``offers`` bounds
    how many different offers of the opening are in flight.
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
    """What an agent has recorded about the opening.

    ``target`` is the agent that the opening was offered to. It is the
    agent itself if the agent delivered the opening to its upstream.
    ``decider`` is the home that decided on the opening, ``view`` the view
    in which it did so, and ``placed_view`` the view in which the agent made
    the record. ``lost`` is true if control has removed the agent that has
    the record.
    """

    target: int
    decider: int
    view: int
    placed_view: int
    lost: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Offer:
    """An offer of the opening, which may arrive at any time and repeatedly.

    The agent ``decider`` made the offer to the agent ``target`` in the view
    ``view``.
    """

    target: int
    decider: int
    view: int


@dataclasses.dataclass(frozen=True, slots=True)
class AppliedView:
    """What an agent derives from the view that it applied last.

    ``home`` is the bucket's home. ``since`` is the number of the first view
    in which the agent saw this home; it has seen no other home since then.
    ``decides_since`` is the result of ``ownership.find_home_start_view``: the
    home has been the home since the view of this number or an older one. The
    other fields are set only if the agent itself is the home: ``may_place``
    tells whether the production code lets the home decide on openings while
    its lease is valid, ``asked`` are the members that the home asks before it
    places the opening, and ``live`` are the members that it may offer the
    opening to.
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
    """An agent with its view, its lease and its record of the opening.

    ``age_ticks`` is the time since the last confirmation of its view, up to
    the duration of a lease; from that age on the agent may have missed
    views. ``lease_ticks`` is the remaining time of its lease.
    ``reply_ticks`` is the age of the granted lease that is in flight to
    the agent, or ``NO_REPLY`` if there is none.
    """

    is_up: bool = False
    joining: bool = True
    applied: AppliedView = AppliedView()
    age_ticks: int = 0
    lease_ticks: int = 0
    reply_ticks: int = NO_REPLY
    record: Record | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ListedMember:
    """A listed member, with the state that only the leader has.

    ``min_lease_view`` is the view that the member must have acknowledged to
    get a new lease. ``silent_ticks`` is the time since its last heartbeat.
    """

    member: views.Member
    min_lease_view: int
    silent_ticks: int


@dataclasses.dataclass(frozen=True, slots=True)
class Leader:
    """The leader of the newest term.

    ``number`` is the number of its view. ``grace_ticks`` is the remaining
    time of its grace period, in which it issues no views.
    """

    number: int = 0
    listed: tuple[ListedMember, ...] = ()
    grace_ticks: int = 0


class State(typing.NamedTuple):
    """A state of the specification.

    ``issued`` holds the latest view of each of the last two view numbers.
    """

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

    Only the order of the view numbers matters. States that differ only in
    the numbers become equal, so that the search needs no bound on how often
    the number grows.
    """
    used = {0, state.leader.number}
    used.update(offer.view for offer in state.offers)
    for agent in state.agents:
        applied = agent.applied
        used.update((applied.number, applied.since, applied.decides_since))
        if agent.record is not None:
            used.update((agent.record.view, agent.record.placed_view))
    for listed_member in state.leader.listed:
        used.update(
            _collect_member_view_numbers(listed_member.member),
            (listed_member.min_lease_view,),
        )
    for view in state.issued:
        used.update(_collect_view_numbers(view))
    numbers = tuple(sorted(used))
    if numbers[-1] == len(numbers) - 1:
        return state
    rank = {number: position for position, number in enumerate(numbers)}
    return State(
        tuple(_rank_agent(agent, rank) for agent in state.agents),
        _rank_leader(state.leader, rank),
        tuple(_rank_view(view, rank) for view in state.issued),
        frozenset(
            Offer(offer.target, offer.decider, rank[offer.view])
            for offer in state.offers
        ),
    )


@functools.cache
def _collect_view_numbers(view: views.View) -> frozenset[int]:
    numbers = {view.number}
    for member in view.members:
        numbers.update(_collect_member_view_numbers(member))
    return frozenset(numbers)


def _collect_member_view_numbers(member: views.Member) -> tuple[int, ...]:
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
            _rank_member(listed_member.member, rank),
            rank[listed_member.min_lease_view],
            listed_member.silent_ticks,
        )
        for listed_member in leader.listed
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
