"""Capacities and loads of other members, from their reports and their age.

A capacity changes slowly, so it is kept for as long as the member is listed,
and moves towards the median of the pool as its report ages. A member without a
report has the median capacity.

The influence of a false report is bounded: a capacity counts as at most
``MAX_CAPACITY_FACTOR`` times the median and at least the median divided by it,
and the open flows for each unit of capacity likewise with ``MAX_LOAD_FACTOR``.
"""

import statistics

from gentianspoke.core import shares
from gentianspoke.decisions.agent import capacity_records
from gentianspoke.decisions.agent import upstream_capacity

MAX_CAPACITY_FACTOR = 4.0
MAX_LOAD_FACTOR = 2.0
# A capacity moves towards the median of the pool from the first age to the
# second. A report comes every 7 s in a pool of 45.
CAPACITY_FRESH_MS = 15_000
CAPACITY_EXPIRY_MS = 60_000
# Up to this age, the running requests of a report show whether a member has
# room, and fewer fresh reports than ``MIN_FRESH_REPORTS`` show nothing.
FRESH_LOAD_MS = 2_000
MIN_FRESH_REPORTS = 3


def compute_rate(load: capacity_records.MemberLoad | None) -> float:
    """Return the reported requests a second, 0 if not known."""
    if load is None or not load.work_us:
        return 0.0
    return load.slots * upstream_capacity.US_PER_S / load.work_us


def estimate_capacities(
    loads: list[capacity_records.MemberLoad | None], own_rate: float, now: int
) -> list[float]:
    """Return the capacities of the own upstream and of the members.

    ``own_rate`` is 0 if the agent does not know the capacity of its own
    upstream yet. If no capacity is known, all are 1.
    """
    rates = [compute_rate(load) for load in loads]
    known_rates = [rate for rate in (own_rate, *rates) if rate]
    median = statistics.median(known_rates) if known_rates else 1.0
    own_capacity = bound(own_rate or median, median, MAX_CAPACITY_FACTOR)
    capacities = [
        _age_capacity(load, rate, median, now)
        for load, rate in zip(loads, rates, strict=True)
    ]
    return [own_capacity, *capacities]


def _age_capacity(
    load: capacity_records.MemberLoad | None,
    rate: float,
    median: float,
    now: int,
) -> float:
    if load is None or not rate:
        return median
    bounded = bound(rate, median, MAX_CAPACITY_FACTOR)
    age_ms = now - load.capacity_ms - CAPACITY_FRESH_MS
    if age_ms <= 0:
        return bounded
    kept = 1 - age_ms / (CAPACITY_EXPIRY_MS - CAPACITY_FRESH_MS)
    return median + (bounded - median) * max(0.0, kept)


def bound(value: float, median: float, factor: float) -> float:
    """Return the value within a factor of the median."""
    return min(max(value, median / factor), median * factor)


def compute_flow_ratios(
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
        bound(ratio, median, MAX_LOAD_FACTOR) if ratio is not None else None
        for ratio in ratios
    ]


def find_pool_wait_ms(
    loads: list[capacity_records.MemberLoad | None], now: int
) -> float | None:
    """Return the median wait for a slot, ``None`` without fresh reports."""
    waits_ms = [
        estimate_wait_ms(load.running, load.slots, load.work_us)
        for load in loads
        if load is not None and now - load.reported_ms <= FRESH_LOAD_MS
    ]
    if not waits_ms or len(waits_ms) < min(MIN_FRESH_REPORTS, len(loads)):
        return None
    return statistics.median(waits_ms)


def estimate_wait_ms(running: int, slots: int, work_us: int) -> float:
    """Return how long a request would wait for a slot."""
    slots = max(1, slots)
    requests_ahead = max(0, running - slots + 1)
    return work_us * requests_ahead / slots / upstream_capacity.US_PER_MS


def compute_mean_ratio(
    ratios: list[float | None], capacities: list[float]
) -> float:
    """Return the open flows for one unit of capacity, over known members."""
    known = [
        (ratio * capacity, capacity)
        for ratio, capacity in zip(ratios, capacities, strict=True)
        if ratio is not None
    ]
    flows = sum(flows for flows, _ in known)
    return flows / sum(capacity for _, capacity in known)


def compute_spread(ratios: list[float | None]) -> int:
    """Return the largest known ratio in thousandths of the mean."""
    known = [ratio for ratio in ratios if ratio is not None]
    mean = sum(known) / len(known)
    if not mean:
        return shares.PERMILLE
    return round(max(known) / mean * shares.PERMILLE)


def compute_mean_age_ms(
    loads: list[capacity_records.MemberLoad | None], now: int
) -> int:
    """Return the mean age of the reports, 0 if there are none."""
    ages_ms = [now - load.reported_ms for load in loads if load is not None]
    return sum(ages_ms) // len(ages_ms) if ages_ms else 0
