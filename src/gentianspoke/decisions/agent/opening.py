"""What an agent does with an opening: know it, place it, or pass it on."""

import dataclasses

from gentianspoke.core import frames
from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.core import views
from gentianspoke.decisions import actions
from gentianspoke.decisions.agent import known
from gentianspoke.decisions.agent import ownership
from gentianspoke.decisions.agent import passing
from gentianspoke.decisions.agent import placing
from gentianspoke.decisions.agent import state as agent_state
from gentianspoke.decisions import hashing

State = agent_state.AgentState


def decide_opening(
    state: State,
    service: services.Service,
    forward: frames.Forward,
    packet: packets.Packet,
    now: int,
) -> actions.Action:
    """Return what becomes of a packet that may open a flow.

    It is a SYN, or a datagram of a flow that is not known here.
    """
    unfit = _why_unfit(service, packet)
    if unfit is not None:
        return actions.Drop(unfit)
    answer = known.decide_known(state, forward, packet, now)
    if answer is not None:
        return answer
    ranking = state.rankings[forward.pool]
    match forward.purpose:
        case frames.Purpose.OFFER:
            return _decide_offer(state, service, ranking, forward, packet, now)
        case frames.Purpose.ASK if not _is_home(state, ranking, forward):
            return _return_to_home(state, ranking, forward)
        case _:
            return _decide_new(state, service, ranking, forward, packet, now)


def _why_unfit(
    service: services.Service, packet: packets.Packet
) -> str | None:
    """Return why work that runs at most once cannot be opened like this."""
    if not services.needs_single_decider(service):
        return None
    match packet:
        case packets.Segment(payload_bytes=0):
            return None
        case packets.Segment():
            # Data in an opening (TCP fast open) would reach the upstream
            # before its own random number has been acknowledged.
            return 'opening-with-payload'
        case packets.Datagram():
            # A datagram carries its work with it: a copy may run again.
            return 'datagram-runs-once'


def _return_to_home(
    state: State, ranking: hashing.Ranking, forward: frames.Forward
) -> actions.Action:
    home = ranking.home(forward.bucket)
    if home is None:
        return actions.Drop('no-home')
    return passing.pass_to(state, home, forward, frames.Purpose.ROUTE)


def _is_home(
    state: State, ranking: hashing.Ranking, forward: frames.Forward
) -> bool:
    home = ranking.home(forward.bucket)
    return home is not None and home.number == state.number


def _decide_new(
    state: State,
    service: services.Service,
    ranking: hashing.Ranking,
    forward: frames.Forward,
    packet: packets.Packet,
    now: int,
) -> actions.Action:
    home = ranking.home(forward.bucket)
    if home is None and service.handshake:
        # Nothing but the view speaks against this agent's own upstream.
        return placing.take_offer(
            state, service, ranking, forward, packet, now
        )
    if home is None:
        return _answer_without_home(service, packet)
    if home.number != state.number:
        return passing.pass_to(state, home, forward, frames.Purpose.ROUTE)
    if not ownership.may_place(state, service, ranking, forward.bucket, now):
        # The caller's TCP sends the opening again, by which time the
        # earlier home has acknowledged or lost its lease.
        return actions.Drop('awaiting-lease')
    question = _begin_asking(state, service, ranking, forward)
    asked = _members_to_ask(state, service, ranking, forward, packet)
    for member in asked:
        if member.number not in question.tried:
            return passing.pass_to(state, member, question, frames.Purpose.ASK)
    return placing.place(state, service, ranking, forward, packet, now)


def _begin_asking(
    state: State,
    service: services.Service,
    ranking: hashing.Ranking,
    forward: frames.Forward,
) -> frames.Forward:
    """Return the frame with which this home asks others for an opening.

    A member that this home has not asked itself may have passed the frame
    on before it acknowledged the home's view, and have taken an offer of
    an earlier home since. Its "unknown" counts for nothing.
    """
    if not services.needs_single_decider(service):
        return forward
    since = ownership.home_since(state, ranking, forward.bucket, state.number)
    if forward.decider == state.number and forward.view >= since:
        return forward
    return dataclasses.replace(
        forward, tried=(), decider=state.number, view=ranking.view.number
    )


def _members_to_ask(
    state: State,
    service: services.Service,
    ranking: hashing.Ranking,
    forward: frames.Forward,
    packet: packets.Packet,
) -> list[views.Member]:
    bucket = forward.bucket
    if service.handshake:
        return []
    match packet:
        case packets.Segment() if not services.needs_single_decider(service):
            return ownership.earlier_homes(ranking.order(bucket), state.number)
        case _:
            # A datagram may belong to a flow that an earlier home diverted.
            return ownership.members_to_ask(state, ranking, bucket)


def _answer_without_home(
    service: services.Service, packet: packets.Packet
) -> actions.Action:
    if services.needs_single_decider(service):
        # A member that closed may have placed a copy of this opening.
        return actions.Drop('no-live-upstream')
    if packets.is_retransmission(packet):
        return actions.Drop('no-live-upstream')
    return actions.Refuse(packet, 'no-live-upstream')


def _decide_offer(
    state: State,
    service: services.Service,
    ranking: hashing.Ranking,
    forward: frames.Forward,
    packet: packets.Packet,
    now: int,
) -> actions.Action:
    if ownership.accepts_offer(state, service, ranking, forward, now):
        return placing.take_offer(
            state, service, ranking, forward, packet, now
        )
    home = ranking.home(forward.bucket)
    if home is None or home.number in (state.number, forward.sender):
        return actions.Drop('stale-offer')
    # The bucket has another home by now. It learns that neither the
    # decider nor this agent has the flow, and that none will take it.
    return passing.pass_to(state, home, forward, frames.Purpose.ROUTE)
