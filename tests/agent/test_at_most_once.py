"""Openings of services whose requests must run at most once.

Such an opening reaches at most one upstream, and the request of an opening
that was refused has not run. The tests guard against a second placement while
agents have different views, offers are in flight, or members restart or are
lost.
"""

import dataclasses

import builders
import fakes
import pytest

from gentianspoke.core import frames
from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.core import views
from gentianspoke.decisions import actions
from gentianspoke.decisions.agent import core
from gentianspoke.decisions import hashing

SYN = builders.segment()
NEXT_SYN = builders.segment(seq=900)
HOME, SECOND, THIRD = fakes.ranked_members()
LIVE = views.State.LIVE
DRAINING = views.State.DRAINING
SUSPECT = views.State.SUSPECT
LATER_MS = 1_000


def view(number=1, **changes):
    """Return a view of three members, live unless ``changes`` says otherwise.

    ``changes`` gives the changed fields of ``home``, ``second`` or ``third``.
    """
    members = [builders.member(n) for n in (1, 2, 3)]
    for name, change in changes.items():
        index = {'home': HOME, 'second': SECOND, 'third': THIRD}[name] - 1
        members[index] = dataclasses.replace(members[index], **change)
    return builders.view(*members, number=number)


def acked_changes(number, *names):
    return {name: {'acked_view': number} for name in names}


def closed_changes(number, **fields):
    return {'state': SUSPECT, 'closed_view': number, **fields}


def agents_with_full_home(entry):
    """Return three agents, whose home has no free slot, and their network."""
    states = {n: fakes.agent(n, entry, view()) for n in (1, 2, 3)}
    # The upstream of ``fakes.agent`` has 4 slots.
    states[HOME].total_running = 4
    return states, fakes.AgentNetwork(*states.values())


def test_copies_through_several_entries_reach_one_upstream():
    states, network = agents_with_full_home(builders.service())
    for target in (HOME, SECOND, THIRD, HOME):
        network.send(target, SYN)
    assert len(set(network.delivering_agents)) == 1


def test_an_offer_in_flight_is_not_replaced_by_a_second_placement():
    states, network = agents_with_full_home(builders.service())
    network.held_targets = {SECOND, THIRD}
    network.send(HOME, SYN)
    target = network.held_frames[0].target
    network.held_targets = {target}
    states[HOME].total_running = 0
    # The copy reaches the target before the offer, so the target has no
    # record of the opening yet.
    network.send(HOME, SYN, tried=(target,))
    network.release_held_frames(SYN)
    assert set(network.delivering_agents) == {target}


@pytest.mark.parametrize(
    ('opening', 'expected'),
    [
        pytest.param(SYN, [], id='copy'),
        pytest.param(NEXT_SYN, [HOME], id='new-opening'),
    ],
)
def test_an_opening_whose_target_is_lost_is_not_placed_again(
    opening, expected
):
    states, network = agents_with_full_home(builders.service())
    network.held_targets = {SECOND, THIRD}
    network.send(HOME, SYN)
    lost_target = network.held_frames[0].target
    states[HOME].total_running = 0
    members = [builders.member(n) for n in (1, 2, 3) if n != lost_target]
    newer_members = [
        dataclasses.replace(member, acked_view=2) for member in members
    ]
    states[HOME].set_view(builders.view(*newer_members, number=2))
    network.send(HOME, opening)
    assert (network.delivering_agents, network.refusal_reasons) == (
        expected,
        [],
    )


@pytest.mark.parametrize(
    ('queued_ms', 'lease_until_ms', 'expected'),
    [
        pytest.param(0, 5_000, ['deliver'], id='lease-held'),
        pytest.param(0, 900, [], id='lease-expired'),
    ],
)
def test_a_queued_opening_starts_only_under_a_lease(
    queued_ms, lease_until_ms, expected
):
    entry = builders.service(services.Upload(False), wait_ms=4_000)
    one_member_view = builders.view(builders.member(1))
    state = fakes.agent(1, entry, one_member_view, 1, lease_until_ms)
    state.total_running = 1
    network = fakes.AgentNetwork(state)
    network.send(1, SYN, queued_ms, wait_left_ms=4_000)
    state.total_running = 0
    decided_actions = core.on_tick(state, LATER_MS)
    assert len(decided_actions) == len(expected)


