"""What time alone brings about: ended waits, idle and unconfirmed flows."""

from gentianspoke.core import packets
from gentianspoke.core import verdicts
from gentianspoke.decisions import actions
from gentianspoke.decisions.agent import admission
from gentianspoke.decisions.agent import adoption
from gentianspoke.decisions.agent import closing
from gentianspoke.decisions.agent import diversion
from gentianspoke.decisions.agent import diversion_table
from gentianspoke.decisions.agent import evidence
from gentianspoke.decisions.agent import finding
from gentianspoke.decisions.agent import ownership
from gentianspoke.decisions.agent import parking
from gentianspoke.decisions.agent import records
from gentianspoke.decisions.agent import returned
from gentianspoke.decisions.agent import state as agent_state
from gentianspoke.decisions.agent import tables

# Longest time until a record is looked at again. Until then the schedule
# keeps a record that has been removed meanwhile.
CHECK_AT_MOST_MS = 300_000
# How long a packet of an unknown flow is remembered.
ORPHAN_MS = 30_000

State = agent_state.AgentState


def expire(state: State, now: int) -> list[actions.Action]:
    """Return what is due at ``now``."""
    tables.expire_promises(state, now)
    result = expire_queued(state, now)
    result.extend(start_queued(state, now))
    result.extend(parking.retry(state, now))
    for flow in state.flow_schedule.take_due(now):
        result.extend(_check_flow(state, flow, now))
    for key, diverted in state.diversion_schedule.take_due(now):
        if state.diversions.get(key) is diverted:
            _check_diversion(state, (key, diverted), now)
    _expire_orphans(state, now)
    returned.expire_disowned(state, now)
    diversion.expire_reports(state, now)
    if state.recovering and now - state.started_ms >= state.recovery_ms:
        state.recovering = False
    return result


def start_queued(state: State, now: int) -> list[actions.Action]:
    """Return the deliveries of queued openings that got a slot."""
    result: list[actions.Action] = []
    for flow in admission.start_queued(state, now):
        state.queue_waits.append(now - flow.opened_ms)
        if flow.held is not None:
            result.append(actions.Deliver(flow.held.raw))
            evidence.note_up(flow, flow.held, now)
            flow.held = None
    return result


def expire_queued(state: State, now: int) -> list[actions.Action]:
    """Return the refusals of openings whose waiting time is over."""
    result: list[actions.Action] = []
    for queue in state.queues.values():
        for flow in tuple(queue):
            if now >= flow.queued_until_ms:
                result.extend(_refuse_queued(state, flow, now))
    return result


def _refuse_queued(
    state: State, flow: records.Flow, now: int
) -> list[actions.Action]:
    held = flow.held
    service = state.served.get(flow.service)
    if held is None or service is None:
        tables.forget_flow(state, flow, now)
        return [actions.Drop('other-service')]
    if not ownership.holds_lease(state, service, now):
        # Another agent may have taken a copy of the opening by now, so
        # this one can neither start it nor say that it was not run.
        tables.forget_flow(state, flow, now)
        return [actions.Drop('lease-lost-in-queue')]
    evidence.report_refusal(
        state,
        flow.key,
        flow.service,
        verdicts.Fault.UPSTREAM,
        'no slot became free within the wait limit',
    )
    tables.end_flow(state, flow, now, records.Phase.REFUSED)
    return [actions.Refuse(held, 'wait-expired')]


def _check_flow(
    state: State, flow: records.Flow, now: int
) -> list[actions.Action]:
    if state.flows.get(flow.key) is not flow:
        return []
    forward = flow.unconfirmed
    if flow.by_request and forward is not None:
        state.flow_schedule.add(flow, now + tables.half_open_ms(flow))
        return finding.confirm(state, flow, now)
    if forward is not None:
        return [adoption.disown(state, flow, forward, now)]
    quiet_since_ms = max(flow.up_ms, flow.down_ms)
    due_ms = quiet_since_ms + _quiet_at_most_ms(state, flow)
    if now < due_ms:
        state.flow_schedule.add(flow, min(due_ms, now + CHECK_AT_MOST_MS))
    elif flow.phase is records.Phase.OPEN and closing.is_half_closed(flow):
        tables.end_flow(state, flow, now)
    elif flow.phase is records.Phase.QUEUED:
        # Its wait ends it, or its start does.
        state.flow_schedule.add(flow, now + tables.HALF_OPEN_MS)
    else:
        _forget(state, flow, now)
    return []


def _quiet_at_most_ms(state: State, flow: records.Flow) -> int:
    match flow.phase:
        case records.Phase.CLOSED | records.Phase.REFUSED:
            return tables.LINGER_MS
        case records.Phase.QUEUED:
            return tables.HALF_OPEN_MS
        case records.Phase.OPEN if not flow.answered:
            return tables.half_open_ms(flow)
        case records.Phase.OPEN if closing.is_half_closed(flow):
            return closing.HALF_CLOSED_MS
        case _:
            return tables.idle_ms(state, flow.service)


def _forget(state: State, flow: records.Flow, now: int) -> None:
    if flow.phase is records.Phase.OPEN:
        if flow.answered:
            reason = 'no packet within the idle limit'
            fault = verdicts.Fault.CALLER
        else:
            reason = 'the upstream did not answer the opening'
            fault = verdicts.Fault.UPSTREAM
        outcome = verdicts.Outcome.UNKNOWN
        evidence.report_flow(state, flow, outcome, fault, reason, now)
    tables.forget_flow(state, flow, now)


def _check_diversion(
    state: State,
    item: tuple[packets.FlowKey, records.Diversion],
    now: int,
) -> None:
    key, diverted = item
    due_ms = diverted.used_ms + diversion_table.idle_ms(state, diverted)
    if now >= due_ms:
        diversion_table.remove(state, key)
    else:
        check_ms = min(due_ms, now + CHECK_AT_MOST_MS)
        state.diversion_schedule.add((key, diverted), check_ms)


def _expire_orphans(state: State, now: int) -> None:
    # The oldest come first: a dict keeps the order of insertion.
    while state.orphans:
        key = next(iter(state.orphans))
        if now - state.orphans[key] < ORPHAN_MS:
            return
        del state.orphans[key]
