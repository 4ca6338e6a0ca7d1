"""Decisions on flows of services with ``Service.handshake``.

Here, handshake does not mean that of TCP, but the property of a service that
:class:`gentianspoke.core.services.Service` describes.

The upstream of such a service returns each packet of a flow that it does not
know, and each opening that it cannot accept. An agent that restarted may
therefore deliver a packet of an unknown flow to its upstream. Further packets
of the flow wait for ``CONFIRM_TIMEOUT_MS``, so that at most one packet reaches
an upstream that returns it.

Silence does not show that the upstream owns the flow, because an upstream that
is down returns nothing either. If the upstream has sent packets of other flows
meanwhile, it is working, and the flow is presumed to be its own. Otherwise the
flow stays unconfirmed: its packets are delivered and also sent on in search of
another owner. Only a segment of the upstream itself makes the flow the
upstream's own, so that the caller may be reset when the upstream restarts. A
flow whose owner is not found is not reset, because the owner may only be
temporarily unreachable.
"""

from gentianspoke.core import frames
from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.decisions import actions
from gentianspoke.decisions.agent import evidence
from gentianspoke.decisions.agent import flow_inquiry
from gentianspoke.decisions.agent import flow_knowledge
from gentianspoke.decisions.agent import flow_table
from gentianspoke.decisions.agent import forwarding
from gentianspoke.decisions.agent import owner_search
from gentianspoke.decisions.agent import records
from gentianspoke.decisions.agent import scheduling
from gentianspoke.decisions.agent import slot_usage
from gentianspoke.decisions.agent import state as agent_state
from gentianspoke.decisions.agent import teardown
from gentianspoke.decisions import hashing
from gentianspoke.decisions import pacing

# How long the upstream may take to return a packet of an unknown flow. The
# time is short because the upstream returns the packet over the instance's
# loopback interface.
CONFIRM_TIMEOUT_MS = 50

State = agent_state.AgentState
Actions = list[actions.Action]


def decide_known_segment(
    state: State,
    flow: records.Flow,
    forward: frames.Forward,
    segment: packets.Segment,
    now: int,
) -> Actions:
    """Return the actions for a caller's segment of a known flow."""
    match flow.phase:
        case records.Phase.OPEN:
            return _decide_open_flow_segment(
                state, flow, forward, segment, now
            )
        case records.Phase.CLOSED:
            return [actions.Deliver(segment.raw)]
        case _:
            return [actions.Drop('refused-before')]


def decide_unknown_segment(
    state: State,
    service: services.Service,
    forward: frames.Forward,
    segment: packets.Segment,
    now: int,
) -> Actions:
    """Return the actions for a caller's segment of an unknown flow.

    The segment goes to the target of a diversion if there is one. Otherwise
    a recovering agent may deliver it to its own upstream. In all other cases
    it goes to the next member that may own the flow, or is dropped if no
    member is left to ask.
    """
    forward_action = forwarding.forward_to_target(state, forward, segment, now)
    if forward_action is not None:
        return [forward_action]
    if _may_deliver_here(state, service, forward, segment.key):
        return _deliver_to_confirm(state, service, forward, segment, now)
    return flow_inquiry.search_owner(state, service, forward, segment, now)


def decide_reply(
    state: State, flow: records.Flow, segment: packets.Segment, now: int
) -> Actions:
    """Return the actions for the upstream's segment of a known flow.

    A segment of an earlier flow between the same ports is dropped: the caller
    could take it for an answer to its new request.
    """
    state.last_upstream_packet_ms = now
    if evidence.is_of_earlier_flow(flow, segment):
        return [actions.Drop('late-answer')]
    result = confirm_flow(state, flow, now)
    has_new_answer = evidence.has_new_answer(flow, segment)
    evidence.note_upstream_segment(flow, segment, now)
    flow.opening_forward = None
    if not segment.flags & packets.SYN:
        flow.answered_after_syn_ack = True
    segment_id = None
    if has_new_answer:
        # A repeated segment belongs to the answer to an earlier request.
        scheduling.note_answer(state, flow, now)
    if segment.payload_bytes:
        if _has_bulk_answer(state, flow):
            state.answering_flows[flow.key] = flow
            segment_id = pacing.get_segment_id(segment)
    if segment.flags & (packets.FIN | packets.RST):
        teardown.handle_upstream_fin_or_reset(state, flow, segment, now)
    result.append(actions.Answer(segment.raw, segment_id))
    return result


def decide_unknown_reply(
    state: State,
    service: services.Service,
    segment: packets.Segment,
    now: int,
) -> Actions:
    """Return the actions for the upstream's segment of an unknown flow.

    The segment is always forwarded to the caller. A recovering agent also
    adopts the flow, unless the segment has SYN, FIN or RST set.
    """
    state.last_upstream_packet_ms = now
    begins_or_ends = segment.flags & (packets.SYN | packets.FIN | packets.RST)
    if state.recovering and not begins_or_ends:
        bucket = hashing.bucket_of(segment.key, service.number)
        flow = flow_table.adopt_flow(state, service, segment.key, bucket, now)
        return decide_reply(state, flow, segment, now)
    if not segment.flags & (packets.FIN | packets.RST):
        flow_knowledge.note_doubtful(state, segment.key, now)
    return [actions.Answer(segment.raw)]