def test_a_queued_opening_is_not_refused_without_a_lease():
    entry = builders.service(services.Upload(False))
    one_member_view = builders.view(builders.member(1))
    state = fakes.agent(1, entry, one_member_view, 1, lease_until_ms=500)
    state.total_running = 1
    network = fakes.AgentNetwork(state)
    network.send(1, SYN, wait_left_ms=800)
    network.carry_out(1, core.on_tick(state, LATER_MS))
    assert (network.refusal_reasons, network.drop_reasons[-1]) == (
        [],
        'lease-lost-in-queue',
    )


@pytest.mark.parametrize(
    ('target_view', 'lease_until_ms', 'is_accepted'),
    [
        pytest.param(view(), 3_000, True, id='same-view'),
        pytest.param(view(), 0, False, id='target-without-lease'),
        pytest.param(
            view(2, home=closed_changes(2)), 3_000, False, id='decider-closed'
        ),
        pytest.param(
            view(3, home={'joined_view': 3}),
            3_000,
            False,
            id='decider-rejoined',
        ),
    ],
)
def test_an_offer_of_a_decider_that_is_no_longer_home_is_not_accepted(
    target_view, lease_until_ms, is_accepted
):
    entry = builders.service()
    target = fakes.agent(THIRD, entry, target_view, 4, lease_until_ms)
    network = fakes.AgentNetwork(target)
    network.send(
        THIRD,
        SYN,
        purpose=frames.Purpose.OFFER,
        sender=HOME,
        decider=HOME,
    )
    assert bool(network.delivering_agents) is is_accepted


def test_a_new_home_finds_an_opening_that_a_lost_home_had_diverted():
    states, network = agents_with_full_home(builders.service())
    network.send(HOME, SYN)
    (target,) = network.delivering_agents
    del network.states[HOME]
    # The control instances have removed the lost home. The target reports
    # the oldest view of its flows.
    members = [
        builders.member(n, acked_view=2) for n in (1, 2, 3) if n != HOME
    ]
    reported_views = {
        number: core.find_oldest_flow_view(states[number], 1)
        for number in (SECOND, THIRD)
    }
    newer_members = [
        dataclasses.replace(
            member, oldest_flow_view=reported_views[member.number]
        )
        for member in members
    ]
    for number in (SECOND, THIRD):
        states[number].set_view(builders.view(*newer_members, number=2))
    network.send(SECOND, SYN)
    assert set(network.delivering_agents) == {target}


@pytest.mark.parametrize(
    ('newer_view', 'is_placed'),
    [
        pytest.param(
            view(
                2,
                home=closed_changes(2),
                **acked_changes(2, 'second', 'third'),
            ),
            False,
            id='lost-home-still-listed',
        ),
        pytest.param(
            view(
                2,
                home=closed_changes(2, acked_view=2),
                **acked_changes(2, 'second'),
                third={'acked_view': 1},
            ),
            False,
            id='third-member-not-yet-acknowledged',
        ),
        pytest.param(
            view(
                2,
                home={'state': DRAINING, 'closed_view': 2, 'acked_view': 2},
                **acked_changes(2, 'second', 'third'),
            ),
            True,
            id='all-have-acknowledged',
        ),
        pytest.param(
            view(
                2,
                home={'state': DRAINING, 'closed_view': 2, 'acked_view': 1},
                **acked_changes(2, 'second', 'third'),
            ),
            False,
            id='drain-not-yet-acknowledged',
        ),
    ],
)
def test_a_new_home_waits_for_members_that_act_on_an_older_view(
    newer_view, is_placed
):
    entry = builders.service()
    state = fakes.agent(SECOND, entry, view())
    state.set_view(newer_view)
    network = fakes.AgentNetwork(state)
    network.send(SECOND, SYN)
    assert bool(network.delivering_agents) is is_placed


