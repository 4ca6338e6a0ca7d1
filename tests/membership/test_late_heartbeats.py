"""A heartbeat that arrives late does not hide older records."""

import dataclasses

from membership import test_views
import pytest

from gentianspoke.decisions.control import membership


def report(acked, oldest):
    return dataclasses.replace(
        test_views.heartbeat(),
        reports=(membership.ServiceReport(1, acked, oldest),),
    )


@pytest.mark.parametrize(
    ('first', 'second', 'oldest'),
    [
        pytest.param((1, 0), (2, 1), 1, id='in-order'),
        pytest.param((2, 1), (1, 0), 1, id='late'),
        pytest.param((2, 1), (2, 0), 0, id='record-ended'),
        pytest.param((2, 1), (0, 0), 1, id='restarted'),
    ],
)
def test_the_oldest_flow_view_belongs_to_the_acknowledgement(
    first, second, oldest
):
    members = test_views.new_membership()
    for acked, flow_view in (first, second):
        members.announce(report(acked, flow_view), 0)
    (member,) = members.view(1).members
    assert member.oldest_flow_view == oldest
