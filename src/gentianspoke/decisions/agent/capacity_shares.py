"""Shares of upstreams by capacity, and where their openings are diverted.

The load pattern: upstreams of one pool differ in speed, long flows are
reopened all the time, and a report of another member is several seconds old,
so that its counts say little about its present load. Capacities change slowly,
though, and the agent knows the load of its own upstream exactly.

A home therefore decides by its own load whether an opening stays. A long flow
stays while the upstream has fewer open flows than its share by capacity, and,
if a slot is free, up to ``IDLE_SHARE_PERMILLE`` of the share, because each
diversion costs a hop for every later packet. A short flow stays unless it
would wait long. Otherwise a target is drawn at random. Its weight is the
capacity above the mean, which corrects the difference in speed, plus the flows
that the member lacked in its last report, which corrects the uneven sizes of
the buckets. A draw sends the deciders with the same reports to different
members; the minimum would send them all to one. The target's own agent knows
the actual load and may offer the opening to another member.
"""

import bisect
import itertools
import math

from gentianspoke.core import frames
from gentianspoke.core import services
from gentianspoke.core import shares
from gentianspoke.core import views
from gentianspoke.decisions.agent import admission
from gentianspoke.decisions.agent import capacity_records
from gentianspoke.decisions.agent import member_loads
from gentianspoke.decisions.agent import state as agent_state
from gentianspoke.decisions.agent import upstream_capacity
from gentianspoke.decisions import member_ranking

# How long computed shares are used.
SHARES_INTERVAL_MS = 1_000
# A member whose last report is older is drawn only if all others are, too.
SILENT_MS = 30_000
# A home with a free slot keeps long flows up to this part of its share.
IDLE_SHARE_PERMILLE = 1_500
# A short flow is diverted if it would wait for more than this part of the
# service's longest wait.
WAIT_DIVISOR = 2
# An upstream fails if its capacity, which fast answers reduce, is less than
# the mean of the pool divided by this.
FAILING_DIVISOR = 2
# A member in the agent's own zone is drawn this many times as often.
OWN_ZONE_FACTOR = 2.0
# Multiples of the golden ratio spread evenly over the draws of one agent.
GOLDEN_RATIO = (math.sqrt(5) - 1) / 2
MAX_DRAWS = 8

State = agent_state.AgentState
EvenLoad = capacity_records.EvenLoad
PoolShares = capacity_records.PoolShares


def record_report(
    even_load: EvenLoad, report: frames.LoadReport, now: int
) -> None:
    """Replace the last report of a member; keep a capacity that is known."""
    member_key = (report.pool, report.sender)
    load = even_load.members.get(member_key)
    if load is None:
        load = capacity_records.MemberLoad(now)
        even_load.members[member_key] = load
    load.reported_ms = now
    load.open_flows = report.open_flows
    load.running = report.running + report.queued
    if report.work_us and report.slots:
        load.slots = report.slots
        load.work_us = report.work_us
        load.capacity_ms = now


def remove_unlisted(state: State, even_load: EvenLoad) -> None:
    """Remove the reports of members that no view lists any more."""
    for member_key in tuple(even_load.members):
        if state.find_member(*member_key) is None:
            del even_load.members[member_key]


def get_shares(
    state: State,
    even_load: EvenLoad,
    ranking: member_ranking.Ranking,
    now: int,
) -> PoolShares:
    """Return the shares in a pool, computed anew if they are old."""
    pool = ranking.view.service
    known = even_load.shares.get(pool)
    if (
        known is not None
        and known.ranking is ranking
        and now - known.computed_ms < SHARES_INTERVAL_MS
    ):
        return known
    computed = _compute_shares(state, even_load, ranking, now)
    even_load.shares[pool] = computed
    _note_failure(even_load, computed)
    return computed


def is_over_share(
    state: State,
    even_load: EvenLoad,
    service: services.Service,
    pool_shares: PoolShares,
    now: int,
) -> bool:
    """Return whether the upstream has its share without one more flow."""
    pool = pool_shares.ranking.view.service
    counts = state.counts[pool]
    if even_load.is_failing:
        return True
    if services.occupies_slot(service):
        waiting = counts.queued + len(state.requests.held)
        wait_ms = member_loads.estimate_wait_ms(
            counts.running + waiting,
            state.capacity.slots,
            even_load.work.mean_us,
        )
        return wait_ms > service.limits.wait_ms // WAIT_DIVISOR
    ramp_permille = admission.compute_ramp_permille(state, now)
    share = (pool_shares.flow_share + 1) * ramp_permille / shares.PERMILLE
    bound = share * service.limits.bound_permille / shares.PERMILLE
    if service.handshake and counts.running < state.capacity.slots:
        bound = max(bound, share * IDLE_SHARE_PERMILLE / shares.PERMILLE)
    return counts.open_flows >= math.ceil(bound)


def is_pool_full(pool_shares: PoolShares, service: services.Service) -> bool:
    """Return whether most members would decline an opening.

    By the median of the fresh reports, it would wait for longer than the
    service tolerates. Further offers would then mostly be declined, too.
    """
    wait_ms = pool_shares.pool_wait_ms
    if wait_ms is None or not service.handshake:
        # Without ``handshake``, openings wait at the agents, and the running
        # requests of a report do not contain them.
        return False
    return wait_ms > service.limits.wait_ms


