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


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """What a home with a valid lease may do in a view.

    ``since`` is the view since which it is the home; ``asked`` are the
    members that it asks before it places.
    """

    may_place: bool
    since: int
    asked: tuple[int, ...]


@functools.cache
def verdict(
    view: views.View, number: int, since: int, joining: bool, trusting: bool
) -> Verdict:
    """Return the verdict of the code, without regard to the lease.

    ``trusting`` takes all members to have acknowledged the view.
    """
    if trusting:
        view = _acknowledged(view)
    state, ranking = _open(view, number, since, joining)
    if home_of(view) != number:
        return Verdict(False, 0, ())
    bucket = bucket_of_order(3)
    asked = ownership.members_to_ask(state, ranking, bucket)
    return Verdict(
        ownership.may_place(state, SERVICE, ranking, bucket, now=0),
        ownership.home_since(state, ranking, bucket),
        tuple(member.number for member in asked),
    )


@functools.cache
def accepts_offer(
    view: views.View, number: int, joining: bool, decider: int, decided: int
) -> bool:
    """Return whether an agent with a valid lease takes an offer."""
    state, ranking = _open(view, number, 0, joining)
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
def home_of(view: views.View) -> int:
    """Return the home of the bucket, 0 without one."""
    home = hashing.Ranking(view).home(bucket_of_order(3))
    return home.number if home else 0


@functools.cache
def is_shown_not_live(view: views.View, number: int) -> bool:
    """Return whether a view tells an agent that it has to join anew."""
    state, _ = _open(view, number, 0, True)
    return state.is_shown_not_live()


@functools.cache
def bucket_of_order(count: int) -> int:
    """Return the first bucket whose order is 1, 2, ... ``count``."""
    report = handover_leader.service_members.ServiceReport(1)
    record = handover_leader.service_members.ServiceMembers(1, lambda: 1)
    for number in range(1, count + 1):
        heartbeat = handover_leader.announcement(number, False, report)
        record.announce(heartbeat, report, now=0)
    ranking = hashing.Ranking(record.view())
    for bucket in range(hashing.BUCKETS_PER_SERVICE):
        order = [member.number for member in ranking.order(bucket)]
        if order == sorted(order):
            return bucket
    raise ValueError(f'no bucket has that order; use fewer than {count}')


def _open(
    view: views.View, number: int, since: int, joining: bool
) -> tuple[agent_state.AgentState, hashing.Ranking]:
    state = agent_state.AgentState(
        number=number,
        zone='',
        capacity=agent_state.Capacity(1, 1, 0),
        started_ms=0,
        joining=joining,
        lease_until_ms=1,
    )
    state.set_catalogue([SERVICE])
    if 0 < since < view.number:
        alone = tuple(item for item in view.members if item.number == number)
        state.set_view(views.View(view.service, since, alone))
    state.set_view(view)
    return state, state.rankings[view.service]


def _acknowledged(view: views.View) -> views.View:
    members = tuple(
        dataclasses.replace(item, acked_view=view.number)
        for item in view.members
    )
    return dataclasses.replace(view, members=members)
