"""Bounded load: which openings a decider places elsewhere, and where.

A load report is a hint. It may be late, wrong or a lie, so its weight is
bounded: it is taken as no less than half and no more than twice what is
typical, and it counts no longer than ``MAX_REPORT_AGE_MS``. Between reports a
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

MAX_CANDIDATES = 2
MAX_REPORT_AGE_MS = 3_000
# A report counts as at least typical / LEAST and at most typical * MOST.
MIN_LOAD_DIVISOR = 2
MAX_LOAD_FACTOR = 2
# One in so many of the other members is taken to divert flows at a time.
DECIDERS_DIVISOR = 2

State = agent_state.AgentState


def estimated_load(state: State, pool: int, number: int) -> int:
    """Return the number of open flows that a member is taken to have."""
    if number == state.number:
        return state.counts[pool].open_flows
    median = _median_load(state, pool)
    report = state.loads.get((pool, number))
    sent = state.sent.get((pool, number), 0)
    if report is None:
        return median + sent
    min_load = median // MIN_LOAD_DIVISOR
    max_load = median * MAX_LOAD_FACTOR + 1
    own_at_report = state.own_then[(pool, number)]
    growth = max(0, state.counts[pool].open_flows - own_at_report)
    placed = sent * _expected_deciders(state, pool)
    return min(max(report.open_flows, min_load), max_load) + growth + placed


def load_limit(
    state: State,
    service: services.Service,
    ranking: hashing.Ranking,
    now: int,
) -> int:
    """Return how many flows this upstream takes before others get them."""
    live = [member for member in ranking.view.members if member.is_live]
    total = sum(
        estimated_load(state, ranking.view.service, member.number)
        for member in live
    )
    weights = sum(member.weight for member in live)
    own = ranking.by_number[state.number].weight
    mean = (total + 1) * own / weights
    bound = mean * service.limits.bound_permille / shares.PERMILLE
    ramp = admission.ramp_permille(state, now)
    return math.ceil(bound * ramp / shares.PERMILLE)


def choose_target(
    state: State,
    ranking: hashing.Ranking,
    bucket: int,
    tried: tuple[int, ...] = (),
) -> views.Member | None:
    """Return the less loaded of the bucket's next live members.

    Members in ``tried`` are left out. Of equally loaded members the one
    in this agent's zone is taken.
    """
    candidates: list[views.Member] = []
    for member in ranking.order(bucket):
        if not member.is_live or member.number == state.number:
            continue
        if member.number in tried:
            continue
        candidates.append(member)
        if len(candidates) == MAX_CANDIDATES:
            break

    def preference(member: views.Member) -> tuple[float, bool]:
        load = estimated_load(state, ranking.view.service, member.number)
        return (load / member.weight, member.zone != state.zone)

    return min(candidates, key=preference, default=None)


def count_placed(state: State, pool: int, number: int) -> None:
    """Add a flow just placed to the last known load of a member."""
    member_key = (pool, number)
    state.sent[member_key] = state.sent.get(member_key, 0) + 1


def take_report(state: State, report: frames.LoadReport) -> None:
    """Take a member's report in place of its last one."""
    member_key = (report.pool, report.sender)
    if state.member(*member_key) is None or report.sender == state.number:
        return
    state.loads[member_key] = report
    state.sent.pop(member_key, None)
    state.own_then[member_key] = state.counts[report.pool].open_flows
    state.fresh_loads.add(member_key)
    state.typical.pop(report.pool, None)


def expire_reports(state: State, now: int) -> None:
    """Drop the reports that were not renewed for ``MAX_REPORT_AGE_MS``."""
    if now - state.loads_checked_ms < MAX_REPORT_AGE_MS:
        return
    state.loads_checked_ms = now
    for member_key in tuple(state.loads):
        if member_key not in state.fresh_loads:
            del state.loads[member_key]
            del state.own_then[member_key]
    for member_key in tuple(state.sent):
        # Without a report nothing else would take back what was sent.
        if member_key not in state.loads:
            del state.sent[member_key]
    state.fresh_loads.clear()
    state.typical.clear()


def _expected_deciders(state: State, pool: int) -> int:
    """Return how many deciders are taken to divert as this one does.

    About half of a pool's members are above their mean, and all of them
    see the same reports. Without them in the count, they would all send
    their flows to the one member that was least loaded in the last report.
    """
    ranking = state.rankings.get(pool)
    others = ranking.live_count - 1 if ranking else 0
    return max(1, others // DECIDERS_DIVISOR)


def _median_load(state: State, pool: int) -> int:
    """Return the median of the reported loads, the own load without any."""
    median = state.typical.get(pool)
    if median is not None:
        return median
    loads = [
        report.open_flows
        for (reported, _), report in state.loads.items()
        if reported == pool
    ]
    if not loads:
        return state.counts[pool].open_flows
    median = int(statistics.median_low(loads))
    state.typical[pool] = median
    return median
