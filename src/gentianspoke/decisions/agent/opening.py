"""Decision on an opening: place it, pass it on, refuse it or drop it.

An opening is the first packet of a flow: a TCP SYN, or a datagram of a flow
that the agent has no record of. To place it is to choose the upstream that
gets the flow: the agent delivers the opening to its own upstream, or offers
it to another member. Each flow belongs to a bucket, and the bucket's home, its
first live member, decides which upstream gets the bucket's flows.
"""

import dataclasses

from gentianspoke.core import frames
from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.core import views
from gentianspoke.decisions import actions
from gentianspoke.decisions.agent import forwarding
from gentianspoke.decisions.agent import known_flows
from gentianspoke.decisions.agent import ownership
from gentianspoke.decisions.agent import placement
from gentianspoke.decisions.agent import state as agent_state
from gentianspoke.decisions import member_ranking

State = agent_state.AgentState


def decide_opening(
    state: State,
    service: services.Service,
    forward: frames.Forward,
    packet: packets.Packet,
    now: int,
) -> actions.Action:
    """Return the action for a packet that may open a flow.

    The packet is a SYN or a datagram. A datagram may also belong to a flow
    that this agent has a record of.
    """
    reason = _find_drop_reason(service, packet)
    if reason is not None:
        return actions.Drop(reason)
    known_flow_action = known_flows.decide_known_opening(
        state, forward, packet, now
    )
    if known_flow_action is not None:
        return known_flow_action
    ranking = state.rankings[forward.pool]
    match forward.purpose:
        case frames.Purpose.OFFER:
            return _decide_offer(state, service, ranking, forward, packet, now)
        case frames.Purpose.ASK if not _is_home(state, ranking, forward):
            # The bucket's home asks whether this agent has a record of the
            # opening. This agent has none, and tells the home so by sending
            # the frame back.
            return _route_to_home(state, ranking, forward)
        case _:
            return _decide_new_opening(
                state, service, ranking, forward, packet, now
            )


def _find_drop_reason(
    service: services.Service, packet: packets.Packet
) -> str | None:
    """Return why the packet must be dropped, or ``None`` if it is acceptable.

    Only openings of services whose requests must run at most once are dropped
    here.
    """
    if not services.needs_single_decider(service):
        return None
    match packet:
        case packets.Segment(payload_bytes=0):
            return None
        case packets.Segment():
            # Data in a SYN (TCP Fast Open) would reach the upstream before
            # the caller has acknowledged the upstream's random initial
            # sequence number, so a duplicate SYN could run the request again.
            return 'opening-with-payload'
        case packets.Datagram():
            # The datagram itself carries the request, so a duplicate of it
            # would run the request a second time.
            return 'datagram-runs-once'


def _route_to_home(
    state: State, ranking: member_ranking.Ranking, forward: frames.Forward
) -> actions.Action:
    home = ranking.home(forward.bucket)
    if home is None:
        return actions.Drop('no-home')
    return forwarding.forward_to(state, home, forward, frames.Purpose.ROUTE)


def _is_home(
    state: State, ranking: member_ranking.Ranking, forward: frames.Forward
) -> bool:
    home = ranking.home(forward.bucket)
    return home is not None and home.number == state.number


