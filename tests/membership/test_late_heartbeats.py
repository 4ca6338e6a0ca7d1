"""Late heartbeats do not change the reported oldest flow view.

``views.Member`` explains what the oldest flow view is. A heartbeat that an
agent sent before its newest acknowledgement, or sends after a restart, could
otherwise hide a flow that was placed under an older view. The agent that is
now the home of the flow's bucket would then not ask for the flow.
"""

import dataclasses

from membership import test_views
import pytest

from gentianspoke.decisions.control import membership


def make_report_heartbeat(acked_view, oldest_flow_view):
    return dataclasses.replace(
        test_views.make_heartbeat(),
        reports=(membership.ServiceReport(1, acked_view, oldest_flow_view),),
    )


@pytest.mark.parametrize(
    ('first_report', 'second_report', 'expected'),
    [
        pytest.param((1, 0), (2, 1), 1, id='in-order'),
        pytest.param((2, 1), (1, 0), 1, id='late'),
        pytest.param((2, 1), (2, 0), 0, id='flow-ended'),
        pytest.param((2, 1), (0, 0), 1, id='restarted'),
    ],
)
def test_the_oldest_flow_view_comes_with_the_newest_acknowledgement(
    first_report, second_report, expected
):
    members = test_views.make_membership()
    for acked_view, oldest_flow_view in (first_report, second_report):
        members.announce(
            make_report_heartbeat(acked_view, oldest_flow_view), 0
        )
    (member,) = members.get_view(1).members
    assert member.oldest_flow_view == expected
