"""The agent's decisions, by the event that asks for one."""

from gentianspoke.core import frames
from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.core import verdicts
from gentianspoke.decisions import actions
from gentianspoke.decisions.agent import admission
from gentianspoke.decisions.agent import closing
from gentianspoke.decisions.agent import established
from gentianspoke.decisions.agent import opening
from gentianspoke.decisions.agent import records
from gentianspoke.decisions.agent import state as agent_state
from gentianspoke.decisions import hashing

# How long the record of a closed flow answers late packets.
LINGER_MS = 10_000

State = agent_state.AgentState
Actions = list[actions.Action]


def on_forward(
    state: State, forward: frames.Forward, packet: packets.Packet, now: int
) -> Actions:
    """Return what to do with a packet that an entry or agent sent."""
    if forward.target != state.number:
        return [actions.Drop('other-incarnation')]
    service = state.served.get(forward.service)
    if service is None or forward.service not in state.rankings:
        return [actions.Drop('other-service')]
    if not belongs(service, packet.key):
        return [actions.Drop('wrong-service')]
    match packet:
        case packets.Segment() if packets.is_opening(packet):
            return [
                opening.decide_opening(state, service, forward, packet, now)
            ]
        case packets.Segment():
            return established.decide_established(
                state, service, forward, packet, now
            )
        case packets.Datagram():
            return [
                opening.decide_opening(state, service, forward, packet, now)
            ]


def on_reply(state: State, packet: packets.Packet, now: int) -> Actions:
    """Return what to do with a packet of the upstream.

    The packet's key is already turned to the caller's point of view.
    """
    flow = state.flows.get(packet.key)
    if flow is None:
        return _on_unknown_reply(state, packet, now)
    if flow.phase is records.Phase.QUEUED:
        return [actions.Drop('late-answer')]
    flow.down_ms = now
    unconfirmed = flow.unconfirmed
    if unconfirmed is not None:
        flow.unconfirmed = None
        if _is_reset(packet):
            return [established.disown(state, flow, unconfirmed, now)]
    answer: Actions = [actions.Answer(packet.raw)]
    match packet:
        case packets.Segment():
            closing.note_down(state, flow, packet)
            answer.extend(start_queued(state, now))
    return answer


def on_load(state: State, report: frames.LoadReport) -> None:
    """Take another member's counts as its last known load."""
    state.loads[(report.service, report.sender)] = report


def on_tick(state: State, now: int) -> Actions:
    """Return what time alone brings about; call it every 50 ms or so."""
    result: Actions = []
    for flow in tuple(state.queue):
        if now >= flow.queued_until_ms:
            result.extend(_expire_queued(state, flow))
    result.extend(start_queued(state, now))
    for flow in tuple(state.flows.values()):
        _forget_if_due(state, flow, now)
    for key, diverted in tuple(state.diversions.items()):
        if now - diverted.used_ms >= _idle_ms(state, diverted.service):
            del state.diversions[key]
    return result


def start_queued(state: State, now: int) -> Actions:
    """Return the deliveries of queued openings that got a slot."""
    result: Actions = []
    for flow in admission.start_queued(state, now):
        if flow.held is not None:
            result.append(actions.Deliver(flow.held.raw))
            flow.held = None
    return result


def belongs(service: services.Service, key: packets.FlowKey) -> bool:
    """Return whether a flow is addressed to the service."""
    return (
        packets.key_protocol(key) == service.protocol
        and packets.service_address(key) == service.address
        and packets.service_port(key) in service.ports
    )


def oldest_flow_view(state: State, service: int) -> int:
    """Return the view of the oldest flow outside the own buckets.

    0 where there is none; see :class:`gentianspoke.core.views.Member`.
    """
    ranking = state.rankings.get(service)
    if ranking is None:
        return 0
    placed: list[records.Flow | records.Diversion] = [
        flow
        for flow in state.flows.values()
        if flow.phase is not records.Phase.CLOSED
    ]
    placed.extend(state.diversions.values())
    views = [
        item.view
        for item in placed
        if item.service == service
        and not _is_home(state, ranking, item.bucket)
    ]
    return min(views, default=0)


def _is_home(state: State, ranking: hashing.Ranking, bucket: int) -> bool:
    home = ranking.home(bucket)
    return home is not None and home.number == state.number


def _on_unknown_reply(
    state: State, packet: packets.Packet, now: int
) -> Actions:
    endpoint = (
        packets.key_protocol(packet.key),
        packets.service_address(packet.key),
        packets.service_port(packet.key),
    )
    service = state.endpoints.get(endpoint)
    if not state.recovering or service is None or _is_reset(packet):
        return [actions.Drop('late-answer')]
    bucket = hashing.bucket_of(packet.key, service.number)
    established.adopt(state, service, bucket, packet.key, now)
    return [actions.Answer(packet.raw)]


def _is_reset(packet: packets.Packet) -> bool:
    match packet:
        case packets.Segment(flags=flags):
            return bool(flags & packets.RST)
        case packets.Datagram():
            return False


def _expire_queued(state: State, flow: records.Flow) -> Actions:
    held = flow.held
    admission.forget_flow(state, flow)
    if held is None:
        return []
    verdict = verdicts.Verdict(
        verdicts.Outcome.REFUSED_NOT_RUN,
        verdicts.Fault.UPSTREAM,
        'no slot became free within the wait limit',
    )
    report = agent_state.FlowReport(flow.key, flow.service, verdict)
    state.reports.append(report)
    return [actions.Refuse(held, 'wait-expired')]


def _forget_if_due(state: State, flow: records.Flow, now: int) -> None:
    quiet_ms = now - max(flow.up_ms, flow.down_ms)
    if flow.phase is records.Phase.CLOSED and quiet_ms >= LINGER_MS:
        admission.forget_flow(state, flow)
    elif quiet_ms >= _idle_ms(state, flow.service):
        admission.forget_flow(state, flow)


def _idle_ms(state: State, service: int) -> int:
    entry = state.served.get(service)
    return entry.limits.idle_ms if entry else LINGER_MS
