"""End of flows after a FIN from both sides or a reset from one side."""

from gentianspoke.core import packets
from gentianspoke.core import verdicts
from gentianspoke.decisions import actions
from gentianspoke.decisions.agent import evidence
from gentianspoke.decisions.agent import flow_table
from gentianspoke.decisions.agent import records
from gentianspoke.decisions.agent import state as agent_state

# How long a flow that was adopted after a restart of the agent may stay
# half-closed without a packet. The other side may have sent its FIN before the
# restart.
HALF_CLOSED_TIMEOUT_MS = 2_000
# How far the sequence number of a caller's reset may be ahead of what the
# upstream has acknowledged.
RESET_WINDOW_BYTES = 1 << 20

State = agent_state.AgentState


def handle_caller_fin_or_reset(
    state: State, flow: records.Flow, segment: packets.Segment, now: int
) -> None:
    """Update the flow after a caller's segment with FIN or RST."""
    if segment.flags & packets.RST:
        if _is_current_reset(flow, segment):
            fault = verdicts.Fault.CALLER
            outcome = verdicts.Outcome.RESET_BY_CALLER
            _close_by_reset(state, flow, outcome, fault, now)
    elif segment.flags & packets.FIN:
        flow.up.fin_seen = True
        _close_if_both_fins_seen(state, flow, now)


def handle_upstream_fin_or_reset(
    state: State, flow: records.Flow, segment: packets.Segment, now: int
) -> None:
    """Update the flow after an upstream's segment with FIN or RST."""
    if segment.flags & packets.RST:
        fault = verdicts.Fault.UPSTREAM
        outcome = verdicts.Outcome.RESET_BY_UPSTREAM
        _close_by_reset(state, flow, outcome, fault, now)
    elif segment.flags & packets.FIN:
        flow.down.fin_seen = True
        _close_if_both_fins_seen(state, flow, now)


def decide_queued_segment(
    state: State, flow: records.Flow, segment: packets.Segment, now: int
) -> list[actions.Action]:
    """Drop a queued flow's segment; end the flow after a FIN or RST.

    A segment with FIN or RST means that the caller has given up waiting.
    Ending the flow frees its place in the queue.
    """
    if segment.flags & (packets.RST | packets.FIN):
        flow_table.end_flow(state, flow, now)
        return [actions.Drop('cancelled')]
    return [actions.Drop('queued')]


def _is_current_reset(flow: records.Flow, segment: packets.Segment) -> bool:
    # The upstream ignores a late reset of an earlier flow with the same
    # five-tuple and keeps the current flow open, so the agent keeps its record
    # open as well.
    expected_seq = flow.down.ack
    if expected_seq == records.NO_SEQ:
        return True
    ahead = (segment.seq - expected_seq) % evidence.SEQ_MODULUS
    return ahead < RESET_WINDOW_BYTES


def _close_if_both_fins_seen(
    state: State, flow: records.Flow, now: int
) -> None:
    if flow.up.fin_seen and flow.down.fin_seen:
        flow_table.end_flow(state, flow, now)
    elif flow.isn == records.NO_OPENING:
        # The flow was adopted, so the other FIN may have come earlier
        # (``is_adopted_and_half_closed``).
        state.flow_timers.add(flow, now + HALF_CLOSED_TIMEOUT_MS)


def is_adopted_and_half_closed(flow: records.Flow) -> bool:
    """Return whether one side of an adopted flow has sent a FIN.

    Such a flow may already be closed on both sides, because the other side's
    FIN may have passed before the agent restarted.
    """
    is_adopted = flow.isn == records.NO_OPENING
    return is_adopted and (flow.up.fin_seen or flow.down.fin_seen)


def _close_by_reset(
    state: State,
    flow: records.Flow,
    outcome: verdicts.Outcome,
    fault: verdicts.Fault,
    now: int,
) -> None:
    match flow.phase:
        case records.Phase.OPEN:
            evidence.report_flow(
                state, flow, outcome, fault, outcome.value, now
            )
            flow_table.end_flow(state, flow, now)
