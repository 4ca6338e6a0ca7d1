"""Test the homes of buckets, computed anew or reused from an earlier view."""

import builders
import pytest

from gentianspoke.core import views
from gentianspoke.decisions import hashing
from gentianspoke.decisions import member_ranking

# A sample of the buckets: every seventh.
BUCKETS = range(0, hashing.BUCKETS_PER_SERVICE, 7)
DRAINING = views.State.DRAINING


def make_view(*members, number=1):
    return views.View(1, number, tuple(members))


@pytest.mark.parametrize('draining_numbers', [(), (2,), (1, 3), (1, 2, 3, 4)])
# From 254 members on, the table of homes has wider items.
@pytest.mark.parametrize('member_count', [4, 300])
def test_the_home_is_the_first_live_member_of_the_order(
    draining_numbers, member_count
):
    members = (
        (
            builders.member(number, DRAINING, closed_view=1)
            if number in draining_numbers
            else builders.member(number)
        )
        for number in range(1, member_count + 1)
    )
    ranking = member_ranking.Ranking(make_view(*members))
    for bucket in BUCKETS:
        live_members = [
            item for item in ranking.rank_members(bucket) if item.is_live
        ]
        assert ranking.home(bucket) == (
            live_members[0] if live_members else None
        )


@pytest.mark.parametrize(
    'later_members',
    [
        pytest.param(
            (builders.member(1), builders.member(2, acked_view=9)),
            id='acknowledgement',
        ),
        pytest.param(
            (builders.member(1), builders.member(2, DRAINING, closed_view=2)),
            id='drain',
        ),
        pytest.param((builders.member(2),), id='removal'),
    ],
)
def test_homes_after_a_change_equal_recomputed_homes(later_members):
    first_view = make_view(builders.member(1), builders.member(2))
    previous = member_ranking.Ranking(first_view)
    for bucket in BUCKETS:
        previous.home(bucket)
    second_view = make_view(*later_members, number=2)
    ranking = member_ranking.Ranking(second_view, previous)
    recomputed = member_ranking.Ranking(second_view)
    for bucket in BUCKETS:
        assert ranking.home(bucket) == recomputed.home(bucket)