def test_a_home_keeps_placing_while_another_member_is_lost():
    entry = builders.service()
    state = fakes.agent(HOME, entry, view())
    state.set_view(view(2, third=closed_changes(2), second={'acked_view': 1}))
    network = fakes.AgentNetwork(state)
    network.send(HOME, SYN)
    assert network.delivering_agents == [HOME]


def test_a_home_that_may_have_missed_a_view_waits_like_a_new_home():
    entry = builders.service()
    state = fakes.agent(HOME, entry, view())
    state.feed_confirmed_ms = 0
    # 2_500 ms is longer than ``MAX_FEED_GAP_MS`` of the agent's state.
    state.check_feed_gap(2_500)
    state.set_view(view(4))
    network = fakes.AgentNetwork(state)
    network.send(HOME, SYN, 2_500)
    assert network.drop_reasons == ['awaiting-lease']


def test_a_rejoining_agent_does_not_act_on_an_older_view():
    entry = builders.service()
    state = fakes.agent(HOME, entry, view(), joining=True)
    network = fakes.AgentNetwork(state)
    network.send(HOME, SYN)
    assert (network.delivering_agents, network.drop_reasons) == (
        [],
        ['awaiting-lease'],
    )


@pytest.mark.parametrize(
    ('opening', 'delivered', 'dropped'),
    [
        pytest.param(SYN, 1, ['late-opening'], id='late-copy'),
        pytest.param(NEXT_SYN, 2, [], id='reused-five-tuple'),
    ],
)
def test_a_late_copy_of_an_ended_flow_is_not_a_new_opening(
    opening, delivered, dropped
):
    one_member_view = builders.view(builders.member(1))
    state = fakes.agent(1, builders.service(), one_member_view)
    network = fakes.AgentNetwork(state)
    network.send(1, SYN)
    core.on_reply(state, builders.segment(packets.RST), 10)
    network.send(1, opening, 20)
    assert (len(network.delivering_agents), network.drop_reasons) == (
        delivered,
        dropped,
    )


def test_a_copy_of_a_refused_opening_is_refused_again():
    one_member_view = builders.view(builders.member(1))
    state = fakes.agent(1, builders.service(), one_member_view, slots=1)
    state.total_running = 1
    network = fakes.AgentNetwork(state)
    network.send(1, SYN)
    state.total_running = 0
    network.send(1, SYN, 500)
    assert network.refusal_reasons == ['no-capacity', 'refused-before']
    assert network.delivering_agents == []


@pytest.mark.parametrize(
    ('traffic', 'dropped'),
    [
        (services.Booking(False), ['opening-with-payload']),
        (services.Booking(True), []),
    ],
)
def test_an_opening_with_payload_is_dropped_if_work_must_run_at_most_once(
    traffic, dropped
):
    one_member_view = builders.view(builders.member(1))
    network = fakes.AgentNetwork(
        fakes.agent(1, builders.service(traffic), one_member_view)
    )
    network.send(1, dataclasses.replace(SYN, payload_bytes=20))
    assert network.drop_reasons == dropped


def three_agents():
    entry = builders.service()
    states = {n: fakes.agent(n, entry, view()) for n in (1, 2, 3)}
    return states, fakes.AgentNetwork(*states.values())


def view_with_closed_home(number=2, **changes):
    all_changes = {'home': closed_changes(number, acked_view=number)}
    all_changes.update(acked_changes(number, 'second', 'third'))
    for name, change in changes.items():
        all_changes[name] = {**all_changes[name], **change}
    return view(number, **all_changes)


def test_a_member_asked_before_it_acknowledged_the_view_is_asked_again():
    states, network = three_agents()
    states[SECOND].set_view(
        view_with_closed_home(third={'oldest_flow_view': 1})
    )
    # The third member accepted a late offer after it had passed this copy on.
    late_offer = fakes.forward(
        THIRD, SYN, frames.Purpose.OFFER, sender=HOME, decider=HOME
    )
    assert core.on_forward(states[THIRD], late_offer, SYN, 0)
    states[THIRD].set_view(view_with_closed_home())
    network.send(SECOND, SYN, tried=(THIRD, HOME))
    assert network.delivering_agents == [THIRD]


