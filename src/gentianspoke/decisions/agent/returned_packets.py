"""Decisions on callers' packets that the upstream returned.

The upstream of a service with ``Service.handshake`` sends a packet back to its
agent if it does not know the packet's flow, or if the packet is an opening
that it cannot accept at present.
"""

import dataclasses

from gentianspoke.core import frames
from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.core import verdicts
from gentianspoke.decisions import actions
from gentianspoke.decisions.agent import diversion
from gentianspoke.decisions.agent import evidence
from gentianspoke.decisions.agent import flow_inquiry
from gentianspoke.decisions.agent import flow_table
from gentianspoke.decisions.agent import owner_search
from gentianspoke.decisions.agent import placement
from gentianspoke.decisions.agent import record_counts
from gentianspoke.decisions.agent import records
from gentianspoke.decisions.agent import refusal
from gentianspoke.decisions.agent import request_queue
from gentianspoke.decisions.agent import retry_budget
from gentianspoke.decisions.agent import state as agent_state
from gentianspoke.decisions import hashing
from gentianspoke.decisions import routing

# How long the agent remembers that the upstream has returned a packet of a
# flow. During this time it does not deliver further packets of the flow merely
# to find out whether the upstream owns the flow.
RETURNED_FLOW_TIMEOUT_MS = 60_000
# Largest number of flows for which this is remembered.
MAX_RETURNED_FLOWS = 10_000

State = agent_state.AgentState
Actions = list[actions.Action]


def decide_returned_packet(
    state: State, segment: packets.Segment, now: int
) -> Actions:
    """Return the actions for a caller's segment that was returned."""
    service = state.endpoints.get(routing.get_endpoint(segment.key))
    if service is None:
        return [actions.Drop('other-service')]
    if packets.is_opening(segment):
        return [_decide_returned_opening(state, service, segment, now)]
    return _decide_returned_segment(state, service, segment, now)


def expire_returned_flows(state: State, now: int) -> None:
    """Forget the flows returned ``RETURNED_FLOW_TIMEOUT_MS`` or more ago."""
    while state.returned_flows:
        key = next(iter(state.returned_flows))
        if now - state.returned_flows[key] < RETURNED_FLOW_TIMEOUT_MS:
            return
        del state.returned_flows[key]


def _decide_returned_segment(
    state: State,
    service: services.Service,
    segment: packets.Segment,
    now: int,
) -> Actions:
    _note_returned_flow(state, segment.key, now)
    flow = state.flows.get(segment.key)
    forward = _make_frame(state, service, segment)
    held_packets: list[records.HeldPacket] = []
    if flow is not None:
        if flow.answered_after_syn_ack:
            return [_reset_lost_flow(state, flow, segment, now)]
        forward = flow.unconfirmed_forward or forward
        held_packets, flow.held_packets = flow.held_packets, []
        held_packets += request_queue.take_packets(state.requests, flow.key)
        flow_table.remove_flow(state, flow, now)
    returned_frame = dataclasses.replace(forward, packet=segment.raw)
    result = flow_inquiry.search_owner(
        state, service, returned_frame, segment, now
    )
    for held_packet in held_packets:
        result.append(
            owner_search.ask_next_member(state, service, held_packet.forward)
        )
    return result


def _note_returned_flow(state: State, key: packets.FlowKey, now: int) -> None:
    state.inquiries.doubtful.pop(key, None)
    if len(state.returned_flows) < MAX_RETURNED_FLOWS:
        state.returned_flows[key] = now


def _reset_lost_flow(
    state: State,
    flow: records.Flow,
    segment: packets.Segment,
    now: int,
) -> actions.Action:
    # The upstream has already sent segments of this flow, so it owned the flow
    # and has lost its state. It may have been started again.
    state.cold.was_silent = True
    if flow.phase is records.Phase.OPEN:
        evidence.report_flow(
            state,
            flow,
            verdicts.Outcome.UNKNOWN,
            verdicts.Fault.UPSTREAM,
            'the upstream has lost the flow',
            now,
        )
    flow_table.remove_flow(state, flow, now)
    return actions.ResetCaller(
        flow.key,
        seq=segment.ack,
        ack=evidence.compute_segment_end(segment),
        reason='upstream-lost-flow',
    )


def _make_frame(
    state: State, service: services.Service, segment: packets.Segment
) -> frames.Forward:
    """Return a frame for a packet whose received frame was not kept."""
    pool = state.get_pool(service)
    return frames.Forward(
        service=service.number,
        view=record_counts.get_view_number(state, pool),
        bucket=hashing.bucket_of(segment.key, service.number),
        target=state.number,
        packet=segment.raw,
        hops_left=routing.MAX_HOPS,
        offers_left=routing.MAX_OFFERS,
        pool=pool,
    )


def _decide_returned_opening(
    state: State,
    service: services.Service,
    segment: packets.Segment,
    now: int,
) -> actions.Action:
    flow = state.flows.get(segment.key)
    forward = _make_frame(state, service, segment)
    if flow is not None and flow.isn == segment.seq:
        forward = flow.opening_forward or forward
        flow_table.remove_flow(state, flow, now)
    forward = dataclasses.replace(forward, packet=segment.raw)
    ranking = state.rankings.get(forward.pool)
    if ranking is None:
        return actions.Drop('no-view')
    if forward.offers_left > 0 and retry_budget.withdraw(state, service):
        tried = (*forward.tried, state.number)
        target = diversion.choose_target(
            state, ranking, forward.bucket, now, tried
        )
        if target is not None:
            return placement.divert_opening(
                state, target, forward, segment, now
            )
    return refusal.refuse_opening(state, service, forward, segment, now)
