"""The entry's answer for packets, with and without members."""

import builders
import pytest

from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.core import views
from gentianspoke.decisions import actions
from gentianspoke.decisions import routing

LIVE = builders.member(1)
DRAINING = builders.member(2, views.State.DRAINING, closed_view=1)
SYN = builders.segment()
ACK = builders.segment(packets.ACK)
ONCE = services.Booking(False)
AGAIN = services.Booking(True)


def route(traffic, members, packet):
    table = routing.RouteTable()
    table.set_catalogue(1, [builders.service(traffic)])
    if members is not None:
        table.set_view(builders.view(*members))
    return routing.route(table, packet)


@pytest.mark.parametrize(
    ('members', 'target'),
    [
        pytest.param([LIVE], 1, id='one'),
        pytest.param([LIVE, DRAINING], 1, id='live-before-draining'),
        pytest.param([DRAINING], 2, id='flows-of-a-draining-member'),
    ],
)
def test_a_packet_goes_to_the_home(members, target):
    action = route(ONCE, members, ACK)
    assert action.member.number == action.forward.target == target


@pytest.mark.parametrize(
    ('traffic', 'members', 'packet', 'kind'),
    [
        pytest.param(AGAIN, [], SYN, actions.Refuse, id='idempotent'),
        pytest.param(ONCE, [], SYN, actions.Drop, id='may-be-placed'),
        pytest.param(AGAIN, [], ACK, actions.Drop, id='open-flow'),
        pytest.param(AGAIN, None, SYN, actions.Drop, id='no-view-yet'),
    ],
)
def test_without_members_only_idempotent_openings_are_refused(
    traffic, members, packet, kind
):
    assert isinstance(route(traffic, members, packet), kind)


def test_an_unknown_address_is_dropped():
    table = routing.RouteTable()
    assert routing.route(table, SYN) == actions.Drop('no-service')
