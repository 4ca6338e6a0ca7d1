"""Openings of flows that this agent knows: its own and diverted ones."""

from gentianspoke.core import frames
from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.decisions import actions
from gentianspoke.decisions.agent import diversion_table
from gentianspoke.decisions.agent import ownership
from gentianspoke.decisions.agent import passing
from gentianspoke.decisions.agent import records
from gentianspoke.decisions.agent import state as agent_state
from gentianspoke.decisions.agent import tables

State = agent_state.AgentState


def decide_known(
    state: State,
    forward: frames.Forward,
    packet: packets.Packet,
    now: int,
) -> actions.Action | None:
    """Return what becomes of a known flow's opening, else ``None``."""
    flow = state.flows.get(packet.key)
    if flow is not None:
        return _decide_repeated_opening(state, flow, packet, now)
    diverted = state.diversions.get(packet.key)
    if diverted is None:
        return None
    return _offer_again(state, diverted, forward, packet, now)


def opening_isn(packet: packets.Packet) -> int:
    """Return the initial sequence number of an opening."""
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
            # An opening with another sequence number goes to the upstream
            # too: its TCP tells a late copy from a caller that began anew.
            flow.up_ms = now
            isn = opening_isn(packet)
            if isn != flow.isn:
                flow.newer_isn = isn
            return actions.Deliver(packet.raw)
        case records.Phase.QUEUED:
            if flow.isn == opening_isn(packet):
                return actions.Drop('queued')
            # The caller gave the queued opening up and began anew.
            tables.forget_flow(state, flow, now)
            return None
        case records.Phase.CLOSED:
            if _is_same_opening(flow, packet):
                return actions.Drop('late-opening')
        case records.Phase.REFUSED:
            if _is_same_opening(flow, packet):
                return actions.Refuse(packet, 'refused-before')
    tables.forget_flow(state, flow, now)
    return None


def _is_same_opening(flow: records.Flow, packet: packets.Packet) -> bool:
    isn = opening_isn(packet)
    return isn != records.NO_OPENING and flow.isn == isn


def _offer_again(
    state: State,
    diverted: records.Diversion,
    forward: frames.Forward,
    packet: packets.Packet,
    now: int,
) -> actions.Action | None:
    service = state.served.get(diverted.service)
    if service is None or diverted.service != forward.service:
        # The address has another service by now.
        diversion_table.remove(state, packet.key)
        return None
    if _must_query_again(state, service, diverted):
        return None
    member = state.member(diverted.pool, diverted.target)
    if member is None:
        return decide_lost_target(state, service, diverted, packet)
    diverted.used_ms = now
    _renew(state, service, diverted, forward, now)
    if forward.purpose is frames.Purpose.ASK:
        return passing.pass_to(state, member, forward, frames.Purpose.ASK)
    # The target gets the same offer even if it did not know the flow a
    # moment ago, because the first offer may still be on its way.
    return passing.offer_to(
        state, member, forward, diverted.decider, diverted.view
    )


def _renew(
    state: State,
    service: services.Service,
    diverted: records.Diversion,
    forward: frames.Forward,
    now: int,
) -> None:
    """Date an offer by the present view, where the decider is home still.

    A target that joined after the offer was made does not know since when
    the decider has been the home, and takes only offers of newer views.
    """
    ranking = state.rankings[diverted.pool]
    home = ranking.home(diverted.bucket)
    if home is None:
        return
    if forward.purpose is frames.Purpose.OFFER:
        newer = forward.view > diverted.view
        if newer and ownership.accepts_offer(
            state, service, ranking, forward, now
        ):
            diverted.decider = forward.decider
            diverted.view = forward.view
    elif home.number == state.number == diverted.decider:
        if ownership.may_place(state, service, ranking, diverted.bucket, now):
            diverted.view = ranking.view.number


def _must_query_again(
    state: State, service: services.Service, diverted: records.Diversion
) -> bool:
    """Return whether another home may have decided since the offer.

    So it is where this agent is the home now, but may not have been all
    the time. It then goes on as with a new opening, and after it has asked
    the others renews its offer to the same target (``placing.place``).
    """
    if not services.needs_single_decider(service):
        return False
    ranking = state.rankings[diverted.pool]
    home = ranking.home(diverted.bucket)
    if home is None or home.number != state.number:
        return False
    bucket = diverted.bucket
    since = ownership.home_since(state, ranking, bucket, state.number)
    return diverted.view < since


def decide_lost_target(
    state: State,
    service: services.Service,
    diverted: records.Diversion,
    packet: packets.Packet,
) -> actions.Action | None:
    """Return what becomes of an opening whose target is lost.

    ``None`` tells that it may be decided anew.
    """
    is_copy = diverted.isn == opening_isn(packet)
    if is_copy and services.needs_single_decider(service):
        # The target may have handed the opening to its upstream before it
        # was lost, so it is neither placed again nor refused.
        return actions.Drop('outcome-unknown')
    diversion_table.remove(state, packet.key)
    return None