def confirm_flow(state: State, flow: records.Flow, now: int) -> Actions:
    """Mark an adopted flow as confirmed and deliver its held packets.

    Return no actions if the flow does not wait for a confirmation.
    """
    if flow.unconfirmed_forward is None:
        return []
    flow.unconfirmed_forward = None
    return _release_held_packets(state, flow, now)


def check_unconfirmed_flow(
    state: State, flow: records.Flow, now: int
) -> Actions:
    """Return the actions for an unconfirmed flow whose wait is over.

    A working upstream would have returned the packet, so the flow is presumed
    to be its own. If the upstream has shown nothing since the packet was
    delivered, the packet is also sent to the next member that may own the
    flow.
    """
    forward = flow.unconfirmed_forward
    if forward is None:
        return []
    if _has_upstream_worked(state, flow):
        return confirm_flow(state, flow, now)
    flow.is_searched = True
    result = _release_held_packets(state, flow, now)
    service = state.services_by_number.get(flow.service)
    if service is not None:
        search = owner_search.ask_next_member(state, service, forward)
        result.insert(0, search)
    return result


def _has_upstream_worked(state: State, flow: records.Flow) -> bool:
    return state.last_upstream_packet_ms > flow.opened_ms


def _release_held_packets(
    state: State, flow: records.Flow, now: int
) -> Actions:
    held_packets, flow.held_packets = flow.held_packets, []
    result: Actions = []
    for held_packet in held_packets:
        result.extend(
            _decide_open_flow_segment(
                state, flow, held_packet.forward, held_packet.packet, now
            )
        )
    return result


def _decide_open_flow_segment(
    state: State,
    flow: records.Flow,
    forward: frames.Forward,
    segment: packets.Segment,
    now: int,
) -> Actions:
    result: Actions = []
    if flow.unconfirmed_forward is not None and not flow.is_searched:
        if now - flow.opened_ms < CONFIRM_TIMEOUT_MS:
            return [_hold_packet(flow, forward, segment)]
        result.extend(check_unconfirmed_flow(state, flow, now))
    return result + _deliver(state, flow, forward, segment, now)


def _deliver(
    state: State,
    flow: records.Flow,
    forward: frames.Forward,
    segment: packets.Segment,
    now: int,
) -> Actions:
    result = _search_or_notify(state, flow, forward, segment, now)
    waiting = scheduling.hold_request(state, flow, forward, segment, now)
    if waiting is not None:
        return [*result, waiting]
    if packets.ends_message(segment) and evidence.is_new_data(flow, segment):
        slot_usage.begin_request(state, flow, now)
    evidence.note_caller_segment(flow, segment, now)
    result.append(actions.Deliver(segment.raw))
    if segment.flags & (packets.FIN | packets.RST):
        teardown.handle_caller_fin_or_reset(state, flow, segment, now)
    return result


def _search_or_notify(
    state: State,
    flow: records.Flow,
    forward: frames.Forward,
    segment: packets.Segment,
    now: int,
) -> Actions:
    """Return the notice of a confirmed flow, or the search for another owner.

    An unconfirmed flow is searched for until the upstream shows that it works.
    """
    if flow.is_searched and _has_upstream_worked(state, flow):
        flow.unconfirmed_forward = None
    if flow.unconfirmed_forward is None:
        return owner_search.notify_first_member_asked(
            state, flow, forward, now
        )
    service = state.services_by_number.get(flow.service)
    if service is None or not flow.is_searched:
        return []
    return flow_inquiry.search_owner(state, service, forward, segment, now)


def _has_bulk_answer(state: State, flow: records.Flow) -> bool:
    service = state.services_by_number.get(flow.service)
    return service is not None and services.has_bulk_answer(service)


def _hold_packet(
    flow: records.Flow, forward: frames.Forward, segment: packets.Segment
) -> actions.Action:
    if len(flow.held_packets) >= records.MAX_HELD_PACKETS:
        return actions.Drop('unconfirmed-overflow')
    flow.held_packets.append(records.HeldPacket(forward, segment))
    return actions.Hold('unconfirmed')


def _may_deliver_here(
    state: State,
    service: services.Service,
    forward: frames.Forward,
    key: packets.FlowKey,
) -> bool:
    if not state.recovering and key not in state.inquiries.doubtful:
        return False
    if state.number in forward.tried:
        return False
    if state.get_pool(service) not in services.get_all_pools(service):
        return False
    return key not in state.returned_flows


def _deliver_to_confirm(
    state: State,
    service: services.Service,
    forward: frames.Forward,
    segment: packets.Segment,
    now: int,
) -> Actions:
    flow = flow_table.adopt_flow(
        state, service, segment.key, forward.bucket, now
    )
    flow.unconfirmed_forward = forward
    state.flow_timers.add(flow, now + CONFIRM_TIMEOUT_MS)
    return _deliver(state, flow, forward, segment, now)
