"""Results of inquiries: repeat them, end flows or go on searching.

A flow is ended only if all of the following hold, since a flow that is open
at a living upstream must never be reset:

* Each instance that may have the flow has answered that its upstream does not
  have it. ``known_instances`` lists these instances, which include members
  that left the view. Each answer came after the caller's packet, from an agent
  that knew no instance that this one did not know.
* This agent's own upstream does not have the flow either.
* A majority of control has confirmed the feed after the caller's packet, so
  the view lists each member that was live when the flow was opened, and the
  catalogue each pool.
* This agent is neither joining nor draining.

The owner has passed on the upstream's answer to the opening before the caller
could send the packet. A copy of the opening that reaches another upstream
later does not open the flow there, because the caller acknowledges only the
owner's sequence numbers. If an answer is missing after ``MAX_SENT_COUNT``
inquiries, nothing is ended, and the flow is searched for at the instances that
may have it.
"""

from gentianspoke.core import services
from gentianspoke.core import verdicts
from gentianspoke.decisions import actions
from gentianspoke.decisions.agent import evidence
from gentianspoke.decisions.agent import flow_inquiry
from gentianspoke.decisions.agent import flow_knowledge
from gentianspoke.decisions.agent import inquiry_records
from gentianspoke.decisions.agent import inquiry_rounds
from gentianspoke.decisions.agent import known_instances
from gentianspoke.decisions.agent import state as agent_state

# How long the members may take to answer before they are asked again.
REPLY_TIMEOUT_MS = 200
# The first inquiry and three repetitions.
MAX_SENT_COUNT = 4
# Control coalesces views for less than this time before it sends them. A
# confirmation that is later by this much comes after these views.
FEED_MARGIN_MS = 100
# How long a result waits for the confirmation of the feed.
MAX_RESULT_WAIT_MS = 2_000
# How long an unknown flow without further packets is kept. The caller's
# retransmissions are at most 1.6 s apart.
UNKNOWN_FLOW_TIMEOUT_MS = 5_000

State = agent_state.AgentState
Actions = list[actions.Action]
Phase = inquiry_records.FlowPhase


def run_due(state: State, now: int) -> Actions:
    """Return the actions that are due for inquiries and unknown flows."""
    inquiries = state.inquiries
    flow_knowledge.expire_doubtful(state, now)
    result: Actions = []
    for inquiry in tuple(inquiries.outstanding.values()):
        result.extend(_continue_inquiry(state, inquiry, now))
    if inquiries.unknown:
        flow_inquiry.repeat_undecided(state, now)
        result.extend(inquiry_rounds.send_due(state, now))
        _expire_flows(state, now)
    return result


def _continue_inquiry(
    state: State, inquiry: inquiry_records.Inquiry, now: int
) -> Actions:
    instances = known_instances.list_instances(state, inquiry.pools, now)
    own_instance = known_instances.find_instance(instances, state.number)
    others = instances.keys() - {own_instance}
    missing = others - inquiry.complete
    result = _decide_flows(state, inquiry, instances, missing, now)
    pending = [
        flow for flow in inquiry.flows if flow_inquiry.is_asked(state, flow)
    ]
    if not pending:
        _close(state, inquiry, len(others), len(missing), now)
    elif missing and now - inquiry.last_sent_ms >= REPLY_TIMEOUT_MS:
        inquiry.last_sent_ms = now
        inquiry.sent_count += 1
        result.append(
            inquiry_rounds.send_to(state, inquiry, instances, missing)
        )
    return result


def _decide_flows(
    state: State,
    inquiry: inquiry_records.Inquiry,
    instances: known_instances.Instances,
    missing: set[str],
    now: int,
) -> Actions:
    result: Actions = []
    absent = _intersect_answers(inquiry)
    is_repeat_due = now - inquiry.last_sent_ms >= REPLY_TIMEOUT_MS
    is_last = is_repeat_due and inquiry.sent_count >= MAX_SENT_COUNT
    for position, flow in enumerate(inquiry.flows):
        if not flow_inquiry.is_asked(state, flow):
            continue
        is_absent = bool(absent >> position & 1)
        if missing and not is_last:
            if is_repeat_due and not is_absent:
                _set_candidates(inquiry, flow, position, instances, set())
                if flow.candidates:
                    result.extend(flow_inquiry.try_candidates(state, flow))
            continue
        obstacle = _find_obstacle(state, flow, now)
        if missing or not is_absent:
            obstacle = 'unanswered' if missing else 'unsure'
        elif obstacle == 'feed' and not _is_overdue(inquiry, now):
            continue
        if not obstacle:
            result.append(_end_flow(state, inquiry, flow, len(instances), now))
            continue
        inquiry.obstacle = obstacle
        inquiry.undecided_count += 1
        flow.undecided_count += 1
        flow_inquiry.set_phase(flow, Phase.UNDECIDED, now)
        _set_candidates(inquiry, flow, position, instances, missing)
        result.extend(flow_inquiry.try_candidates(state, flow))
    return result


