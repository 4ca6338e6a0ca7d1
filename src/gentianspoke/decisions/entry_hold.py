"""Openings that an entry holds because it cannot route them yet.

After a loss of power, all callers open their flows again while the entries and
the upstreams are still starting. An entry whose feed is not confirmed drops
openings, and one that knows no live member of a pool refuses them, although it
could route them a moment later. Such openings are held for a short time and
decided again when the feed brings an update, the most urgent services first.
After that time they are dropped without a refusal, and the caller's next copy
is decided anew.

The caller sends its opening again after 200 and 600 ms, perhaps through
another entry. The newest copy of an opening replaces an older one that is
held. The first transmission is held only until the next copy is due, and no
held opening is refused: an upstream may have accepted a later copy, and a
refusal would tell the caller that its request did not run.
"""

import dataclasses
import enum

from gentianspoke.core import packets
from gentianspoke.decisions import actions
from gentianspoke.decisions import routing

# How long after its start an entry holds openings for a pool without a live
# member. Agents join within about two seconds of their start. After that, an
# opening is refused at once if the pool has no live member.
START_PERIOD_MS = 5_000
# How long a first transmission is held at most. An agent may refuse it, so it
# must not arrive after a copy that the caller sends 200 ms later.
MAX_FIRST_HOLD_MS = 180
MAX_HELD_OPENINGS = 256
# Priority of an opening whose service is not known, the least urgent.
LOWEST_PRIORITY = 1 << 16
NOT_CONFIRMED = 'not-confirmed'
# Reasons for which a view may be missing.
WAIT_REASONS = frozenset({NOT_CONFIRMED, 'no-view', 'no-upstream'})


class Result(enum.Enum):
    """What became of an opening that could not be routed."""

    HELD = 'held'
    OVERFLOW = 'overflow'


@dataclasses.dataclass(frozen=True, slots=True)
class HeldOpening:
    """An opening, the address that it came from, and when it came."""

    packet: packets.Segment
    sender_host: str
    sender_port: int
    since_ms: int


@dataclasses.dataclass(slots=True)
class HoldState:
    """The openings that one entry holds, by flow.

    ``hold_ms`` is the setting of the same name, and ``started_ms`` the time of
    the entry's start.
    """

    hold_ms: int
    started_ms: int
    openings: dict[packets.FlowKey, HeldOpening] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True, slots=True)
class DueOpenings:
    """The openings to decide again, and the number of those that expired."""

    openings: tuple[HeldOpening, ...]
    expired_count: int


def may_hold(
    state: HoldState,
    action: actions.Action,
    packet: packets.Packet,
    now: int,
) -> bool:
    """Return whether a packet is to be held instead of carrying out an action.

    This is so for an opening that has no live member to go to. If the entry's
    feed is confirmed, its start must be recent.
    """
    match packet:
        case packets.Segment() if packets.is_opening(packet):
            pass
        case _:
            return False
    is_starting = now - state.started_ms < START_PERIOD_MS
    match action:
        case actions.SendFrame(member=member):
            return is_starting and not member.is_live
        case actions.Drop(reason=reason) | actions.Refuse(reason=reason):
            if reason == NOT_CONFIRMED:
                return True
            return is_starting and reason in WAIT_REASONS
        case _:
            return False


def hold(state: HoldState, opening: HeldOpening) -> Result:
    """Hold an opening in place of an older copy, unless too many are held."""
    key = opening.packet.key
    if state.openings.pop(key, None) is None:
        _remove_expired(state, opening.since_ms)
        if len(state.openings) >= MAX_HELD_OPENINGS:
            return Result.OVERFLOW
    state.openings[key] = opening
    return Result.HELD


def _remove_expired(state: HoldState, now: int) -> None:
    """Remove the oldest openings if they can no longer be decided again."""
    while len(state.openings) >= MAX_HELD_OPENINGS:
        key, oldest = next(iter(state.openings.items()))
        if now - oldest.since_ms < _get_limit_ms(state, oldest):
            return
        del state.openings[key]


def pop_openings(
    state: HoldState, table: routing.RouteTable, now: int
) -> DueOpenings:
    """Return all held openings that have not expired, and hold none.

    Openings of more urgent services come first, and older ones first among
    those of one priority. The caller holds those again that it still cannot
    route.
    """
    held_openings = list(state.openings.values())
    state.openings.clear()
    kept_openings = [
        opening
        for opening in held_openings
        if now - opening.since_ms < _get_limit_ms(state, opening)
    ]
    kept_openings.sort(key=lambda opening: _get_priority(table, opening))
    expired_count = len(held_openings) - len(kept_openings)
    return DueOpenings(tuple(kept_openings), expired_count)


def decide_again(action: actions.Action) -> actions.Action:
    """Return the action for an opening that was held, given the usual one."""
    match action:
        case actions.Refuse(reason=reason):
            return actions.Drop(reason)
        case _:
            return action


def _get_limit_ms(state: HoldState, opening: HeldOpening) -> int:
    if packets.is_retransmission(opening.packet):
        return state.hold_ms
    return min(state.hold_ms, MAX_FIRST_HOLD_MS)


def _get_priority(table: routing.RouteTable, opening: HeldOpening) -> int:
    endpoint = routing.get_endpoint(opening.packet.key)
    service = table.services_by_endpoint.get(endpoint)
    return service.priority if service is not None else LOWEST_PRIORITY
