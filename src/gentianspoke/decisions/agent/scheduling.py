"""Decision whether a caller's complete request waits beside its upstream.

Only the last packet of a request is held, and what follows it in its flow; no
packet is altered. The upstream starts to work when the last packet arrives.
``request_queue`` decides the order.
"""

from gentianspoke.core import frames
from gentianspoke.core import packets
from gentianspoke.decisions import actions
from gentianspoke.decisions.agent import evidence
from gentianspoke.decisions.agent import records
from gentianspoke.decisions.agent import request_queue
from gentianspoke.decisions.agent import slot_usage
from gentianspoke.decisions.agent import state as agent_state

ENDING_FLAGS = packets.FIN | packets.RST
# A caller gives an opening up after this time.
MAX_OPENING_MS = 1_400

State = agent_state.AgentState
Actions = list[actions.Action]


def hold_request(
    state: State,
    flow: records.Flow,
    forward: frames.Forward,
    segment: packets.Segment,
    now: int,
) -> actions.Action | None:
    """Return the action for a segment that waits, ``None`` if it does not.

    A segment that does not wait is delivered at once.
    """
    queue = state.requests
    if not queue.is_enabled:
        return None
    request = queue.held.get(flow.key)
    if request is not None:
        held_packet = records.HeldPacket(forward, segment)
        return _decide_beside_held(queue, request, held_packet)
    if not _is_request_to_schedule(flow, segment):
        return None
    if not queue.held and _has_room(state, flow, now):
        return None
    _hold(state, flow, records.HeldPacket(forward, segment), now)
    return actions.Hold('request-held')


def note_answer(state: State, flow: records.Flow, now: int) -> None:
    """Free the slot of a flow whose answer has begun."""
    queue = state.requests
    is_refusal = queue.is_enabled and request_queue.note_answer(
        queue, flow.key, state.capacity.slots, now
    )
    # A refusal is not counted in the mean work of a request, and it shows no
    # failure of the upstream: the queue forwards more than there is room for.
    if is_refusal and state.even_load is None:
        flow.slot_reserved = flow.holds_slot
    slot_usage.free_slot(state, flow, now, has_answer=not is_refusal)


def start_requests(state: State, now: int) -> Actions:
    """Start held requests while the upstream has room; return the actions.

    If more are held than can start in time, the least urgent ones are
    forwarded too.
    """
    result = _forward_surplus(state, now)
    queue = state.requests
    while queue.held:
        flow = state.flows.get(next(iter(queue.held)))
        if flow is None or not _has_room(state, flow, now):
            return result
        request = request_queue.take_next(queue, now)
        result.extend(_start(state, request, 'slot-free', now))
    return result


def run_due(state: State, now: int) -> Actions:
    """Return the actions for held requests whose time is over at ``now``."""
    queue = state.requests
    if not queue.held:
        return []
    result: Actions = []
    for request in tuple(queue.held.values()):
        if now >= request.start_by_ms or _is_expired(request, now):
            del queue.held[request.key]
            if not _is_expired(request, now):
                request_queue.note_surplus(queue, now)
            result.extend(_start(state, request, 'hold-limit', now))
    result.extend(start_requests(state, now))
    return result


def _forward_surplus(state: State, now: int) -> Actions:
    queue = state.requests
    result: Actions = []
    while queue.held:
        request = next(reversed(queue.held.values()))
        flow = state.flows.get(request.key)
        if flow is None or not request_queue.is_overloaded(
            queue,
            request,
            state.capacity.slots,
            state.counts[flow.pool].mean_work_ms,
        ):
            return result
        surplus = request_queue.take_surplus(queue)
        request_queue.note_surplus(queue, now)
        result.extend(_start(state, surplus, 'surplus', now))
    return result


