"""Inquiries of an agent about flows that it does not know.

After a loss of power, the callers' packets of lost flows come to agents that
know none of them. In a pool of many members, a search from member to member
costs many frames and proves nothing, and the callers wait until their
deadline. The agent that receives such a packet first therefore collects the
flows for a short time and asks all members of the service's pools in one
frame. The owner of a flow is recorded, and a flow that no upstream has any
more is ended (``inquiry_results``).
"""

import dataclasses

from gentianspoke.core import frames
from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.decisions import actions
from gentianspoke.decisions.agent import evidence
from gentianspoke.decisions.agent import forwarding
from gentianspoke.decisions.agent import inquiry_records
from gentianspoke.decisions.agent import known_instances
from gentianspoke.decisions.agent import owner_search
from gentianspoke.decisions.agent import state as agent_state

# Largest number of unknown flows that are kept. Further ones are searched for
# without an inquiry.
MAX_UNKNOWN_FLOWS = 1_000
# If more members may have a flow, a search does not reach all of them, and a
# packet of a flow that will be inquired about goes to a few members only.
QUICK_SEARCH_HOPS = 4
# Largest number of candidates that get one packet.
MAX_CANDIDATES_PER_PACKET = owner_search.MAX_MEMBERS_ASKED
# Hops of such a packet. A candidate may pass it on to the flow's target.
CANDIDATE_HOPS = 2
# A flow for which an inquiry had no result is inquired about again after this
# time, which doubles with each further one up to the maximum. The first
# repetitions come soon, because members that have just started answer within a
# second.
MIN_REPEAT_INTERVAL_MS = 250
MAX_REPEAT_INTERVAL_MS = 4_000
# The caller's retransmissions are at most this far apart. A flow whose caller
# has sent nothing for longer is not inquired about again.
MAX_RETRANSMISSION_INTERVAL_MS = 1_700

State = agent_state.AgentState
Actions = list[actions.Action]
Phase = inquiry_records.FlowPhase


def search_owner(
    state: State,
    service: services.Service,
    forward: frames.Forward,
    segment: packets.Segment,
    now: int,
) -> Actions:
    """Return the actions for a packet of a flow that this agent has not.

    If this agent is the first that was asked, the flow also becomes part of
    the next inquiry.
    """
    if not _may_inquire(state, service, forward, segment):
        return [owner_search.ask_next_member(state, service, forward)]
    flow = _find_or_add_flow(state, service, forward, segment, now)
    if flow is None:
        return [owner_search.ask_next_member(state, service, forward)]
    flow.forward, flow.segment, flow.last_ms = forward, segment, now
    match flow.phase:
        case Phase.COLLECTED if flow.candidates:
            return try_candidates(state, flow)
        case Phase.COLLECTED:
            return [_search_quickly(state, service, flow)]
        case Phase.ASKED:
            return [actions.Hold('inquired')]
        case Phase.ENDED:
            return [make_reset(flow)]
        case Phase.UNDECIDED:
            return try_candidates(state, flow)


def forget_flow(state: State, key: packets.FlowKey) -> None:
    """End the search for a flow, because its caller opens it again."""
    state.inquiries.unknown.pop(key, None)


def repeat_undecided(state: State, now: int) -> None:
    """Collect the undecided flows again whose callers still send."""
    for flow in state.inquiries.unknown.values():
        if flow.phase is not Phase.UNDECIDED:
            continue
        interval_ms = min(
            MAX_REPEAT_INTERVAL_MS,
            MIN_REPEAT_INTERVAL_MS << flow.undecided_count,
        )
        is_due = now - flow.phase_since_ms >= interval_ms
        if is_due and now - flow.last_ms <= MAX_RETRANSMISSION_INTERVAL_MS:
            set_phase(flow, Phase.COLLECTED, now)


def has_listed_target(state: State, key: packets.FlowKey) -> bool:
    """Return whether packets of the flow go to a member that is listed."""
    diversion = state.diversions.get(key)
    if diversion is None:
        return False
    return state.find_member(diversion.pool, diversion.target) is not None


def set_phase(
    flow: inquiry_records.UnknownFlow, phase: Phase, now: int
) -> None:
    """Set the phase of a flow and the time since which it applies."""
    flow.phase = phase
    flow.phase_since_ms = now


def make_reset(flow: inquiry_records.UnknownFlow) -> actions.Action:
    """Return the reset for the caller of a flow that exists no longer.

    The numbers are those of the caller's own segment, so the reset does not
    apply to another connection on the same ports.
    """
    return actions.ResetCaller(
        flow.segment.key,
        seq=flow.segment.ack,
        ack=evidence.compute_segment_end(flow.segment),
        reason='flow-ended',
    )