def _intersect_answers(inquiry: inquiry_records.Inquiry) -> int:
    """Return the flows that no instance that has answered may have."""
    absent = (1 << len(inquiry.flows)) - 1
    for answer in inquiry.absent.values():
        absent &= answer
    return absent


def _is_overdue(inquiry: inquiry_records.Inquiry, now: int) -> bool:
    return now - inquiry.sent_ms >= MAX_RESULT_WAIT_MS


def _find_obstacle(
    state: State, flow: inquiry_records.UnknownFlow, now: int
) -> str:
    """Return why this agent may not end a flow that is absent elsewhere.

    The result is empty if the agent may end it.
    """
    if state.joining:
        return 'joining'
    if state.draining:
        return 'draining'
    key = flow.segment.key
    own_knowledge = flow_knowledge.assess_flow(state, key, now)
    if own_knowledge is not flow_knowledge.Knowledge.ABSENT:
        return 'own-record'
    if flow_inquiry.has_listed_target(state, key):
        return 'own-record'
    service = state.services_by_number.get(flow.service)
    if service is None or services.get_all_pools(service) != flow.pools:
        return 'pools'
    if state.feed_confirmed_ms < flow.since_ms + FEED_MARGIN_MS:
        return 'feed'
    return ''


def _set_candidates(
    inquiry: inquiry_records.Inquiry,
    flow: inquiry_records.UnknownFlow,
    position: int,
    instances: known_instances.Instances,
    missing: set[str],
) -> None:
    """Set the members that may have the flow, those that answered first.

    A member that has denied the flow is no candidate, even if its answer is
    not complete. After a restart of many agents, most answers to them are not.
    """
    unsure = [
        name
        for name, absent in inquiry.absent.items()
        if not absent >> position & 1
    ]
    flow.candidates = tuple(
        known_instances.choose_member(instances[name]).number
        for name in (*unsure, *sorted(missing - inquiry.absent.keys()))
        if name in instances
    )


def _end_flow(
    state: State,
    inquiry: inquiry_records.Inquiry,
    flow: inquiry_records.UnknownFlow,
    instance_count: int,
    now: int,
) -> actions.Action:
    inquiry.ended_count += 1
    flow_inquiry.set_phase(flow, Phase.ENDED, now)
    evidence.report_unknown_flow(
        state,
        flow.segment.key,
        flow.service,
        verdicts.Fault.UPSTREAM,
        'no upstream has the flow any more',
        (
            ('instances', instance_count),
            ('inquiries', inquiry.sent_count),
            ('took_ms', now - flow.since_ms),
            ('feed_confirmed_ms_ago', now - state.feed_confirmed_ms),
        ),
    )
    return flow_inquiry.make_reset(flow)


def _close(
    state: State,
    inquiry: inquiry_records.Inquiry,
    instance_count: int,
    unanswered_count: int,
    now: int,
) -> None:
    del state.inquiries.outstanding[inquiry.frame.number]
    state.inquiries.reports.append(
        inquiry_records.InquiryReport(
            pool=inquiry.frame.pool,
            flows=len(inquiry.flows),
            found=inquiry.found_count,
            ended=inquiry.ended_count,
            undecided=inquiry.undecided_count,
            instances=instance_count,
            unanswered=unanswered_count,
            sent_count=inquiry.sent_count,
            obstacle=inquiry.obstacle,
            took_ms=now - inquiry.sent_ms,
        )
    )


def _expire_flows(state: State, now: int) -> None:
    unknown = state.inquiries.unknown
    for key, flow in tuple(unknown.items()):
        if flow.phase in (Phase.UNDECIDED, Phase.ENDED) and (
            now - flow.last_ms >= UNKNOWN_FLOW_TIMEOUT_MS
        ):
            del unknown[key]