def draw_target(
    state: State,
    even_load: EvenLoad,
    pool_shares: PoolShares,
    tried: tuple[int, ...],
) -> views.Member | None:
    """Return a member that is drawn by weight, ``None`` if there is none.

    If all members with a weight have been tried, the others are drawn by their
    capacity, so that not all deciders choose the same one.
    """
    for sums in (pool_shares.weight_sums, pool_shares.spare_sums):
        for _ in range(MAX_DRAWS if sums else 0):
            target = _draw(state, even_load, pool_shares.targets, sums)
            if target.number not in tried:
                return target
    return next(
        (item for item in pool_shares.targets if item.number not in tried),
        None,
    )


def _draw(
    state: State,
    even_load: EvenLoad,
    targets: tuple[views.Member, ...],
    sums: tuple[float, ...],
) -> views.Member:
    even_load.draws += 1
    draw = (even_load.draws + state.number % 1_000) * GOLDEN_RATIO % 1
    index = bisect.bisect_right(sums, draw * sums[-1])
    return targets[min(index, len(targets) - 1)]


def _note_failure(even_load: EvenLoad, pool_shares: PoolShares) -> None:
    """Record whether the upstream fails fast while others work.

    Where the requests of the whole pool have become short, they are no
    failures, and the capacities have fallen alike.
    """
    work = even_load.work
    is_failing = (
        upstream_capacity.is_failing(work)
        and pool_shares.capacity * FAILING_DIVISOR < pool_shares.mean_capacity
    )
    if is_failing is even_load.is_failing:
        return
    even_load.is_failing = is_failing
    notice = capacity_records.FailureNotice(
        is_failing,
        work.worked_permille,
        int(pool_shares.capacity),
        int(pool_shares.mean_capacity),
    )
    even_load.failure_notices.append(notice)


def _compute_shares(
    state: State,
    even_load: EvenLoad,
    ranking: member_ranking.Ranking,
    now: int,
) -> PoolShares:
    pool = ranking.view.service
    targets = tuple(
        member
        for member in ranking.view.members
        if member.is_live and member.number != state.number
    )
    loads = [even_load.members.get((pool, item.number)) for item in targets]
    own_rate = compute_own_capacity(state, even_load, now)
    capacities = member_loads.estimate_capacities(loads, own_rate, now)
    own_capacity, capacities = capacities[0], capacities[1:]
    ratios = member_loads.compute_flow_ratios(loads, capacities)
    own_ratio = state.counts[pool].open_flows / own_capacity
    mean_ratio = member_loads.compute_mean_ratio(
        [own_ratio, *ratios], [own_capacity, *capacities]
    )
    mean_capacity = (own_capacity + sum(capacities)) / (len(targets) + 1)
    factors = [
        _compute_factor(state, pool, member, load, now)
        for member, load in zip(targets, loads, strict=True)
    ]
    weights = [
        _compute_weight(capacity / mean_capacity, ratio, mean_ratio) * factor
        for capacity, ratio, factor in zip(
            capacities, ratios, factors, strict=True
        )
    ]
    spare_weights = [
        capacity * factor
        for capacity, factor in zip(capacities, factors, strict=True)
    ]
    if not any(spare_weights):
        spare_weights = capacities
    if not any(weights):
        weights = spare_weights
    return PoolShares(
        computed_ms=now,
        ranking=ranking,
        capacity=own_capacity,
        mean_capacity=mean_capacity,
        flow_share=mean_ratio * own_capacity,
        targets=targets,
        weight_sums=tuple(itertools.accumulate(weights)),
        spare_sums=tuple(itertools.accumulate(spare_weights)),
        pool_wait_ms=member_loads.find_pool_wait_ms(loads, now),
        spread_permille=member_loads.compute_spread([own_ratio, *ratios]),
        report_age_ms=member_loads.compute_mean_age_ms(loads, now),
    )


def compute_own_capacity(state: State, even_load: EvenLoad, now: int) -> float:
    """Return the own upstream's requests a second, 0 if not known yet."""
    work_us = upstream_capacity.estimate_work_us(even_load.work, now)
    if not work_us:
        return 0.0
    return max(1, state.capacity.slots) * upstream_capacity.US_PER_S / work_us


def _compute_weight(
    relative_capacity: float, ratio: float | None, mean_ratio: float
) -> float:
    """Return the weight of a member for one unit of mean capacity."""
    weight = max(0.0, relative_capacity - 1)
    if ratio is None or not mean_ratio:
        return weight
    lack = max(0.0, 1 - ratio / mean_ratio)
    return weight + relative_capacity * lack


def _compute_factor(
    state: State,
    pool: int,
    member: views.Member,
    load: capacity_records.MemberLoad | None,
    now: int,
) -> float:
    """Return by how much more or less often a member is drawn.

    A member that is silent, or whose upstream is cold, is drawn only if there
    is no other.
    """
    if load is None or now - load.reported_ms > SILENT_MS:
        return 0.0
    if (pool, member.number) in state.cold_members:
        return 0.0
    return OWN_ZONE_FACTOR if member.zone == state.zone else 1.0
