"""Bounded load: which openings a decider places elsewhere, and where.

A load report is a hint. It may be late, wrong or a lie, so its weight is
bounded: it is taken as no less than half and no more than twice what is
typical, and it counts no longer than ``REPORT_AGE_MS``. Between reports a
member is taken to grow as this upstream does, and by what this agent and
those that see the same old counts placed there; otherwise a home whose
service grows would find itself above a mean of old counts, and divert flows
for nothing. A member without a usable report is taken as typical; it
neither attracts nor repels.
"""

import math
import statistics

from gentianspoke.core import frames
from gentianspoke.core import services
from gentianspoke.core import shares
from gentianspoke.core import views
from gentianspoke.decisions.agent import admission
from gentianspoke.decisions.agent import state as agent_state
from gentianspoke.decisions import hashing

ALTERNATIVES = 2
REPORT_AGE_MS = 3_000
# A report counts as at least typical / LEAST and at most typical * MOST.
LEAST_DIVISOR = 2
MOST_FACTOR = 2
# One in so many of the other members is taken to divert flows at a time.
DECIDERS_DIVISOR = 2

State = agent_state.AgentState


def load_of(state: State, pool: int, number: int) -> int:
    """Return the number of open flows that a member is taken to have."""
    if number == state.number:
        return state.counts[pool].open_flows
    typical = _typical(state, pool)
    report = state.loads.get((pool, number))
    sent = state.placed_since_report.get((pool, number), 0)
    if report is None:
        return typical + sent
    least = typical // LEAST_DIVISOR
    most = typical * MOST_FACTOR + 1
    then = state.open_flows_at_report[(pool, number)]
    grown = max(0, state.counts[pool].open_flows - then)
    placed = sent * _deciders_alike(state, pool)
    return min(max(report.open_flows, least), most) + grown + placed


def load_limit(
    state: State,
    service: services.Service,
    ranking: hashing.Ranking,
    now: int,
) -> int:
    """Return how many flows this upstream takes before others get them."""
    live = [member for member in ranking.view.members if member.is_live]
    total = sum(
        load_of(state, ranking.view.service, member.number) for member in live
    )
    weights = sum(member.weight for member in live)
    own = ranking.by_number[state.number].weight
    mean = (total + 1) * own / weights
    bound = mean * service.limits.bound_permille / shares.PERMILLE
    ramp = admission.ramp_permille(state, now)
    return math.ceil(bound * ramp / shares.PERMILLE)


def choose_other(
    state: State,
    ranking: hashing.Ranking,
    bucket: int,
    tried: tuple[int, ...] = (),
) -> views.Member | None:
    """Return the less loaded of the bucket's next live members.

    Members in ``tried`` are left out. Of equally loaded members the one
    in this agent's zone is taken.
    """
    others: list[views.Member] = []
    for member in ranking.order(bucket):
        if not member.is_live or member.number == state.number:
            continue
        if member.number in tried:
            continue
        others.append(member)
        if len(others) == ALTERNATIVES:
            break

    def preference(member: views.Member) -> tuple[float, bool]:
        load = load_of(state, ranking.view.service, member.number)
        return (load / member.weight, member.zone != state.zone)

    return min(others, key=preference, default=None)


def count_placed(state: State, pool: int, number: int) -> None:
    """Add a flow just placed to the last known load of a member."""
    place = (pool, number)
    state.placed_since_report[place] = (
        state.placed_since_report.get(place, 0) + 1
    )


def take_report(state: State, report: frames.LoadReport) -> None:
    """Take a member's report in place of its last one."""
    place = (report.pool, report.sender)
    if state.member(*place) is None or report.sender == state.number:
        return
    state.loads[place] = report
    state.placed_since_report.pop(place, None)
    state.open_flows_at_report[place] = state.counts[report.pool].open_flows
    state.fresh_loads.add(place)
    state.median_loads.pop(report.pool, None)


def expire_loads(state: State, now: int) -> None:
    """Drop the reports that were not renewed for ``REPORT_AGE_MS``."""
    if now - state.loads_expired_ms < REPORT_AGE_MS:
        return
    state.loads_expired_ms = now
    for place in tuple(state.loads):
        if place not in state.fresh_loads:
            del state.loads[place]
            del state.open_flows_at_report[place]
    for place in tuple(state.placed_since_report):
        # Without a report nothing else would take back what was sent.
        if place not in state.loads:
            del state.placed_since_report[place]
    state.fresh_loads.clear()
    state.median_loads.clear()


def _deciders_alike(state: State, pool: int) -> int:
    """Return how many deciders are taken to divert as this one does.

    About half of a pool's members are above their mean, and all of them
    see the same reports. Without them in the count, they would all send
    their flows to the one member that was least loaded in the last report.
    """
    ranking = state.rankings.get(pool)
    others = ranking.live_count - 1 if ranking else 0
    return max(1, others // DECIDERS_DIVISOR)


def _typical(state: State, pool: int) -> int:
    """Return the median of the reported loads, the own load without any."""
    typical = state.median_loads.get(pool)
    if typical is not None:
        return typical
    loads = [
        report.open_flows
        for (reported, _), report in state.loads.items()
        if reported == pool
    ]
    if not loads:
        return state.counts[pool].open_flows
    typical = int(statistics.median_low(loads))
    state.median_loads[pool] = typical
    return typical