@pytest.mark.parametrize('target', [SECOND, THIRD])
def test_an_opening_whose_offer_was_lost_is_placed_by_the_next_home(target):
    states, network = three_agents()
    states[HOME].total_running = 4
    network.unreachable_targets = {SECOND, THIRD}
    network.send(HOME, SYN)
    network.unreachable_targets = set()
    # A home reports 0. As soon as it has ceased to be the home, it reports the
    # view of its diversion, which is 1.
    oldest_view = core.find_oldest_flow_view(states[HOME], 1)
    newer_view = view_with_closed_home(
        home={'oldest_flow_view': oldest_view or 1}
    )
    for state in states.values():
        state.set_view(newer_view)
    network.send(target, SYN)
    assert network.delivering_agents == [SECOND]


def test_a_home_that_rejoined_renews_its_offer_to_the_same_target():
    states, network = three_agents()
    states[HOME].total_running = 4
    network.held_targets = {SECOND, THIRD}
    network.send(HOME, SYN)
    target = network.held_frames[0].target
    network.held_targets = set()
    states[HOME].total_running = 0
    changes = acked_changes(9, 'home', 'second', 'third')
    changes['home']['joined_view'] = 9
    newer_view = view(9, **changes)
    for state in states.values():
        state.set_view(newer_view)
    network.send(HOME, SYN)
    network.release_held_frames(SYN)
    # The first offer arrives late, as a copy of the one the target accepted.
    assert set(network.delivering_agents) == {target}


def test_an_offer_older_than_a_change_of_the_home_is_not_accepted():
    states, _ = three_agents()
    joined_changes = {'state': LIVE, 'joined_view': 2}
    rejoined_home_view = view(2, home=joined_changes)
    closed_home_view = view(
        3, home=closed_changes(3, joined_view=2), second={'acked_view': 3}
    )
    for newer_view in (view(1), rejoined_home_view, closed_home_view):
        states[THIRD].set_view(newer_view)
    late_offer = fakes.forward(
        THIRD, SYN, frames.Purpose.OFFER, sender=SECOND, decider=SECOND
    )
    (action,) = core.on_forward(states[THIRD], late_offer, SYN, 0)
    assert action.reason == 'stale-offer'


@pytest.mark.parametrize(
    ('acknowledged_ms', 'delivered'),
    [
        pytest.param(200, [SECOND], id='in-time'),
        pytest.param(1_500, [], id='too-late'),
    ],
)
def test_an_opening_is_held_until_the_home_may_decide(
    acknowledged_ms, delivered
):
    states, network = three_agents()
    changes_before = dict(
        home=closed_changes(2, acked_view=2), **acked_changes(2, 'second')
    )
    states[SECOND].set_view(view(2, **changes_before))
    network.send(SECOND, SYN)
    for now in range(100, 2_000, 100):
        if now == acknowledged_ms:
            states[SECOND].set_view(
                dataclasses.replace(view_with_closed_home(), revision=1)
            )
        network.carry_out(SECOND, core.on_tick(states[SECOND], now))
    assert network.delivering_agents == delivered


def test_a_diversion_of_a_removed_service_is_removed():
    states, network = agents_with_full_home(builders.service())
    network.unreachable_targets = {SECOND, THIRD}
    network.send(HOME, SYN)
    state = states[HOME]
    state.total_running = 0
    other_service = builders.service(number=2)
    state.set_catalogue([other_service])
    state.set_view(dataclasses.replace(view(), service=2))
    bucket = hashing.bucket_of(SYN.key, 2)
    frame = dataclasses.replace(
        fakes.forward(HOME, SYN), service=2, bucket=bucket
    )
    (action,) = core.on_forward(state, frame, SYN, 0)
    assert SYN.key not in state.diversions
    assert not isinstance(action, actions.Refuse)
