"""Bounded load: which openings a decider places elsewhere, and where."""

import math

from gentianspoke.core import frames
from gentianspoke.core import services
from gentianspoke.core import views
from gentianspoke.decisions.agent import admission
from gentianspoke.decisions.agent import state as agent_state
from gentianspoke.decisions import hashing

ALTERNATIVES = 2


def load_of(state: agent_state.AgentState, service: int, number: int) -> int:
    """Return the last known number of open flows of a member."""
    if number == state.number:
        return state.counts[service].open_flows
    report = state.loads.get((service, number))
    return report.open_flows if report else 0


def load_limit(
    state: agent_state.AgentState,
    service: services.Service,
    ranking: hashing.Ranking,
    now: int,
) -> int:
    """Return how many flows this upstream takes before others get them."""
    live = [member for member in ranking.view.members if member.is_live]
    total = sum(
        load_of(state, service.number, member.number) for member in live
    )
    weights = sum(member.weight for member in live)
    own = ranking.by_number[state.number].weight
    mean = (total + 1) * own / weights
    bound = mean * service.limits.bound_permille / admission.PERMILLE
    ramp = admission.ramp_permille(state, now)
    return math.ceil(bound * ramp / admission.PERMILLE)


def choose_other(
    state: agent_state.AgentState,
    service: services.Service,
    ranking: hashing.Ranking,
    bucket: int,
    tried: tuple[int, ...] = (),
) -> views.Member | None:
    """Return the less loaded of the bucket's next live members.

    Members in ``tried`` are left out. Of equally loaded members the one
    in this agent's zone is taken.
    """
    others = [
        member
        for member in ranking.order(bucket)
        if member.is_live
        and member.number != state.number
        and member.number not in tried
    ][:ALTERNATIVES]

    def preference(member: views.Member) -> tuple[float, bool]:
        load = load_of(state, service.number, member.number)
        return (load / member.weight, member.zone != state.zone)

    return min(others, key=preference, default=None)


def count_placed(
    state: agent_state.AgentState, service: int, number: int
) -> None:
    """Add a flow just placed to the last known load of a member."""
    known = state.loads.get((service, number))
    state.loads[(service, number)] = frames.LoadReport(
        service=service,
        sender=number,
        open_flows=(known.open_flows if known else 0) + 1,
        running=known.running if known else 0,
        queued=known.queued if known else 0,
    )
