"""What callers get under bursts, with and without the request queue.

Guards against an order of requests that serves callers worse than the
upstream's own queue. The classes are those of two deployments in
``docs/load-and-recovery.md``, each at an upstream with twice the mean load.
"""

import pytest
import request_replay

from gentianspoke.core import services

SECONDS = 20
SEEDS = range(3)
# Load of the upstream relative to the mean of its pool.
LOAD = 2.0
# Share of all requests that one of 20 callers sends.
AGGRESSIVE_SHARE = 0.3
STREAM = request_replay.RequestClass(
    'stream', services.Board(), 0, 22, 361, 2_164
)
LOOKUP = request_replay.RequestClass(
    'lookup', services.Booking(False), 1, 29, 358, 2_866
)
UPLOAD = request_replay.RequestClass(
    'upload', services.Upload(False), 0, 5, 1_102, 8_267
)
BALANCE = request_replay.RequestClass(
    'balance', services.Board(), 0, 62.7, 553, 6_020
)
DECISION = request_replay.RequestClass(
    'decision', services.Booking(False), 1, 81.3, 568, 7_152
)
DOWNLOAD = request_replay.RequestClass(
    'download', services.Download(), 0, 5.6, 1_061, 13_173
)
# Requests a second of the whole pool, and its number of upstreams.
SEARCH = ({STREAM: 569, LOOKUP: 162, UPLOAD: 48.8}, 48)
LENDING = ({BALANCE: 578, DECISION: 165, DOWNLOAD: 49.5}, 56)


def play(deployment, slots, burst, is_enabled):
    """Return the requests of all seeds."""
    pool_rates, upstreams = deployment
    classes = list(pool_rates)
    rates = {
        item.name: rate / upstreams * LOAD * burst.get(item, 1)
        for item, rate in pool_rates.items()
    }
    requests = []
    for seed in SEEDS:
        arrivals = request_replay.make_arrivals(
            classes, rates, SECONDS, seed, aggressive=AGGRESSIVE_SHARE
        )
        replay = request_replay.Replay(classes, slots, is_enabled)
        requests += replay.run(arrivals, (SECONDS + 5) * 1_000)
    return requests


@pytest.mark.parametrize(
    ('deployment', 'slots', 'burst'),
    [
        pytest.param(SEARCH, 1, {}, id='search'),
        pytest.param(SEARCH, 1, {UPLOAD: 2.6}, id='search-uploads'),
        pytest.param(SEARCH, 1, {LOOKUP: 1.7}, id='search-lookups'),
        pytest.param(LENDING, 2, {}, id='lending'),
        pytest.param(LENDING, 2, {DOWNLOAD: 2.6}, id='lending-downloads'),
    ],
)
def test_a_burst_within_the_capacity_serves_each_class_and_caller_better(
    deployment, slots, burst
):
    before = play(deployment, slots, burst, False)
    after = play(deployment, slots, burst, True)
    shares_before = request_replay.share_by_class(before)
    shares_after = request_replay.share_by_class(after)
    assert all(
        share >= shares_before[name] for name, share in shares_after.items()
    )
    worst_before, _ = request_replay.compare_callers(before)
    worst_after, median_after = request_replay.compare_callers(after)
    assert worst_after > worst_before
    assert median_after - worst_after < 0.1


@pytest.mark.parametrize(
    ('deployment', 'slots'),
    [
        pytest.param(SEARCH, 1, id='search'),
        pytest.param(LENDING, 2, id='lending'),
    ],
)
def test_a_burst_beyond_the_capacity_costs_the_less_urgent_class(
    deployment, slots
):
    urgent, less_urgent, _ = deployment[0]
    burst = dict.fromkeys(deployment[0], 1.7)
    before = play(deployment, slots, burst, False)
    after = play(deployment, slots, burst, True)
    shares_before = request_replay.share_by_class(before)
    shares_after = request_replay.share_by_class(after)
    assert shares_after[urgent.name] > shares_before[urgent.name] + 0.1
    assert shares_after[less_urgent.name] < shares_after[urgent.name]
    assert request_replay.share_in_time(after) >= request_replay.share_in_time(
        before
    )
