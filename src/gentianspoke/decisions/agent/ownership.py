"""Who decides on an opening, and who may know an older flow.

A bucket's decider is its first live member. Views reach agents unevenly,
so two agents may take themselves for the decider. Work that must run at
most once is therefore placed only by an agent that

* holds a lease from control's majority, and
* knows that every member that may have been the decider before it has
  applied a view in which it is not, or has lost its lease.

Control removes a member from the view only after its lease has run out,
so the second condition is checked on the members that are still listed.
"""

from gentianspoke.core import services
from gentianspoke.core import views
from gentianspoke.decisions.agent import state as agent_state
from gentianspoke.decisions import hashing

Members = tuple[views.Member, ...]


def may_place(
    state: agent_state.AgentState,
    service: services.Service,
    ranking: hashing.Ranking,
    bucket: int,
    now: int,
) -> bool:
    """Return whether this agent may place an opening of the bucket.

    The caller has checked that this agent is the bucket's home.
    """
    if not services.needs_single_decider(service):
        return True
    if now >= state.lease_until_ms:
        return False
    order = ranking.order(bucket)
    return not any(
        may_still_decide(order, position, state.number)
        for position in range(len(order))
    )


def may_still_decide(order: Members, position: int, home: int) -> bool:
    """Return whether the member at ``position`` may act on an older view.

    A member ceases to be the decider with the view that closes it, or
    with the first view in which a member before it is live.
    """
    member = order[position]
    if member.number == home:
        return False
    ceased = ceased_view(order, position)
    return ceased == 0 or member.acked_view < ceased


def ceased_view(order: Members, position: int) -> int:
    """Return the view in which a member ceased to be the decider.

    0 means that it has not ceased: it is the first live member.
    """
    member = order[position]
    ends = [other.joined_view for other in order[:position] if other.is_live]
    if member.closed_view:
        ends.append(member.closed_view)
    return min(ends, default=0)


def earlier_homes(order: Members, home: int) -> list[views.Member]:
    """Return members that may hold older flows of a bucket, newest first.

    A member that reports no flow from before it ceased to be the decider
    is left out, and so is one that was never the decider.
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
