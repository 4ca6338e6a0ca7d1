"""Decisions on callers' segments that are not openings."""

from gentianspoke.core import frames
from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.decisions import actions
from gentianspoke.decisions.agent import adoption
from gentianspoke.decisions.agent import evidence
from gentianspoke.decisions.agent import flow_table
from gentianspoke.decisions.agent import forwarding
from gentianspoke.decisions.agent import handshake_flows
from gentianspoke.decisions.agent import ownership
from gentianspoke.decisions.agent import records
from gentianspoke.decisions.agent import silence
from gentianspoke.decisions.agent import state as agent_state
from gentianspoke.decisions.agent import teardown

# Largest number of members that are asked for the owner of an unknown flow. A
# packet has at most ``routing.MAX_HOPS`` hops; those that remain are left for
# the search for an agent that adopts the flow (``adoption.py``).
MAX_MEMBERS_ASKED = 12

State = agent_state.AgentState


def decide_segment(
    state: State,
    service: services.Service,
    forward: frames.Forward,
    segment: packets.Segment,
    now: int,
) -> list[actions.Action]:
    """Return the actions for a caller's segment that is not an opening.

    A segment of a flow that this agent has diverted goes to the target. A
    segment of a flow that it has no record of goes from member to member in
    search of the flow's owner.
    """
    flow = state.flows.get(segment.key)
    if flow is not None and flow.slot_per_request:
        return handshake_flows.decide_known_segment(
            state, flow, forward, segment, now
        )
    if flow is not None and _acknowledges_other_upstream(flow, segment):
        return _give_up_copy(state, flow, now) + _decide_unknown_segment(
            state, service, forward, segment, now
        )
    if flow is not None:
        return _decide_known_segment(state, flow, segment, now)
    return _decide_unknown_segment(state, service, forward, segment, now)


def _decide_unknown_segment(
    state: State,
    service: services.Service,
    forward: frames.Forward,
    segment: packets.Segment,
    now: int,
) -> list[actions.Action]:
    if service.handshake:
        return handshake_flows.decide_unknown_segment(
            state, service, forward, segment, now
        )
    if forward.purpose is frames.Purpose.ADOPT:
        return [adoption.try_adoption(state, service, forward, segment, now)]
    forward_action = forwarding.forward_to_target(state, forward, segment, now)
    if forward_action is not None:
        return [forward_action]
    return [ask_next_member(state, service, forward, segment, now)]


def _acknowledges_other_upstream(
    flow: records.Flow, segment: packets.Segment
) -> bool:
    """Return whether the caller opened the flow at another upstream.

    The fabric may repeat an opening seconds later, and this agent may have
    placed the copy while the flow's owner drained or had just restarted. The
    caller then acknowledges the owner's sequence numbers and never those of
    this agent's upstream.
    """
    if flow.phase is not records.Phase.OPEN or not segment.flags & packets.ACK:
        return False
    has_acknowledged = flow.up.ack != records.NO_SEQ
    if has_acknowledged or flow.down.isn == records.NO_SEQ:
        return False
    first_ack = flow.down.isn + 1
    sent_bytes = (flow.down.end - first_ack) % evidence.SEQ_MODULUS
    acked_bytes = (segment.ack - first_ack) % evidence.SEQ_MODULUS
    return acked_bytes > sent_bytes


def _give_up_copy(
    state: State, flow: records.Flow, now: int
) -> list[actions.Action]:
    """Remove the record of a repeated opening and end it at the upstream."""
    resets = silence.reset_both_sides(flow, 'repeated-opening')
    flow_table.remove_flow(state, flow, now)
    return [
        action
        for action in resets
        if isinstance(action, actions.ResetUpstream)
    ]


def _decide_known_segment(
    state: State, flow: records.Flow, segment: packets.Segment, now: int
) -> list[actions.Action]:
    match flow.phase:
        case records.Phase.OPEN:
            evidence.note_caller_segment(flow, segment, now)
            result: list[actions.Action] = [actions.Deliver(segment.raw)]
            if flow.up.retransmissions >= silence.MIN_RETRANSMISSIONS:
                result.extend(
                    silence.check_caller_retransmissions(state, flow, now)
                )
            if segment.flags & (packets.FIN | packets.RST):
                teardown.handle_caller_fin_or_reset(state, flow, segment, now)
            return result
        case records.Phase.QUEUED:
            return teardown.decide_queued_segment(state, flow, segment, now)
        case records.Phase.CLOSED:
            # The agent ends a flow when it has seen both FINs. The caller's
            # acknowledgement of the upstream's FIN may come after that.
            return [actions.Deliver(segment.raw)]
        case records.Phase.REFUSED:
            return [actions.Drop('refused-before')]


def ask_next_member(
    state: State,
    service: services.Service,
    forward: frames.Forward,
    packet: packets.Packet,
    now: int,
) -> actions.Action:
    """Return the action that forwards a packet to the next member to ask.

    The packet is of a flow that this agent does not know. If no member is
    left to ask, the search for an agent that adopts the flow begins
    (``adoption.begin_adoption``).
    """
    ranking = state.rankings[forward.pool]
    order = ranking.rank_members(forward.bucket)
    next_member = ownership.find_next_member_to_ask(
        order, forward.tried, state.number
    )
    if next_member is not None and len(forward.tried) < MAX_MEMBERS_ASKED:
        purpose = frames.Purpose.ROUTE
        return forwarding.forward_to(state, next_member, forward, purpose)
    return adoption.begin_adoption(state, service, forward, packet, now)
