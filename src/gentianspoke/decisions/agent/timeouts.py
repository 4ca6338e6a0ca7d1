"""Time limits of queued openings, flows, diversions and adoptions."""

import dataclasses

from gentianspoke.core import packets
from gentianspoke.core import verdicts
from gentianspoke.decisions import actions
from gentianspoke.decisions.agent import admission
from gentianspoke.decisions.agent import adoption
from gentianspoke.decisions.agent import diversion
from gentianspoke.decisions.agent import diversion_table
from gentianspoke.decisions.agent import evidence
from gentianspoke.decisions.agent import flow_knowledge
from gentianspoke.decisions.agent import flow_table
from gentianspoke.decisions.agent import handshake_flows
from gentianspoke.decisions.agent import held_openings
from gentianspoke.decisions.agent import inquiry_results
from gentianspoke.decisions.agent import ownership
from gentianspoke.decisions.agent import records
from gentianspoke.decisions.agent import returned_packets
from gentianspoke.decisions.agent import scheduling
from gentianspoke.decisions.agent import slot_usage
from gentianspoke.decisions.agent import state as agent_state
from gentianspoke.decisions.agent import teardown
from gentianspoke.decisions import member_ranking

# Longest time until a record is checked again. The timer wheel keeps a removed
# record until its next check, so this limits how long it uses memory.
MAX_CHECK_INTERVAL_MS = 300_000
# How long the agent keeps the time of the first packet of an unknown flow.
ORPHAN_TIMEOUT_MS = 30_000

State = agent_state.AgentState


@dataclasses.dataclass(frozen=True, slots=True)
class RefusalCause:
    """Why a queued opening is refused.

    ``reason`` is the name for counters, and ``text`` is what the agent's
    verdict says.
    """

    reason: str
    fault: verdicts.Fault
    text: str


WAIT_EXPIRED = RefusalCause(
    'wait-expired',
    verdicts.Fault.UPSTREAM,
    'no slot became free within the wait limit',
)
EVACUATED = RefusalCause(
    member_ranking.EVACUATED_REASON,
    verdicts.Fault.NONE,
    'the availability zone was evacuated while the opening waited',
)


def run_due_checks(state: State, now: int) -> list[actions.Action]:
    """Carry out the checks that are due at ``now``; return the actions.

    The checks remove expired records and load reports, free slots whose
    reservation has expired, start or refuse queued openings, start held
    requests, decide held openings again, confirm or disown adopted flows, and
    end the recovery of a restarted agent after ``AgentState.recovery_ms``.
    """
    slot_usage.expire_reservations(state, now)
    result = expire_queued_flows(state, now)
    result.extend(start_queued_openings(state, now))
    result.extend(held_openings.retry_openings(state, now))
    result.extend(scheduling.run_due(state, now))
    for flow in state.flow_timers.pop_due(now):
        result.extend(_check_flow(state, flow, now))
    for key, record in state.diversion_timers.pop_due(now):
        if state.diversions.get(key) is record:
            _check_diversion(state, (key, record), now)
    _expire_orphans(state, now)
    returned_packets.expire_returned_flows(state, now)
    result.extend(inquiry_results.run_due(state, now))
    diversion.expire_reports(state, now)
    diversion.expire_cold_members(state, now)
    if state.recovering and now - state.started_ms >= state.recovery_ms:
        state.recovering = False
    return result


def start_queued_openings(state: State, now: int) -> list[actions.Action]:
    """Start queued flows on free slots; return the deliveries of openings."""
    result: list[actions.Action] = []
    if not any(state.queues.values()):
        return result
    for flow in admission.start_queued_flows(state, now):
        state.queue_waits.append(now - flow.opened_ms)
        if flow.queued_opening is not None:
            result.append(actions.Deliver(flow.queued_opening.raw))
            evidence.note_caller_segment(flow, flow.queued_opening, now)
            flow.queued_opening = None
    return result


def expire_queued_flows(state: State, now: int) -> list[actions.Action]:
    """End the queued flows that cannot start any more; return the actions.

    Their wait has expired, or their pool has become evacuated at this agent.
    An opening is refused. It is dropped if the agent's lease has expired or
    the service is no longer in the catalogue.
    """
    result: list[actions.Action] = []
    for queue in state.queues.values():
        for flow in tuple(queue):
            if state.is_evacuated(flow.pool):
                result.extend(_refuse_queued_flow(state, flow, now, EVACUATED))
            elif now >= flow.queued_until_ms:
                result.extend(
                    _refuse_queued_flow(state, flow, now, WAIT_EXPIRED)
                )
    return result


