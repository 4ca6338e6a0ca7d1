"""Adding and removing the records of an agent, with all their counts.

Each record is counted under the bucket and the view it was placed in, so
that the oldest flow view of a heartbeat needs no scan over the flows.
"""

from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.decisions.agent import records
from gentianspoke.decisions.agent import state as agent_state
from gentianspoke.decisions import hashing

# How long the record of an ended flow answers late packets.
LINGER_MS = 10_000
# How long an opening may stay unanswered by the upstream.
HALF_OPEN_MS = 30_000
# Ended flows that are remembered at most before refusals go without.
ENDED_AT_MOST = 50_000
# How long a diversion serves after its caller has closed or reset.
CLOSING_MS = 60_000
# How long a diversion of short work serves without a packet.
SHORT_WORK_MS = 300_000
# Weight of one more slot time in the mean, as a divisor.
HOLD_MEAN_DIVISOR = 8

State = agent_state.AgentState


def view_number(state: State, service: int) -> int:
    """Return the number of the view that this agent applied last."""
    ranking = state.rankings.get(service)
    return ranking.view.number if ranking else 0


def placed_view(state: State, service: int, decided_view: int | None) -> int:
    """Return the view that a record counts as placed in.

    A target may have applied a newer view than the decider of an offer. It
    counts the older of the two, because the decider must be able to find
    the record by its own view once it has to ask for it.
    """
    own = view_number(state, service)
    return own if decided_view is None else min(own, decided_view)


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
    if services.takes_slot(service):
        _take_slot(state, flow, now)
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
    flow.held = opening
    flow.queued_until_ms = now + wait_left_ms
    state.counts[service.number].queued += 1
    state.queues[service.number].append(flow)
    return flow


def start_queued_flow(state: State, flow: records.Flow, now: int) -> None:
    """Open a queued flow, which takes a slot."""
    _leave_queue(state, flow)
    flow.phase = records.Phase.OPEN
    flow.up_ms = now
    flow.down_ms = now
    _take_slot(state, flow, now)


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
            _free_slot(state, flow, now)
    state.counts[flow.service].open_flows -= 1
    state.total_open -= 1
    state.total_ended += 1
    flow.phase = phase
    flow.held = None
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
        _uncount_placed(state, flow.service, flow.bucket, flow.view)


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
    if state.total_ended >= ENDED_AT_MOST:
        return
    flow = _add_flow(state, service, key, bucket, isn, now, decided_view)
    end_flow(state, flow, now, records.Phase.REFUSED)


def add_diversion(
    state: State, key: packets.FlowKey, diversion: records.Diversion
) -> None:
    """Remember that an opening was offered to another member."""
    remove_diversion(state, key)
    state.diversions[key] = diversion
    count = (diversion.service, diversion.target)
    state.diverted_to[count] += 1
    _count_placed(
        state, diversion.service, diversion.bucket, diversion.placed_view
    )
    due_ms = diversion.used_ms + min(
        CLOSING_MS, diversion_idle_ms(state, diversion)
    )
    state.diversion_schedule.add((key, diversion), due_ms)


def remove_diversion(state: State, key: packets.FlowKey) -> None:
    """Forget a diversion, if there is one for the flow."""
    diversion = state.diversions.pop(key, None)
    if diversion is None:
        return
    state.diverted_to[(diversion.service, diversion.target)] -= 1
    _uncount_placed(
        state, diversion.service, diversion.bucket, diversion.placed_view
    )


def diversion_idle_ms(state: State, diversion: records.Diversion) -> int:
    """Return after how long without a packet a diversion is forgotten.

    A diversion spares a packet the search along the trail, and keeps the
    copies of an opening together. Short work needs neither for long, and
    a diversion kept too long costs memory at its decider.
    """
    service = state.served.get(diversion.service)
    if diversion.closing or service is None:
        return CLOSING_MS
    match service.traffic:
        case services.Board():
            return service.limits.idle_ms
        case services.Booking() | services.Upload():
            return min(service.limits.idle_ms, SHORT_WORK_MS)


def oldest_view(state: State, ranking: hashing.Ranking) -> int:
    """Return the view of the oldest record outside the own buckets.

    0 where there is none.
    """
    placed = state.placed.get(ranking.view.service, {})
    oldest = 0
    for bucket, view in placed:
        if oldest and view >= oldest:
            continue
        home = ranking.home(bucket)
        if home is None or home.number != state.number:
            oldest = view
    return oldest


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
    flow = records.Flow(
        key=key,
        service=service.number,
        bucket=bucket,
        isn=isn,
        view=placed_view(state, service.number, decided_view),
        phase=records.Phase.OPEN,
        opened_ms=now,
        up_ms=now,
        down_ms=now,
    )
    state.flows[key] = flow
    state.orphans.pop(key, None)
    state.counts[service.number].open_flows += 1
    state.total_open += 1
    _count_placed(state, flow.service, bucket, flow.view)
    state.flow_schedule.add(flow, now + HALF_OPEN_MS)
    return flow


def _leave_queue(state: State, flow: records.Flow) -> None:
    state.queues[flow.service].remove(flow)
    state.counts[flow.service].queued -= 1


def _take_slot(state: State, flow: records.Flow, now: int) -> None:
    flow.holds_slot = True
    flow.slot_ms = now
    state.counts[flow.service].running += 1
    state.total_running += 1


def _free_slot(state: State, flow: records.Flow, now: int) -> None:
    if not flow.holds_slot:
        return
    flow.holds_slot = False
    counts = state.counts[flow.service]
    counts.running -= 1
    state.total_running -= 1
    held_ms = now - flow.slot_ms
    if counts.hold_ms == 0:
        counts.hold_ms = held_ms
    else:
        counts.hold_ms += (held_ms - counts.hold_ms) // HOLD_MEAN_DIVISOR


def _count_placed(state: State, service: int, bucket: int, view: int) -> None:
    placed = state.placed.setdefault(service, {})
    placed[(bucket, view)] = placed.get((bucket, view), 0) + 1


def _uncount_placed(
    state: State, service: int, bucket: int, view: int
) -> None:
    placed = state.placed[service]
    placed[(bucket, view)] -= 1
    if not placed[(bucket, view)]:
        del placed[(bucket, view)]
