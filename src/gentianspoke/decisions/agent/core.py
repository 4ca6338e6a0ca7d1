"""The agent's decisions, by the event that asks for one."""

from gentianspoke.core import frames
from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.decisions import actions
from gentianspoke.decisions.agent import admission
from gentianspoke.decisions.agent import diversion
from gentianspoke.decisions.agent import established
from gentianspoke.decisions.agent import finding
from gentianspoke.decisions.agent import opening
from gentianspoke.decisions.agent import parking
from gentianspoke.decisions.agent import placed
from gentianspoke.decisions.agent import replies
from gentianspoke.decisions.agent import returned
from gentianspoke.decisions.agent import state as agent_state
from gentianspoke.decisions.agent import timing
from gentianspoke.decisions import hashing

State = agent_state.AgentState
Actions = list[actions.Action]


def on_forward(
    state: State, forward: frames.Forward, packet: packets.Packet, now: int
) -> Actions:
    """Return what to do with a packet that an entry or agent sent."""
    if forward.target != state.number:
        return [actions.Drop('other-incarnation')]
    service = state.served.get(forward.service)
    if service is None or forward.pool not in state.rankings:
        return [actions.Drop('other-service')]
    flow = state.flows.get(packet.key)
    if flow is None or flow.service != forward.service:
        # A known flow has passed these checks with its first packet.
        reason = _drop_reason(state, service, forward, packet)
        if reason is not None:
            return [actions.Drop(reason)]
    state.heard_ms = now
    running = state.total_running
    match packet:
        case packets.Segment() if not packets.is_opening(packet):
            decided = established.decide_established(
                state, service, forward, packet, now
            )
        case _:
            decided = [
                opening.decide_opening(state, service, forward, packet, now)
            ]
            parking.park_if_waiting(state, decided, forward, packet, now)
    if state.total_running < running:
        decided.extend(timing.start_queued(state, now))
    return decided


def on_reply(state: State, packet: packets.Packet, now: int) -> Actions:
    """Return what to do with a packet of the upstream.

    The packet's key is already turned to the caller's point of view.
    """
    admission.note_upstream_activity(state)
    running = state.total_running
    decided = replies.decide_reply(state, packet, now)
    if state.total_running < running:
        decided.extend(timing.start_queued(state, now))
    return decided


def on_load(state: State, report: frames.LoadReport) -> None:
    """Take another member's counts as its last known load."""
    diversion.take_report(state, report)


def on_returned(state: State, segment: packets.Segment, now: int) -> Actions:
    """Return what to do with a caller's packet that the upstream sent back.

    Only upstreams with a handshake do so.
    """
    admission.note_upstream_activity(state)
    return returned.take_returned(state, segment, now)


def on_owned(state: State, owned: frames.Owned, now: int) -> None:
    """Remember which member owns a flow that this agent was asked for."""
    finding.take_owned(state, owned, now)


def on_tick(state: State, now: int) -> Actions:
    """Return what time alone brings about; call it every 50 ms or so."""
    return timing.expire(state, now)


def on_incarnation(state: State, number: int, now: int) -> Actions:
    """Begin anew beside an upstream that has restarted.

    ``number`` is the member number of the new incarnation. The flows of
    the old one are lost with it; their callers are told by a reset.
    """
    return replies.end_incarnation(state, number, now)


def is_for_service(service: services.Service, key: packets.FlowKey) -> bool:
    """Return whether a flow is addressed to the service."""
    return (
        packets.key_protocol(key) == service.protocol
        and packets.service_address(key) == service.address
        and packets.service_port(key) in service.ports
    )


def oldest_flow_view(state: State, pool: int) -> int:
    """Return the view of the oldest flow outside the own buckets.

    0 where there is none; see :class:`gentianspoke.core.views.Member`.
    Nobody asks by it for flows of upstreams with a handshake, and each
    change of it would be a new revision of the view for all agents.
    """
    if state.all_handshake:
        return 0
    ranking = state.rankings.get(pool)
    return placed.oldest_view(state, ranking) if ranking else 0


def _drop_reason(
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
    # A member that was removed lately may still pass on packets of flows
    # that are open, but makes no offers.
    if state.member(forward.pool, forward.sender) is None:
        return 'unknown-sender'
    return None