def _is_request_to_schedule(
    flow: records.Flow, segment: packets.Segment
) -> bool:
    """Return whether the segment completes a request that may wait.

    A segment that closes the flow does not wait, nor one of a flow that the
    upstream has not shown to be its own: if another upstream has the flow, the
    segment must come back at once. A further request on a flow whose last one
    has no answer yet is sent behind it.
    """
    if not packets.ends_message(segment) or segment.flags & ENDING_FLAGS:
        return False
    if not evidence.is_new_data(flow, segment):
        return False
    if flow.unconfirmed_forward is not None or not flow.upstream_seen:
        return False
    if flow.holds_slot and not flow.slot_reserved:
        return False
    return flow.down.end == records.NO_SEQ or evidence.is_near(
        segment.ack, flow.down.end
    )


def _has_room(state: State, flow: records.Flow, now: int) -> bool:
    mean_work_ms = state.counts[flow.pool].mean_work_ms
    return request_queue.has_room(
        state.requests, state.capacity.slots, mean_work_ms, now
    )


def _hold(
    state: State,
    flow: records.Flow,
    held_packet: records.HeldPacket,
    now: int,
) -> None:
    service = state.services_by_number.get(flow.service)
    request = request_queue.make_request(
        service, held_packet, _find_begin_ms(state, flow, now), now
    )
    # The request has arrived, so the slot that was reserved for it is free.
    slot_usage.free_slot(state, flow, now)
    state.requests.held[flow.key] = request
    flow.last_up_ms = now
    # The rest is noted when the segment is delivered, so that a copy of it
    # that comes after its time still counts as new.
    flow.up.ack = held_packet.packet.ack


def _find_begin_ms(state: State, flow: records.Flow, now: int) -> int:
    """Return when the caller began its request, as far as is known.

    The first request of a flow began with the opening, unless the flow was
    idle for longer than an opening takes.
    """
    is_first = (
        flow.isn != records.NO_OPENING and not flow.answered_after_syn_ack
    )
    if not is_first or now - flow.opened_ms >= MAX_OPENING_MS:
        return now
    return flow.opened_ms


def _decide_beside_held(
    queue: request_queue.RequestQueue,
    request: request_queue.HeldRequest,
    held_packet: records.HeldPacket,
) -> actions.Action | None:
    """Return the action for a further segment of a flow with a held request.

    Segments without data and earlier data are delivered. Later data is held
    behind the request, so that it stays in order.
    """
    segment = held_packet.packet
    if segment.flags & packets.RST:
        # If the reset is current, the flow ends and its request is discarded.
        return None
    if segment.flags & packets.FIN:
        request_queue.discard(queue, request.key, 'caller-closed')
        # The upstream would get the FIN before the data. If the caller still
        # sends, its retransmissions come in order.
        return actions.Drop('caller-closed')
    if not segment.payload_bytes:
        return None
    first_seq = request.packets[0].packet.seq
    end = evidence.compute_segment_end(segment)
    if not evidence.is_after(end, first_seq):
        return None
    last_end = evidence.compute_segment_end(request.packets[-1].packet)
    if evidence.is_after(last_end, segment.seq):
        return actions.Drop('request-held')
    if len(request.packets) >= records.MAX_HELD_PACKETS:
        return actions.Drop('request-overflow')
    request.packets.append(held_packet)
    return actions.Hold('request-held')


def _start(
    state: State, request: request_queue.HeldRequest, reason: str, now: int
) -> Actions:
    queue = state.requests
    flow = state.flows.get(request.key)
    if flow is None or _is_expired(request, now):
        queue.counts['expired' if flow else 'flow-ended'] += 1
        return [actions.Drop('request-expired') for _ in request.packets]
    queue.counts[reason] += 1
    queue.waits_ms.append(now - request.held_ms)
    slot_usage.begin_request(state, flow, now)
    result: Actions = []
    for held_packet in request.packets:
        evidence.note_caller_segment(flow, held_packet.packet, now)
        result.append(actions.Deliver(held_packet.packet.raw))
    return result


def _is_expired(request: request_queue.HeldRequest, now: int) -> bool:
    return request.expires_ms is not None and now >= request.expires_ms
