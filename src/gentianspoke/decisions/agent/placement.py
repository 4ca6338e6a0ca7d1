"""Placement of an opening: delivery, diversion, queueing or refusal."""

import dataclasses

from gentianspoke.core import frames
from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.core import views
from gentianspoke.decisions import actions
from gentianspoke.decisions.agent import admission
from gentianspoke.decisions.agent import capacity_records
from gentianspoke.decisions.agent import capacity_shares
from gentianspoke.decisions.agent import cold_start
from gentianspoke.decisions.agent import diversion
from gentianspoke.decisions.agent import diversion_table
from gentianspoke.decisions.agent import evidence
from gentianspoke.decisions.agent import flow_table
from gentianspoke.decisions.agent import forwarding
from gentianspoke.decisions.agent import known_flows
from gentianspoke.decisions.agent import record_counts
from gentianspoke.decisions.agent import records
from gentianspoke.decisions.agent import refusal
from gentianspoke.decisions.agent import retry_budget
from gentianspoke.decisions.agent import slot_usage
from gentianspoke.decisions.agent import state as agent_state
from gentianspoke.decisions import member_ranking

State = agent_state.AgentState


def place_opening(
    state: State,
    service: services.Service,
    ranking: member_ranking.Ranking,
    forward: frames.Forward,
    packet: packets.Packet,
    now: int,
) -> actions.Action:
    """Return the action by which the bucket's home places a new opening."""
    earlier_offer = state.diversions.get(packet.key)
    if earlier_offer is not None:
        renewed_offer = _renew_offer(
            state, service, ranking, earlier_offer, forward, packet, now
        )
        if renewed_offer is not None:
            return renewed_offer
    retry_budget.deposit(state, service)
    if state.even_load is not None:
        return _place_by_capacity(
            state, state.even_load, service, ranking, forward, packet, now
        )
    pool = ranking.view.service
    own_flows = state.counts[pool].open_flows
    load_limit = diversion.compute_load_limit(state, service, ranking, now)
    decision = _decide_without_wait(state, service, now)
    if own_flows < load_limit and decision is admission.Admission.NOW:
        return _accept_opening(state, service, forward, packet, now)
    target = diversion.choose_target(state, ranking, forward.bucket, now)
    if target is not None:
        load = diversion.estimate_load(state, pool, target.number)
        if load < own_flows or decision is not admission.Admission.NOW:
            offer = dataclasses.replace(
                forward, decider=state.number, view=ranking.view.number
            )
            return divert_opening(state, target, offer, packet, now)
    return _admit_or_refuse(state, service, forward, packet, now)


def _place_by_capacity(
    state: State,
    even_load: capacity_records.EvenLoad,
    service: services.Service,
    ranking: member_ranking.Ranking,
    forward: frames.Forward,
    packet: packets.Packet,
    now: int,
) -> actions.Action:
    decision = _decide_without_wait(state, service, now)
    pool_shares = capacity_shares.get_shares(state, even_load, ranking, now)
    if decision is not admission.Admission.NOW:
        if _is_pool_full(state, service, ranking, decision, now):
            return _admit_or_refuse(
                state, service, forward, packet, now, 'pool-full'
            )
    elif not capacity_shares.is_over_share(
        state, even_load, service, pool_shares, now
    ):
        return _accept_opening(state, service, forward, packet, now)
    target = diversion.choose_target(state, ranking, forward.bucket, now)
    if target is None:
        return _admit_or_refuse(state, service, forward, packet, now)
    offer = dataclasses.replace(
        forward, decider=state.number, view=ranking.view.number
    )
    return divert_opening(state, target, offer, packet, now)


def decide_offer(
    state: State,
    service: services.Service,
    ranking: member_ranking.Ranking,
    forward: frames.Forward,
    packet: packets.Packet,
    now: int,
) -> actions.Action:
    """Return the action for an opening that a decider offers to this agent."""
    retry_budget.deposit(state, service)
    decision = _decide_without_wait(state, service, now)
    if decision is admission.Admission.NOW:
        return _accept_opening(state, service, forward, packet, now)
    if _is_pool_full(state, service, ranking, decision, now):
        return _admit_or_refuse(
            state, service, forward, packet, now, 'pool-full'
        )
    if forward.offers_left > 0:
        target = diversion.choose_target(
            state, ranking, forward.bucket, now, forward.tried
        )
        if target is not None and _may_offer_further(state, service):
            return divert_opening(state, target, forward, packet, now)
    return _admit_or_refuse(state, service, forward, packet, now)


def _may_offer_further(state: State, service: services.Service) -> bool:
    # The retry budget limits the offers in an overload. An evacuation is
    # planned, and its offers end once all agents have the view.
    if state.is_evacuated(state.get_pool(service)):
        return True
    return retry_budget.withdraw(state, service)


