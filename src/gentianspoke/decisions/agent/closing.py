"""How flows end: by both sides' FIN, or by a reset of either."""

from gentianspoke.core import packets
from gentianspoke.core import verdicts
from gentianspoke.decisions import actions
from gentianspoke.decisions.agent import evidence
from gentianspoke.decisions.agent import records
from gentianspoke.decisions.agent import state as agent_state
from gentianspoke.decisions.agent import tables

# How long an adopted flow may stay half closed and quiet: the other side's
# FIN may have passed before the agent restarted.
HALF_CLOSED_MS = 2_000
# How far a reset may be ahead of what the upstream has acknowledged.
RESET_WINDOW_BYTES = 1 << 20

State = agent_state.AgentState


def note_caller_segment(
    state: State, flow: records.Flow, segment: packets.Segment, now: int
) -> None:
    """Take note of a caller's segment that closes its direction."""
    if segment.flags & packets.RST:
        if _is_current_reset(flow, segment):
            fault = verdicts.Fault.CALLER
            outcome = verdicts.Outcome.RESET_BY_CALLER
            _close_by_reset(state, flow, outcome, fault, now)
    elif segment.flags & packets.FIN:
        flow.up.finished = True
        _close_if_finished(state, flow, now)


def note_upstream_segment(
    state: State, flow: records.Flow, segment: packets.Segment, now: int
) -> None:
    """Take note of an upstream's segment that closes its direction."""
    if segment.flags & packets.RST:
        fault = verdicts.Fault.UPSTREAM
        outcome = verdicts.Outcome.RESET_BY_UPSTREAM
        _close_by_reset(state, flow, outcome, fault, now)
    elif segment.flags & packets.FIN:
        flow.down.finished = True
        _close_if_finished(state, flow, now)


def cancel_queued(
    state: State, flow: records.Flow, segment: packets.Segment, now: int
) -> list[actions.Action]:
    """Free what a queued flow holds when its caller gives up."""
    if segment.flags & (packets.RST | packets.FIN):
        tables.end_flow(state, flow, now)
        return [actions.Drop('cancelled')]
    return [actions.Drop('queued')]


def _is_current_reset(flow: records.Flow, segment: packets.Segment) -> bool:
    # A late reset of an earlier flow with the same five-tuple is ignored
    # by the upstream, which goes on with the flow; so does this record.
    expected = flow.down.ack
    if expected == records.NO_SEQ:
        return True
    ahead = (segment.seq - expected) % evidence.SEQ_MODULUS
    return ahead < RESET_WINDOW_BYTES


def _close_if_finished(state: State, flow: records.Flow, now: int) -> None:
    if flow.up.finished and flow.down.finished:
        tables.end_flow(state, flow, now)
    elif flow.isn == records.NO_OPENING:
        state.flow_schedule.add(flow, now + HALF_CLOSED_MS)


def is_half_closed(flow: records.Flow) -> bool:
    """Return whether an adopted flow may have been closed unseen."""
    adopted = flow.isn == records.NO_OPENING
    return adopted and (flow.up.finished or flow.down.finished)


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
            tables.end_flow(state, flow, now)
