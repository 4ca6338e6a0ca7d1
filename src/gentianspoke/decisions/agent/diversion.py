"""Load balancing with bounded loads: which openings to divert, and where.

The home of a bucket, its first live member, decides on the bucket's openings
and is therefore called their decider. It keeps an opening while its load is
below a bound relative to the mean load of all live members, and otherwise
diverts it to a less loaded member.

A load report is only a hint. It may be late or wrong, or a faulty member may
report false counts, so its influence is bounded: a reported load counts as at
least half the median load and at most twice the median load plus one flow, and
a report that is not renewed is removed after one to two times
``REPORT_EXPIRY_INTERVAL_MS``.

Between reports, a member's load is estimated. It is assumed to have grown by
as many flows as the load of this agent's own upstream, and by the flows that
this agent and other deciders with the same old reports have placed at the
member. Without this assumption, a home of a growing service would compare its
own current load with a mean of old counts, and would divert flows needlessly.
A member without a usable report is assumed to have the median load, so that
it gets neither more nor fewer flows than others.
"""

import math
import statistics

from gentianspoke.core import frames
from gentianspoke.core import services
from gentianspoke.core import shares
from gentianspoke.core import views
from gentianspoke.decisions.agent import admission
from gentianspoke.decisions.agent import capacity_shares
from gentianspoke.decisions.agent import state as agent_state
from gentianspoke.decisions import member_ranking

# A diverted opening goes to the less loaded of this many members ("power of
# two choices").
MAX_CANDIDATES = 2
REPORT_EXPIRY_INTERVAL_MS = 3_000
# A member counts as cold for at most this time after its report.
MAX_COLD_MS = 60_000
# A reported load counts as at least the median divided by ``MIN_LOAD_DIVISOR``
# and at most the median multiplied by ``MAX_LOAD_FACTOR``, plus one flow.
MIN_LOAD_DIVISOR = 2
MAX_LOAD_FACTOR = 2
# The number of other live members is divided by this to estimate how many
# members divert flows at the same time.
DECIDERS_DIVISOR = 2

State = agent_state.AgentState


def estimate_load(state: State, pool: int, member_number: int) -> int:
    """Return the estimated number of open flows at a member."""
    if member_number == state.number:
        return state.counts[pool].open_flows
    median = _get_median_load(state, pool)
    report = state.load_reports.get((pool, member_number))
    own_placements = state.placed_since_report.get((pool, member_number), 0)
    if report is None:
        return median + own_placements
    min_load = median // MIN_LOAD_DIVISOR
    max_load = median * MAX_LOAD_FACTOR + 1
    own_at_report = state.open_flows_at_report[(pool, member_number)]
    growth = max(0, state.counts[pool].open_flows - own_at_report)
    all_placements = own_placements * _estimate_deciders(state, pool)
    return (
        min(max(report.open_flows, min_load), max_load)
        + growth
        + all_placements
    )


def compute_load_limit(
    state: State,
    service: services.Service,
    ranking: member_ranking.Ranking,
    now: int,
) -> int:
    """Return the number of open flows from which on openings are diverted.

    The limit is this upstream's share, by weight, of the open flows of all
    live members, times ``bound_permille`` thousandths. The new flow is
    counted among the open flows. The limit is reduced during slow start.
    """
    live_members = [
        member for member in ranking.view.members if member.is_live
    ]
    total_load = sum(
        estimate_load(state, ranking.view.service, member.number)
        for member in live_members
    )
    total_weight = sum(member.weight for member in live_members)
    own_weight = ranking.members_by_number[state.number].weight
    fair_share = (total_load + 1) * own_weight / total_weight
    bound = fair_share * service.limits.bound_permille / shares.PERMILLE
    ramp_permille = admission.compute_ramp_permille(state, now)
    return math.ceil(bound * ramp_permille / shares.PERMILLE)


