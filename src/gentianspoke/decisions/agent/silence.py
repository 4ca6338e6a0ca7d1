"""Detection, reporting and reset of flows that have become silent.

A flow is silent if one side has retransmitted the same segment
``MIN_RETRANSMISSIONS`` times over ``SILENCE_TIMEOUT_MS``. It is reset only if
packets of other flows, or those of the other side of the same flow, show
which part of the path still works. An outage that affects all flows leads to
no reset, so the flows can continue when it ends. If an upstream has only one
flow, such as the last flow of a draining upstream, there is no other flow to
compare it with. If the caller retransmits on such a flow without any answer,
the flow is reset after ``ONLY_FLOW_SILENCE_TIMEOUT_MS``.

=====================  ======================  =============================
Who retransmits        What else was seen      Verdict
=====================  ======================  =============================
caller, unanswered     others are answered     upstream lost the flow
caller, unanswered     no other flow is open   upstream does not answer
caller, acknowledged   upstream still sends    network towards caller
caller, not acked      upstream still sends    upstream does not acknowledge
upstream               caller still sends      network towards caller
upstream               other callers send      caller does not respond
=====================  ======================  =============================
"""

from gentianspoke.core import verdicts
from gentianspoke.decisions import actions
from gentianspoke.decisions.agent import evidence
from gentianspoke.decisions.agent import flow_table
from gentianspoke.decisions.agent import records
from gentianspoke.decisions.agent import state as agent_state

MIN_RETRANSMISSIONS = 4
SILENCE_TIMEOUT_MS = 6_000
ONLY_FLOW_SILENCE_TIMEOUT_MS = 15_000

State = agent_state.AgentState


def check_caller_retransmissions(
    state: State, flow: records.Flow, now: int
) -> list[actions.Action]:
    """Return the resets for a flow whose caller retransmits a segment.

    If there are any, the flow is reported and ended.
    """
    if not _is_silent(flow, flow.up, now):
        return []
    since_ms = flow.up.since_ms
    if flow.last_down_ms < since_ms:
        if state.last_upstream_packet_ms >= since_ms:
            reason = 'the upstream answers others but not this flow'
        elif (
            state.total_open == 1
            and now - since_ms >= ONLY_FLOW_SILENCE_TIMEOUT_MS
        ):
            reason = 'the upstream does not answer its only flow'
        else:
            return []
        return _reset_flow(state, flow, verdicts.Fault.UPSTREAM, reason, now)
    if _has_acknowledged(flow.down, flow.up):
        reason = 'answers do not reach the caller'
        return _reset_flow(state, flow, verdicts.Fault.NETWORK, reason, now)
    reason = 'the upstream does not acknowledge the flow any more'
    return _reset_flow(state, flow, verdicts.Fault.UPSTREAM, reason, now)


def check_upstream_retransmissions(
    state: State, flow: records.Flow, now: int
) -> list[actions.Action]:
    """Return the resets for a flow whose upstream retransmits a segment.

    If there are any, the flow is reported and ended.
    """
    if not _is_silent(flow, flow.down, now):
        return []
    since_ms = flow.down.since_ms
    if flow.last_up_ms >= since_ms:
        reason = 'packets of the upstream do not reach the caller'
        return _reset_flow(state, flow, verdicts.Fault.NETWORK, reason, now)
    if state.last_caller_packet_ms < since_ms:
        return []
    reason = 'the caller is silent while others are heard'
    return _reset_flow(state, flow, verdicts.Fault.CALLER, reason, now)


def reset_both_sides(flow: records.Flow, reason: str) -> list[actions.Action]:
    """Return the resets for both sides of an established flow.

    A side ignores a reset unless its sequence number is the next one that
    the side expects. The side's latest acknowledgement number is used, and a
    side whose acknowledgement number is not known gets no reset.
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


def _is_silent(
    flow: records.Flow, direction: records.Direction, now: int
) -> bool:
    # A flow whose opening is not answered yet is not reset here: the caller
    # would take the reset to mean that its request was not run. The caller
    # and the upstream have their own time limits for such an opening.
    return (
        direction.retransmissions >= MIN_RETRANSMISSIONS
        and now - direction.since_ms >= SILENCE_TIMEOUT_MS
        and flow.phase is records.Phase.OPEN
        and flow.up.ack != records.NO_SEQ
        and flow.answered
    )


def _has_acknowledged(
    receiver: records.Direction, sender: records.Direction
) -> bool:
    """Return whether the receiver has acknowledged the sender's last segment.

    Sequence numbers wrap around, so a difference below half of their range
    means that the acknowledgement number is not behind the segment's end.
    """
    ahead = (receiver.ack - sender.end) % evidence.SEQ_MODULUS
    return ahead < evidence.SEQ_MODULUS // 2


def _reset_flow(
    state: State,
    flow: records.Flow,
    fault: verdicts.Fault,
    reason: str,
    now: int,
) -> list[actions.Action]:
    outcome = verdicts.Outcome.SILENT
    evidence.report_flow(state, flow, outcome, fault, reason, now)
    resets = reset_both_sides(flow, f'silent-{fault.value}')
    flow_table.end_flow(state, flow, now)
    return resets