def _decide_new_opening(
    state: State,
    service: services.Service,
    ranking: member_ranking.Ranking,
    forward: frames.Forward,
    packet: packets.Packet,
    now: int,
) -> actions.Action:
    home = ranking.home(forward.bucket)
    if home is None and state.joining and state.inquiries.enabled:
        # A view does not list this agent as a member yet. Another run of it
        # could later deny a flow that nobody knows that it has taken.
        return actions.Drop('joining')
    if home is None and service.handshake:
        # No member of the view is live, but this agent's own upstream may
        # still accept the opening. The opening is decided like one that
        # another member has offered.
        return placement.decide_offer(
            state, service, ranking, forward, packet, now
        )
    if home is None:
        return _reject_without_home(service, ranking, packet)
    if home.number != state.number:
        return forwarding.forward_to(
            state, home, forward, frames.Purpose.ROUTE
        )
    if not ownership.may_place(state, service, ranking, forward.bucket, now):
        # ``held_openings`` holds an opening that is dropped for this reason
        # and decides it again several times, and after that the caller's TCP
        # retransmits it. By then the earlier home has acknowledged the view
        # or lost its lease.
        return actions.Drop('awaiting-lease')
    query = _make_query_frame(state, service, ranking, forward)
    members_to_ask = _find_members_to_ask(
        state, service, ranking, forward, packet
    )
    for member in members_to_ask:
        if member.number not in query.tried:
            return forwarding.forward_to(
                state, member, query, frames.Purpose.ASK
            )
    return placement.place_opening(
        state, service, ranking, forward, packet, now
    )


def _make_query_frame(
    state: State,
    service: services.Service,
    ranking: member_ranking.Ranking,
    forward: frames.Forward,
) -> frames.Forward:
    """Return the frame with which this home asks other members.

    The home asks them one after another whether they have a record of the
    opening. The frame's list ``tried`` names the members that had no record
    when they passed the frame on.

    The received frame is returned if the service does not need a single
    decider, or if the frame names this agent as the decider and this agent
    has been the home since the frame's view. In any other frame, the members
    in ``tried`` may have passed the frame on before they acknowledged the
    home's view, and may since have accepted an offer from an earlier home.
    The home then empties the list, so that all members are asked again.
    """
    if not services.needs_single_decider(service):
        return forward
    start_view = ownership.find_home_start_view(
        state, ranking, forward.bucket, state.number
    )
    if forward.decider == state.number and forward.view >= start_view:
        return forward
    return dataclasses.replace(
        forward, tried=(), decider=state.number, view=ranking.view.number
    )


def _find_members_to_ask(
    state: State,
    service: services.Service,
    ranking: member_ranking.Ranking,
    forward: frames.Forward,
    packet: packets.Packet,
) -> list[views.Member]:
    bucket = forward.bucket
    if service.handshake:
        # The opening may reach several upstreams, and at most one of them runs
        # its request, so no other member has to be asked for a record of it.
        return []
    match packet:
        case packets.Segment() if not services.needs_single_decider(service):
            return ownership.find_earlier_homes(
                ranking.rank_members(bucket), state.number
            )
        case _:
            # An earlier home may have diverted the flow to any member. This
            # holds for a SYN that needs a single decider, and for a datagram,
            # which need not be the first of its flow.
            return ownership.find_members_to_ask(state, ranking, bucket)


def _reject_without_home(
    service: services.Service,
    ranking: member_ranking.Ranking,
    packet: packets.Packet,
) -> actions.Action:
    reason = 'no-live-upstream'
    if ranking.evacuated_zones:
        reason = member_ranking.EVACUATED_REASON
    if services.needs_single_decider(service):
        # A member that is no longer live may have placed a copy of this
        # opening, so the caller must not be told that the request was not run.
        return actions.Drop(reason)
    if packets.is_retransmission(packet):
        # Another member may have accepted an earlier copy of the opening.
        return actions.Drop(reason)
    return actions.Refuse(packet, reason)


def _decide_offer(
    state: State,
    service: services.Service,
    ranking: member_ranking.Ranking,
    forward: frames.Forward,
    packet: packets.Packet,
    now: int,
) -> actions.Action:
    if ownership.may_accept_offer(state, service, ranking, forward, now):
        return placement.decide_offer(
            state, service, ranking, forward, packet, now
        )
    home = ranking.home(forward.bucket)
    if home is None or home.number in (state.number, forward.sender):
        return actions.Drop('stale-offer')
    # The bucket has another home by now. The frame sent to that home lists
    # the decider and this agent as tried, which tells the home that neither
    # has a record of the flow. Neither of them will accept the opening.
    return forwarding.forward_to(state, home, forward, frames.Purpose.ROUTE)
