"""Adoption of flows that no agent has a record of, called orphans.

An agent that restarted beside a running upstream is recovering: it does not
know which older flows its upstream has. It therefore adopts an unknown flow
on trial and delivers the packet to its upstream. A reply of the upstream
confirms the flow. If the upstream sends a TCP reset instead, or nothing
within ``CONFIRM_TIMEOUT_MS``, the next recovering agent tries the flow.

An upstream that does not reply may only be stalled for a while. Later
packets of the flow are therefore tried at the same upstream again, until the
flow has been unknown for ``ADOPTION_TIMEOUT_MS``. A flow that stays unknown
at all recovering agents is reset.
"""

import dataclasses

from gentianspoke.core import frames
from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.core import verdicts
from gentianspoke.core import views
from gentianspoke.decisions import actions
from gentianspoke.decisions.agent import evidence
from gentianspoke.decisions.agent import flow_table
from gentianspoke.decisions.agent import forwarding
from gentianspoke.decisions.agent import record_counts
from gentianspoke.decisions.agent import records
from gentianspoke.decisions.agent import state as agent_state
from gentianspoke.decisions.agent import teardown

# How long a flow must be unknown to all agents before its caller is reset.
ORPHAN_RESET_TIMEOUT_MS = 2_000
# Largest number of unknown flows whose first packet's time is kept. The
# packets of further unknown flows are dropped.
MAX_ORPHANS = 10_000
# How long an upstream may take to confirm a flow that was adopted on trial.
CONFIRM_TIMEOUT_MS = 3_000
# For how long an unknown flow may be tried at an upstream that neither
# confirms nor resets it.
ADOPTION_TIMEOUT_MS = 10_000

State = agent_state.AgentState


def begin_adoption(
    state: State,
    service: services.Service,
    forward: frames.Forward,
    packet: packets.Packet,
    now: int,
) -> actions.Action:
    """Return the action for a packet whose flow no member has a record of.

    The packet goes to the recovering agents in turn.
    """
    # From here on ``tried`` lists the members whose upstream does not have
    # the flow, rather than those that have no record of it.
    search_frame = dataclasses.replace(forward, tried=())
    return try_adoption(state, service, search_frame, packet, now)


def try_adoption(
    state: State,
    service: services.Service,
    forward: frames.Forward,
    packet: packets.Packet,
    now: int,
) -> actions.Action:
    """Return the action that adopts an unknown flow at a recovering agent.

    This agent adopts the flow if it may, and otherwise passes the packet to
    the next recovering agent. If there is no such agent, the packet is
    dropped, or the flow is reset.
    """
    if _may_adopt_here(state, forward, packet.key, now):
        return _adopt_here(state, service, forward, packet, now)
    next_member = _find_next_recovering(state, service, forward)
    if next_member is None:
        return _drop_or_reset_orphan(state, service, forward, packet, now)
    search_frame = _add_self_to_tried(state, forward)
    purpose = frames.Purpose.ADOPT
    return forwarding.forward_to(
        state, next_member, search_frame, purpose, mark_tried=False
    )


def disown(
    state: State, flow: records.Flow, forward: frames.Forward, now: int
) -> actions.Action:
    """Remove an adopted flow that the upstream does not have.

    Return the action by which the next recovering agent tries the flow.
    """
    flow_table.remove_flow(state, flow, now)
    service = state.services_by_number.get(flow.service)
    if service is None or forward.pool not in state.rankings:
        return actions.Drop('other-service')
    search_frame = _add_self_to_tried(state, forward)
    # The search needs only the key and the bytes of the packet. The packet is
    # passed on as a datagram, because the search drops a datagram if no
    # recovering agent is left, but may reset the flow of a segment.
    packet = packets.Datagram(flow.key, 0, forward.packet)
    return try_adoption(state, service, search_frame, packet, now)


def _may_adopt_here(
    state: State, forward: frames.Forward, key: packets.FlowKey, now: int
) -> bool:
    if not state.recovering or state.number in forward.tried:
        return False
    return now - state.orphans.get(key, now) < ADOPTION_TIMEOUT_MS


def _adopt_here(
    state: State,
    service: services.Service,
    forward: frames.Forward,
    packet: packets.Packet,
    now: int,
) -> actions.Action:
    unknown_since_ms = state.orphans.get(packet.key)
    flow = flow_table.adopt_flow(
        state, service, packet.key, forward.bucket, now
    )
    flow.unconfirmed_forward = forward
    if unknown_since_ms is not None:
        # ``adopt_flow`` has removed the flow from ``orphans``. It counts as
        # unknown until the upstream has answered, so the time of its first
        # packet is kept.
        state.orphans[packet.key] = unknown_since_ms
    state.flow_timers.add(flow, now + CONFIRM_TIMEOUT_MS)
    match packet:
        case packets.Segment():
            evidence.note_caller_segment(flow, packet, now)
            if packet.flags & packets.FIN:
                teardown.handle_caller_fin_or_reset(state, flow, packet, now)
    return actions.Deliver(packet.raw)


def _find_next_recovering(
    state: State, service: services.Service, forward: frames.Forward
) -> views.Member | None:
    for member in state.rankings[forward.pool].rank_members(forward.bucket):
        if (
            member.recovering
            and member.number != state.number
            and member.number not in forward.tried
        ):
            return member
    return None


def _add_self_to_tried(
    state: State, forward: frames.Forward
) -> frames.Forward:
    if state.number in forward.tried:
        return forward
    tried = (*forward.tried, state.number)
    return dataclasses.replace(forward, tried=tried)


def _drop_or_reset_orphan(
    state: State,
    service: services.Service,
    forward: frames.Forward,
    packet: packets.Packet,
    now: int,
) -> actions.Action:
    # Agents do not receive a view at the same time: the owner may be listed
    # in a view that has not arrived here. Only a flow that stays unknown for
    # ``ORPHAN_RESET_TIMEOUT_MS`` is therefore reset.
    if packet.key not in state.orphans and len(state.orphans) >= MAX_ORPHANS:
        return actions.Drop('no-owner')
    first_ms = state.orphans.setdefault(packet.key, now)
    match packet:
        case packets.Segment(flags=flags) if flags & packets.RST:
            state.orphans.pop(packet.key, None)
            return actions.Drop('orphan-reset')
        case packets.Segment() if now - first_ms >= ORPHAN_RESET_TIMEOUT_MS:
            del state.orphans[packet.key]
            _report_orphan(state, service, forward, packet.key, now - first_ms)
            return actions.ResetCaller(
                packet.key,
                seq=packet.ack,
                ack=evidence.compute_segment_end(packet),
                reason='no-owner',
            )
        case _:
            return actions.Drop('no-owner')


def _report_orphan(
    state: State,
    service: services.Service,
    forward: frames.Forward,
    key: packets.FlowKey,
    unknown_ms: int,
) -> None:
    details: tuple[tuple[str, str | int], ...] = (
        ('unknown_ms', unknown_ms),
        ('view', record_counts.get_view_number(state, forward.pool)),
        ('bucket', forward.bucket),
        ('disowned_by', len(forward.tried)),
    )
    reason = 'no agent knows the flow'
    fault = verdicts.Fault.BALANCER
    evidence.report_unknown_flow(
        state, key, service.number, fault, reason, details
    )
