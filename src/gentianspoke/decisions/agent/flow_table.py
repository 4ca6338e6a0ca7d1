"""The table of an agent's flow records, with the counts of flows.

Its functions add, start, end and remove flows. ``slot_usage`` counts their
slots.
"""

from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.decisions.agent import record_counts
from gentianspoke.decisions.agent import records
from gentianspoke.decisions.agent import request_queue
from gentianspoke.decisions.agent import slot_usage
from gentianspoke.decisions.agent import state as agent_state

# How long the record of an ended flow is kept to handle late packets.
LINGER_TIMEOUT_MS = 10_000
# How long the upstream may leave an opening unanswered.
HALF_OPEN_TIMEOUT_MS = 30_000
# The same limit for a service with the property ``Service.handshake``, which
# is not the handshake of TCP. Copies of its openings may go to several
# upstreams, so another upstream may have answered the caller.
HANDSHAKE_TIMEOUT_MS = 3_000
# A refused opening is not recorded if there are this many ended flows.
MAX_ENDED_FLOWS = 50_000

State = agent_state.AgentState


def open_flow(
    state: State,
    service: services.Service,
    key: packets.FlowKey,
    bucket: int,
    isn: int,
    now: int,
    decided_view: int | None = None,
) -> records.Flow:
    """Add an open flow, which occupies a slot if its traffic class needs one.

    If each request of the flow occupies a slot of its own, the flow does not.
    ``decided_view`` is the view in which another member decided to offer the
    opening to this agent, ``None`` if this agent decided on it itself.
    """
    flow = _add_flow(state, service, key, bucket, isn, now, decided_view)
    if services.occupies_slot(service) and not flow.slot_per_request:
        slot_usage.start_work(state, flow, now)
    return flow


def adopt_flow(
    state: State,
    service: services.Service,
    key: packets.FlowKey,
    bucket: int,
    now: int,
) -> records.Flow:
    """Add a flow that was open before this agent restarted.

    Its opening is not known, so its ``isn`` is ``NO_OPENING``.
    """
    isn = records.NO_OPENING
    flow = open_flow(state, service, key, bucket, isn, now)
    flow.answered = True
    return flow


def queue_flow(
    state: State,
    service: services.Service,
    opening: packets.Segment,
    bucket: int,
    wait_left_ms: int,
    now: int,
    decided_view: int | None = None,
) -> records.Flow:
    """Add a flow whose opening waits for a slot, at most ``wait_left_ms``.

    A queued flow is counted among the open flows of its pool too.
    """
    flow = _add_flow(
        state, service, opening.key, bucket, opening.seq, now, decided_view
    )
    flow.phase = records.Phase.QUEUED
    flow.queued_opening = opening
    flow.queued_until_ms = now + wait_left_ms
    state.counts[flow.pool].queued += 1
    state.queues[service.number].append(flow)
    return flow


def start_queued_flow(state: State, flow: records.Flow, now: int) -> None:
    """Move a queued flow to the open phase and occupy a slot for it."""
    _leave_queue(state, flow)
    flow.phase = records.Phase.OPEN
    flow.last_up_ms = now
    flow.last_down_ms = now
    slot_usage.start_work(state, flow, now)


def end_flow(
    state: State,
    flow: records.Flow,
    now: int,
    phase: records.Phase = records.Phase.CLOSED,
) -> None:
    """End a flow and free its slot or place in the queue.

    The record is kept for ``LINGER_TIMEOUT_MS``. A flow that has already
    ended is left unchanged.
    """
    match flow.phase:
        case records.Phase.CLOSED | records.Phase.REFUSED:
            return
        case records.Phase.QUEUED:
            _leave_queue(state, flow)
        case records.Phase.OPEN:
            slot_usage.free_slot(state, flow, now)
            state.answering_flows.pop(flow.key, None)
            request_queue.discard(state.requests, flow.key, 'flow-ended')
    state.counts[flow.pool].open_flows -= 1
    state.total_open -= 1
    state.total_ended += 1
    flow.phase = phase
    flow.queued_opening = None
    flow.unconfirmed_forward = None
    flow.last_up_ms = now
    flow.last_down_ms = now
    state.flow_timers.add(flow, now + LINGER_TIMEOUT_MS)


def remove_flow(state: State, flow: records.Flow, now: int) -> None:
    """End a flow and remove its record."""
    end_flow(state, flow, now)
    if state.flows.get(flow.key) is flow:
        del state.flows[flow.key]
        state.total_ended -= 1
        record_counts.decrement(state, flow.pool, flow.bucket, flow.view)


def record_refused_opening(
    state: State,
    service: services.Service,
    key: packets.FlowKey,
    bucket: int,
    isn: int,
    now: int,
    decided_view: int | None = None,
) -> None:
    """Record a refused opening, so that a late copy of it is refused too.

    Memory is bounded, so a refusal is not recorded while there are
    ``MAX_ENDED_FLOWS`` ended flows. A late copy of such an opening may be
    handled as a new opening.
    """
    if state.total_ended >= MAX_ENDED_FLOWS:
        return
    flow = _add_flow(state, service, key, bucket, isn, now, decided_view)
    end_flow(state, flow, now, records.Phase.REFUSED)


def get_half_open_timeout_ms(flow: records.Flow) -> int:
    """Return how long the flow's opening may stay unanswered, in ms."""
    return (
        HANDSHAKE_TIMEOUT_MS if flow.slot_per_request else HALF_OPEN_TIMEOUT_MS
    )


def get_idle_timeout_ms(state: State, service_number: int) -> int:
    """Return after how many ms without a packet an open flow is removed.

    It is ``LINGER_TIMEOUT_MS`` for a service that is no longer in the
    catalogue.
    """
    service = state.services_by_number.get(service_number)
    return service.limits.idle_ms if service else LINGER_TIMEOUT_MS


def _add_flow(
    state: State,
    service: services.Service,
    key: packets.FlowKey,
    bucket: int,
    isn: int,
    now: int,
    decided_view: int | None,
) -> records.Flow:
    pool = state.get_pool(service)
    flow = records.Flow(
        key=key,
        service=service.number,
        bucket=bucket,
        isn=isn,
        view=record_counts.choose_placed_view(state, pool, decided_view),
        phase=records.Phase.OPEN,
        opened_ms=now,
        last_up_ms=now,
        last_down_ms=now,
        pool=pool,
        slot_per_request=service.handshake,
    )
    state.flows[key] = flow
    state.orphans.pop(key, None)
    state.counts[pool].open_flows += 1
    state.total_open += 1
    record_counts.increment(state, pool, bucket, flow.view)
    state.flow_timers.add(flow, now + get_half_open_timeout_ms(flow))
    return flow


def _leave_queue(state: State, flow: records.Flow) -> None:
    state.queues[flow.service].remove(flow)
    state.counts[flow.pool].queued -= 1
