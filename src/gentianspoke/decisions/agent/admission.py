"""Admission control at one upstream.

Admission depends on the limits on connections, slots, queue length and waiting
time. The slow start of an upstream that has just started is computed here too.
"""

import enum

from gentianspoke.core import services
from gentianspoke.core import shares
from gentianspoke.decisions.agent import cold_start
from gentianspoke.decisions.agent import flow_table
from gentianspoke.decisions.agent import ownership
from gentianspoke.decisions.agent import records
from gentianspoke.decisions.agent import request_queue
from gentianspoke.decisions.agent import state as agent_state

# Factor by which the wait limit grows for an opening of the pool's most urgent
# service if no other upstream will be tried.
LAST_CANDIDATE_WAIT_FACTOR = 2
# The same where requests wait beside the upstream in their order
# (``request_queue``). Load pattern: all callers return at once, for example
# after a loss of power, and each upstream gets many openings within a moment.
# After this many times the wait limit, which is a quarter of the time in which
# callers expect the answer, there is still time to answer. A refusal would
# only make the callers try again at the same moment.
SCHEDULED_WAIT_FACTOR = 3
# The same for the pool's most urgent service, which is refused last.
URGENT_SCHEDULED_WAIT_FACTOR = 6
# How long an upstream may leave openings unanswered before its agent tries
# other members first.
UPSTREAM_TIMEOUT_MS = 150


class Admission(enum.Enum):
    """Whether an upstream takes one more flow: now, after a wait, or not.

    ``COLD`` means that the upstream has just started and takes no opening at
    the moment. It may take a retransmission of the opening.
    """

    NOW = 'now'
    WAIT = 'wait'
    NO = 'no'
    COLD = 'cold'


def decide_admission(
    state: agent_state.AgentState,
    service: services.Service,
    wait_left_ms: int,
    now: int,
    *,
    is_last_candidate: bool = False,
) -> Admission:
    """Return whether the upstream takes one more flow now, later or not.

    ``is_last_candidate`` means that no other upstream will be tried if this
    one declines. A flow may wait if its traffic class occupies a slot, the
    queue is not full, and a slot is expected to become free before the
    remaining waiting time ``wait_left_ms`` is over. A flow of a service with
    ``Service.handshake`` never waits here, because its upstream queues the
    requests itself.
    """
    if state.draining or service.retired:
        return Admission.NO
    pool = state.get_pool(service)
    if pool not in services.get_current_pools(service):
        # A former pool keeps its open flows, but gets no new ones.
        return Admission.NO
    if state.is_evacuated(pool):
        return Admission.NO
    counts = state.counts[pool]
    if counts.open_flows >= service.limits.connections:
        return Admission.NO
    if state.total_open >= state.capacity.connections:
        return Admission.NO
    if not may_deliver_opening(state, now):
        state.cold.declined += not is_last_candidate
        return Admission.COLD
    if service.handshake:
        return _decide_by_upstream_wait(state, service, is_last_candidate)
    if not services.occupies_slot(service):
        return Admission.NOW
    if counts.queued == 0 and has_free_slot(state, service):
        return Admission.NOW
    if counts.queued >= service.limits.queue:
        return Admission.NO
    if wait_left_ms <= estimate_wait_ms(state, service):
        return Admission.NO
    return Admission.WAIT


def may_deliver_opening(state: agent_state.AgentState, now: int) -> bool:
    """Return whether the limit of a cold upstream allows one more opening."""
    is_silent = is_upstream_silent(state, now)
    return cold_start.has_room(state.cold, now, is_silent)


def note_opening(state: agent_state.AgentState, now: int) -> None:
    """Record that an opening of a service with ``handshake`` was delivered."""
    if state.unanswered_since_ms is None:
        state.unanswered_since_ms = now


def note_upstream_activity(state: agent_state.AgentState, now: int) -> None:
    """Record that the upstream sent a packet of any flow."""
    if is_upstream_silent(state, now):
        state.cold.was_silent = True
    state.unanswered_since_ms = None


def is_upstream_silent(state: agent_state.AgentState, now: int) -> bool:
    """Return whether the upstream seems to have stopped answering.

    A working upstream answers an opening over the loopback interface within
    about a millisecond.
    """
    since_ms = state.unanswered_since_ms
    return since_ms is not None and now - since_ms >= UPSTREAM_TIMEOUT_MS


