"""What an agent does with a packet of a flow that is already open."""

import dataclasses

from gentianspoke.core import frames
from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.decisions import actions
from gentianspoke.decisions.agent import admission
from gentianspoke.decisions.agent import closing
from gentianspoke.decisions.agent import ownership
from gentianspoke.decisions.agent import passing
from gentianspoke.decisions.agent import records
from gentianspoke.decisions.agent import state as agent_state

ORPHAN_RESET_MS = 2_000
# Members asked for an unknown flow; further hops are left for adoption.
TRAIL_AT_MOST = 12

State = agent_state.AgentState


def decide_established(
    state: State,
    service: services.Service,
    forward: frames.Forward,
    segment: packets.Segment,
    now: int,
) -> list[actions.Action]:
    """Return what becomes of a segment that opens nothing."""
    flow = state.flows.get(segment.key)
    if flow is not None and flow.phase is not records.Phase.QUEUED:
        flow.up_ms = now
        closing.note_up(state, flow, segment)
        return [actions.Deliver(segment.raw)]
    if flow is not None:
        return closing.cancel_queued(state, flow, segment)
    if forward.purpose is frames.Purpose.ADOPT:
        return [offer_adoption(state, service, forward, segment, now)]
    diverted = state.diversions.get(segment.key)
    if diverted is not None and diverted.target not in forward.tried:
        member = state.member(service.number, diverted.target)
        if member is not None:
            diverted.used_ms = now
            purpose = frames.Purpose.ROUTE
            return [passing.pass_to(state, member, forward, purpose)]
    return [walk_trail(state, service, forward, segment, now)]


def walk_trail(
    state: State,
    service: services.Service,
    forward: frames.Forward,
    packet: packets.Packet,
    now: int,
) -> actions.Action:
    """Pass a packet of an unknown flow to the next member to ask."""
    ranking = state.rankings[service.number]
    order = ranking.order(forward.bucket)
    following = ownership.next_on_trail(order, forward.tried, state.number)
    if following is not None and len(forward.tried) < TRAIL_AT_MOST:
        purpose = frames.Purpose.ROUTE
        return passing.pass_to(state, following, forward, purpose)
    # The trail has ended. What it went through starts anew as the list of
    # members whose upstream has disowned the flow.
    search = dataclasses.replace(forward, tried=())
    return offer_adoption(state, service, search, packet, now)


def offer_adoption(
    state: State,
    service: services.Service,
    forward: frames.Forward,
    packet: packets.Packet,
    now: int,
) -> actions.Action:
    """Let the next recovering agent try a flow that no agent knows.

    An agent that restarted cannot tell which older flows its upstream
    has. It hands the packet to the upstream: an answer confirms the flow,
    a reset disowns it, and then the next recovering agent tries.
    """
    order = state.rankings[service.number].order(forward.bucket)
    for member in order:
        if not member.recovering or member.number in forward.tried:
            continue
        if member.number == state.number:
            flow = adopt(state, service, forward.bucket, packet.key, now)
            flow.unconfirmed = forward
            return actions.Deliver(packet.raw)
        purpose = frames.Purpose.ADOPT
        return passing.pass_to(state, member, forward, purpose, note=False)
    return _reset_orphan(state, packet, now)


def adopt(
    state: State,
    service: services.Service,
    bucket: int,
    key: packets.FlowKey,
    now: int,
) -> records.Flow:
    """Take a flow that was open before this agent restarted."""
    return admission.open_flow(
        state, service, key, bucket, records.NO_OPENING, now
    )


def disown(
    state: State, flow: records.Flow, forward: frames.Forward, now: int
) -> actions.Action:
    """Give up an adopted flow that the upstream does not know."""
    admission.forget_flow(state, flow)
    service = state.served.get(flow.service)
    if service is None:
        return actions.Drop('other-service')
    search = dataclasses.replace(forward, tried=(*forward.tried, state.number))
    opening = packets.Datagram(flow.key, 0, forward.packet)
    return offer_adoption(state, service, search, opening, now)


def _reset_orphan(
    state: State, packet: packets.Packet, now: int
) -> actions.Action:
    # Views reach agents unevenly: the owner may be in a view that has not
    # arrived here. Only a flow that stays unknown is reset.
    first_ms = state.orphans.setdefault(packet.key, now)
    match packet:
        case packets.Segment(flags=flags) if flags & packets.RST:
            state.orphans.pop(packet.key, None)
            return actions.Drop('orphan-reset')
        case packets.Segment() if now - first_ms >= ORPHAN_RESET_MS:
            del state.orphans[packet.key]
            return actions.ResetCaller(
                packet.key,
                seq=packet.ack,
                ack=packet.seq + packet.payload_bytes,
                reason='no-owner',
            )
        case _:
            return actions.Drop('no-owner')
