"""The decisions of the model's agents, made by the module ``ownership``."""

import dataclasses
import functools

from gentianspoke.core import frames
from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.core import views
from gentianspoke.decisions.agent import ownership
from gentianspoke.decisions.agent import state as agent_state
from gentianspoke.decisions import hashing
from gentianspoke.decisions import member_ranking
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
    view: views.View,
    number: int,
    previous: states.AppliedView,
    assume_acknowledged: bool,
) -> states.AppliedView:
    """Return what an agent derives from a view.

    ``previous`` is what the agent derived from the view that it applied
    before, or ``AppliedView()`` if it may have missed views since.
    ``assume_acknowledged`` injects a mistake: all members count as having
    acknowledged the view.
    """
    if assume_acknowledged:
        view = _add_acknowledgements(view)
    # The model's bucket, which ranks up to three agents by their numbers.
    bucket = find_ordered_bucket(3)
    state, ranking = _build_state(view, number, previous)
    home = ranking.home(bucket)
    if home is None:
        return states.AppliedView(view.number)
    keeps_home = previous.home == home.number and previous.since
    applied = states.AppliedView(
        number=view.number,
        home=home.number,
        since=previous.since if keeps_home else view.number,
        decides_since=ownership.find_home_start_view(
            state, ranking, bucket, home.number
        ),
    )
    if home.number != number:
        return applied
    asked = ownership.find_members_to_ask(state, ranking, bucket)
    return dataclasses.replace(
        applied,
        may_place=ownership.may_place(state, SERVICE, ranking, bucket, now=0),
        asked=tuple(member.number for member in asked),
        live=tuple(member.number for member in view.members if member.is_live),
    )


@functools.cache
def accepts_offer(
    applied: states.AppliedView, number: int, decider: int, decided_view: int
) -> bool:
    """Return whether an agent with a valid lease accepts an offer.

    The agent ``decider`` made the offer under the view ``decided_view``.
    """
    if not applied.home:
        return False
    # The production code derives the decision from the home and from the view
    # since which it has been the home, so a view with only this home suffices.
    home = handover_leader.build_live_member(
        applied.home, applied.decides_since
    )
    view = views.View(states.SERVICE_NUMBER, applied.decides_since, (home,))
    state, ranking = _build_state(view, number, states.AppliedView())
    offer = frames.Forward(
        service=states.SERVICE_NUMBER,
        view=decided_view,
        bucket=find_ordered_bucket(3),
        target=number,
        packet=b'',
        purpose=frames.Purpose.OFFER,
        decider=decider,
    )
    return ownership.may_accept_offer(state, SERVICE, ranking, offer, now=0)


@functools.cache
def is_listed_as_not_live(view: views.View, number: int) -> bool:
    """Return whether a view lists an agent as a member that is not live.

    A joining agent waits for such a view before it announces itself as live.
    """
    state, _ = _build_state(view, number, states.AppliedView())
    return state.is_listed_as_not_live()


@functools.cache
def find_ordered_bucket(count: int) -> int:
    """Return the first bucket that ranks members as 1, 2, ... ``count``.

    Raises ``ValueError`` if no bucket has this order.
    """
    members = tuple(
        handover_leader.build_live_member(number, 1)
        for number in range(1, count + 1)
    )
    ranking = member_ranking.Ranking(views.View(1, 1, members))
    for bucket in range(hashing.BUCKETS_PER_SERVICE):
        order = [member.number for member in ranking.rank_members(bucket)]
        if order == sorted(order):
            return bucket
    raise ValueError(
        f'no bucket ranks {count} members in order; use fewer members'
    )


def _build_state(
    view: views.View, number: int, previous: states.AppliedView
) -> tuple[agent_state.AgentState, member_ranking.Ranking]:
    state = agent_state.AgentState(
        number=number,
        zone='',
        capacity=agent_state.Capacity(1, 1, 0),
        started_ms=0,
        lease_until_ms=1,
    )
    state.set_catalogue([SERVICE])
    # An agent derives from the earlier views that it remembers since which
    # view the present home has been the home. A single earlier view with only
    # this home gives the same result.
    if previous.home and previous.since < view.number:
        home = handover_leader.build_live_member(previous.home, previous.since)
        state.set_view(views.View(view.service, previous.since, (home,)))
    state.set_view(view)
    return state, state.rankings[view.service]


def _add_acknowledgements(view: views.View) -> views.View:
    members = tuple(
        dataclasses.replace(member, acked_view=view.number)
        for member in view.members
    )
    return dataclasses.replace(view, members=members)
