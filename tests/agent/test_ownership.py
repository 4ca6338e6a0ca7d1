"""Ownership of buckets while agents have different views."""

import builders
import fakes
import pytest

from gentianspoke.core import views
from gentianspoke.decisions.agent import ownership
from gentianspoke.decisions import hashing

LIVE = views.State.LIVE
DRAINING = views.State.DRAINING
SUSPECT = views.State.SUSPECT


@pytest.mark.parametrize(
    ('joined_view', 'acked_view', 'expected_to_place'),
    [
        pytest.param(5, 4, False, id='view-not-acknowledged'),
        pytest.param(5, 5, True, id='view-acknowledged'),
        pytest.param(1, 0, False, id='acknowledged-nothing'),
    ],
)
def test_a_new_member_places_only_after_the_earlier_home_acked_its_view(
    joined_view, acked_view, expected_to_place
):
    home, second = fakes.ranked_members(2)
    new_member = builders.member(
        home, joined_view=joined_view, acked_view=joined_view
    )
    earlier_home = builders.member(
        second, joined_view=1, acked_view=acked_view
    )
    assert (
        agent_may_place(home, new_member, earlier_home, number=joined_view)
        is expected_to_place
    )


@pytest.mark.parametrize(
    ('state', 'closed_view', 'acked_view', 'expected_to_place'),
    [
        pytest.param(DRAINING, 7, 6, False, id='drain-not-acknowledged'),
        pytest.param(DRAINING, 7, 7, True, id='drain-acknowledged'),
        pytest.param(SUSPECT, 7, 6, False, id='suspect-with-a-lease'),
        pytest.param(SUSPECT, 7, 0, False, id='suspect-since-its-start'),
        pytest.param(DRAINING, 7, 0, True, id='still-joining'),
    ],
)
def test_a_home_waits_for_the_acknowledgement_of_a_closed_earlier_home(
    state, closed_view, acked_view, expected_to_place
):
    earlier, home = fakes.ranked_members(2)
    earlier_home = builders.member(
        earlier, state, closed_view=closed_view, acked_view=acked_view
    )
    own_member = builders.member(home, acked_view=closed_view)
    assert (
        agent_may_place(home, earlier_home, own_member, number=closed_view)
        is expected_to_place
    )


def agent_may_place(home, *members, number):
    view = builders.view(*members, number=number)
    entry = builders.service()
    agent = fakes.agent(home, entry, view)
    ranking = agent.rankings[1]
    bucket = hashing.bucket_of(builders.flow_key(), 1)
    return ownership.may_place(agent, entry, ranking, bucket, now=0)


@pytest.mark.parametrize(
    ('tried', 'expected'),
    [((), 2), ((2,), 3), ((2, 3), 4), ((2, 3, 4), None)],
)
def test_members_that_may_be_down_are_asked_last(tried, expected):
    order = (
        builders.member(1),
        builders.member(2),
        builders.member(4, SUSPECT, closed_view=3),
        builders.member(3),
    )
    next_member = ownership.find_next_member_to_ask(order, tried, own_number=1)
    assert (next_member.number if next_member else None) == expected
