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

The influence of a false report is bounded: a capacity counts as at most
``MAX_CAPACITY_FACTOR`` times the median and at least the median divided by it,
and the open flows for each unit of capacity likewise with ``MAX_LOAD_FACTOR``.
"""

import bisect
import itertools
import math
import statistics

from gentianspoke.core import frames
from gentianspoke.core import services
from gentianspoke.core import shares
from gentianspoke.core import views
from gentianspoke.decisions.agent import admission
from gentianspoke.decisions.agent import capacity_records
from gentianspoke.decisions.agent import state as agent_state
from gentianspoke.decisions.agent import upstream_capacity
from gentianspoke.decisions import member_ranking

# How long computed shares are used.
SHARES_INTERVAL_MS = 250
MAX_CAPACITY_FACTOR = 4.0
MAX_LOAD_FACTOR = 2.0
# A capacity moves towards the median of the pool from the first age to the
# second. A report comes every 7 s in a pool of 45.
CAPACITY_FRESH_MS = 15_000
CAPACITY_EXPIRY_MS = 60_000
# A member whose last report is older is drawn only if all others are, too.
SILENT_MS = 30_000
# Up to this age, the running requests of a report show whether a member has
# room, and fewer fresh reports than ``MIN_FRESH_REPORTS`` show nothing.
FRESH_LOAD_MS = 2_000
MIN_FRESH_REPORTS = 3
# A home with a free slot keeps long flows up to this part of its share.
IDLE_SHARE_PERMILLE = 1_500
# A short flow is diverted if it would wait for more than this part of the
# service's longest wait.
WAIT_DIVISOR = 2
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
    load.running = report.running
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
    if upstream_capacity.is_failing(even_load.work):
        return True
    if services.occupies_slot(service):
        wait_ms = _estimate_wait_ms(
            counts.running,
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
    """Return whether all members are expected to decline an opening.

    Each of them would let it wait for longer than the service tolerates, as
    far as fresh reports show.
    """
    wait_ms = pool_shares.min_wait_ms
    return wait_ms is not None and wait_ms > service.limits.wait_ms


def draw_target(
    state: State,
    even_load: EvenLoad,
    pool_shares: PoolShares,
    tried: tuple[int, ...],
) -> views.Member | None:
    """Return a member that is drawn by weight, ``None`` if there is none."""
    targets = pool_shares.targets
    for _ in range(MAX_DRAWS if targets else 0):
        even_load.draws += 1
        draw = (even_load.draws + state.number % 1_000) * GOLDEN_RATIO % 1
        point = draw * pool_shares.weight_sums[-1]
        index = bisect.bisect_right(pool_shares.weight_sums, point)
        target = targets[min(index, len(targets) - 1)]
        if target.number not in tried:
            return target
    return next((item for item in targets if item.number not in tried), None)


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
    rates = [_compute_rate(load) for load in loads]
    known_rates = [rate for rate in (*rates, own_rate) if rate]
    median = statistics.median(known_rates) if known_rates else 1.0
    own_capacity = _bound(own_rate or median, median, MAX_CAPACITY_FACTOR)
    capacities = [
        _age_capacity(load, rate, median, now)
        for load, rate in zip(loads, rates, strict=True)
    ]
    mean_capacity = (sum(capacities) + own_capacity) / (len(targets) + 1)
    own_flows = state.counts[pool].open_flows
    flow_ratios = _compute_flow_ratios(loads, capacities)
    known_ratios = [ratio for ratio in flow_ratios if ratio is not None]
    known_capacity = own_capacity + sum(
        capacity
        for ratio, capacity in zip(flow_ratios, capacities, strict=True)
        if ratio is not None
    )
    known_flows = own_flows + sum(
        ratio * capacity
        for ratio, capacity in zip(flow_ratios, capacities, strict=True)
        if ratio is not None
    )
    mean_ratio = known_flows / known_capacity
    weights = [
        _compute_weight(capacity / mean_capacity, ratio, mean_ratio)
        for capacity, ratio in zip(capacities, flow_ratios, strict=True)
    ]
    weights = [
        weight * _compute_factor(state, member, load, now)
        for weight, member, load in zip(weights, targets, loads, strict=True)
    ]
    if not any(weights):
        weights = capacities
    own_ratio = own_flows / own_capacity
    ages = [now - load.reported_ms for load in loads if load is not None]
    return PoolShares(
        computed_ms=now,
        ranking=ranking,
        capacity=own_capacity,
        flow_share=mean_ratio * own_capacity,
        targets=targets,
        weight_sums=tuple(itertools.accumulate(weights)),
        min_wait_ms=_find_min_wait_ms(loads, now),
        spread_permille=_compute_spread([*known_ratios, own_ratio]),
        report_age_ms=sum(ages) // len(ages) if ages else 0,
    )


def compute_own_capacity(state: State, even_load: EvenLoad, now: int) -> float:
    """Return the own upstream's requests a second, 0 if not known yet."""
    work_us = upstream_capacity.estimate_work_us(even_load.work, now)
    if not work_us:
        return 0.0
    return max(1, state.capacity.slots) * upstream_capacity.US_PER_S / work_us


