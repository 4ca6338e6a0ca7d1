"""Test how an entry instance routes packets, with and without members."""

import dataclasses

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
NOT_IDEMPOTENT = services.Booking(False)
IDEMPOTENT = services.Booking(True)


def route(traffic, members, packet):
    table = routing.RouteTable()
    table.set_catalogue(1, [builders.service(traffic)])
    if members is not None:
        table.set_view(builders.view(*members))
    return routing.route(table, packet)


@pytest.mark.parametrize(
    ('members', 'target'),
    [
        pytest.param([LIVE], 1, id='only-a-live-member'),
        pytest.param([LIVE, DRAINING], 1, id='live-before-draining'),
        pytest.param([DRAINING], 2, id='only-a-draining-member'),
    ],
)
def test_a_packet_is_sent_to_a_live_member_before_a_draining_one(
    members, target
):
    action = route(NOT_IDEMPOTENT, members, ACK)
    assert action.member.number == action.forward.target == target


@pytest.mark.parametrize(
    ('traffic', 'members', 'packet', 'action_type'),
    [
        pytest.param(IDEMPOTENT, [], SYN, actions.Refuse, id='idempotent'),
        pytest.param(
            NOT_IDEMPOTENT, [], SYN, actions.Drop, id='not-idempotent'
        ),
        pytest.param(IDEMPOTENT, [], ACK, actions.Drop, id='open-flow'),
        pytest.param(IDEMPOTENT, None, SYN, actions.Drop, id='no-view-yet'),
    ],
)
def test_without_members_only_openings_of_idempotent_requests_are_refused(
    traffic, members, packet, action_type
):
    assert isinstance(route(traffic, members, packet), action_type)


def test_a_packet_to_an_unknown_address_is_dropped():
    table = routing.RouteTable()
    assert routing.route(table, SYN) == actions.Drop('no-service')


SERVICE_WITH_TWO_POOLS = dataclasses.replace(
    builders.service(NOT_IDEMPOTENT),
    handshake=True,
    shares=(services.Share(7, 90, 'a'), services.Share(8, 10, 'b')),
)


def route_to_pools(packet, *pools, **changes):
    """Return the action for a packet to a service with two pools.

    ``pools`` holds pairs of a pool's number and its members. ``changes``
    holds fields of the service that are replaced.
    """
    table = routing.RouteTable()
    table.set_catalogue(
        1, [dataclasses.replace(SERVICE_WITH_TWO_POOLS, **changes)]
    )
    for pool, members in pools:
        table.set_view(views.View(pool, 1, tuple(members)))
    return routing.route(table, packet)


def make_openings(count=400):
    return [builders.segment(sport=5_000 + number) for number in range(count)]


def test_new_flows_are_distributed_by_weight():
    pools = ((7, [LIVE]), (8, [builders.member(3)]))
    chosen_pools = [
        route_to_pools(opening, *pools).forward.pool
        for opening in make_openings()
    ]
    assert 0.8 < chosen_pools.count(7) / len(chosen_pools) < 0.97


def test_a_pool_without_a_live_member_gets_no_new_flow():
    pools = ((7, [DRAINING]), (8, [builders.member(3)]))
    chosen_pools = {
        route_to_pools(opening, *pools).forward.pool
        for opening in make_openings()
    }
    assert chosen_pools == {8}


@pytest.mark.parametrize(
    ('retransmission', 'action_type'), [(0, actions.Refuse), (1, actions.Drop)]
)
def test_an_opening_to_a_retired_service_gets_the_reason_service_retired(
    retransmission, action_type
):
    packet = dataclasses.replace(SYN, retransmission=retransmission)
    action = route_to_pools(packet, (7, [LIVE]), retired=True)
    assert (type(action), action.reason) == (action_type, 'service-retired')


def test_a_pool_of_weight_0_gets_no_new_flow():
    shares = (services.Share(7, 0, 'a'), services.Share(8, 1, 'b'))
    action = route_to_pools(SYN, (7, [LIVE]), shares=shares)
    assert action == actions.Drop('no-view')


@pytest.mark.parametrize('retransmission', [0, 1, 2, 3])
def test_each_retransmission_of_an_opening_goes_to_the_next_member(
    retransmission,
):
    members = [builders.member(number) for number in (1, 2, 3)]
    packet = dataclasses.replace(SYN, retransmission=retransmission)
    pools = ((7, members), (8, members))
    first = route_to_pools(SYN, *pools).member
    action = route_to_pools(packet, *pools)
    assert (action.member == first) is (retransmission % 3 == 0)


