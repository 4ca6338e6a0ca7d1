"""An agent that restarted claims no flow that its upstream has not shown.

Guards against resets of flows that are open at another upstream: silence of
an upstream that is down was taken for ownership, and the flows were reset when
the upstream started again.
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
from gentianspoke.decisions.agent import handshake_flows
from gentianspoke.decisions.agent import own_pools

ACK = packets.ACK
SYN_ACK = packets.SYN | packets.ACK
POOL = 7
OWN_POOL = own_pools.NamedPool('pool', POOL)
OWN, OTHER = 1, 2
NEXT_INCARNATION = 99
AFTER_WAIT = handshake_flows.CONFIRM_TIMEOUT_MS
ENTRY = dataclasses.replace(
    builders.service(services.Booking(False)),
    handshake=True,
    shares=(services.Share(POOL, 1, 'pool'),),
)


def segment(flags=ACK, seq=101, ack=501, payload_bytes=0, sport=5_000):
    return packets.Segment(
        builders.flow_key(sport), flags, seq, ack, payload_bytes, b'raw'
    )


SYN = segment(packets.SYN, 100, 0)
DATA = segment(ACK | packets.PSH, payload_bytes=900)


def make_agent(recovering=True):
    view = views.View(POOL, 1, (builders.member(OWN), builders.member(OTHER)))
    return fakes.agent(
        OWN, ENTRY, view, own_pool=OWN_POOL, recovering=recovering
    )


def send(state, packet, now, purpose=frames.Purpose.ROUTE, tried=()):
    forward = fakes.forward(OWN, packet, purpose, tried=tried)
    forward = dataclasses.replace(forward, pool=POOL)
    return core.on_forward(state, forward, packet, now)


def restart_upstream(state, now):
    return core.on_incarnation(state, NEXT_INCARNATION, now)


def kinds(decided_actions):
    return [type(action) for action in decided_actions]


def adopt(state):
    send(state, DATA, 0)


def adopt_and_wait(state):
    send(state, DATA, 0)
    core.on_tick(state, AFTER_WAIT + 250)
    send(state, DATA, 400)


def adopt_beside_other_answers(state):
    send(state, DATA, 0)
    core.on_reply(state, segment(sport=5_001), 2)
    core.on_tick(state, AFTER_WAIT + 250)


def open_with_acknowledgement_of_other_upstream(state):
    send(state, SYN, 0, frames.Purpose.OFFER)
    core.on_reply(state, segment(SYN_ACK, 2_000_000_000, 101), 1)
    send(state, DATA, 2)


def adopt_with_answer(state):
    send(state, DATA, 0)
    core.on_reply(state, segment(seq=501, ack=1_001, payload_bytes=600), 20)


def adopt_with_pure_acknowledgement(state):
    send(state, DATA, 0)
    core.on_reply(state, segment(seq=501, ack=1_001), 20)


def open_with_handshake(state):
    send(state, SYN, 0, frames.Purpose.OFFER)
    core.on_reply(state, segment(SYN_ACK, 500, 101), 1)
    send(state, DATA, 2)


@pytest.mark.parametrize(
    ('events', 'is_reset'),
    [
        pytest.param(adopt, False, id='delivered-to-a-silent-upstream'),
        pytest.param(adopt_and_wait, False, id='silent-for-long'),
        pytest.param(
            adopt_beside_other_answers, False, id='only-other-flows-answered'
        ),
        pytest.param(
            open_with_acknowledgement_of_other_upstream,
            False,
            id='caller-opened-the-flow-elsewhere',
        ),
        pytest.param(adopt_with_answer, True, id='upstream-answered'),
        pytest.param(
            adopt_with_pure_acknowledgement, True, id='upstream-acknowledged'
        ),
        pytest.param(open_with_handshake, True, id='opened-here'),
    ],
)
def test_the_end_of_an_incarnation_resets_only_its_own_flows(events, is_reset):
    state = make_agent()
    events(state)
    resets = restart_upstream(state, 1_000)
    assert kinds(resets) == [actions.ResetCaller] * is_reset


@pytest.mark.parametrize(
    ('other_answer_ms', 'is_searched'),
    [
        pytest.param(None, True, id='upstream-shows-nothing'),
        pytest.param(2, False, id='upstream-works'),
    ],
)
def test_an_unconfirmed_flow_is_searched_for_elsewhere(
    other_answer_ms, is_searched
):
    state = make_agent()
    send(state, DATA, 0)
    if other_answer_ms is not None:
        core.on_reply(state, segment(sport=5_001), other_answer_ms)
    sent = kinds(send(state, DATA, AFTER_WAIT))
    assert actions.Deliver in sent
    assert (actions.SendFrame in sent) == is_searched


def test_no_ownership_is_announced_before_the_upstream_shows_it():
    state = make_agent()
    announced = [
        kinds(send(state, DATA, now, tried=(OTHER,)))
        for now in (0, AFTER_WAIT, 400)
    ]
    assert actions.NotifyOwnership not in sum(announced, [])
    core.on_reply(state, segment(seq=501, ack=1_001), 410)
    assert actions.NotifyOwnership in kinds(
        send(state, DATA, 420, tried=(OTHER,))
    )


@pytest.mark.parametrize(
    ('answered', 'is_given_up'),
    [
        pytest.param(False, True, id='unconfirmed'),
        pytest.param(True, False, id='confirmed'),
    ],
)
def test_a_flow_is_given_up_for_an_owner_only_while_it_is_unconfirmed(
    answered, is_given_up
):
    state = make_agent()
    send(state, DATA, 0)
    if answered:
        core.on_reply(state, segment(seq=501, ack=1_001), 5)
    bucket = fakes.forward(OWN, DATA, frames.Purpose.ROUTE).bucket
    owned = frames.Owned(
        ENTRY.number, POOL, bucket, OWN, OTHER, bytes(DATA.key)
    )
    core.on_owned(state, owned, 60)
    assert (DATA.key in state.diversions) == is_given_up
    assert (DATA.key in state.flows) != is_given_up


def test_a_flow_that_the_upstream_never_shows_is_forgotten_without_a_reset():
    state = make_agent()
    send(state, DATA, 0)
    sent = []
    for now in range(50, 8_000, 50):
        sent.extend(core.on_tick(state, now))
    assert DATA.key not in state.flows
    assert actions.ResetCaller not in kinds(sent)


@pytest.mark.parametrize(
    ('upstream_age_ms', 'is_reset'),
    [
        pytest.param(0, True, id='new-upstream-after-the-opening'),
        pytest.param(998, True, id='started-after-the-opening'),
        pytest.param(1_000, False, id='opened-at-the-new-incarnation'),
    ],
)
def test_a_flow_of_the_new_incarnation_is_not_reset(upstream_age_ms, is_reset):
    # An upstream that is back soon takes openings before its first heartbeat.
    state = make_agent(recovering=False)
    open_with_handshake(state)
    resets = core.on_incarnation(
        state, NEXT_INCARNATION, 1_000, upstream_age_ms
    )
    assert kinds(resets) == [actions.ResetCaller] * is_reset


def test_the_first_incarnation_that_is_learned_resets_no_flow():
    # A restarted agent may have taken the number of an older incarnation from
    # a frame, and its upstream has flows from before.
    state = make_agent()
    adopt_with_answer(state)
    core.on_first_incarnation(state, NEXT_INCARNATION, False, 1_000)
    assert DATA.key in state.flows
    assert (state.number, state.recovering) == (NEXT_INCARNATION, True)


@pytest.mark.parametrize(
    ('joined_view', 'is_recovering'),
    [
        pytest.param(1, True, id='an-earlier-run-was-live'),
        pytest.param(0, False, id='never-live'),
    ],
)
def test_a_young_upstream_that_an_earlier_run_served_is_not_new(
    joined_view, is_recovering
):
    state = make_agent(recovering=False)
    member = builders.member(
        OWN, views.State.DRAINING, joined_view=joined_view
    )
    state.set_view(views.View(POOL, 2, (member, builders.member(OTHER))))
    state.joining, state.inquiries.enabled = True, True
    state.inquiries.complete_from_ms = 60_000
    core.on_first_incarnation(state, OWN, True, 1_000)
    assert state.recovering is is_recovering


@pytest.mark.parametrize('joining', [True, False])
def test_a_joining_agent_takes_no_opening_that_nobody_could_know_of(joining):
    state = make_agent(recovering=False)
    member = builders.member(OWN, views.State.DRAINING)
    state.set_view(views.View(POOL, 2, (member,)))
    state.joining, state.inquiries.enabled = joining, True
    expected = actions.Drop if joining else actions.Deliver
    assert kinds(send(state, SYN, 0)) == [expected]
