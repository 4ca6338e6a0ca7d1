"""Passing a forwarded packet to another agent, within its hop limit."""

import dataclasses

from gentianspoke.core import frames
from gentianspoke.core import views
from gentianspoke.decisions import actions
from gentianspoke.decisions.agent import state as agent_state


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
    onward = dataclasses.replace(
        forward,
        target=member.number,
        purpose=purpose,
        tried=tried,
        hops_left=forward.hops_left - 1,
        sender=state.number,
    )
    return actions.Pass(member, onward)