def choose_target(
    state: State,
    ranking: member_ranking.Ranking,
    bucket: int,
    now: int,
    tried: tuple[int, ...] = (),
) -> views.Member | None:
    """Return the member to which an opening of the bucket is diverted.

    The candidates are the first ``MAX_CANDIDATES`` live members in the order
    of the bucket; this agent and the members in ``tried`` are left out. The
    candidate with the smallest estimated load per weight is chosen, and of
    equally loaded ones the one in this agent's zone. A member whose upstream
    is cold is a candidate only if there is no other. ``None`` is returned if
    there is no candidate. With placement by capacity, any live member may
    be drawn instead.
    """
    if state.even_load is not None:
        return capacity_shares.draw_target(
            state,
            state.even_load,
            capacity_shares.get_shares(state, state.even_load, ranking, now),
            tried,
        )
    candidates: list[views.Member] = []
    cold_candidates: list[views.Member] = []
    for member in ranking.rank_members(bucket):
        if not member.is_live or member.number == state.number:
            continue
        if member.number in tried:
            continue
        if (ranking.view.service, member.number) in state.cold_members:
            cold_candidates.append(member)
            continue
        candidates.append(member)
        if len(candidates) == MAX_CANDIDATES:
            break

    def sort_key(member: views.Member) -> tuple[float, bool]:
        load = estimate_load(state, ranking.view.service, member.number)
        return (load / member.weight, member.zone != state.zone)

    if not candidates:
        candidates = cold_candidates[:MAX_CANDIDATES]
    return min(candidates, key=sort_key, default=None)


def note_placed_flow(state: State, pool: int, member_number: int) -> None:
    """Add one to the flows placed at a member since its last report."""
    member_key = (pool, member_number)
    state.placed_since_report[member_key] = (
        state.placed_since_report.get(member_key, 0) + 1
    )


def record_report(state: State, report: frames.LoadReport, now: int) -> None:
    """Replace the last load report of a member by a newer one.

    A report of this agent or of a member that the pool's view does not list
    is ignored.
    """
    member_key = (report.pool, report.sender)
    if state.find_member(*member_key) is None or report.sender == state.number:
        return
    _note_cold(state, report, now)
    if state.even_load is not None:
        capacity_shares.record_report(state.even_load, report, now)
        return
    state.load_reports[member_key] = report
    state.placed_since_report.pop(member_key, None)
    state.open_flows_at_report[member_key] = state.counts[
        report.pool
    ].open_flows
    state.renewed_reports.add(member_key)
    state.median_loads.pop(report.pool, None)


def _note_cold(state: State, report: frames.LoadReport, now: int) -> None:
    member_key = (report.pool, report.sender)
    if report.cold_remaining_ms:
        cold_ms = min(report.cold_remaining_ms, MAX_COLD_MS)
        is_news = member_key not in state.cold_members
        state.cold_members[member_key] = now + cold_ms
        if is_news and state.even_load is not None:
            # The shares that were computed before do not know of it.
            state.even_load.shares.pop(report.pool, None)
    else:
        state.cold_members.pop(member_key, None)


def expire_cold_members(state: State, now: int) -> None:
    """Forget the members that are no longer cold."""
    if not state.cold_members:
        return
    for member_key, until_ms in tuple(state.cold_members.items()):
        if now >= until_ms:
            del state.cold_members[member_key]


def expire_reports(state: State, now: int) -> None:
    """Remove the reports that were not renewed since the last expiry.

    The counts of flows placed at members without a report are removed too.
    The function has an effect at most once per ``REPORT_EXPIRY_INTERVAL_MS``.
    """
    if now - state.reports_expired_ms < REPORT_EXPIRY_INTERVAL_MS:
        return
    state.reports_expired_ms = now
    if state.even_load is not None:
        capacity_shares.remove_unlisted(state, state.even_load)
    for member_key in tuple(state.load_reports):
        if member_key not in state.renewed_reports:
            del state.load_reports[member_key]
            del state.open_flows_at_report[member_key]
    for member_key in tuple(state.placed_since_report):
        # Only a member's next report resets its count of placed flows, so the
        # count of a member that sends no reports would never be reset.
        if member_key not in state.load_reports:
            del state.placed_since_report[member_key]
    state.renewed_reports.clear()
    state.median_loads.clear()


def _estimate_deciders(state: State, pool: int) -> int:
    """Return the number of deciders assumed to divert, this one included.

    Each is assumed to divert as many flows as this agent does. About half of
    a pool's members are above the mean load, and all of them see the same
    reports. If each counted only the flows that it placed itself, they would
    all divert to the one member that was least loaded in its last report.
    """
    ranking = state.rankings.get(pool)
    other_live_count = ranking.live_count - 1 if ranking else 0
    return max(1, other_live_count // DECIDERS_DIVISOR)


def _get_median_load(state: State, pool: int) -> int:
    """Return the median of the reported loads in a pool.

    Without any report, the load of this agent's own upstream is returned.
    """
    median = state.median_loads.get(pool)
    if median is not None:
        return median
    loads = [
        report.open_flows
        for (report_pool, _), report in state.load_reports.items()
        if report_pool == pool
    ]
    if not loads:
        return state.counts[pool].open_flows
    median = int(statistics.median_low(loads))
    state.median_loads[pool] = median
    return median
