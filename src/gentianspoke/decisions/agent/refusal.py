"""Refusal of an opening that no upstream takes."""

from gentianspoke.core import frames
from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.core import verdicts
from gentianspoke.decisions import actions
from gentianspoke.decisions.agent import evidence
from gentianspoke.decisions.agent import flow_table
from gentianspoke.decisions.agent import known_flows
from gentianspoke.decisions.agent import state as agent_state
from gentianspoke.decisions import member_ranking

State = agent_state.AgentState


def refuse_opening(
    state: State,
    service: services.Service,
    forward: frames.Forward,
    packet: packets.Packet,
    now: int,
    capacity_reason: str = 'no-capacity',
) -> actions.Action:
    """Return the refusal of an opening; a retransmitted one is dropped.

    ``capacity_reason`` is the reason unless there is another one than a lack
    of capacity.
    """
    if packets.is_retransmission(packet):
        # Another member may have accepted an earlier copy of the opening.
        return actions.Drop('repeated-opening')
    reason, fault = _get_refusal_cause(state, service, capacity_reason)
    isn = known_flows.get_opening_isn(packet)
    if services.needs_single_decider(service):
        bucket, decided_view = forward.bucket, get_decided_view(forward)
        flow_table.record_refused_opening(
            state, service, packet.key, bucket, isn, now, decided_view
        )
    evidence.report_refusal(
        state,
        packet.key,
        service,
        fault,
        reason,
    )
    return actions.Refuse(packet, reason)


def _get_refusal_cause(
    state: State, service: services.Service, capacity_reason: str
) -> tuple[str, verdicts.Fault]:
    if service.retired:
        return 'service-retired', verdicts.Fault.NONE
    if state.is_evacuated(state.get_pool(service)):
        return member_ranking.EVACUATED_REASON, verdicts.Fault.NONE
    if state.draining:
        return 'draining', verdicts.Fault.UPSTREAM
    return capacity_reason, verdicts.Fault.UPSTREAM


def get_decided_view(forward: frames.Forward) -> int | None:
    """Return the view in which a decider offered the opening to this agent.

    Return ``None`` if the frame is no offer, because this agent then decides
    itself.
    """
    match forward.purpose:
        case frames.Purpose.OFFER:
            return forward.view
        case _:
            return None
