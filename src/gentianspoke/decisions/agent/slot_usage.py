"""Slots of the upstream: which flows occupy one, and for how long.

A slot is the permission to run one request at the upstream.
"""

from gentianspoke.decisions.agent import records
from gentianspoke.decisions.agent import request_queue
from gentianspoke.decisions.agent import state as agent_state
from gentianspoke.decisions.agent import upstream_capacity

# How long a slot stays reserved for the first request of an opened flow. The
# request comes with the caller's next packet, unless the caller uses the
# answer of another upstream that received a copy of the opening.
RESERVATION_TIMEOUT_MS = 150
# A new value has a weight of 1 / WORK_MEAN_WEIGHT_DIVISOR in ``mean_work_ms``,
# the moving average of the time for which the upstream works on a request or
# short flow.
WORK_MEAN_WEIGHT_DIVISOR = 8

State = agent_state.AgentState


def occupy_slot(state: State, flow: records.Flow, now: int) -> None:
    """Occupy a slot for a flow that does not have one yet."""
    if flow.holds_slot:
        return
    counts = state.counts[flow.pool]
    flow.holds_slot = True
    flow.slot_since_ms = now
    flow.requests_ahead = max(0, counts.running - state.capacity.slots + 1)
    counts.running += 1
    state.total_running += 1


def start_work(state: State, flow: records.Flow, now: int) -> None:
    """Occupy a slot for a request or flow that was delivered completely."""
    if state.even_load is not None and not flow.holds_slot:
        upstream_capacity.note_request(
            state.even_load.work, flow.key, state.capacity.slots, now
        )
    occupy_slot(state, flow, now)


def reserve_slot(state: State, flow: records.Flow, now: int) -> None:
    """Occupy a slot in advance for the flow's first request.

    Without this reservation, all openings that arrive at the same time
    would find the same slot free.
    """
    occupy_slot(state, flow, now)
    flow.slot_reserved = True
    state.slot_reservations.append(flow)


def expire_reservations(state: State, now: int) -> None:
    """Free the slots reserved for requests that did not arrive in time."""
    while state.slot_reservations:
        flow = state.slot_reservations[0]
        if (
            flow.slot_reserved
            and now - flow.slot_since_ms < RESERVATION_TIMEOUT_MS
        ):
            return
        state.slot_reservations.popleft()
        if flow.slot_reserved:
            free_slot(state, flow, now)


def begin_request(state: State, flow: records.Flow, now: int) -> None:
    """Occupy a slot for a request that has arrived completely.

    The slot that was reserved for the request is freed first, so that the
    time before the request arrived does not count in ``mean_work_ms``.
    """
    if flow.slot_reserved:
        free_slot(state, flow, now)
    start_work(state, flow, now)
    if state.requests.is_enabled:
        flow.requests_ahead = request_queue.note_start(
            state.requests, flow.key, state.capacity.slots, now
        )


def free_slot(
    state: State, flow: records.Flow, now: int, *, has_answer: bool = False
) -> None:
    """Free the slot of a flow, if it has one, and update ``mean_work_ms``.

    A reserved slot that no request has used does not change ``mean_work_ms``.
    ``has_answer`` is true if the upstream has begun to answer the request. A
    flow that occupies the slot itself is answered if the upstream answered it
    before it ended.
    """
    if not flow.holds_slot:
        return
    flow.holds_slot = False
    state.requests.started_ms.pop(flow.key, None)
    counts = state.counts[flow.pool]
    counts.running -= 1
    state.total_running -= 1
    if flow.slot_reserved:
        flow.slot_reserved = False
        return
    if state.even_load is not None:
        has_answer |= flow.answered and not flow.slot_per_request
        mean_work_ms = upstream_capacity.note_end(
            state.even_load.work,
            flow.key,
            state.capacity.slots,
            now,
            has_answer=has_answer,
        )
        # A new incarnation works like the last one until its first answer.
        if state.even_load.work.answers:
            counts.mean_work_ms = mean_work_ms
        return
    # Time that the request spent in the upstream's own queue is not counted
    # as work on it.
    slots = max(1, state.capacity.slots)
    worked_ms = (
        (now - flow.slot_since_ms) * slots // (slots + flow.requests_ahead)
    )
    if counts.mean_work_ms == 0:
        counts.mean_work_ms = worked_ms
    else:
        counts.mean_work_ms += (
            worked_ms - counts.mean_work_ms
        ) // WORK_MEAN_WEIGHT_DIVISOR