def try_candidates(state: State, flow: inquiry_records.UnknownFlow) -> Actions:
    """Return the frames that carry a flow's last packet to candidates.

    Each call continues with other candidates if there are many.
    """
    members = [
        member
        for number in flow.candidates
        for pool in flow.pools
        if (member := state.find_member(pool, number)) is not None
    ]
    if not members:
        return [actions.Drop('no-owner')]
    start = flow.candidates_tried % len(members)
    chosen = (members[start:] + members[:start])[:MAX_CANDIDATES_PER_PACKET]
    flow.candidates_tried += len(chosen)
    hops = min(CANDIDATE_HOPS, flow.forward.hops_left)
    forward = dataclasses.replace(flow.forward, hops_left=hops)
    return [
        forwarding.forward_to(state, member, forward, frames.Purpose.ROUTE)
        for member in chosen
    ]


def record_reply(
    state: State, reply: frames.FlowInquiryReply, now: int
) -> Actions:
    """Record a member's reply; return the packets for the owners it names.

    A reply is complete if this agent knows all instances that the member
    knows. Any reply tells whether the member itself may have the flow. If a
    member answers differently to repeated inquiries, a flow is absent only if
    it is so in all answers.
    """
    inquiry = state.inquiries.outstanding.get(reply.number)
    if inquiry is None:
        return [actions.Drop('late-inquiry-reply')]
    instances = known_instances.list_instances(state, inquiry.pools, now)
    instance = known_instances.find_instance(instances, reply.sender)
    if instance is None:
        return [actions.Drop('unknown-sender')]
    earlier_absent = inquiry.absent.get(instance, reply.absent)
    inquiry.absent[instance] = earlier_absent & reply.absent
    if reply.lists_all:
        inquiry.complete.add(instance)
    result: Actions = []
    for position, flow in enumerate(inquiry.flows):
        if reply.owned >> position & 1 and is_asked(state, flow):
            result.extend(
                _record_owner(state, inquiry, flow, reply.sender, now)
            )
    return result


def is_asked(state: State, flow: inquiry_records.UnknownFlow) -> bool:
    """Return whether the result of an inquiry for the flow is outstanding."""
    is_current = state.inquiries.unknown.get(flow.segment.key) is flow
    return is_current and flow.phase is Phase.ASKED


def _may_inquire(
    state: State,
    service: services.Service,
    forward: frames.Forward,
    segment: packets.Segment,
) -> bool:
    if not state.inquiries.enabled:
        return False
    if any(number != state.number for number in forward.tried):
        return False
    flags = segment.flags & (packets.SYN | packets.RST | packets.ACK)
    if flags != packets.ACK:
        return False
    # The members send their replies to the address in their view.
    pool = state.get_pool(service)
    return state.find_member(pool, state.number) is not None


def _find_or_add_flow(
    state: State,
    service: services.Service,
    forward: frames.Forward,
    segment: packets.Segment,
    now: int,
) -> inquiry_records.UnknownFlow | None:
    unknown = state.inquiries.unknown
    flow = unknown.get(segment.key)
    # A caller that acknowledges another number has received a segment since,
    # or has opened another connection. What is known no longer applies.
    if flow is not None and flow.segment.ack == segment.ack:
        return flow
    if flow is None and len(unknown) >= MAX_UNKNOWN_FLOWS:
        return None
    flow = inquiry_records.UnknownFlow(
        service=service.number,
        pools=services.get_all_pools(service),
        forward=forward,
        segment=segment,
        since_ms=now,
        last_ms=now,
        phase_since_ms=now,
    )
    unknown.pop(segment.key, None)
    unknown[segment.key] = flow
    return flow


def _search_quickly(
    state: State,
    service: services.Service,
    flow: inquiry_records.UnknownFlow,
) -> actions.Action:
    member_count = sum(
        len(state.rankings[pool].view.members)
        for pool in flow.pools
        if pool in state.rankings
    )
    forward = flow.forward
    if member_count > owner_search.MAX_MEMBERS_ASKED:
        hops = min(QUICK_SEARCH_HOPS, forward.hops_left)
        forward = dataclasses.replace(forward, hops_left=hops)
    return owner_search.ask_next_member(state, service, forward)


def _record_owner(
    state: State,
    inquiry: inquiry_records.Inquiry,
    flow: inquiry_records.UnknownFlow,
    owner: int,
    now: int,
) -> Actions:
    for pool in flow.pools:
        member = state.find_member(pool, owner)
        if member is None:
            continue
        owned = frames.Owned(
            service=flow.service,
            pool=pool,
            bucket=flow.forward.bucket,
            target=state.number,
            sender=owner,
            key=flow.segment.key,
        )
        owner_search.record_owner(state, owned, now)
        del state.inquiries.unknown[flow.segment.key]
        inquiry.found_count += 1
        return [
            forwarding.forward_to(
                state, member, flow.forward, frames.Purpose.ROUTE
            )
        ]
    return []
