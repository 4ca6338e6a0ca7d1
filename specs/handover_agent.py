"""An agent's verdicts, taken by the code's own ``ownership``."""

import dataclasses
import functools

from gentianspoke.core import frames
from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.core import views
from gentianspoke.decisions.agent import ownership
from gentianspoke.decisions.agent import state as agent_state
from gentianspoke.decisions import hashing
from specs import handover_leader
from specs import handover_state as states

SERVICE = services.Service(
    number=states.SERVICE_NUMBER,
    name='bookings',
    owner='owner',
    address=bytes(4),
    ports=(443,),
    protocol=packets.TCP,
    traffic=services.Booking(idempotent=False),
    limits=services.Limits(),
    version=1,
)


@functools.cache
def apply_view(
    view: views.View, number: int, past: states.Seen, trusting: bool
) -> states.Seen:
    """Return what an agent draws from a view.

    ``past`` is what it drew from its earlier views without a gap.
    ``trusting`` takes all members to have acknowledged the view.
    """
    if trusting:
        view = _acknowledged(view)
    bucket = bucket_of_order(3)
    state, ranking = _open(view, number, past)
    home = ranking.home(bucket)
    if home is None:
        return states.Seen(view.number)
    kept = past.home == home.number and past.since
    seen = states.Seen(
        number=view.number,
        home=home.number,
        since=past.since if kept else view.number,
        decides_since=ownership.home_since(
            state, ranking, bucket, home.number
        ),
    )
    if home.number != number:
        return seen
    asked = ownership.members_to_ask(state, ranking, bucket)
    return dataclasses.replace(
        seen,
        may_place=ownership.may_place(state, SERVICE, ranking, bucket, now=0),
        asked=tuple(member.number for member in asked),
        live=tuple(item.number for item in view.members if item.is_live),
    )


@functools.cache
def accepts_offer(
    seen: states.Seen, number: int, decider: int, decided: int
) -> bool:
    """Return whether an agent with a valid lease takes an offer."""
    if not seen.home:
        return False
    home = handover_leader.live_member(seen.home, seen.decides_since)
    view = views.View(states.SERVICE_NUMBER, seen.decides_since, (home,))
    state, ranking = _open(view, number, states.Seen())
    offer = frames.Forward(
        service=states.SERVICE_NUMBER,
        view=decided,
        bucket=bucket_of_order(3),
        target=number,
        packet=b'',
        purpose=frames.Purpose.OFFER,
        decider=decider,
    )
    return ownership.accepts_offer(state, SERVICE, ranking, offer, now=0)


@functools.cache
def is_shown_not_live(view: views.View, number: int) -> bool:
    """Return whether a view tells an agent that it has to join anew."""
    state, _ = _open(view, number, states.Seen())
    return state.is_shown_not_live()


@functools.cache
def bucket_of_order(count: int) -> int:
    """Return the first bucket whose order is 1, 2, ... ``count``."""
    members = tuple(
        handover_leader.live_member(number, 1)
        for number in range(1, count + 1)
    )
    ranking = hashing.Ranking(views.View(1, 1, members))
    for bucket in range(hashing.BUCKETS_PER_SERVICE):
        order = [member.number for member in ranking.order(bucket)]
        if order == sorted(order):
            return bucket
    raise ValueError(f'no bucket has that order; use fewer than {count}')


def _open(
    view: views.View, number: int, past: states.Seen
) -> tuple[agent_state.AgentState, hashing.Ranking]:
    state = agent_state.AgentState(
        number=number,
        zone='',
        capacity=agent_state.Capacity(1, 1, 0),
        started_ms=0,
        lease_until_ms=1,
    )
    state.set_catalogue([SERVICE])
    if past.home and past.since < view.number:
        home = handover_leader.live_member(past.home, past.since)
        state.set_view(views.View(view.service, past.since, (home,)))
    state.set_view(view)
    return state, state.rankings[view.service]


def _acknowledged(view: views.View) -> views.View:
    members = tuple(
        dataclasses.replace(item, acked_view=view.number)
        for item in view.members
    )
    return dataclasses.replace(view, members=members)
