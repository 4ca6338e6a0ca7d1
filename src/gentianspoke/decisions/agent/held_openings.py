"""Openings that are held for a short time until their home may place them.

The home of an opening is the first live member of the opening's bucket, and
decides which upstream gets the flow. If the request must run at most once, the
home may place the opening only while it holds its lease, and only after the
other members have acknowledged a view in which it is the home. They usually do
so within a fraction of a second. If the opening were dropped, it would arrive
again only when the caller's TCP retransmits it, a second or more later. A held
opening is decided again as if it had just arrived, except that the time for
which it was held is subtracted from the time for which it may wait for a slot.
"""

import dataclasses

from gentianspoke.core import frames
from gentianspoke.core import packets
from gentianspoke.decisions import actions
from gentianspoke.decisions.agent import opening
from gentianspoke.decisions.agent import records
from gentianspoke.decisions.agent import state as agent_state

# A caller's TCP retransmits its opening after about this time.
MAX_HOLD_MS = 1_000
MAX_HELD_OPENINGS = 128
RETRY_INTERVAL_MS = 100
AWAITING_LEASE = 'awaiting-lease'

State = agent_state.AgentState


def hold_if_awaiting_lease(
    state: State,
    result: list[actions.Action],
    forward: frames.Forward,
    packet: packets.Packet,
    now: int,
) -> None:
    """Hold an opening that was dropped because its home may not place it yet.

    ``result`` holds the actions that were decided for the opening. At most
    ``MAX_HELD_OPENINGS`` openings are held; further ones are only dropped.
    """
    match result, packet:
        case [actions.Drop(reason=reason)], packets.Segment():
            if (
                reason == AWAITING_LEASE
                and len(state.held_openings) < MAX_HELD_OPENINGS
            ):
                held_opening = records.HeldOpening(forward, packet, now)
                state.held_openings[packet.key] = held_opening


def retry_openings(state: State, now: int) -> list[actions.Action]:
    """Return the actions for held openings that can now be decided.

    Openings are tried again every ``RETRY_INTERVAL_MS`` and removed after
    ``MAX_HOLD_MS``.
    """
    if (
        not state.held_openings
        or now - state.openings_retried_ms < RETRY_INTERVAL_MS
    ):
        return []
    state.openings_retried_ms = now
    result: list[actions.Action] = []
    for key, held_opening in tuple(state.held_openings.items()):
        if now - held_opening.since_ms >= MAX_HOLD_MS:
            del state.held_openings[key]
            continue
        action = _decide_held_opening(state, held_opening, now)
        match action:
            case actions.Drop(reason=reason) if reason == AWAITING_LEASE:
                continue
        del state.held_openings[key]
        result.append(action)
    return result


def _decide_held_opening(
    state: State, held_opening: records.HeldOpening, now: int
) -> actions.Action:
    forward = held_opening.forward
    service = state.services_by_number.get(forward.service)
    if service is None or forward.pool not in state.rankings:
        return actions.Drop('other-service')
    waited_ms = now - held_opening.since_ms
    wait_left_ms = max(0, forward.wait_left_ms - waited_ms)
    forward = dataclasses.replace(forward, wait_left_ms=wait_left_ms)
    return opening.decide_opening(
        state, service, forward, held_opening.packet, now
    )
