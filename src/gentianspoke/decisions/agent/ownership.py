"""Who places an opening, and who may know an older flow.

A bucket's home is its first live member; it decides on the openings of
the bucket. Views reach agents unevenly, so two agents may take themselves
for the home. Openings of work that must run at most once are therefore
placed under three rules, of which each is checked where it is known:

1. An agent hands an opening to its upstream, or says that it was not run,
   only while it holds its own lease (:func:`holds_lease`).
2. An agent takes an offer only if by its own views the offering decider is
   the home, and has been since before the decision
   (:func:`accepts_offer`).
3. A home decides only if every other listed member has acknowledged a
   view at least as new as the one since which the bucket has been its own
   (:func:`may_place`), and after it has asked every member that reports a
   record from before that view (:func:`members_to_ask`).

Why no opening is placed twice. Take an earlier decider D, the agent T that
D's offer reached, and the home H of a later view v. H decides after T has
acknowledged v, or is no longer listed. If T acknowledged v, then it takes
no offer of D any more (rule 2), and what it took before is in the oldest
flow view of the same heartbeat, so that H asks T first (rule 3). If T is
no longer listed, control waited out T's lease, so T places nothing more
(rule 1). The same holds for T = D. Where D itself is the home again, it
asks as H does and then renews its offer to the same T, never to another,
since the older offer may still arrive. An agent that restarts has no records;
it joins anew, in a view newer than all its old decisions, so that it has
to ask as any new home does. What an agent that died had placed before is
known to nobody; the upstream's TCP is the second line there: an opening
carries no payload (``opening.py`` drops one that does), and an upstream
accepts data only with an acknowledgement of its own random number.

Limits: a copy of an opening that arrives later than ``LINGER_MS`` after
its flow has ended is taken for a new opening.
"""

from gentianspoke.core import frames
from gentianspoke.core import services
from gentianspoke.core import views
from gentianspoke.decisions.agent import state as agent_state
from gentianspoke.decisions import hashing

Members = tuple[views.Member, ...]


def holds_lease(
    state: agent_state.AgentState, service: services.Service, now: int
) -> bool:
    """Return whether this agent may place flows of the service at all."""
    if not services.needs_single_decider(service):
        return True
    return now < state.lease_until_ms


def may_place(
    state: agent_state.AgentState,
    service: services.Service,
    ranking: hashing.Ranking,
    bucket: int,
    now: int,
) -> bool:
    """Return whether this agent may decide on an opening of the bucket.

    The caller has checked that this agent is the bucket's home.
    """
    if not services.needs_single_decider(service):
        return True
    if state.joining or not holds_lease(state, service, now):
        return False
    since = home_since(state, ranking, bucket, state.number)
    return ranking.min_acked_view(state.number) >= since


def accepts_offer(
    state: agent_state.AgentState,
    service: services.Service,
    ranking: hashing.Ranking,
    forward: frames.Forward,
    now: int,
) -> bool:
    """Return whether the decider of an offer is still the home here."""
    if not services.needs_single_decider(service):
        return True
    if state.joining or not holds_lease(state, service, now):
        return False
    home = ranking.home(forward.bucket)
    if home is None or home.number != forward.decider:
        return False
    bucket, number = forward.bucket, home.number
    return home_since(state, ranking, bucket, number) <= forward.view


def home_since(
    state: agent_state.AgentState,
    ranking: hashing.Ranking,
    bucket: int,
    number: int,
) -> int:
    """Return a view since which member ``number`` has been the home.

    The true view may be older, never newer. Members that are still listed
    tell when they joined or closed; the views seen before this one tell
    of members that are no longer listed.
    """
    since = ranking.view.number
    for earlier in reversed(state.past.get(ranking.view.service, ())):
        home = earlier.home(bucket)
        if home is None or home.number != number:
            break
        since = earlier.view.number
    for member in ranking.order(bucket):
        since = max(since, member.joined_view if member.is_live else 0)
        if member.number == number:
            break
        since = max(since, member.closed_view)
    return since


def members_to_ask(
    state: agent_state.AgentState, ranking: hashing.Ranking, bucket: int
) -> list[views.Member]:
    """Return the members that may know an opening, to ask before placing.

    They are all members with a record from before this agent became the
    home, since an earlier home may have offered the opening to any.
    """
    since = home_since(state, ranking, bucket, state.number)
    return [
        member
        for member in ranking.order(bucket)
        if member.number != state.number
        and 0 < member.oldest_flow_view < since
    ]


def ceased_view(order: Members, position: int) -> int:
    """Return the view in which a member ceased to be the home.

    0 means that it has not ceased: it is the first live member.
    """
    member = order[position]
    ends = [other.joined_view for other in order[:position] if other.is_live]
    if member.closed_view:
        ends.append(member.closed_view)
    return min(ends, default=0)


def earlier_homes(order: Members, home: int) -> list[views.Member]:
    """Return members that may hold older flows of a bucket, newest first.

    A member that reports no flow from before it ceased to be the home is
    left out, and so is one that was never the home.
    """
    homes: list[tuple[int, views.Member]] = []
    for position, member in enumerate(order):
        if member.number == home or not member.oldest_flow_view:
            continue
        ceased = ceased_view(order, position)
        if ceased and member.oldest_flow_view < ceased:
            homes.append((ceased, member))
    homes.sort(key=lambda item: item[0], reverse=True)
    return [member for _, member in homes]


def next_on_trail(
    order: Members, tried: tuple[int, ...], own: int
) -> views.Member | None:
    """Return the next member to ask for a flow that ``own`` lacks.

    Members that may be down come last, because a packet sent to one of
    them is lost.
    """
    rest = [
        member
        for member in order
        if member.number != own and member.number not in tried
    ]
    for member in rest:
        if member.state is not views.State.SUSPECT:
            return member
    return rest[0] if rest else None
