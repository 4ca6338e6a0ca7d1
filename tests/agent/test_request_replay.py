"""What callers get under bursts, with and without the request queue.

Guards against an order of requests that serves callers worse than the
upstream's own queue.
"""

import pytest

from benchmarks.policy import requests


@pytest.mark.parametrize(
    ('deployment', 'burst'),
    [
        pytest.param(requests.SEARCH, 'none', id='search'),
        pytest.param(requests.SEARCH, 'upload 2.6', id='search-uploads'),
        pytest.param(requests.SEARCH, 'lookup 1.7', id='search-lookups'),
        pytest.param(requests.LENDING, 'none', id='lending'),
        pytest.param(requests.LENDING, 'download 2.6', id='lending-downloads'),
    ],
)
def test_a_burst_within_the_capacity_serves_each_class_and_caller_better(
    deployment, burst
):
    factors = requests.list_bursts(deployment)[burst]
    before = requests.play(deployment, factors, False)
    after = requests.play(deployment, factors, True)
    shares_before = requests.share_by_class(before)
    shares_after = requests.share_by_class(after)
    assert all(
        share >= shares_before[name] for name, share in shares_after.items()
    )
    worst_before, _ = requests.compare_callers(before)
    worst_after, median_after = requests.compare_callers(after)
    assert worst_after > worst_before
    assert median_after - worst_after < 0.1


@pytest.mark.parametrize(
    'deployment',
    [
        pytest.param(requests.SEARCH, id='search'),
        pytest.param(requests.LENDING, id='lending'),
    ],
)
def test_a_burst_beyond_the_capacity_costs_the_less_urgent_class(deployment):
    urgent, less_urgent, _ = deployment.rates
    factors = requests.list_bursts(deployment)['all 1.7']
    before = requests.play(deployment, factors, False)
    after = requests.play(deployment, factors, True)
    shares_before = requests.share_by_class(before)
    shares_after = requests.share_by_class(after)
    assert shares_after[urgent.name] > shares_before[urgent.name] + 0.1
    assert shares_after[less_urgent.name] < shares_after[urgent.name]
    all_before = requests.share_in_time(before)
    assert requests.share_in_time(after) >= all_before
