"""How flows end: by both sides' FIN, by a reset, or by silence."""

from gentianspoke.core import packets
from gentianspoke.core import verdicts
from gentianspoke.decisions import actions
from gentianspoke.decisions.agent import admission
from gentianspoke.decisions.agent import records
from gentianspoke.decisions.agent import state as agent_state

State = agent_state.AgentState


def note_up(
    state: State, flow: records.Flow, segment: packets.Segment
) -> None:
    """Take note of a caller's segment that closes its direction."""
    if segment.flags & packets.RST:
        _close(state, flow, verdicts.Outcome.RESET_BY_CALLER)
    elif segment.flags & packets.FIN:
        flow.up_finished = True
        _close_if_finished(state, flow)


def note_down(
    state: State, flow: records.Flow, segment: packets.Segment
) -> None:
    """Take note of an upstream's segment that closes its direction."""
    if segment.flags & packets.RST:
        _close(state, flow, verdicts.Outcome.RESET_BY_UPSTREAM)
    elif segment.flags & packets.FIN:
        flow.down_finished = True
        _close_if_finished(state, flow)


def cancel_queued(
    state: State, flow: records.Flow, segment: packets.Segment
) -> list[actions.Action]:
    """Free what a queued flow holds when its caller gives up."""
    if segment.flags & (packets.RST | packets.FIN):
        admission.forget_flow(state, flow)
    return [actions.Drop('queued')]


def _close_if_finished(state: State, flow: records.Flow) -> None:
    if flow.up_finished and flow.down_finished:
        _close(state, flow, verdicts.Outcome.CLOSED)


def _close(
    state: State, flow: records.Flow, outcome: verdicts.Outcome
) -> None:
    if flow.phase is records.Phase.CLOSED:
        return
    admission.close_flow(state, flow)
    faults = {
        verdicts.Outcome.RESET_BY_CALLER: verdicts.Fault.CALLER,
        verdicts.Outcome.RESET_BY_UPSTREAM: verdicts.Fault.UPSTREAM,
    }
    fault = faults.get(outcome)
    if fault is not None:
        verdict = verdicts.Verdict(outcome, fault, outcome.value)
        report = agent_state.FlowReport(flow.key, flow.service, verdict)
        state.reports.append(report)
