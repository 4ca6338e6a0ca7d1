"""Limits at one upstream: connections, slots, waiting, slow start."""

import enum

from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.decisions.agent import records
from gentianspoke.decisions.agent import state as agent_state

PERMILLE = 1000


class Admission(enum.Enum):
    """What an upstream can do with one more flow of a service."""

    NOW = 'now'
    WAIT = 'wait'
    NO = 'no'


def admit(
    state: agent_state.AgentState,
    service: services.Service,
    wait_left_ms: int,
) -> Admission:
    """Return whether the upstream takes one more flow of the service."""
    if state.draining or service.retired:
        return Admission.NO
    counts = state.counts[service.number]
    if counts.open_flows >= service.limits.connections:
        return Admission.NO
    if state.open_flows() >= state.capacity.connections:
        return Admission.NO
    if not services.takes_slot(service) or has_slot(state, service):
        return Admission.NOW
    if wait_left_ms > 0 and counts.queued < service.limits.queue:
        return Admission.WAIT
    return Admission.NO


def has_slot(state: agent_state.AgentState, service: services.Service) -> bool:
    """Return whether a slot is free for the service."""
    running = state.counts[service.number].running
    return (
        running < service.limits.slots
        and state.running() < state.capacity.slots
    )


def ramp_permille(state: agent_state.AgentState, now: int) -> int:
    """Return the share of its full load that a cold upstream may take.

    The share grows evenly over the ramp time, in thousandths.
    """
    age_ms = now - state.started_ms
    if state.recovering or age_ms >= state.capacity.ramp_ms:
        return PERMILLE
    return max(1, age_ms * PERMILLE // state.capacity.ramp_ms)


def open_flow(
    state: agent_state.AgentState,
    service: services.Service,
    key: packets.FlowKey,
    bucket: int,
    isn: int,
    now: int,
) -> records.Flow:
    """Add an open flow, occupying a slot where its class takes one."""
    flow = records.Flow(
        key=key,
        service=service.number,
        bucket=bucket,
        isn=isn,
        view=_view_number(state, service.number),
        phase=records.Phase.OPEN,
        opened_ms=now,
        up_ms=now,
        down_ms=now,
    )
    state.flows[key] = flow
    state.orphans.pop(key, None)
    state.counts[service.number].open_flows += 1
    if services.takes_slot(service):
        _take_slot(state, flow)
    return flow


def queue_flow(
    state: agent_state.AgentState,
    service: services.Service,
    opening: packets.Segment,
    bucket: int,
    wait_left_ms: int,
    now: int,
) -> records.Flow:
    """Add a flow whose opening waits for a slot."""
    flow = open_flow(state, service, opening.key, bucket, opening.seq, now)
    _free_slot(state, flow)
    flow.phase = records.Phase.QUEUED
    flow.held = opening
    flow.queued_until_ms = now + wait_left_ms
    state.counts[service.number].queued += 1
    state.queue.append(flow)
    return flow


def start_queued(
    state: agent_state.AgentState, now: int
) -> list[records.Flow]:
    """Start the queued flows for which a slot is free, oldest first."""
    started: list[records.Flow] = []
    for flow in tuple(state.queue):
        service = state.served.get(flow.service)
        if service is None or not has_slot(state, service):
            continue
        state.queue.remove(flow)
        state.counts[flow.service].queued -= 1
        flow.phase = records.Phase.OPEN
        flow.up_ms = now
        flow.down_ms = now
        _take_slot(state, flow)
        started.append(flow)
    return started


def close_flow(state: agent_state.AgentState, flow: records.Flow) -> None:
    """Count a flow as closed; its record stays until it is forgotten."""
    if flow.phase is records.Phase.CLOSED:
        return
    counts = state.counts[flow.service]
    counts.open_flows -= 1
    if flow.phase is records.Phase.QUEUED:
        counts.queued -= 1
        state.queue.remove(flow)
        flow.held = None
    _free_slot(state, flow)
    flow.phase = records.Phase.CLOSED


def forget_flow(state: agent_state.AgentState, flow: records.Flow) -> None:
    """Close a flow and remove its record."""
    close_flow(state, flow)
    if state.flows.get(flow.key) is flow:
        del state.flows[flow.key]


def _take_slot(state: agent_state.AgentState, flow: records.Flow) -> None:
    flow.holds_slot = True
    state.counts[flow.service].running += 1


def _free_slot(state: agent_state.AgentState, flow: records.Flow) -> None:
    if flow.holds_slot:
        flow.holds_slot = False
        state.counts[flow.service].running -= 1


def _view_number(state: agent_state.AgentState, service: int) -> int:
    ranking = state.rankings.get(service)
    return ranking.view.number if ranking else 0
