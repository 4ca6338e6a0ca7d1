"""The instances whose upstreams may have a flow of some pools.

These are the instances of the listed members, and those of members that left
the view recently although nothing shows that their upstreams have ended. Such
a member may be cut off from control, or its agent may be restarting, while
its upstream still has flows. If another member of the same instance is
listed, the upstream has restarted, and the flows of the earlier one are lost.
"""

import xxhash

from gentianspoke.core import views
from gentianspoke.decisions.agent import inquiry_records
from gentianspoke.decisions.agent import state as agent_state
from gentianspoke.decisions import member_ranking

# How long a member that left the view still counts. It is the age at which a
# caller has given up a flow that gets no answer.
DEPARTURE_MEMORY_MS = 60_000

State = agent_state.AgentState
# Members by the name of their instance.
Instances = dict[str, list[views.Member]]


def note_view(
    state: State,
    previous: member_ranking.Ranking | None,
    view: views.View,
    now: int,
) -> None:
    """Remember the members that ``view`` lists no longer."""
    if previous is None:
        return
    numbers = {member.number for member in view.members}
    inquiries = state.inquiries
    inquiries.departures = [
        departure
        for departure in inquiries.departures
        if now - departure.left_ms < DEPARTURE_MEMORY_MS
    ]
    inquiries.departures.extend(
        inquiry_records.Departure(member, view.service, now)
        for member in previous.view.members
        if member.number not in numbers
    )


def list_instances(
    state: State, pools: inquiry_records.Pools, now: int
) -> Instances:
    """Return the members that may have flows of the pools, by instance.

    A pool without a view counts as one without members. Once the feed is
    confirmed, the views of all pools that have members are known.
    """
    instances: Instances = {}
    for pool in pools:
        ranking = state.rankings.get(pool)
        for member in ranking.view.members if ranking else ():
            instances.setdefault(member.instance, []).append(member)
    for departure in state.inquiries.departures:
        if (
            departure.pool in pools
            and now - departure.left_ms < DEPARTURE_MEMORY_MS
        ):
            instances.setdefault(departure.member.instance, [departure.member])
    return instances


def compute_digests(instances: Instances) -> tuple[int, ...]:
    """Return the digests of the names of the instances."""
    return tuple([xxhash.xxh32_intdigest(name.encode()) for name in instances])


def find_instance(instances: Instances, number: int) -> str | None:
    """Return the name of a member's instance, ``None`` if it is unknown."""
    for name, members in instances.items():
        if any(member.number == number for member in members):
            return name
    return None


def choose_member(members: list[views.Member]) -> views.Member:
    """Return the member of an instance that is most likely the current one."""
    return max(
        members, key=lambda member: member.state is not views.State.SUSPECT
    )
