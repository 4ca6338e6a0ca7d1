"""Ownership of buckets: who places an opening, and who has older flows.

A bucket's home is its first live member, and it decides on the openings of
the bucket. Agents do not receive a view at the same time, so two agents may
both consider themselves the home. Openings of services whose work must run at
most once are therefore placed under three rules. Each rule is checked by the
agent that has the information for it:

1. An agent delivers an opening to its upstream, or reports it as not run,
   only while it holds its own lease (:func:`holds_lease`).
2. An agent accepts an offer only if, by its own views, the offering decider
   is the home and has been the home since the view in which it decided or
   since an older one (:func:`may_accept_offer`).
3. Let s be the view since which an agent has been the bucket's home
   (:func:`find_home_start_view`). The agent decides only if every other
   listed member has acknowledged s or a newer view (:func:`may_place`), and
   after it has asked every member that reports a record from before s
   (:func:`find_members_to_ask`). A member that is still joining need not
   acknowledge a view, because it uses none yet.

Proof that no opening is placed twice. Let D be an earlier decider, T the
agent that received D's offer, and H the home since a later view v. H decides
only after T has acknowledged v or is no longer listed (rule 3).

- If T has acknowledged v, T accepts no further offer of D (rule 2). The
  heartbeat that acknowledges v also reports the view of T's oldest flow, which
  covers what T accepted before, so H asks T before it decides (rule 3).
- If T is no longer listed, the control instances have waited until T's lease
  ended before they removed T, so T places nothing more (rule 1).

The same holds for T = D. If D itself is the home again, it asks the other
members as H does, and then renews its offer to the same T and to no other
member, because T may still receive the older offer. An agent that restarts
has no records. It joins again in a view newer than all its old decisions, so
it has to ask as any new home does.

An agent that is lost may have placed openings of which no other agent knows.
The upstream's TCP is the safeguard in this case: an opening carries no payload
(``opening.py`` drops one that does), and an upstream accepts data only with
an acknowledgement of its own random initial sequence number.

Limit: a copy of an opening that arrives later than
``flow_table.LINGER_TIMEOUT_MS`` after its flow has ended is treated as a new
opening.
"""

from gentianspoke.core import frames
from gentianspoke.core import services
from gentianspoke.core import views
from gentianspoke.decisions.agent import state as agent_state
from gentianspoke.decisions import member_ranking

Members = tuple[views.Member, ...]


def holds_lease(
    state: agent_state.AgentState, service: services.Service, now: int
) -> bool:
    """Return whether this agent's lease lets it place flows of the service.

    Only services whose work must run at most once need a lease. The result is
    true for all others.
    """
    if not services.needs_single_decider(service):
        return True
    return now < state.lease_until_ms


def may_place(
    state: agent_state.AgentState,
    service: services.Service,
    ranking: member_ranking.Ranking,
    bucket: int,
    now: int,
) -> bool:
    """Return whether this agent may decide on an opening of the bucket.

    This agent must be the bucket's home; the function does not check it.
    """
    if not services.needs_single_decider(service):
        return True
    if state.joining or not holds_lease(state, service, now):
        return False
    start_view = find_home_start_view(state, ranking, bucket, state.number)
    return ranking.get_min_acked_view(state.number) >= start_view


def may_accept_offer(
    state: agent_state.AgentState,
    service: services.Service,
    ranking: member_ranking.Ranking,
    forward: frames.Forward,
    now: int,
) -> bool:
    """Return whether this agent may accept an offer.

    If the service needs a single decider, this agent must hold its lease and
    must have finished joining, and by its own views the decider must have
    been the bucket's home since the view of the offer or an older one. Offers
    for other services may always be accepted.
    """
    if not services.needs_single_decider(service):
        return True
    if state.joining or not holds_lease(state, service, now):
        return False
    home = ranking.home(forward.bucket)
    if home is None or home.number != forward.decider:
        return False
    bucket, number = forward.bucket, home.number
    return find_home_start_view(state, ranking, bucket, number) <= forward.view


def find_home_start_view(
    state: agent_state.AgentState,
    ranking: member_ranking.Ranking,
    bucket: int,
    member_number: int,
) -> int:
    """Return the number of a view since which a member has been the home.

    The member is the home in the present view. The result is an upper bound:
    the member may have become the home in an older view, but not in a newer
    one. For members that are still listed, ``joined_view`` and
    ``closed_view`` show when they began and ceased to be live. For members
    that are no longer listed, the earlier views that this agent has seen show
    it.
    """
    start_view = ranking.view.number
    for earlier in reversed(state.past_rankings.get(ranking.view.service, ())):
        home = earlier.home(bucket)
        if home is None or home.number != member_number:
            break
        start_view = earlier.view.number
    for member in ranking.rank_members(bucket):
        start_view = max(
            start_view, member.joined_view if member.is_live else 0
        )
        if member.number == member_number:
            break
        start_view = max(start_view, member.closed_view)
    return start_view


def find_members_to_ask(
    state: agent_state.AgentState, ranking: member_ranking.Ranking, bucket: int
) -> list[views.Member]:
    """Return the members that this home asks before it places an opening.

    They are all members with a record from before this agent became the
    home, because an earlier home may have offered the opening to any member.
    """
    start_view = find_home_start_view(state, ranking, bucket, state.number)
    return [
        member
        for member in ranking.rank_members(bucket)
        if member.number != state.number
        and 0 < member.oldest_flow_view < start_view
    ]


def find_home_end_view(order: Members, position: int) -> int:
    """Return the number of the view in which a member ceased to be home.

    ``order`` lists the members by the bucket's ranking, and ``position`` is
    the member's index in it. The member ceased to be the home when it stopped
    being live, or earlier when a member that precedes it and is still live
    became live. The result is 0 if the member is still the home.
    """
    member = order[position]
    end_views = [
        other.joined_view for other in order[:position] if other.is_live
    ]
    if member.closed_view:
        end_views.append(member.closed_view)
    return min(end_views, default=0)


def find_earlier_homes(order: Members, home_number: int) -> list[views.Member]:
    """Return the earlier homes that may hold flows of a bucket.

    The member that was the home most recently comes first. A member is left
    out if it reports no flow from before the view in which it ceased to be
    the home (:func:`find_home_end_view`).
    """
    earlier_homes: list[tuple[int, views.Member]] = []
    for position, member in enumerate(order):
        if member.number == home_number or not member.oldest_flow_view:
            continue
        end_view = find_home_end_view(order, position)
        if end_view and member.oldest_flow_view < end_view:
            earlier_homes.append((end_view, member))
    earlier_homes.sort(key=lambda item: item[0], reverse=True)
    return [member for _, member in earlier_homes]


def find_next_member_to_ask(
    order: Members, tried: tuple[int, ...], own_number: int
) -> views.Member | None:
    """Return the next member to ask for a flow that this agent does not have.

    ``own_number`` is this agent's member number. ``tried`` lists the members
    that have been asked already. Suspect members come last, because they may
    be down, and a packet sent to a member that is down is lost. ``None`` is
    returned if all members have been tried.
    """
    untried_members = [
        member
        for member in order
        if member.number != own_number and member.number not in tried
    ]
    for member in untried_members:
        if member.state is not views.State.SUSPECT:
            return member
    return untried_members[0] if untried_members else None
