"""Entry points of the agent's decisions, one function for each event.

``now`` is the time of the event, in milliseconds of the agent's clock.
"""

from gentianspoke.core import frames
from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.core import views
from gentianspoke.decisions import actions
from gentianspoke.decisions.agent import admission
from gentianspoke.decisions.agent import diversion
from gentianspoke.decisions.agent import established_flows
from gentianspoke.decisions.agent import flow_inquiry
from gentianspoke.decisions.agent import flow_knowledge
from gentianspoke.decisions.agent import held_openings
from gentianspoke.decisions.agent import known_instances
from gentianspoke.decisions.agent import opening
from gentianspoke.decisions.agent import owner_search
from gentianspoke.decisions.agent import record_counts
from gentianspoke.decisions.agent import replies
from gentianspoke.decisions.agent import returned_packets
from gentianspoke.decisions.agent import scheduling
from gentianspoke.decisions.agent import state as agent_state
from gentianspoke.decisions.agent import timeouts
from gentianspoke.decisions import hashing

State = agent_state.AgentState
Actions = list[actions.Action]


def on_forward(
    state: State, forward: frames.Forward, packet: packets.Packet, now: int
) -> Actions:
    """Return the actions for a packet that an entry or another agent sent."""
    if forward.target != state.number:
        return [actions.Drop('other-incarnation')]
    service = state.services_by_number.get(forward.service)
    if service is None or forward.pool not in state.rankings:
        return [actions.Drop('other-service')]
    flow = state.flows.get(packet.key)
    if flow is None or flow.service != forward.service:
        # The first packet of a known flow has already passed these checks.
        reason = _find_drop_reason(state, service, forward, packet)
        if reason is not None:
            return [actions.Drop(reason)]
    state.last_caller_packet_ms = now
    running_before = state.total_running
    match packet:
        case packets.Segment() if not packets.is_opening(packet):
            result = established_flows.decide_segment(
                state, service, forward, packet, now
            )
        case _:
            flow_inquiry.forget_flow(state, packet.key)
            result = [
                opening.decide_opening(state, service, forward, packet, now)
            ]
            held_openings.hold_if_awaiting_lease(
                state, result, forward, packet, now
            )
    if state.total_running < running_before:
        result.extend(timeouts.start_queued_openings(state, now))
    if state.requests.held:
        result.extend(scheduling.start_requests(state, now))
    return result


def on_reply(state: State, packet: packets.Packet, now: int) -> Actions:
    """Return the actions for a packet that the upstream sent.

    The packet's flow key is the one of the direction from the caller to the
    upstream, as in :func:`on_forward`.
    """
    admission.note_upstream_activity(state, now)
    running_before = state.total_running
    result = replies.decide_reply(state, packet, now)
    if state.total_running < running_before:
        result.extend(timeouts.start_queued_openings(state, now))
    if state.requests.held:
        result.extend(scheduling.start_requests(state, now))
    return result


def on_load(state: State, report: frames.LoadReport, now: int) -> None:
    """Record the newest load report of another member."""
    diversion.record_report(state, report, now)


def on_returned(state: State, segment: packets.Segment, now: int) -> Actions:
    """Return the actions for a caller's packet that the upstream sent back.

    Only the upstreams of services with ``handshake`` send packets back.
    """
    admission.note_upstream_activity(state, now)
    state.last_upstream_packet_ms = now
    result = returned_packets.decide_returned_packet(state, segment, now)
    if state.requests.held:
        result.extend(scheduling.start_requests(state, now))
    return result


def on_owned(state: State, owned: frames.Owned, now: int) -> None:
    """Record which member owns a flow that this agent did not know."""
    owner_search.record_owner(state, owned, now)


def on_inquiry(state: State, inquiry: frames.FlowInquiry, now: int) -> Actions:
    """Return the reply to an inquiry about flows."""
    return [flow_knowledge.answer_inquiry(state, inquiry, now)]


def on_inquiry_reply(
    state: State, reply: frames.FlowInquiryReply, now: int
) -> Actions:
    """Return the actions for a member's reply to an inquiry."""
    return flow_inquiry.record_reply(state, reply, now)


def on_view(state: State, view: views.View, now: int) -> None:
    """Store a view unless it is older, and note what follows from it.

    This is which members have left, and whether this agent has run before.
    """
    previous = state.rankings.get(view.service)
    if state.set_view(view):
        known_instances.note_view(state, previous, view, now)
        flow_knowledge.note_own_listing(state, view.service, now)


def on_tick(state: State, now: int) -> Actions:
    """Return the actions that are due at ``now``; call about every 50 ms."""
    return timeouts.run_due_checks(state, now)


def on_first_incarnation(
    state: State, number: int, is_young: bool, now: int
) -> None:
    """Record the incarnation of the upstream that the agent learns first.

    ``number`` is its member number. If ``is_young`` is false, the upstream may
    have flows from before the agent's start.
    """
    state.number = number
    state.recovering = not is_young
    if is_young:
        state.inquiries.complete_from_ms = 0
        for pool in state.rankings:
            flow_knowledge.note_own_listing(state, pool, now)


def on_incarnation(
    state: State, number: int, now: int, upstream_age_ms: int = 0
) -> Actions:
    """Return the actions that follow a restart of the upstream.

    ``number`` is the member number of the new incarnation, and
    ``upstream_age_ms`` the time since its start. The flows of the old
    incarnation are lost, and the callers of the open TCP flows get a reset.
    """
    return replies.end_incarnation(state, number, now, upstream_age_ms)


def is_for_service(service: services.Service, key: packets.FlowKey) -> bool:
    """Return whether a flow is addressed to the service."""
    return (
        packets.get_protocol(key) == service.protocol
        and packets.get_service_address(key) == service.address
        and packets.get_service_port(key) in service.ports
    )


def find_oldest_flow_view(state: State, pool: int) -> int:
    """Return the oldest view under which a record of this agent is counted.

    The records are those of flows and diversions in the buckets of which this
    agent is not the home. The result is 0 if there is none; see
    :class:`gentianspoke.core.views.Member`. It is also 0 if all services have
    ``handshake``: other agents do not use this number to search for flows of
    such services, and each change of it would cause a new revision of the
    view at all agents.
    """
    if state.all_handshake:
        return 0
    ranking = state.rankings.get(pool)
    return record_counts.find_oldest_view(state, ranking) if ranking else 0


def _find_drop_reason(
    state: State,
    service: services.Service,
    forward: frames.Forward,
    packet: packets.Packet,
) -> str | None:
    if not is_for_service(service, packet.key):
        return 'wrong-service'
    if forward.bucket != hashing.bucket_of(packet.key, service.number):
        return 'wrong-bucket'
    if forward.purpose is not frames.Purpose.OFFER or service.handshake:
        return None
    # A member that was removed from the view recently may still pass on
    # packets of open flows, but it must not offer openings. Services with
    # ``handshake`` are exempt, because entry instances, which are no members,
    # offer retransmitted openings of these services.
    if state.find_member(forward.pool, forward.sender) is None:
        return 'unknown-sender'
    return None
