"""Decisions on flows of services with ``Service.handshake``.

Here, handshake does not mean that of TCP, but the property of a service that
:class:`gentianspoke.core.services.Service` describes.

The upstream of such a service returns each packet of a flow that it does not
know, and each opening that it cannot accept. An agent that restarted may
therefore deliver a packet of an unknown flow to its upstream: if the packet is
not returned within ``CONFIRM_TIMEOUT_MS``, the flow belongs to that upstream.
Further packets of the flow wait during this time, so that at most one packet
reaches an upstream that does not own the flow. A flow whose owner is not
found is not reset, because the owner may only be temporarily unreachable.
"""

from gentianspoke.core import frames
from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.core import views
from gentianspoke.decisions import actions
from gentianspoke.decisions.agent import diversion_table
from gentianspoke.decisions.agent import evidence
from gentianspoke.decisions.agent import flow_table
from gentianspoke.decisions.agent import forwarding
from gentianspoke.decisions.agent import ownership
from gentianspoke.decisions.agent import record_counts
from gentianspoke.decisions.agent import records
from gentianspoke.decisions.agent import state as agent_state
from gentianspoke.decisions.agent import teardown
from gentianspoke.decisions import hashing
from gentianspoke.decisions import pacing

# Largest number of members that are asked for the owner of a flow.
MAX_MEMBERS_ASKED = 12
# How long the upstream may take to return a packet of an unknown flow. The
# time is short because the upstream returns the packet over the instance's
# loopback interface.
CONFIRM_TIMEOUT_MS = 50
# Largest number of packets held for one unconfirmed flow. A caller has at
# most this many packets in flight.
MAX_HELD_PACKETS = 16
# How far an acknowledgement may be from the end of the caller's last segment,
# in bytes. That segment may be the retransmission of an old one.
MAX_ACK_DISTANCE = 1 << 20
# Shortest time between two notices about the owner of one flow. A notice goes
# to the first member that was asked for the flow, usually its bucket's home.
OWNER_NOTICE_INTERVAL_MS = 1_000

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
    return [ask_next_member(state, service, forward)]


def decide_reply(
    state: State, flow: records.Flow, segment: packets.Segment, now: int
) -> Actions:
    """Return the actions for the upstream's segment of a known flow.

    A segment of an earlier flow between the same ports is dropped: the caller
    could take it for an answer to its new request.
    """
    state.last_upstream_packet_ms = now
    if _is_of_earlier_flow(flow, segment):
        return [actions.Drop('late-answer')]
    result = confirm_flow(state, flow, now)
    evidence.note_upstream_segment(flow, segment, now)
    flow.opening_forward = None
    if not segment.flags & packets.SYN:
        flow.answered_after_syn_ack = True
    segment_id = None
    if segment.payload_bytes:
        flow_table.free_slot(state, flow, now)
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
    begins_or_ends = segment.flags & (packets.SYN | packets.FIN | packets.RST)
    if state.recovering and not begins_or_ends:
        bucket = hashing.bucket_of(segment.key, service.number)
        flow = flow_table.adopt_flow(state, service, segment.key, bucket, now)
        return decide_reply(state, flow, segment, now)
    return [actions.Answer(segment.raw)]


def confirm_flow(state: State, flow: records.Flow, now: int) -> Actions:
    """Mark an adopted flow as confirmed and deliver its held packets.

    Return no actions if the flow does not wait for a confirmation.
    """
    if flow.unconfirmed_forward is None:
        return []
    flow.unconfirmed_forward = None
    held_packets, flow.held_packets = flow.held_packets, []
    result: Actions = []
    for held_packet in held_packets:
        result.extend(
            _decide_open_flow_segment(
                state, flow, held_packet.forward, held_packet.packet, now
            )
        )
    return result


def record_owner(state: State, owned: frames.Owned, now: int) -> None:
    """Record the sender as the owner of a flow that this agent forwarded.

    The notice is ignored if it is for another member, if its sender is not a
    member of the pool, or if the flow is one of this agent's own.
    """
    key = packets.FlowKey(owned.key)
    if owned.target != state.number or key in state.flows:
        return
    if state.find_member(owned.pool, owned.sender) is None:
        return
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


def _decide_open_flow_segment(
    state: State,
    flow: records.Flow,
    forward: frames.Forward,
    segment: packets.Segment,
    now: int,
) -> Actions:
    result: Actions = []
    if flow.unconfirmed_forward is not None:
        if now - flow.opened_ms < CONFIRM_TIMEOUT_MS:
            return [_hold_packet(flow, forward, segment)]
        result.extend(confirm_flow(state, flow, now))
    if packets.ends_message(segment) and _is_new_data(flow, segment):
        flow_table.begin_request(state, flow, now)
    evidence.note_caller_segment(flow, segment, now)
    result.extend(_notify_first_member_asked(state, flow, forward, now))
    result.append(actions.Deliver(segment.raw))
    if segment.flags & (packets.FIN | packets.RST):
        teardown.handle_caller_fin_or_reset(state, flow, segment, now)
    return result


def _is_of_earlier_flow(flow: records.Flow, segment: packets.Segment) -> bool:
    """Return whether a segment acknowledges nothing that this flow sent.

    The numbers of two flows are random, so they are far apart.
    """
    if flow.up.end == records.NO_SEQ or not segment.flags & packets.ACK:
        return False
    ahead = (segment.ack - flow.up.end) % evidence.SEQ_MODULUS
    return MAX_ACK_DISTANCE < ahead < evidence.SEQ_MODULUS - MAX_ACK_DISTANCE


def _has_bulk_answer(state: State, flow: records.Flow) -> bool:
    service = state.services_by_number.get(flow.service)
    return service is not None and services.has_bulk_answer(service)


def _is_new_data(flow: records.Flow, segment: packets.Segment) -> bool:
    if flow.up.end == records.NO_SEQ:
        return True
    end = evidence.compute_segment_end(segment)
    ahead = (end - flow.up.end) % evidence.SEQ_MODULUS
    return 0 < ahead < evidence.SEQ_MODULUS // 2


def _hold_packet(
    flow: records.Flow, forward: frames.Forward, segment: packets.Segment
) -> actions.Action:
    if len(flow.held_packets) >= MAX_HELD_PACKETS:
        return actions.Drop('unconfirmed-overflow')
    flow.held_packets.append(records.HeldPacket(forward, segment))
    return actions.Hold('unconfirmed')


def _notify_first_member_asked(
    state: State, flow: records.Flow, forward: frames.Forward, now: int
) -> Actions:
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


def _may_deliver_here(
    state: State,
    service: services.Service,
    forward: frames.Forward,
    key: packets.FlowKey,
) -> bool:
    if not state.recovering or state.number in forward.tried:
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
    result = _decide_open_flow_segment(state, flow, forward, segment, now)
    if flow.phase is records.Phase.OPEN:
        flow.unconfirmed_forward = forward
        state.flow_timers.add(flow, now + CONFIRM_TIMEOUT_MS)
    return result


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
