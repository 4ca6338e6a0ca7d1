"""Holding of openings for a short time until their home may place them.

A home may place an opening only once it holds the lease. The other members
acknowledge a view within a fraction of a second. If the opening were
dropped, the caller would have to wait a second or more until its TCP
retransmits it. A held opening is decided again as if it had just arrived.
"""

import dataclasses

from gentianspoke.core import frames
from gentianspoke.core import packets
from gentianspoke.decisions import actions
from gentianspoke.decisions.agent import opening
from gentianspoke.decisions.agent import records
from gentianspoke.decisions.agent import state as agent_state

# A caller's TCP retransmits its opening after about this time.
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
    """Hold an opening that was dropped only because the lease is missing.

    At most ``MAX_PARKED_OPENINGS`` openings are held; a further one is not
    kept.
    """
    match decided, packet:
        case [actions.Drop(reason=reason)], packets.Segment():
            if (
                reason == AWAITING_LEASE
                and len(state.parked) < MAX_PARKED_OPENINGS
            ):
                parked = records.ParkedOpening(forward, packet, now)
                state.parked[packet.key] = parked


def retry(state: State, now: int) -> list[actions.Action]:
    """Return the actions for held openings that can now be decided.

    Openings are tried again every ``RETRY_INTERVAL_MS`` and removed after
    ``MAX_PARKED_MS``.
    """
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


def _decide(
    state: State, parked: records.ParkedOpening, now: int
) -> actions.Action:
    forward = parked.forward
    service = state.served.get(forward.service)
    if service is None or forward.pool not in state.rankings:
        return actions.Drop('other-service')
    waited_ms = now - parked.since_ms
    wait_left_ms = max(0, forward.wait_left_ms - waited_ms)
    forward = dataclasses.replace(forward, wait_left_ms=wait_left_ms)
    return opening.decide_opening(state, service, forward, parked.packet, now)
