"""Decisions on packets from the upstream and on the upstream's restart."""

from gentianspoke.core import packets
from gentianspoke.core import verdicts
from gentianspoke.decisions import actions
from gentianspoke.decisions.agent import adoption
from gentianspoke.decisions.agent import evidence
from gentianspoke.decisions.agent import flow_knowledge
from gentianspoke.decisions.agent import flow_table
from gentianspoke.decisions.agent import handshake_flows
from gentianspoke.decisions.agent import records
from gentianspoke.decisions.agent import silence
from gentianspoke.decisions.agent import state as agent_state
from gentianspoke.decisions.agent import teardown
from gentianspoke.decisions.agent import upstream_capacity
from gentianspoke.decisions import hashing
from gentianspoke.decisions import routing

SYN_ACK = packets.SYN | packets.ACK
CLOSING_FLAGS = packets.FIN | packets.RST

State = agent_state.AgentState


def decide_reply(
    state: State, packet: packets.Packet, now: int
) -> list[actions.Action]:
    """Return the actions for a packet that came from the upstream."""
    flow = state.flows.get(packet.key)
    if flow is None:
        return _decide_unknown_reply(state, packet, now)
    match packet:
        case packets.Segment() if flow.slot_per_request:
            return handshake_flows.decide_reply(state, flow, packet, now)
    match flow.phase:
        case records.Phase.QUEUED | records.Phase.REFUSED:
            return [actions.Drop('late-answer')]
    state.last_upstream_packet_ms = now
    forward = flow.unconfirmed_forward
    if forward is not None:
        flow.unconfirmed_forward = None
        if _is_reset(packet):
            return [adoption.disown(state, flow, forward, now)]
        state.orphans.pop(flow.key, None)
    match packet:
        case packets.Segment():
            return _decide_segment(state, flow, packet, now)
        case packets.Datagram():
            flow.last_down_ms = now
            flow.answered = True
            return [actions.Answer(packet.raw)]


def end_incarnation(
    state: State, number: int, now: int, upstream_age_ms: int = 0
) -> list[actions.Action]:
    """End the upstream's incarnation and begin the next one.

    An incarnation is the upstream's run from one restart to the next.
    ``number`` is the member number of the new incarnation. All flow records
    are removed, because the restarted upstream knows none of the flows. The
    result holds the resets for the callers of the flows that the ended
    incarnation had open. Other flows may be open at another upstream, or at
    the new incarnation if they are younger than it (``upstream_age_ms``).
    """
    started_ms = now - upstream_age_ms
    result: list[actions.Action] = []
    for flow in tuple(state.flows.values()):
        is_lost = flow.opened_ms < started_ms and evidence.is_established(flow)
        if flow.phase is records.Phase.OPEN and is_lost:
            result.extend(_reset_caller(state, flow, now))
        elif flow.phase is records.Phase.OPEN:
            # The new incarnation may have received the opening before this
            # agent learned of it.
            flow_knowledge.note_doubtful(state, flow.key, now)
        flow_table.remove_flow(state, flow, now)
    state.unanswered_since_ms = None
    state.number = number
    state.inquiries.complete_from_ms = now
    state.inquiries.unknown.clear()
    state.inquiries.outstanding.clear()
    state.started_ms = now
    if state.even_load is not None:
        upstream_capacity.clear(state.even_load.work)
    # The upstream has no earlier flows that could be adopted, and the agent
    # joins again, as a new member without a lease.
    state.recovering = False
    state.joining = True
    state.lease_until_ms = 0
    state.past_rankings.clear()
    return result


def _reset_caller(
    state: State, flow: records.Flow, now: int
) -> list[actions.Action]:
    outcome = verdicts.Outcome.UNKNOWN
    fault = verdicts.Fault.UPSTREAM
    reason = 'the upstream restarted'
    evidence.report_flow(state, flow, outcome, fault, reason, now)
    return [
        action
        for action in silence.reset_both_sides(flow, 'upstream-restarted')
        if isinstance(action, actions.ResetCaller)
    ]


def _decide_segment(
    state: State, flow: records.Flow, segment: packets.Segment, now: int
) -> list[actions.Action]:
    if segment.flags & SYN_ACK == SYN_ACK and not _match_syn_ack(
        flow, segment
    ):
        return [actions.Drop('late-answer')]
    evidence.note_upstream_segment(flow, segment, now)
    result: list[actions.Action] = [actions.Answer(segment.raw)]
    if flow.down.retransmissions >= silence.MIN_RETRANSMISSIONS:
        result.extend(silence.check_upstream_retransmissions(state, flow, now))
    if segment.flags & CLOSING_FLAGS:
        teardown.handle_upstream_fin_or_reset(state, flow, segment, now)
    return result


def _match_syn_ack(flow: records.Flow, segment: packets.Segment) -> bool:
    """Return whether a SYN-ACK acknowledges an opening of this flow.

    If the SYN-ACK acknowledges the newer opening on the same five-tuple, the
    upstream no longer knew the earlier connection. The flow's initial
    sequence number is then replaced by that of the newer opening, and the
    observed state of both directions is cleared.
    """
    if flow.isn == records.NO_OPENING:
        return True
    acknowledged_isn = (segment.ack - 1) % evidence.SEQ_MODULUS
    if acknowledged_isn == flow.isn:
        return True
    if acknowledged_isn != flow.newer_isn:
        return False
    flow.isn = acknowledged_isn
    flow.up = records.Direction()
    flow.down = records.Direction()
    return True


def _decide_unknown_reply(
    state: State, packet: packets.Packet, now: int
) -> list[actions.Action]:
    """Return the actions for a packet of a flow without a record.

    If the service has no ``handshake``, a recovering agent adopts the flow,
    because its upstream may have flows from before the agent's restart. It
    drops resets and SYN-ACKs, and an agent that is not recovering drops every
    packet.
    """
    service = state.endpoints.get(routing.get_endpoint(packet.key))
    match packet:
        case packets.Segment() if service is not None and service.handshake:
            return handshake_flows.decide_unknown_reply(
                state, service, packet, now
            )
    if not state.recovering or service is None or _is_reset(packet):
        return [actions.Drop('late-answer')]
    match packet:
        case packets.Segment(flags=flags) if flags & packets.SYN:
            # A SYN-ACK for an opening that this agent has not placed must not
            # reach the caller, because another upstream may have received
            # the opening too.
            return [actions.Drop('late-answer')]
    bucket = hashing.bucket_of(packet.key, service.number)
    flow = flow_table.adopt_flow(state, service, packet.key, bucket, now)
    match packet:
        case packets.Segment():
            return _decide_segment(state, flow, packet, now)
        case packets.Datagram():
            return [actions.Answer(packet.raw)]


def _is_reset(packet: packets.Packet) -> bool:
    match packet:
        case packets.Segment(flags=flags):
            return bool(flags & packets.RST)
        case packets.Datagram():
            return False
