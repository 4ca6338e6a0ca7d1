"""An entry refuses an opening at once if all members are evacuated."""

import dataclasses

import builders
import pytest

from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.core import views
from gentianspoke.decisions import actions
from gentianspoke.decisions import routing

HANDSHAKE = dataclasses.replace(
    builders.service(services.Booking(False)), handshake=True
)
WITHOUT_HANDSHAKE = builders.service(services.Booking(True))
SYN = builders.segment()
RETRANSMITTED_SYN = dataclasses.replace(SYN, retransmission=1)
ACK = builders.segment(packets.ACK)


def member(number, state, zone_evacuated):
    return dataclasses.replace(
        builders.member(number, state), zone_evacuated=zone_evacuated
    )


EVACUATED = member(1, views.State.EVACUATED, True)
SUSPECT_THERE = member(4, views.State.SUSPECT, True)
SUSPECT_ELSEWHERE = member(2, views.State.SUSPECT, False)
LIVE = member(2, views.State.LIVE, False)
REFUSED = actions.Refuse(SYN, 'evacuated')


@pytest.mark.parametrize(
    ('service', 'members', 'packet', 'expected'),
    [
        pytest.param(HANDSHAKE, [EVACUATED], SYN, REFUSED, id='opening'),
        pytest.param(
            HANDSHAKE, [EVACUATED, SUSPECT_THERE], SYN, REFUSED, id='suspect'
        ),
        pytest.param(HANDSHAKE, [EVACUATED, LIVE], SYN, 2, id='one-live'),
        pytest.param(
            HANDSHAKE,
            [EVACUATED, SUSPECT_ELSEWHERE],
            SYN,
            2,
            id='suspect-in-another-zone',
        ),
        pytest.param(
            HANDSHAKE, [EVACUATED], RETRANSMITTED_SYN, 1, id='retransmission'
        ),
        pytest.param(HANDSHAKE, [EVACUATED], ACK, 1, id='open-flow'),
        pytest.param(
            WITHOUT_HANDSHAKE, [EVACUATED], SYN, 1, id='without-handshake'
        ),
    ],
)
def test_an_opening_is_refused_only_if_no_member_can_accept_it(
    service, members, packet, expected
):
    # Guards against an opening that goes to an agent that must not deliver it,
    # and against a refusal of an opening whose flow may be open: a copy that
    # is marked as retransmitted, or one of a service that does not mark them.
    table = routing.RouteTable()
    table.set_catalogue(1, [service])
    table.set_view(builders.view(*members))
    action = routing.route(table, packet)
    match action:
        case actions.SendFrame():
            assert action.member.number == expected
        case _:
            assert action == expected
