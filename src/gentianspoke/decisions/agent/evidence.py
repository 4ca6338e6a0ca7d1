"""Observations of a flow's packets, and reports on failed flows."""

from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.core import verdicts
from gentianspoke.decisions.agent import records
from gentianspoke.decisions.agent import state as agent_state

SEQ_MODULUS = 1 << 32
# How far an acknowledgement may be from the end of the other side's last
# segment, in bytes. That segment may be the retransmission of an old one.
MAX_ACK_DISTANCE = 1 << 20
# Number of reports kept between two ticks. Further ones are only counted.
MAX_FLOW_REPORTS = 1_000

# Each of these flags occupies a sequence number, which has to be acknowledged.
_FLAGS_TO_ACKNOWLEDGE = packets.SYN | packets.FIN

State = agent_state.AgentState


def note_caller_segment(
    flow: records.Flow, segment: packets.Segment, now: int
) -> None:
    """Record the sequence numbers and time of a caller's segment."""
    flow.last_up_ms = now
    _record_segment(flow.up, segment, now)


def note_upstream_segment(
    flow: records.Flow, segment: packets.Segment, now: int
) -> None:
    """Record the sequence numbers and time of an upstream's segment.

    The flow is then also marked as answered by its upstream.
    """
    flow.last_down_ms = now
    flow.answered = True
    flow.upstream_seen = True
    _record_segment(flow.down, segment, now)


def is_established(flow: records.Flow) -> bool:
    """Return whether the caller and the upstream have the flow open together.

    The upstream has sent a segment of the flow, and the caller acknowledges
    this upstream's sequence numbers. An upstream that is down or silent shows
    nothing, and a caller whose opening reached several upstreams acknowledges
    the numbers of one of them only.
    """
    if not flow.upstream_seen or flow.up.ack == records.NO_SEQ:
        return False
    if flow.down.end == records.NO_SEQ:
        return True
    return is_near(flow.up.ack, flow.down.end)


def is_new_data(flow: records.Flow, segment: packets.Segment) -> bool:
    """Return whether a caller's segment has data that was not seen before."""
    if flow.up.end == records.NO_SEQ:
        return True
    return is_after(compute_segment_end(segment), flow.up.end)


def has_new_answer(flow: records.Flow, segment: packets.Segment) -> bool:
    """Return whether an upstream's segment has data that it sends first now.

    Call this before :func:`note_upstream_segment`.
    """
    if not segment.payload_bytes or flow.down.end == records.NO_SEQ:
        return bool(segment.payload_bytes)
    return is_after(compute_segment_end(segment), flow.down.end)


def is_after(first: int, second: int) -> bool:
    """Return whether the first of two sequence numbers is the later one."""
    ahead = (first - second) % SEQ_MODULUS
    return 0 < ahead < SEQ_MODULUS // 2


def is_near(first: int, second: int) -> bool:
    """Return whether two sequence numbers can be of the same flow.

    The initial numbers of two flows are random, so they are far apart.
    """
    ahead = (first - second) % SEQ_MODULUS
    return ahead <= MAX_ACK_DISTANCE or ahead >= SEQ_MODULUS - MAX_ACK_DISTANCE


def is_of_earlier_flow(flow: records.Flow, segment: packets.Segment) -> bool:
    """Return whether a segment acknowledges nothing that this flow sent."""
    if flow.up.end == records.NO_SEQ or not segment.flags & packets.ACK:
        return False
    return not is_near(segment.ack, flow.up.end)


def report_flow(
    state: State,
    flow: records.Flow,
    outcome: verdicts.Outcome,
    fault: verdicts.Fault,
    reason: str,
    now: int,
) -> None:
    """Report how a flow ended, with observations of its packets."""
    since_answer_ms = now - state.last_upstream_packet_ms
    evidence: tuple[tuple[str, str | int], ...] = (
        ('open_ms', now - flow.opened_ms),
        ('last_up_ms_ago', now - flow.last_up_ms),
        ('last_down_ms_ago', now - flow.last_down_ms),
        ('up_repeats', flow.up.retransmissions),
        ('down_repeats', flow.down.retransmissions),
        ('upstream_answered_ms_ago', since_answer_ms),
        ('admission', _describe_admission(flow)),
        ('incarnation', f'{state.number:016x}'),
        ('view', flow.view),
        ('bucket', flow.bucket),
    )
    _add_report(
        state, flow.key, flow.service, outcome, fault, reason, evidence
    )


def report_refusal(
    state: State,
    key: packets.FlowKey,
    service: services.Service,
    fault: verdicts.Fault,
    reason: str,
) -> None:
    """Report a refused opening, with the outcome ``REFUSED_NOT_RUN``."""
    counts = state.counts[state.get_pool(service)]
    evidence: tuple[tuple[str, str | int], ...] = (
        ('open_flows', counts.open_flows),
        ('running', counts.running),
        ('queued', counts.queued),
        ('incarnation', f'{state.number:016x}'),
    )
    outcome = verdicts.Outcome.REFUSED_NOT_RUN
    _add_report(state, key, service.number, outcome, fault, reason, evidence)


def report_unknown_flow(
    state: State,
    key: packets.FlowKey,
    service_number: int,
    fault: verdicts.Fault,
    reason: str,
    evidence: tuple[tuple[str, str | int], ...],
) -> None:
    """Report a flow that no agent knows, with the outcome ``UNKNOWN``.

    The outcome is unknown because no record shows which requests were run. If
    no upstream has the flow any more, its upstream has restarted or has lost
    power.
    """
    outcome = verdicts.Outcome.UNKNOWN
    _add_report(state, key, service_number, outcome, fault, reason, evidence)


def _add_report(
    state: State,
    key: packets.FlowKey,
    service_number: int,
    outcome: verdicts.Outcome,
    fault: verdicts.Fault,
    reason: str,
    evidence: tuple[tuple[str, str | int], ...],
) -> None:
    if len(state.flow_reports) >= MAX_FLOW_REPORTS:
        state.dropped_flow_reports += 1
        return
    verdict = verdicts.Verdict(outcome, fault, reason, evidence)
    state.flow_reports.append(
        agent_state.FlowReport(key, service_number, verdict)
    )


def _record_segment(
    direction: records.Direction, segment: packets.Segment, now: int
) -> None:
    flags = segment.flags
    if flags & packets.ACK:
        direction.ack = segment.ack
    if not segment.payload_bytes and not flags & _FLAGS_TO_ACKNOWLEDGE:
        return
    if segment.seq == direction.seq:
        direction.retransmissions += 1
        return
    if flags & packets.SYN:
        direction.isn = segment.seq
    direction.seq = segment.seq
    direction.end = compute_segment_end(segment)
    direction.retransmissions = 0
    direction.since_ms = now


def compute_segment_end(segment: packets.Segment) -> int:
    """Return the sequence number after a segment's bytes, SYN and FIN.

    SYN and FIN occupy one sequence number each.
    """
    length = segment.payload_bytes
    length += bool(segment.flags & packets.SYN)
    length += bool(segment.flags & packets.FIN)
    return (segment.seq + length) % SEQ_MODULUS


def _describe_admission(flow: records.Flow) -> str:
    if flow.isn == records.NO_OPENING:
        return 'adopted'
    return 'waited' if flow.queued_until_ms else 'at-once'
