"""The cost of load reports is bounded, however large a pool is."""

import pytest

from gentianspoke.shells.agent import loads


@pytest.mark.parametrize(
    ('receiver_count', 'report_count'),
    [(0, 0), (1, 1), (6, 6), (8, 8), (24, 8), (25, 3), (108, 3), (20_000, 3)],
)
def test_a_large_pool_gets_fewer_reports(receiver_count, report_count):
    assert loads.compute_report_count(receiver_count) == report_count
