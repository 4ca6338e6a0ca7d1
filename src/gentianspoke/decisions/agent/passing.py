"""Passing a forwarded packet to another agent, within its hop limit."""

import dataclasses

from gentianspoke.core import frames
from gentianspoke.core import packets
from gentianspoke.core import views
from gentianspoke.decisions import actions
from gentianspoke.decisions.agent import state as agent_state

# Waiting time that one more hop takes from an opening, in milliseconds.
HOP_MS = 5


def pass_to(
    state: agent_state.AgentState,
    member: views.Member,
    forward: frames.Forward,
    purpose: frames.Purpose,
    *,
    note: bool = True,
) -> actions.Action:
    """Return the action that passes the frame on.

    ``note`` tells to add this agent to the members that were tried.
    """
    if forward.hops_left <= 0:
        return actions.Drop('hop-limit')
    tried = forward.tried
    if note and state.number not in tried:
        tried = (*tried, state.number)
    onward = frames.Forward(
        service=forward.service,
        view=forward.view,
        bucket=forward.bucket,
        target=member.number,
        packet=forward.packet,
        purpose=purpose,
        tried=tried,
        hops_left=forward.hops_left - 1,
        wait_left_ms=max(0, forward.wait_left_ms - HOP_MS),
        offers_left=forward.offers_left,
        sender=state.number,
        decider=forward.decider,
        pool=forward.pool,
    )
    return actions.SendFrame(member, onward)


def offer_to(
    state: agent_state.AgentState,
    member: views.Member,
    forward: frames.Forward,
    decider: int,
    view: int,
) -> actions.Action:
    """Return the action that offers an opening under a decider's name."""
    offer = dataclasses.replace(
        forward,
        view=view,
        decider=decider,
        offers_left=max(0, forward.offers_left - 1),
    )
    return pass_to(state, member, offer, frames.Purpose.OFFER)


def pass_to_target(
    state: agent_state.AgentState,
    forward: frames.Forward,
    segment: packets.Segment,
    now: int,
) -> actions.Action | None:
    """Pass a packet to the member that its flow was diverted to.

    Return ``None`` where the flow was not diverted, or its target does not
    know it.
    """
    diverted = state.diversions.get(segment.key)
    if diverted is None or diverted.target in forward.tried:
        return None
    member = state.member(diverted.pool, diverted.target)
    if member is None:
        return None
    diverted.used_ms = now
    if segment.flags & (packets.FIN | packets.RST):
        diverted.closing = True
    return pass_to(state, member, forward, frames.Purpose.ROUTE)