@pytest.mark.parametrize(
    ('retransmission', 'action_type'), [(0, actions.Refuse), (1, actions.Drop)]
)
def test_only_packets_of_open_flows_reach_a_retired_service(
    retransmission, action_type
):
    packet = dataclasses.replace(SYN, retransmission=retransmission)
    action = route_to_pools(packet, (7, [LIVE]), retired=True)
    assert type(action) is action_type
    open_flow = route_to_pools(ACK, (7, [LIVE]), retired=True)
    assert type(open_flow) is actions.SendFrame


HANDSHAKE = dataclasses.replace(
    builders.service(NOT_IDEMPOTENT), handshake=True
)
WITHOUT_HANDSHAKE = builders.service(IDEMPOTENT)
RETRANSMITTED_SYN = dataclasses.replace(SYN, retransmission=1)
SUSPECT = builders.member(2, views.State.SUSPECT)
EVACUATED = dataclasses.replace(
    builders.member(4, views.State.EVACUATED), zone_evacuated=True
)
SUSPECT_THERE = builders.member(7, views.State.SUSPECT)
REFUSED = actions.Refuse(SYN, 'evacuated')


@pytest.mark.parametrize(
    ('service', 'members', 'packet', 'expected'),
    [
        (HANDSHAKE, [EVACUATED], SYN, REFUSED),
        (HANDSHAKE, [EVACUATED, SUSPECT_THERE], SYN, REFUSED),
        (HANDSHAKE, [LIVE, EVACUATED], SYN, 1),
        (HANDSHAKE, [SUSPECT, EVACUATED], SYN, 2),
        (HANDSHAKE, [EVACUATED], RETRANSMITTED_SYN, 4),
        (HANDSHAKE, [EVACUATED], ACK, 4),
        (WITHOUT_HANDSHAKE, [EVACUATED], SYN, 4),
    ],
)
def test_an_opening_is_refused_if_only_evacuated_members_are_left(
    service, members, packet, expected
):
    # Guards against an opening that goes to an agent that must not deliver it,
    # and against a refusal of an opening whose flow may be open: a copy that
    # is marked as retransmitted, or one of a service that does not mark them.
    table = routing.RouteTable()
    table.set_catalogue(1, [service])
    table.set_view(builders.view(*members))
    match routing.route(table, packet):
        case actions.SendFrame(member=member):
            assert member.number == expected
        case action:
            assert action == expected


FORMER = services.FormerPool(9, 'c')
FORMER_MEMBER = builders.member(5)
CURRENT_SUSPECT = builders.member(6, views.State.SUSPECT)


@pytest.mark.parametrize(
    ('pools', 'expected'),
    [
        pytest.param([(7, [LIVE])], 1, id='live-current-pool'),
        pytest.param([(7, [DRAINING])], 2, id='draining-current-pool'),
        pytest.param([(7, [])], 5, id='current-pool-without-members'),
        pytest.param([], 5, id='current-pool-without-view'),
        pytest.param([(7, [CURRENT_SUSPECT])], 5, id='current-pool-lost'),
    ],
)
@pytest.mark.parametrize('retired', [False, True])
def test_a_packet_of_an_open_flow_goes_to_a_former_pool_if_no_other_responds(
    pools, expected, retired
):
    # Guards against an entry that drops the packets of flows that are open at
    # a former pool, because the pool that gets the new flows has no member.
    action = route_to_pools(
        ACK,
        *pools,
        (9, [FORMER_MEMBER]),
        shares=(services.Share(7, 1, 'a'),),
        former=(FORMER,),
        retired=retired,
    )
    assert action.member.number == expected


def test_a_packet_of_an_open_flow_goes_to_a_pool_of_weight_0_if_it_is_alone():
    # Guards against a drop of the open flows of a pool whose share went to 0.
    shares = (services.Share(7, 0, 'a'), services.Share(8, 1, 'b'))
    action = route_to_pools(ACK, (7, [LIVE]), shares=shares)
    assert action.member.number == LIVE.number


@pytest.mark.parametrize('retransmission', [0, 1])
@pytest.mark.parametrize(
    ('pools', 'reason'),
    [
        pytest.param([(7, [])], 'no-upstream', id='no-members'),
        pytest.param([], 'no-view', id='no-view'),
    ],
)
def test_an_opening_goes_to_no_former_pool(pools, reason, retransmission):
    packet = dataclasses.replace(SYN, retransmission=retransmission)
    action = route_to_pools(
        packet,
        *pools,
        (9, [FORMER_MEMBER]),
        shares=(services.Share(7, 1, 'a'),),
        former=(FORMER,),
    )
    assert action.reason == reason
