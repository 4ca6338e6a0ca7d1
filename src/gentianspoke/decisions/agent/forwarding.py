"""Forwarding of packets from agent to agent, with a limit on the hops."""

import dataclasses

from gentianspoke.core import frames
from gentianspoke.core import packets
from gentianspoke.core import views
from gentianspoke.decisions import actions
from gentianspoke.decisions.agent import state as agent_state

# Each hop subtracts this from the time for which an opening may still wait.
HOP_COST_MS = 5


def forward_to(
    state: agent_state.AgentState,
    member: views.Member,
    forward: frames.Forward,
    purpose: frames.Purpose,
    *,
    mark_tried: bool = True,
) -> actions.Action:
    """Return the action that passes the frame on to a member.

    ``mark_tried`` adds this agent to the frame's list of tried members. A
    frame without hops left is dropped.
    """
    if forward.hops_left <= 0:
        return actions.Drop('hop-limit')
    tried = forward.tried
    if mark_tried and state.number not in tried:
        tried = (*tried, state.number)
    onward_frame = frames.Forward(
        service=forward.service,
        view=forward.view,
        bucket=forward.bucket,
        target=member.number,
        packet=forward.packet,
        purpose=purpose,
        tried=tried,
        hops_left=forward.hops_left - 1,
        wait_left_ms=max(0, forward.wait_left_ms - HOP_COST_MS),
        offers_left=forward.offers_left,
        sender=state.number,
        decider=forward.decider,
        pool=forward.pool,
    )
    return actions.SendFrame(member, onward_frame)


def offer_to(
    state: agent_state.AgentState,
    member: views.Member,
    forward: frames.Forward,
    decider: int,
    view: int,
) -> actions.Action:
    """Return the action that offers an opening on behalf of a decider.

    ``view`` is the number of the view in which ``decider`` decided on the
    opening. The offer counts against the frame's ``offers_left``.
    """
    offer = dataclasses.replace(
        forward,
        view=view,
        decider=decider,
        offers_left=max(0, forward.offers_left - 1),
    )
    return forward_to(state, member, offer, frames.Purpose.OFFER)


def forward_to_target(
    state: agent_state.AgentState,
    forward: frames.Forward,
    segment: packets.Segment,
    now: int,
) -> actions.Action | None:
    """Return the action that passes a packet to its flow's target.

    ``None`` is returned if this agent has no diversion of the flow, if the
    target is no longer a member, or if the target has already been tried and
    has no record of the flow. Otherwise ``now`` becomes the diversion's time
    of last use, and a packet with FIN or RST marks the flow as closed by the
    caller.
    """
    diversion = state.diversions.get(segment.key)
    if diversion is None or diversion.target in forward.tried:
        return None
    member = state.find_member(diversion.pool, diversion.target)
    if member is None:
        return None
    diversion.last_used_ms = now
    if segment.flags & (packets.FIN | packets.RST):
        diversion.caller_closed = True
    return forward_to(state, member, forward, frames.Purpose.ROUTE)