def _refuse_queued_flow(
    state: State, flow: records.Flow, now: int, cause: RefusalCause
) -> list[actions.Action]:
    opening = flow.queued_opening
    service = state.services_by_number.get(flow.service)
    if opening is None or service is None:
        flow_table.remove_flow(state, flow, now)
        return [actions.Drop('other-service')]
    if not ownership.holds_lease(state, service, now):
        # Another agent may have accepted a copy of the opening by now, so this
        # agent can neither start it nor report that it was not run.
        flow_table.remove_flow(state, flow, now)
        return [actions.Drop('lease-lost-in-queue')]
    evidence.report_refusal(
        state,
        flow.key,
        service,
        cause.fault,
        cause.text,
    )
    flow_table.end_flow(state, flow, now, records.Phase.REFUSED)
    return [actions.Refuse(opening, cause.reason)]


def _check_flow(
    state: State, flow: records.Flow, now: int
) -> list[actions.Action]:
    if state.flows.get(flow.key) is not flow:
        return []
    forward = flow.unconfirmed_forward
    # ``slot_per_request`` means that the service has ``handshake``. Its
    # upstreams return packets of unknown flows.
    if flow.slot_per_request and forward is not None:
        half_open_ms = flow_table.get_half_open_timeout_ms(flow)
        if now - flow.opened_ms >= half_open_ms:
            # The upstream has shown nothing. The caller's next packet begins
            # anew, and the caller is not reset.
            flow_table.remove_flow(state, flow, now)
            return []
        state.flow_timers.add(flow, now + half_open_ms)
        return handshake_flows.check_unconfirmed_flow(state, flow, now)
    if forward is not None:
        return [adoption.disown(state, flow, forward, now)]
    idle_since_ms = max(flow.last_up_ms, flow.last_down_ms)
    due_ms = idle_since_ms + _get_timeout_ms(state, flow)
    if now < due_ms:
        state.flow_timers.add(flow, min(due_ms, now + MAX_CHECK_INTERVAL_MS))
    elif (
        flow.phase is records.Phase.OPEN
        and teardown.is_adopted_and_half_closed(flow)
    ):
        _note_if_still_open(state, flow, now)
        flow_table.end_flow(state, flow, now)
    elif flow.phase is records.Phase.QUEUED:
        # A queued flow leaves this phase when it starts or when its wait
        # expires, so this check only schedules the next one.
        state.flow_timers.add(flow, now + flow_table.HALF_OPEN_TIMEOUT_MS)
    else:
        _remove_idle_flow(state, flow, now)
    return []


def _get_timeout_ms(state: State, flow: records.Flow) -> int:
    match flow.phase:
        case records.Phase.CLOSED | records.Phase.REFUSED:
            return flow_table.LINGER_TIMEOUT_MS
        case records.Phase.QUEUED:
            return flow_table.HALF_OPEN_TIMEOUT_MS
        case records.Phase.OPEN if not flow.answered:
            return flow_table.get_half_open_timeout_ms(flow)
        case records.Phase.OPEN if teardown.is_adopted_and_half_closed(flow):
            return teardown.HALF_CLOSED_TIMEOUT_MS
        case _:
            return flow_table.get_idle_timeout_ms(state, flow.service)


def _note_if_still_open(state: State, flow: records.Flow, now: int) -> None:
    # The upstream may keep a flow that this agent forgets.
    if flow.slot_per_request and flow.upstream_seen:
        flow_knowledge.note_doubtful(state, flow.key, now)


def _remove_idle_flow(state: State, flow: records.Flow, now: int) -> None:
    if flow.phase is records.Phase.OPEN:
        if flow.answered:
            reason = 'no packet within the idle limit'
            fault = verdicts.Fault.CALLER
        else:
            reason = 'the upstream did not answer the opening'
            fault = verdicts.Fault.UPSTREAM
        outcome = verdicts.Outcome.UNKNOWN
        evidence.report_flow(state, flow, outcome, fault, reason, now)
        _note_if_still_open(state, flow, now)
    flow_table.remove_flow(state, flow, now)


def _check_diversion(
    state: State,
    diverted_flow: tuple[packets.FlowKey, records.Diversion],
    now: int,
) -> None:
    key, record = diverted_flow
    due_ms = record.last_used_ms + diversion_table.get_idle_timeout_ms(
        state, record
    )
    if now >= due_ms:
        diversion_table.remove(state, key)
    else:
        check_ms = min(due_ms, now + MAX_CHECK_INTERVAL_MS)
        state.diversion_timers.add((key, record), check_ms)


def _expire_orphans(state: State, now: int) -> None:
    # A dict keeps the order of insertion, so the oldest entries come first.
    # Only the entry of an adopted flow may come after newer ones, since
    # ``adoption`` inserts it again with its old time. It may expire late.
    while state.orphans:
        key = next(iter(state.orphans))
        if now - state.orphans[key] < ORPHAN_TIMEOUT_MS:
            return
        del state.orphans[key]
