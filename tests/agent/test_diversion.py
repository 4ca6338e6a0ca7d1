"""Estimates of the loads of other members between their reports."""

import builders
import pytest

from gentianspoke.core import frames
from gentianspoke.core import services
from gentianspoke.core import views
from gentianspoke.decisions.agent import core
from gentianspoke.decisions.agent import diversion
from gentianspoke.decisions.agent import state as agent_state

OWN, OTHER, THIRD, FOURTH = 1, 2, 3, 4


def agent_with(own_flows, reports, members=FOURTH):
    """Return an agent that has received load reports.

    ``own_flows`` is its own load at that time. ``reports`` maps each sender
    to its load. ``members`` is the number of members of the view.
    """
    state = agent_state.AgentState(
        number=OWN,
        zone='zone-1',
        capacity=agent_state.Capacity(4, 10**6, 0),
        started_ms=0,
    )
    state.set_catalogue([builders.service(services.Board())])
    listed_members = (
        builders.member(number) for number in range(OWN, members + 1)
    )
    state.set_view(views.View(1, 1, tuple(listed_members)))
    state.counts[1].open_flows = own_flows
    for sender, open_flows in reports.items():
        report = frames.LoadReport(1, sender, open_flows, 0, 0)
        core.on_load(state, report, now=0)
    return state


@pytest.mark.parametrize(
    ('own_load', 'placed_flows', 'expected'),
    [
        pytest.param(100, 0, 100, id='no-growth'),
        pytest.param(130, 0, 130, id='grows-like-the-own-load'),
        pytest.param(130, 40, 170, id='grows-by-placed-flows-too'),
        pytest.param(80, 0, 100, id='own-decrease-is-ignored'),
    ],
)
def test_an_estimated_load_grows_between_reports(
    own_load, placed_flows, expected
):
    state = agent_with(100, {OTHER: 100, THIRD: 100})
    state.counts[1].open_flows = own_load
    for _ in range(placed_flows):
        diversion.note_placed_flow(state, 1, OTHER)
    assert diversion.estimate_load(state, 1, OTHER) == expected


# This agent places 40 flows. The number of deciders that are assumed to place
# as many, this agent included, is half the number of other live members: 1 or
# 3.
@pytest.mark.parametrize(('members', 'expected'), [(3, 140), (7, 220)])
def test_other_deciders_are_assumed_to_divert_as_many_flows_as_this_agent(
    members, expected
):
    state = agent_with(100, {OTHER: 100, THIRD: 100}, members)
    for _ in range(40):
        diversion.note_placed_flow(state, 1, OTHER)
    assert diversion.estimate_load(state, 1, OTHER) == expected


@pytest.mark.parametrize(
    ('reported_load', 'min_load', 'max_load'),
    [
        pytest.param(0, 50, 50, id='claims-to-be-idle'),
        pytest.param(10**9, 200, 201, id='claims-to-be-full'),
        pytest.param(110, 110, 110, id='plausible'),
    ],
)
def test_a_false_report_changes_an_estimate_within_bounds(
    reported_load, min_load, max_load
):
    state = agent_with(100, {OTHER: reported_load, THIRD: 100, FOURTH: 100})
    assert min_load <= diversion.estimate_load(state, 1, OTHER) <= max_load