def _compute_rate(load: capacity_records.MemberLoad | None) -> float:
    if load is None or not load.work_us:
        return 0.0
    return load.slots * upstream_capacity.US_PER_S / load.work_us


def _age_capacity(
    load: capacity_records.MemberLoad | None,
    rate: float,
    median: float,
    now: int,
) -> float:
    if load is None or not rate:
        return median
    bounded = _bound(rate, median, MAX_CAPACITY_FACTOR)
    age_ms = now - load.capacity_ms - CAPACITY_FRESH_MS
    if age_ms <= 0:
        return bounded
    kept = 1 - age_ms / (CAPACITY_EXPIRY_MS - CAPACITY_FRESH_MS)
    return median + (bounded - median) * max(0.0, kept)


def _bound(value: float, median: float, factor: float) -> float:
    return min(max(value, median / factor), median * factor)


def _compute_flow_ratios(
    loads: list[capacity_records.MemberLoad | None], capacities: list[float]
) -> list[float | None]:
    """Return each member's open flows for one unit of capacity, bounded."""
    ratios = [
        load.open_flows / capacity if load is not None else None
        for load, capacity in zip(loads, capacities, strict=True)
    ]
    known = [ratio for ratio in ratios if ratio is not None]
    if not known:
        return ratios
    # A false report moves the median by one position at most.
    median = statistics.median(known)
    return [
        _bound(ratio, median, MAX_LOAD_FACTOR) if ratio is not None else None
        for ratio in ratios
    ]


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
    member: views.Member,
    load: capacity_records.MemberLoad | None,
    now: int,
) -> float:
    if load is None or now - load.reported_ms > SILENT_MS:
        return 0.0
    return OWN_ZONE_FACTOR if member.zone == state.zone else 1.0


def _find_min_wait_ms(
    loads: list[capacity_records.MemberLoad | None], now: int
) -> float | None:
    waits_ms = [
        _estimate_wait_ms(load.running, load.slots, load.work_us)
        for load in loads
        if load is not None and now - load.reported_ms <= FRESH_LOAD_MS
    ]
    if not waits_ms or len(waits_ms) < min(MIN_FRESH_REPORTS, len(loads)):
        return None
    return min(waits_ms)


def _estimate_wait_ms(running: int, slots: int, work_us: int) -> float:
    """Return how long a request would wait for a slot."""
    slots = max(1, slots)
    requests_ahead = max(0, running - slots + 1)
    return work_us * requests_ahead / slots / upstream_capacity.US_PER_MS


def _compute_spread(ratios: list[float]) -> int:
    mean = sum(ratios) / len(ratios)
    if not mean:
        return shares.PERMILLE
    return round(max(ratios) / mean * shares.PERMILLE)
