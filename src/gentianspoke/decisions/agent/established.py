"""What an agent does with a packet of a flow that is already open."""

from gentianspoke.core import frames
from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.decisions import actions
from gentianspoke.decisions.agent import adoption
from gentianspoke.decisions.agent import closing
from gentianspoke.decisions.agent import evidence
from gentianspoke.decisions.agent import finding
from gentianspoke.decisions.agent import ownership
from gentianspoke.decisions.agent import passing
from gentianspoke.decisions.agent import records
from gentianspoke.decisions.agent import silence
from gentianspoke.decisions.agent import state as agent_state

# Members asked for an unknown flow; further hops are left for adoption.
TRAIL_AT_MOST = 12

State = agent_state.AgentState


def decide_established(
    state: State,
    service: services.Service,
    forward: frames.Forward,
    segment: packets.Segment,
    now: int,
) -> list[actions.Action]:
    """Return what becomes of a segment that opens nothing."""
    flow = state.flows.get(segment.key)
    if flow is not None and flow.by_request:
        return finding.decide_known(state, flow, forward, segment, now)
    if flow is not None:
        return _decide_known(state, flow, segment, now)
    if service.handshake:
        return finding.find_owner(state, service, forward, segment, now)
    if forward.purpose is frames.Purpose.ADOPT:
        return [adoption.try_adoption(state, service, forward, segment, now)]
    passed = passing.pass_to_target(state, forward, segment, now)
    if passed is not None:
        return [passed]
    return [walk_trail(state, service, forward, segment, now)]


def _decide_known(
    state: State, flow: records.Flow, segment: packets.Segment, now: int
) -> list[actions.Action]:
    match flow.phase:
        case records.Phase.OPEN:
            evidence.note_up(flow, segment, now)
            delivered: list[actions.Action] = [actions.Deliver(segment.raw)]
            if flow.up.repeats >= silence.REPEATS:
                delivered.extend(silence.check_up(state, flow, now))
            if segment.flags & (packets.FIN | packets.RST):
                closing.note_up(state, flow, segment, now)
            return delivered
        case records.Phase.QUEUED:
            return closing.cancel_queued(state, flow, segment, now)
        case records.Phase.CLOSED:
            return [actions.Deliver(segment.raw)]
        case records.Phase.REFUSED:
            return [actions.Drop('refused-before')]


def walk_trail(
    state: State,
    service: services.Service,
    forward: frames.Forward,
    packet: packets.Packet,
    now: int,
) -> actions.Action:
    """Pass a packet of an unknown flow to the next member to ask."""
    ranking = state.rankings[forward.pool]
    order = ranking.order(forward.bucket)
    following = ownership.next_member_to_ask(
        order, forward.tried, state.number
    )
    if following is not None and len(forward.tried) < TRAIL_AT_MOST:
        purpose = frames.Purpose.ROUTE
        return passing.pass_to(state, following, forward, purpose)
    return adoption.end_search(state, service, forward, packet, now)