def _is_pool_full(
    state: State,
    service: services.Service,
    ranking: member_ranking.Ranking,
    decision: admission.Admission,
    now: int,
) -> bool:
    """Return whether further offers of a declined opening are of no use.

    They are of use if this upstream declined because it is silent or cold, as
    it would not take the opening in the end either.
    """
    if decision is not admission.Admission.NO:
        return False
    if admission.is_upstream_silent(state, now):
        return False
    match state.even_load:
        case None:
            return False
        case even_load:
            pool_shares = capacity_shares.get_shares(
                state, even_load, ranking, now
            )
            return capacity_shares.is_pool_full(pool_shares, service)


def _decide_without_wait(
    state: State, service: services.Service, now: int
) -> admission.Admission:
    """Return ``NOW`` if the opening is admitted without a wait at this agent.

    With any other result, another member is tried before the opening is
    queued or refused here. If the service has ``handshake``, the request may
    still wait in the upstream's own queue.
    """
    if service.handshake and admission.is_upstream_silent(state, now):
        # Another member is tried first. If there is none, the opening is not
        # refused merely because this upstream does not answer.
        return admission.Admission.NO
    return admission.decide_admission(state, service, 0, now)


def _renew_offer(
    state: State,
    service: services.Service,
    ranking: member_ranking.Ranking,
    earlier_offer: records.Diversion,
    forward: frames.Forward,
    packet: packets.Packet,
    now: int,
) -> actions.Action | None:
    """Return the action for an opening that was offered before.

    ``None`` means that the opening is to be placed as a new one.
    """
    # The target may still receive and accept an older offer that is in
    # flight, so the opening is offered to the same target and to no other.
    member = ranking.members_by_number.get(earlier_offer.target)
    if member is None:
        return known_flows.decide_lost_target(
            state, service, earlier_offer, packet
        )
    earlier_offer.last_used_ms = now
    earlier_offer.decider = state.number
    earlier_offer.view = ranking.view.number
    return forwarding.offer_to(
        state, member, forward, earlier_offer.decider, earlier_offer.view
    )


def divert_opening(
    state: State,
    member: views.Member,
    forward: frames.Forward,
    packet: packets.Packet,
    now: int,
) -> actions.Action:
    """Record that the opening is diverted to the member; return the offer."""
    record = records.Diversion(
        target=member.number,
        isn=known_flows.get_opening_isn(packet),
        service=forward.service,
        bucket=forward.bucket,
        view=forward.view,
        last_used_ms=now,
        decider=forward.decider,
        placed_view=record_counts.choose_placed_view(
            state, forward.pool, forward.view
        ),
        pool=forward.pool,
    )
    diversion_table.add(state, packet.key, record)
    diversion.note_placed_flow(state, forward.pool, member.number)
    return forwarding.offer_to(
        state, member, forward, forward.decider, forward.view
    )


def _admit_or_refuse(
    state: State,
    service: services.Service,
    forward: frames.Forward,
    packet: packets.Packet,
    now: int,
    reason: str = 'no-capacity',
) -> actions.Action:
    bucket = forward.bucket
    decision = admission.decide_admission(
        state, service, forward.wait_left_ms, now, is_last_candidate=True
    )
    match decision, packet:
        case admission.Admission.NOW, _:
            return _accept_opening(state, service, forward, packet, now)
        case admission.Admission.WAIT, packets.Segment():
            wait_ms = forward.wait_left_ms
            decided_view = refusal.get_decided_view(forward)
            flow_table.queue_flow(
                state, service, packet, bucket, wait_ms, now, decided_view
            )
            return actions.Drop('queued')
        case admission.Admission.COLD, _:
            # The caller's retransmission comes when there may be room again.
            return actions.Drop('cold-start')
        case _:
            return refusal.refuse_opening(
                state, service, forward, packet, now, reason
            )


def _accept_opening(
    state: State,
    service: services.Service,
    forward: frames.Forward,
    packet: packets.Packet,
    now: int,
) -> actions.Action:
    isn = known_flows.get_opening_isn(packet)
    bucket, decided_view = forward.bucket, refusal.get_decided_view(forward)
    flow = flow_table.open_flow(
        state, service, packet.key, bucket, isn, now, decided_view
    )
    if flow.slot_per_request:
        flow.opening_forward = forward
        # A bulk request is complete only long after a reservation would have
        # expired, so no slot is reserved for it.
        if not services.is_bulk(service):
            slot_usage.reserve_slot(state, flow, now)
        admission.note_opening(state, now)
    cold_start.note_delivery(state.cold, now)
    match packet:
        case packets.Segment():
            evidence.note_caller_segment(flow, packet, now)
    return actions.Deliver(packet.raw)
