"""The flows of an agent's upstream, with all their counts."""

from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.decisions.agent import placed
from gentianspoke.decisions.agent import records
from gentianspoke.decisions.agent import state as agent_state

# How long a slot is kept for the first request of an opened flow. It comes
# with the next packet, unless the caller has another upstream's answer.
RESERVATION_MS = 150
# How long the record of an ended flow answers late packets.
LINGER_MS = 10_000
# How long an opening may stay unanswered by the upstream.
HALF_OPEN_MS = 30_000
# The same where the caller may have been answered by another upstream.
HANDSHAKE_MS = 3_000
# Ended flows that are remembered at most before refusals go without.
MAX_ENDED_FLOWS = 50_000
# Weight of one more slot time in the mean, as a divisor.
HOLD_MEAN_WEIGHT_DIVISOR = 8

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
    """Add an open flow, occupying a slot where its class takes one.

    ``decided_view`` is the view in which a decider offered the opening.
    """
    flow = _add_flow(state, service, key, bucket, isn, now, decided_view)
    if services.takes_slot(service) and not flow.slot_per_request:
        take_slot(state, flow, now)
    return flow


def adopt_flow(
    state: State,
    service: services.Service,
    key: packets.FlowKey,
    bucket: int,
    now: int,
) -> records.Flow:
    """Add a flow that was open before this agent restarted."""
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
    """Add a flow whose opening waits for a slot."""
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
    """Open a queued flow, which takes a slot."""
    _leave_queue(state, flow)
    flow.phase = records.Phase.OPEN
    flow.up_ms = now
    flow.down_ms = now
    take_slot(state, flow, now)


def end_flow(
    state: State,
    flow: records.Flow,
    now: int,
    phase: records.Phase = records.Phase.CLOSED,
) -> None:
    """Free what a flow holds; its record stays for ``LINGER_MS``."""
    match flow.phase:
        case records.Phase.CLOSED | records.Phase.REFUSED:
            return
        case records.Phase.QUEUED:
            _leave_queue(state, flow)
        case records.Phase.OPEN:
            free_slot(state, flow, now)
    state.counts[flow.pool].open_flows -= 1
    state.total_open -= 1
    state.total_ended += 1
    flow.phase = phase
    flow.queued_opening = None
    flow.unconfirmed = None
    flow.up_ms = now
    flow.down_ms = now
    state.flow_schedule.add(flow, now + LINGER_MS)


def forget_flow(state: State, flow: records.Flow, now: int) -> None:
    """End a flow and remove its record."""
    end_flow(state, flow, now)
    if state.flows.get(flow.key) is flow:
        del state.flows[flow.key]
        state.total_ended -= 1
        placed.uncount(state, flow.pool, flow.bucket, flow.view)


def refuse_flow(
    state: State,
    service: services.Service,
    key: packets.FlowKey,
    bucket: int,
    isn: int,
    now: int,
    decided_view: int | None = None,
) -> None:
    """Remember a refused opening, so that a late copy is refused too.

    In a flood of refusals some are not remembered, because memory is
    bounded; a late copy of one of those may be taken for a new opening.
    """
    if state.total_ended >= MAX_ENDED_FLOWS:
        return
    flow = _add_flow(state, service, key, bucket, isn, now, decided_view)
    end_flow(state, flow, now, records.Phase.REFUSED)


def half_open_ms(flow: records.Flow) -> int:
    """Return how long an opening of the flow may stay unanswered."""
    return HANDSHAKE_MS if flow.slot_per_request else HALF_OPEN_MS


def idle_ms(state: State, service: int) -> int:
    """Return after how long without a packet a flow is forgotten."""
    entry = state.served.get(service)
    return entry.limits.idle_ms if entry else LINGER_MS


def _add_flow(
    state: State,
    service: services.Service,
    key: packets.FlowKey,
    bucket: int,
    isn: int,
    now: int,
    decided_view: int | None,
) -> records.Flow:
    pool = state.pool_of(service)
    flow = records.Flow(
        key=key,
        service=service.number,
        bucket=bucket,
        isn=isn,
        view=placed.placed_view(state, pool, decided_view),
        phase=records.Phase.OPEN,
        opened_ms=now,
        up_ms=now,
        down_ms=now,
        pool=pool,
        slot_per_request=service.handshake,
    )
    state.flows[key] = flow
    state.orphans.pop(key, None)
    state.counts[pool].open_flows += 1
    state.total_open += 1
    placed.count(state, pool, bucket, flow.view)
    state.flow_schedule.add(flow, now + half_open_ms(flow))
    return flow


def _leave_queue(state: State, flow: records.Flow) -> None:
    state.queues[flow.service].remove(flow)
    state.counts[flow.pool].queued -= 1


def take_slot(state: State, flow: records.Flow, now: int) -> None:
    """Count a slot as occupied by a flow, unless it has one."""
    if flow.holds_slot:
        return
    counts = state.counts[flow.pool]
    flow.holds_slot = True
    flow.slot_ms = now
    flow.requests_ahead = max(0, counts.running - state.capacity.slots + 1)
    counts.running += 1
    state.total_running += 1


def reserve_slot(state: State, flow: records.Flow, now: int) -> None:
    """Count a slot as occupied by the request that will come first.

    Without it, openings that come together would all find the slot free.
    """
    take_slot(state, flow, now)
    flow.slot_reserved = True
    state.slot_reservations.append(flow)


def expire_reservations(state: State, now: int) -> None:
    """Free the slots of requests that did not come, the oldest first."""
    while state.slot_reservations:
        flow = state.slot_reservations[0]
        if flow.slot_reserved and now - flow.slot_ms < RESERVATION_MS:
            return
        state.slot_reservations.popleft()
        if flow.slot_reserved:
            free_slot(state, flow, now)


def begin_request(state: State, flow: records.Flow, now: int) -> None:
    """Count a slot as occupied by a whole request that has come."""
    if flow.slot_reserved:
        free_slot(state, flow, now)
    take_slot(state, flow, now)


def free_slot(state: State, flow: records.Flow, now: int) -> None:
    """Count the slot of a flow as free, if it has one."""
    if not flow.holds_slot:
        return
    flow.holds_slot = False
    counts = state.counts[flow.pool]
    counts.running -= 1
    state.total_running -= 1
    if flow.slot_reserved:
        flow.slot_reserved = False
        return
    # The upstream's own queue is no part of its work.
    slots = max(1, state.capacity.slots)
    worked_ms = (now - flow.slot_ms) * slots // (slots + flow.requests_ahead)
    if counts.hold_ms == 0:
        counts.hold_ms = worked_ms
    else:
        counts.hold_ms += (
            worked_ms - counts.hold_ms
        ) // HOLD_MEAN_WEIGHT_DIVISOR
