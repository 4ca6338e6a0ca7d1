"""Decision on openings and datagrams of flows that the agent has a record of.

Either the agent's own upstream has the flow, or the agent diverted it to
another member.
"""

from gentianspoke.core import frames
from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.core import views
from gentianspoke.decisions import actions
from gentianspoke.decisions.agent import admission
from gentianspoke.decisions.agent import cold_start
from gentianspoke.decisions.agent import diversion_table
from gentianspoke.decisions.agent import flow_table
from gentianspoke.decisions.agent import forwarding
from gentianspoke.decisions.agent import ownership
from gentianspoke.decisions.agent import records
from gentianspoke.decisions.agent import state as agent_state

State = agent_state.AgentState


def decide_known_opening(
    state: State,
    forward: frames.Forward,
    packet: packets.Packet,
    now: int,
) -> actions.Action | None:
    """Return the action for an opening or a datagram of a known flow.

    ``None`` means that the opening is to be decided as a new one: the flow
    is unknown, or its record does not determine the action.
    """
    flow = state.flows.get(packet.key)
    if flow is not None:
        return _decide_repeated_opening(state, flow, packet, now)
    diversion = state.diversions.get(packet.key)
    if diversion is None:
        return None
    return _decide_diverted_opening(state, diversion, forward, packet, now)


def get_opening_isn(packet: packets.Packet) -> int:
    """Return the initial sequence number of an opening.

    It is ``NO_OPENING`` for a datagram.
    """
    match packet:
        case packets.Segment(seq=seq):
            return seq
        case packets.Datagram():
            return records.NO_OPENING


def _decide_repeated_opening(
    state: State, flow: records.Flow, packet: packets.Packet, now: int
) -> actions.Action | None:
    match flow.phase:
        case records.Phase.OPEN:
            return _deliver_repeated_opening(state, flow, packet, now)
        case records.Phase.QUEUED:
            if flow.isn == get_opening_isn(packet):
                return actions.Drop('queued')
            # The caller has abandoned the queued opening and opened a new
            # connection on the same five-tuple.
            flow_table.remove_flow(state, flow, now)
            return None
        case records.Phase.CLOSED:
            if _is_same_opening(flow, packet):
                return actions.Drop('late-opening')
        case records.Phase.REFUSED:
            if _is_same_opening(flow, packet):
                return actions.Refuse(packet, 'refused-before')
    flow_table.remove_flow(state, flow, now)
    return None


def _deliver_repeated_opening(
    state: State, flow: records.Flow, packet: packets.Packet, now: int
) -> actions.Action:
    isn = get_opening_isn(packet)
    if isn != flow.isn and state.is_evacuated(flow.pool):
        # It may be a new connection of the caller on the same five-tuple.
        return actions.Drop('evacuated')
    match packet:
        case packets.Segment():
            # An upstream that is cold counts retransmissions too.
            if not admission.may_deliver_opening(state, now):
                return actions.Drop('cold-start')
            cold_start.note_delivery(state.cold, now)
    # An opening with another initial sequence number is delivered too. The
    # upstream's TCP can tell whether it is a late copy or a new connection of
    # the caller.
    flow.last_up_ms = now
    if isn != flow.isn:
        flow.newer_isn = isn
    return actions.Deliver(packet.raw)


def _is_same_opening(flow: records.Flow, packet: packets.Packet) -> bool:
    isn = get_opening_isn(packet)
    return isn != records.NO_OPENING and flow.isn == isn


def _decide_diverted_opening(
    state: State,
    diversion: records.Diversion,
    forward: frames.Forward,
    packet: packets.Packet,
    now: int,
) -> actions.Action | None:
    service = state.services_by_number.get(diversion.service)
    if service is None or diversion.service != forward.service:
        # The address belongs to another service by now.
        diversion_table.remove(state, packet.key)
        return None
    if _must_ask_again(state, service, diversion):
        return None
    member = state.find_member(diversion.pool, diversion.target)
    if member is None:
        return decide_lost_target(state, service, diversion, packet)
    if state.inquiries.enabled and _is_for_silent_target(
        member, diversion, packet
    ):
        diversion_table.remove(state, packet.key)
        return None
    diversion.last_used_ms = now
    _update_diversion(state, service, diversion, forward, now)
    if forward.purpose is frames.Purpose.ASK:
        # The bucket's home asks whether a member has a record of the opening.
        # The target may have one, so it is asked next.
        return forwarding.forward_to(
            state, member, forward, frames.Purpose.ASK
        )
    # The target gets the same offer again, even if it has just answered that
    # it has no record of the flow, because the first offer may still be in
    # flight.
    return forwarding.offer_to(
        state, member, forward, diversion.decider, diversion.view
    )


def _is_for_silent_target(
    member: views.Member,
    diversion: records.Diversion,
    packet: packets.Packet,
) -> bool:
    """Return whether another opening would go to a member that is silent.

    With inquiries about flows, control keeps silent members listed for long.
    """
    is_copy = diversion.isn == get_opening_isn(packet)
    return member.state is views.State.SUSPECT and not is_copy


def _update_diversion(
    state: State,
    service: services.Service,
    diversion: records.Diversion,
    forward: frames.Forward,
    now: int,
) -> None:
    """Update the decider and the view of a diversion to newer ones.

    If the frame is an offer that was made in a newer view and that this agent
    may accept, the diversion gets the offer's decider and view. If this agent
    made the diversion as the home, is still the home and may place openings,
    the diversion gets the present view.

    The update is necessary for a target that joined after the diversion was
    made: such a target does not know for how long the decider has been the
    home, and accepts only offers of newer views.
    """
    ranking = state.rankings[diversion.pool]
    home = ranking.home(diversion.bucket)
    if home is None:
        return
    if forward.purpose is frames.Purpose.OFFER:
        is_newer = forward.view > diversion.view
        if is_newer and ownership.may_accept_offer(
            state, service, ranking, forward, now
        ):
            diversion.decider = forward.decider
            diversion.view = forward.view
    elif home.number == state.number == diversion.decider:
        if ownership.may_place(state, service, ranking, diversion.bucket, now):
            diversion.view = ranking.view.number


def _must_ask_again(
    state: State, service: services.Service, diversion: records.Diversion
) -> bool:
    """Return whether this home must ask the other members again.

    It must do so if another member may have been the home for some time
    since the offer, because that home may have decided on the opening too.
    This agent then treats the opening as a new one: it asks the other
    members, and then renews its offer to the same target
    (``placement.place_opening``). The result is False if this agent is not
    the home.
    """
    if not services.needs_single_decider(service):
        return False
    ranking = state.rankings[diversion.pool]
    home = ranking.home(diversion.bucket)
    if home is None or home.number != state.number:
        return False
    bucket = diversion.bucket
    start_view = ownership.find_home_start_view(
        state, ranking, bucket, state.number
    )
    return diversion.view < start_view


def decide_lost_target(
    state: State,
    service: services.Service,
    diversion: records.Diversion,
    packet: packets.Packet,
) -> actions.Action | None:
    """Return the action for an opening whose target left the pool's view.

    ``None`` means that the opening is to be decided as a new one. The
    diversion has then been removed.
    """
    is_copy = diversion.isn == get_opening_isn(packet)
    if is_copy and services.needs_single_decider(service):
        # The target may have delivered the opening to its upstream before it
        # was lost, so the opening is neither placed again nor refused.
        return actions.Drop('outcome-unknown')
    diversion_table.remove(state, packet.key)
    return None
