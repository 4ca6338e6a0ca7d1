"""Openings for which a home may not decide yet, held for a moment.

Without this a caller waits for its TCP to send the opening again, a second
or more, although the other members acknowledge a view within a fraction of
that. What is held is decided again as if it had just arrived.
"""

import dataclasses

from gentianspoke.core import frames
from gentianspoke.core import packets
from gentianspoke.decisions import actions
from gentianspoke.decisions.agent import opening
from gentianspoke.decisions.agent import records
from gentianspoke.decisions.agent import state as agent_state

# A caller's TCP sends its opening again after about this time.
MAX_PARKED_MS = 1_000
MAX_PARKED_OPENINGS = 128
RETRY_INTERVAL_MS = 100
AWAITING_LEASE = 'awaiting-lease'

State = agent_state.AgentState


def park_if_waiting(
    state: State,
    decided: list[actions.Action],
    forward: frames.Forward,
    packet: packets.Packet,
    now: int,
) -> None:
    """Hold an opening that was dropped only because it came too early."""
    match decided, packet:
        case [actions.Drop(reason=reason)], packets.Segment():
            if (
                reason == AWAITING_LEASE
                and len(state.parked) < MAX_PARKED_OPENINGS
            ):
                parked = records.Parked(forward, packet, now)
                state.parked[packet.key] = parked


def retry(state: State, now: int) -> list[actions.Action]:
    """Return what is decided now on the openings that were held."""
    if not state.parked or now - state.retried_ms < RETRY_INTERVAL_MS:
        return []
    state.retried_ms = now
    result: list[actions.Action] = []
    for key, parked in tuple(state.parked.items()):
        if now - parked.since_ms >= MAX_PARKED_MS:
            del state.parked[key]
            continue
        decided = _decide(state, parked, now)
        match decided:
            case actions.Drop(reason=reason) if reason == AWAITING_LEASE:
                continue
        del state.parked[key]
        result.append(decided)
    return result


def _decide(state: State, parked: records.Parked, now: int) -> actions.Action:
    forward = parked.forward
    service = state.served.get(forward.service)
    if service is None or forward.pool not in state.rankings:
        return actions.Drop('other-service')
    waited_ms = now - parked.since_ms
    wait_left_ms = max(0, forward.wait_left_ms - waited_ms)
    forward = dataclasses.replace(forward, wait_left_ms=wait_left_ms)
    return opening.decide_opening(state, service, forward, parked.packet, now)
