"""What an agent does with an opening: know it, place it, or pass it on."""

import dataclasses

from gentianspoke.core import frames
from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.decisions import actions
from gentianspoke.decisions.agent import admission
from gentianspoke.decisions.agent import diversion
from gentianspoke.decisions.agent import ownership
from gentianspoke.decisions.agent import passing
from gentianspoke.decisions.agent import records
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
    known = _decide_known(state, forward, packet, now)
    if known is not None:
        return known
    ranking = state.rankings[service.number]
    match forward.purpose:
        case frames.Purpose.OFFER:
            return _take_offer(state, service, ranking, forward, packet, now)
        case frames.Purpose.ASK:
            return _return_to_home(state, ranking, forward)
        case _:
            return _decide_new(state, service, ranking, forward, packet, now)


def _decide_known(
    state: State,
    forward: frames.Forward,
    packet: packets.Packet,
    now: int,
) -> actions.Action | None:
    flow = state.flows.get(packet.key)
    if flow is not None:
        return _deliver_again(state, flow, packet, now)
    diverted = state.diversions.get(packet.key)
    if diverted is None:
        return None
    member = state.member(forward.service, diverted.target)
    if member is None or member.number in forward.tried:
        del state.diversions[packet.key]
        return None
    diverted.used_ms = now
    purpose = frames.Purpose.OFFER
    return passing.pass_to(state, member, forward, purpose)


def _deliver_again(
    state: State, flow: records.Flow, packet: packets.Packet, now: int
) -> actions.Action | None:
    if flow.phase is records.Phase.CLOSED:
        # The caller opens a new connection on the old five-tuple.
        admission.forget_flow(state, flow)
        return None
    if flow.phase is records.Phase.QUEUED:
        return actions.Drop('queued')
    # An opening with another sequence number goes to the upstream too:
    # its TCP tells a late duplicate from a caller that started anew.
    flow.up_ms = now
    return actions.Deliver(packet.raw)


def _return_to_home(
    state: State, ranking: hashing.Ranking, forward: frames.Forward
) -> actions.Action:
    home = ranking.home(forward.bucket)
    if home is None or home.number == state.number:
        return actions.Drop('no-home')
    return passing.pass_to(state, home, forward, frames.Purpose.ROUTE)


def _decide_new(
    state: State,
    service: services.Service,
    ranking: hashing.Ranking,
    forward: frames.Forward,
    packet: packets.Packet,
    now: int,
) -> actions.Action:
    home = ranking.home(forward.bucket)
    if home is None:
        return actions.Refuse(packet, 'no-live-upstream')
    if home.number != state.number:
        return passing.pass_to(state, home, forward, frames.Purpose.ROUTE)
    for member in ownership.earlier_homes(
        ranking.order(forward.bucket), state.number
    ):
        if member.number not in forward.tried:
            return passing.pass_to(state, member, forward, frames.Purpose.ASK)
    if not ownership.may_place(state, service, ranking, forward.bucket, now):
        # The caller's TCP sends the opening again, by which time the
        # earlier decider has acknowledged or lost its lease.
        return actions.Drop('awaiting-lease')
    return _place(state, service, ranking, forward, packet, now)


def _place(
    state: State,
    service: services.Service,
    ranking: hashing.Ranking,
    forward: frames.Forward,
    packet: packets.Packet,
    now: int,
) -> actions.Action:
    own = state.counts[service.number].open_flows
    limit = diversion.load_limit(state, service, ranking, now)
    verdict = admission.admit(state, service, wait_left_ms=0)
    if own < limit and verdict is admission.Admission.NOW:
        return _accept(state, service, forward, packet, now)
    other = diversion.choose_other(state, service, ranking, forward.bucket)
    if other is not None:
        load = diversion.load_of(state, service.number, other.number)
        if load < own or verdict is not admission.Admission.NOW:
            return _divert(state, service, other.number, forward, packet, now)
    return _admit_here(state, service, ranking, forward, packet, now)


def _take_offer(
    state: State,
    service: services.Service,
    ranking: hashing.Ranking,
    forward: frames.Forward,
    packet: packets.Packet,
    now: int,
) -> actions.Action:
    verdict = admission.admit(state, service, wait_left_ms=0)
    if verdict is admission.Admission.NOW:
        return _accept(state, service, forward, packet, now)
    if forward.offers_left > 0:
        other = diversion.choose_other(
            state, service, ranking, forward.bucket, forward.tried
        )
        if other is not None:
            return _divert(state, service, other.number, forward, packet, now)
    return _admit_here(state, service, ranking, forward, packet, now)


def _divert(
    state: State,
    service: services.Service,
    target: int,
    forward: frames.Forward,
    packet: packets.Packet,
    now: int,
) -> actions.Action:
    member = state.member(service.number, target)
    if member is None:
        return actions.Drop('unknown-member')
    state.diversions[packet.key] = records.Diversion(
        target=target,
        isn=_opening_number(packet),
        service=service.number,
        bucket=forward.bucket,
        view=state.rankings[service.number].view.number,
        used_ms=now,
    )
    diversion.count_placed(state, service.number, target)
    offer = dataclasses.replace(
        forward, offers_left=max(0, forward.offers_left - 1)
    )
    return passing.pass_to(state, member, offer, frames.Purpose.OFFER)


def _admit_here(
    state: State,
    service: services.Service,
    ranking: hashing.Ranking,
    forward: frames.Forward,
    packet: packets.Packet,
    now: int,
) -> actions.Action:
    verdict = admission.admit(state, service, forward.wait_left_ms)
    match verdict, packet:
        case admission.Admission.NOW, _:
            return _accept(state, service, forward, packet, now)
        case admission.Admission.WAIT, packets.Segment():
            admission.queue_flow(
                state,
                service,
                packet,
                forward.bucket,
                forward.wait_left_ms,
                now,
            )
            return actions.Drop('queued')
        case _:
            return actions.Refuse(packet, 'no-capacity')


def _accept(
    state: State,
    service: services.Service,
    forward: frames.Forward,
    packet: packets.Packet,
    now: int,
) -> actions.Action:
    isn = _opening_number(packet)
    admission.open_flow(state, service, packet.key, forward.bucket, isn, now)
    return actions.Deliver(packet.raw)


def _opening_number(packet: packets.Packet) -> int:
    match packet:
        case packets.Segment(seq=seq):
            return seq
        case packets.Datagram():
            return records.NO_OPENING
