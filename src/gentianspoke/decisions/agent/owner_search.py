"""Search for the owner of a flow among the members, and notices about it.

The owner is the agent whose upstream has the flow open. These searches are for
services with ``Service.handshake``; ``established_flows`` and ``adoption``
make those for other services.
"""

from gentianspoke.core import frames
from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.core import views
from gentianspoke.decisions import actions
from gentianspoke.decisions.agent import diversion_table
from gentianspoke.decisions.agent import flow_table
from gentianspoke.decisions.agent import forwarding
from gentianspoke.decisions.agent import ownership
from gentianspoke.decisions.agent import record_counts
from gentianspoke.decisions.agent import records
from gentianspoke.decisions.agent import state as agent_state

# Largest number of members that are asked for the owner of a flow.
MAX_MEMBERS_ASKED = 12
# Shortest time between two notices about the owner of one flow. A notice goes
# to the first member that was asked for the flow, usually its bucket's home.
OWNER_NOTICE_INTERVAL_MS = 1_000

State = agent_state.AgentState
Actions = list[actions.Action]


def ask_next_member(
    state: State, service: services.Service, forward: frames.Forward
) -> actions.Action:
    """Return the action that forwards a packet to the next member to ask.

    The packet is dropped if no member is left to ask.
    """
    next_member = _find_next_member_to_ask(state, service, forward)
    if next_member is None:
        return actions.Drop('no-owner')
    return forwarding.forward_to(
        state, next_member, forward, frames.Purpose.ROUTE
    )


def _find_next_member_to_ask(
    state: State, service: services.Service, forward: frames.Forward
) -> views.Member | None:
    if len(forward.tried) >= MAX_MEMBERS_ASKED:
        return None
    order: list[views.Member] = []
    for pool in services.get_all_pools(service):
        ranking = state.rankings.get(pool)
        if ranking is not None:
            order.extend(ranking.rank_members(forward.bucket))
    return ownership.find_next_member_to_ask(
        tuple(order), forward.tried, state.number
    )


def record_owner(state: State, owned: frames.Owned, now: int) -> None:
    """Record the sender as the owner of a flow that this agent forwarded.

    The notice is ignored if it is for another member, if its sender is not a
    member of the pool, or if the flow is one of this agent's own. A flow that
    this agent's upstream has not confirmed is given up for the sender.
    """
    key = packets.FlowKey(owned.key)
    if owned.target != state.number:
        return
    if state.find_member(owned.pool, owned.sender) is None:
        return
    flow = state.flows.get(key)
    if flow is not None:
        if flow.unconfirmed_forward is None or not flow.slot_per_request:
            return
        flow_table.remove_flow(state, flow, now)
    view = record_counts.get_view_number(state, owned.pool)
    diversion = records.Diversion(
        target=owned.sender,
        isn=records.NO_OPENING,
        service=owned.service,
        bucket=owned.bucket,
        view=view,
        last_used_ms=now,
        decider=state.number,
        placed_view=view,
        pool=owned.pool,
    )
    diversion_table.add(state, key, diversion)


def notify_first_member_asked(
    state: State, flow: records.Flow, forward: frames.Forward, now: int
) -> Actions:
    """Return the notice that this agent owns the flow, if one is due.

    It goes to the first member that was asked for the flow, usually the home
    of its bucket, which then sends later packets to this agent directly.
    """
    if (
        not forward.tried
        or now - flow.owner_notice_sent_ms < OWNER_NOTICE_INTERVAL_MS
    ):
        return []
    first_asked = state.find_member(forward.pool, forward.tried[0])
    if first_asked is None or first_asked.number == state.number:
        return []
    flow.owner_notice_sent_ms = now
    owned = frames.Owned(
        service=flow.service,
        pool=flow.pool,
        bucket=flow.bucket,
        target=first_asked.number,
        sender=state.number,
        key=flow.key,
    )
    return [actions.NotifyOwnership(first_asked, owned)]