def has_free_slot(
    state: agent_state.AgentState, service: services.Service
) -> bool:
    """Return whether a slot is free for the service."""
    running = state.counts[state.get_pool(service)].running
    return (
        running < service.limits.slots
        and state.total_running < state.capacity.slots
    )


def estimate_wait_ms(
    state: agent_state.AgentState, service: services.Service
) -> int:
    """Return how long one more queued flow is expected to wait, in ms.

    The estimate applies Little's law to the mean time for which the upstream
    has worked on a flow so far. A flow that cannot start in time is refused
    at once rather than at the end of its wait.
    """
    counts = state.counts[state.get_pool(service)]
    slots = max(1, min(service.limits.slots, state.capacity.slots))
    return counts.mean_work_ms * counts.queued // slots


def _decide_by_upstream_wait(
    state: agent_state.AgentState,
    service: services.Service,
    is_last_candidate: bool,
) -> Admission:
    # The upstream queues the requests of its flows itself. The limit
    # therefore applies to the time that the next request would wait there.
    pool = state.get_pool(service)
    counts = state.counts[pool]
    slots = max(1, state.capacity.slots)
    running = counts.running + request_queue.count_ahead(
        state.requests, service
    )
    requests_ahead = max(0, running - slots + 1)
    wait_ms = counts.mean_work_ms * requests_ahead // slots
    limit_ms = service.limits.wait_ms
    if is_last_candidate:
        is_urgent = service.priority == state.highest_priorities[pool]
        limit_ms *= _get_last_candidate_factor(state, is_urgent)
    if wait_ms > limit_ms:
        return Admission.NO
    return Admission.NOW


def _get_last_candidate_factor(
    state: agent_state.AgentState, is_urgent: bool
) -> int:
    if state.requests.is_enabled:
        if is_urgent:
            return URGENT_SCHEDULED_WAIT_FACTOR
        return SCHEDULED_WAIT_FACTOR
    return LAST_CANDIDATE_WAIT_FACTOR if is_urgent else 1


def compute_ramp_permille(state: agent_state.AgentState, now: int) -> int:
    """Return the share of its full load that the upstream may take now.

    The share is in thousandths. It grows linearly from the start of the
    upstream to the end of its slow start. It is at least 1, so that the load
    limit (``diversion.compute_load_limit``) is never 0. If the agent is
    recovering, the share is full, because the upstream has been running since
    before the agent restarted.
    """
    age_ms = now - state.started_ms
    if state.recovering or age_ms >= state.capacity.ramp_ms:
        return shares.PERMILLE
    return max(1, age_ms * shares.PERMILLE // state.capacity.ramp_ms)


def start_queued_flows(
    state: agent_state.AgentState, now: int
) -> list[records.Flow]:
    """Start the queued flows for which a slot is free; return them.

    Within a service the oldest flow starts first. Among services, the one
    for which the occupied slots of its pool are the smallest share of its own
    slot limit comes first; of equal ones, the one with the oldest flow. A flow
    whose request must run at most once starts only while this agent holds its
    lease: without it, another agent may have placed a copy of the opening by
    now.
    """
    started_flows: list[records.Flow] = []
    while True:
        service = _choose_next_service(state, now)
        if service is None or not may_deliver_opening(state, now):
            return started_flows
        flow = state.queues[service.number][0]
        flow_table.start_queued_flow(state, flow, now)
        cold_start.note_delivery(state.cold, now)
        started_flows.append(flow)


def _choose_next_service(
    state: agent_state.AgentState, now: int
) -> services.Service | None:
    waiting_services = [
        state.services_by_number[number]
        for number, queue in state.queues.items()
        if queue and number in state.services_by_number
    ]
    eligible_services = [
        service
        for service in waiting_services
        if has_free_slot(state, service)
        and not state.is_evacuated(state.get_pool(service))
        and ownership.holds_lease(state, service, now)
    ]

    def sort_key(service: services.Service) -> tuple[int, int]:
        running = state.counts[state.get_pool(service)].running
        oldest_flow = state.queues[service.number][0]
        return (
            running * shares.PERMILLE // service.limits.slots,
            oldest_flow.opened_ms,
        )

    return min(eligible_services, key=sort_key, default=None)
