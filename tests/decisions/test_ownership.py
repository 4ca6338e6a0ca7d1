"""Who may decide on an opening while views differ."""

import builders
import pytest

from gentianspoke.core import views
from gentianspoke.decisions.agent import ownership

LIVE = views.State.LIVE
DRAINING = views.State.DRAINING
SUSPECT = views.State.SUSPECT


@pytest.mark.parametrize(
    ('first', 'second', 'may_still_decide'),
    [
        pytest.param(
            builders.member(1, joined_view=5),
            builders.member(2, joined_view=1, acked_view=4),
            True,
            id='has-not-seen-the-joiner',
        ),
        pytest.param(
            builders.member(1, joined_view=5),
            builders.member(2, joined_view=1, acked_view=5),
            False,
            id='has-seen-the-joiner',
        ),
        pytest.param(
            builders.member(1),
            builders.member(2, SUSPECT, closed_view=7, acked_view=0),
            True,
            id='restarted-and-acknowledged-nothing',
        ),
    ],
)
def test_a_member_decides_until_it_acknowledges_its_successor(
    first, second, may_still_decide
):
    order = (first, second)
    found = ownership.may_still_decide(order, 1, home=1)
    assert found is may_still_decide


@pytest.mark.parametrize(
    ('state', 'closed', 'acked', 'may_still_decide'),
    [
        pytest.param(DRAINING, 7, 6, True, id='drain-not-yet-known'),
        pytest.param(DRAINING, 7, 7, False, id='drain-acknowledged'),
        pytest.param(SUSPECT, 7, 6, True, id='silent-with-a-lease'),
    ],
)
def test_a_closed_member_before_the_home_decides_until_it_knows(
    state, closed, acked, may_still_decide
):
    earlier = builders.member(2, state, closed_view=closed, acked_view=acked)
    order = (earlier, builders.member(1))
    found = ownership.may_still_decide(order, 0, home=1)
    assert found is may_still_decide


@pytest.mark.parametrize(
    ('tried', 'expected'),
    [((), 2), ((2,), 3), ((2, 3), 4), ((2, 3, 4), None)],
)
def test_the_trail_asks_members_that_may_be_down_last(tried, expected):
    order = (
        builders.member(1),
        builders.member(2),
        builders.member(4, SUSPECT, closed_view=3),
        builders.member(3),
    )
    found = ownership.next_on_trail(order, tried, own=1)
    assert (found.number if found else None) == expected
