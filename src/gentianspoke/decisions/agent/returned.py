"""Callers' packets that an upstream sent back: not its own, or not now."""

import dataclasses

from gentianspoke.core import frames
from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.core import verdicts
from gentianspoke.decisions import actions
from gentianspoke.decisions.agent import budget
from gentianspoke.decisions.agent import diversion
from gentianspoke.decisions.agent import evidence
from gentianspoke.decisions.agent import finding
from gentianspoke.decisions.agent import placed
from gentianspoke.decisions.agent import placing
from gentianspoke.decisions.agent import records
from gentianspoke.decisions.agent import state as agent_state
from gentianspoke.decisions.agent import tables
from gentianspoke.decisions import hashing
from gentianspoke.decisions import routing

# How long a flow is not tried again at an upstream that sent it back.
DISOWNED_MS = 60_000
DISOWNED_AT_MOST = 10_000

State = agent_state.AgentState
Actions = list[actions.Action]


def take_returned(state: State, segment: packets.Segment, now: int) -> Actions:
    """Return what becomes of a caller's segment that came back."""
    service = state.endpoints.get(routing.endpoint_of(segment.key))
    if service is None:
        return [actions.Drop('other-service')]
    if packets.is_opening(segment):
        return [_take_opening_back(state, service, segment, now)]
    return _take_back(state, service, segment, now)


def expire_disowned(state: State, now: int) -> None:
    """Forget flows that came back a while ago, the oldest first."""
    while state.disowned:
        key = next(iter(state.disowned))
        if now - state.disowned[key] < DISOWNED_MS:
            return
        del state.disowned[key]


def _take_back(
    state: State,
    service: services.Service,
    segment: packets.Segment,
    now: int,
) -> Actions:
    _disown(state, segment.key, now)
    flow = state.flows.get(segment.key)
    forward = _new_search(state, service, segment)
    waiting: list[records.Unconfirmed] = []
    if flow is not None:
        if flow.confirmed:
            return [_end_lost(state, flow, segment, now)]
        forward = flow.unconfirmed or forward
        waiting, flow.waiting = flow.waiting, []
        tables.forget_flow(state, flow, now)
    again = dataclasses.replace(forward, packet=segment.raw)
    decided = [finding.pass_on(state, service, again)]
    for item in waiting:
        decided.append(finding.pass_on(state, service, item.forward))
    return decided


def _disown(state: State, key: packets.FlowKey, now: int) -> None:
    if len(state.disowned) < DISOWNED_AT_MOST:
        state.disowned[key] = now


def _end_lost(
    state: State,
    flow: records.Flow,
    segment: packets.Segment,
    now: int,
) -> actions.Action:
    # The upstream has answered on this flow before, so it has lost it.
    if flow.phase is records.Phase.OPEN:
        evidence.report_flow(
            state,
            flow,
            verdicts.Outcome.UNKNOWN,
            verdicts.Fault.UPSTREAM,
            'the upstream has lost the flow',
            now,
        )
    tables.forget_flow(state, flow, now)
    return actions.ResetCaller(
        flow.key,
        seq=segment.ack,
        ack=evidence.segment_end(segment),
        reason='upstream-lost-flow',
    )


def _new_search(
    state: State, service: services.Service, segment: packets.Segment
) -> frames.Forward:
    pool = state.pool_of(service)
    return frames.Forward(
        service=service.number,
        view=placed.view_number(state, pool),
        bucket=hashing.bucket_of(segment.key, service.number),
        target=state.number,
        packet=segment.raw,
        hops_left=routing.MAX_HOPS,
        offers_left=routing.MAX_OFFERS,
        pool=pool,
    )


def _take_opening_back(
    state: State,
    service: services.Service,
    segment: packets.Segment,
    now: int,
) -> actions.Action:
    flow = state.flows.get(segment.key)
    forward = _new_search(state, service, segment)
    if flow is not None and flow.isn == segment.seq:
        forward = flow.offer or forward
        tables.forget_flow(state, flow, now)
    forward = dataclasses.replace(forward, packet=segment.raw)
    ranking = state.rankings.get(forward.pool)
    if ranking is None:
        return actions.Drop('no-view')
    if forward.offers_left > 0 and budget.spend(state, service):
        tried = (*forward.tried, state.number)
        other = diversion.choose_other(state, ranking, forward.bucket, tried)
        if other is not None:
            return placing.divert(state, other, forward, segment, now)
    return placing.refuse(state, service, forward, segment, now)
