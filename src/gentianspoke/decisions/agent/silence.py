"""Flows that go silent while others work: found, named, reset.

A flow is silent when one side repeats the same segment ``MIN_RETRANSMISSIONS`` times
over ``SILENT_MS`` and is not answered. It is reset only where other flows
show that the part of the path which all share works; an outage of
everything ends by itself and breaks no flow here. The only flow of an
upstream, such as the last one of a drain, has no other to compare with; it
is reset after ``ONLY_FLOW_SILENT_MS``.

=====================  ======================  =========================
Who repeats            What else was seen      Verdict
=====================  ======================  =========================
caller, unanswered     others answered         upstream lost the flow
caller, unanswered     no other flow is open   upstream does not answer
caller, acknowledged   others heard            network towards caller
upstream               caller sends on         network towards caller
upstream               nothing, others heard   caller is gone
=====================  ======================  =========================
"""

from gentianspoke.core import verdicts
from gentianspoke.decisions import actions
from gentianspoke.decisions.agent import evidence
from gentianspoke.decisions.agent import records
from gentianspoke.decisions.agent import state as agent_state
from gentianspoke.decisions.agent import tables

MIN_RETRANSMISSIONS = 4
SILENT_MS = 6_000
ONLY_FLOW_SILENT_MS = 15_000

State = agent_state.AgentState


def check_caller_retransmissions(
    state: State, flow: records.Flow, now: int
) -> list[actions.Action]:
    """Return the resets due after a segment that the caller repeated."""
    if not _is_due(flow, flow.up, now):
        return []
    since_ms = flow.up.since_ms
    if flow.down_ms < since_ms:
        if state.last_upstream_packet_ms >= since_ms:
            reason = 'the upstream answers others but not this flow'
        elif state.total_open == 1 and now - since_ms >= ONLY_FLOW_SILENT_MS:
            reason = 'the upstream does not answer its only flow'
        else:
            return []
        return _reset(state, flow, verdicts.Fault.UPSTREAM, reason, now)
    if _acknowledges(flow.down, flow.up):
        reason = 'answers do not reach the caller'
        return _reset(state, flow, verdicts.Fault.NETWORK, reason, now)
    reason = 'the upstream does not acknowledge the flow any more'
    return _reset(state, flow, verdicts.Fault.UPSTREAM, reason, now)


def check_upstream_retransmissions(
    state: State, flow: records.Flow, now: int
) -> list[actions.Action]:
    """Return the resets due after a segment that the upstream repeated."""
    if not _is_due(flow, flow.down, now):
        return []
    since_ms = flow.down.since_ms
    if flow.up_ms >= since_ms:
        reason = 'packets of the upstream do not reach the caller'
        return _reset(state, flow, verdicts.Fault.NETWORK, reason, now)
    if state.last_caller_packet_ms < since_ms:
        return []
    reason = 'the caller is silent while others are heard'
    return _reset(state, flow, verdicts.Fault.CALLER, reason, now)


def reset_both(flow: records.Flow, reason: str) -> list[actions.Action]:
    """Return the resets of both sides of an established flow.

    A side that has not told what it expects next gets none: a reset with
    another number would be ignored.
    """
    result: list[actions.Action] = []
    up, down = flow.up, flow.down
    if up.ack != records.NO_SEQ:
        ack = up.end if up.end != records.NO_SEQ else 0
        result.append(actions.ResetCaller(flow.key, up.ack, ack, reason))
    if down.ack != records.NO_SEQ:
        ack = down.end if down.end != records.NO_SEQ else 0
        result.append(actions.ResetUpstream(flow.key, down.ack, ack, reason))
    return result


def _is_due(
    flow: records.Flow, direction: records.Direction, now: int
) -> bool:
    # An opening that is not answered yet is the upstream's or caller's
    # own affair: a reset would claim that it was not run.
    return (
        direction.retransmissions >= MIN_RETRANSMISSIONS
        and now - direction.since_ms >= SILENT_MS
        and flow.phase is records.Phase.OPEN
        and flow.up.ack != records.NO_SEQ
        and flow.answered
    )


def _acknowledges(
    answers: records.Direction, asked: records.Direction
) -> bool:
    ahead = (answers.ack - asked.end) % evidence.SEQ_MODULUS
    return ahead < evidence.SEQ_MODULUS // 2


def _reset(
    state: State,
    flow: records.Flow,
    fault: verdicts.Fault,
    reason: str,
    now: int,
) -> list[actions.Action]:
    outcome = verdicts.Outcome.SILENT
    evidence.report_flow(state, flow, outcome, fault, reason, now)
    resets = reset_both(flow, f'silent-{fault.value}')
    tables.end_flow(state, flow, now)
    return resets
