"""Inquiries about flows: owners, repetitions, late answers and their costs."""

import dataclasses

import builders
import inquiry_pool
import pytest
import test_flow_inquiry

from gentianspoke.core import frames
from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.decisions.agent import core
from gentianspoke.decisions.agent import inquiry_results

SYN_ACK = packets.SYN | packets.ACK
ANSWER = inquiry_pool.make_segment(SYN_ACK, 500, 101)
LARGE_POOL = tuple(builders.member(n + 1) for n in range(45))
DATA = test_flow_inquiry.DATA
SYN = test_flow_inquiry.SYN
MEMBERS = test_flow_inquiry.MEMBERS
RESULT_MS = test_flow_inquiry.RESULT_MS


def open_flow(state, now, opening=SYN, answer=ANSWER, data=DATA):
    """Let the agent open a flow that its caller acknowledges."""
    forward = frames.Forward(
        service=1,
        view=1,
        bucket=0,
        target=state.number,
        packet=b'raw',
        purpose=frames.Purpose.OFFER,
        pool=inquiry_pool.POOL,
    )
    forward = dataclasses.replace(
        forward, bucket=test_flow_inquiry.bucket_of(opening)
    )
    core.on_forward(state, forward, opening, now)
    core.on_reply(state, answer, now)
    core.on_forward(state, forward, data, now)


@pytest.mark.parametrize(
    ('prepare', 'is_returned', 'is_reset'),
    [
        pytest.param(
            test_flow_inquiry.restart_own_agent,
            False,
            False,
            id='upstream-silent',
        ),
        pytest.param(
            test_flow_inquiry.restart_own_agent,
            True,
            True,
            id='upstream-returns',
        ),
        pytest.param(
            test_flow_inquiry.learn_late_of_own_upstream,
            False,
            False,
            id='not-complete',
        ),
    ],
)
def test_an_agent_resets_no_flow_that_its_own_upstream_may_have(
    prepare, is_returned, is_reset
):
    network = test_flow_inquiry.make_network()
    home = network.states[inquiry_pool.HOME]
    prepare(network)
    network.send(DATA)
    if is_returned:
        returned_segment = dataclasses.replace(DATA, is_returned=True)
        core.on_returned(home, returned_segment, network.now)
    network.run(400)
    network.send(DATA)
    network.run(RESULT_MS)
    assert bool(network.resets) == is_reset


@pytest.mark.parametrize(
    'members', [MEMBERS, LARGE_POOL], ids=['small-pool', 'large-pool']
)
def test_the_owner_is_found_and_gets_the_packet(members):
    # A search reaches 12 members of a large pool; the owner was not found.
    network = test_flow_inquiry.make_network(members)
    order = (
        network.states[1]
        .rankings[inquiry_pool.POOL]
        .rank_members(test_flow_inquiry.bucket_of(DATA))
    )
    owner = network.states[
        next(m.number for m in reversed(order) if m.number != 1)
    ]
    open_flow(owner, network.now)
    network.send(DATA)
    network.run(300)
    assert owner.number in network.delivered
    network.delivered.clear()
    network.send(DATA)
    assert network.delivered == [owner.number]
    assert not network.resets


def test_a_flow_is_reset_within_a_second_and_again_after_a_lost_reset():
    network = test_flow_inquiry.make_network()
    network.send(DATA)
    network.run(1_000)
    network.send(DATA)
    assert network.resets == [5_000, 5_000]


def test_a_thousand_unknown_flows_cost_each_agent_some_tens_of_frames():
    network = test_flow_inquiry.make_network(LARGE_POOL)
    flows_per_agent = 22
    for target in network.states:
        for index in range(flows_per_agent):
            sport = 6_000 + target * flows_per_agent + index
            network.send(inquiry_pool.make_segment(sport=sport), target)
    network.run(1_000)
    assert len(network.resets) == flows_per_agent * len(LARGE_POOL)
    assert network.inquiries / len(LARGE_POOL) <= 2 * len(LARGE_POOL)


@pytest.mark.parametrize(
    'answers',
    [
        pytest.param((1, 0), id='owner-between-two-answers'),
        pytest.param((0, 1), id='late-duplicate-of-the-first-answer'),
    ],
)
def test_a_member_that_has_answered_differently_may_have_the_flow(answers):
    network = test_flow_inquiry.make_network()
    network.lost_replies[3] = 99
    network.send(DATA)
    network.run(150)
    number = network.replies[0].number
    for absent in answers:
        reply = frames.FlowInquiryReply(
            inquiry_pool.POOL, number, 0, absent, True, sender=3
        )
        network.deliver_reply(inquiry_pool.HOME, reply)
    network.run(RESULT_MS)
    assert not network.resets


@pytest.mark.parametrize(
    'segment',
    [
        pytest.param(SYN, id='caller-opens-the-flow-again'),
        pytest.param(
            inquiry_pool.make_segment(ack=9_000), id='caller-got-an-answer'
        ),
    ],
)
def test_an_inquiry_ends_when_the_caller_shows_another_connection(segment):
    network = test_flow_inquiry.make_network()
    network.lost_replies = dict.fromkeys((2, 3, 4, 5), 1)
    network.send(DATA)
    network.run(150)
    network.send(segment)
    network.run(200)
    assert not network.resets


def test_an_ended_flow_is_not_taken_for_a_later_one_on_the_same_ports():
    network = test_flow_inquiry.make_network()
    network.send(DATA)
    network.run(1_000)
    network.resets.clear()
    network.send(inquiry_pool.make_segment(ack=77_000))
    assert not network.resets


def test_a_result_waits_for_a_confirmation_after_the_packet():
    # A view that the home has not received may list the flow's owner.
    network = test_flow_inquiry.make_network()
    network.members_without_feed.add(inquiry_pool.HOME)
    home = network.states[inquiry_pool.HOME]
    network.send(DATA)
    network.run(400)
    home.confirm_feed(network.now - 400)
    network.run(200)
    assert not network.resets
    home.confirm_feed(network.now)
    network.run(inquiry_pool.TICK_MS)
    assert network.resets


def test_a_pool_that_joins_the_service_meanwhile_may_have_the_flow():
    network = test_flow_inquiry.make_network()
    network.lost_replies[3] = 1
    network.send(DATA)
    network.run(150)
    home = network.states[inquiry_pool.HOME]
    entry = dataclasses.replace(
        inquiry_pool.ENTRY,
        shares=(*inquiry_pool.ENTRY.shares, services.Share(9, 1, 'new')),
    )
    home.set_catalogue([entry])
    network.run(RESULT_MS)
    assert not network.resets


def test_a_recovering_member_gets_the_packet_that_nobody_else_can_have():
    network = test_flow_inquiry.make_network(LARGE_POOL)
    order = (
        network.states[1]
        .rankings[inquiry_pool.POOL]
        .rank_members(test_flow_inquiry.bucket_of(DATA))
    )
    last = next(m.number for m in reversed(order) if m.number != 1)
    network.states[last].recovering = True
    network.send(DATA)
    network.run(inquiry_results.REPLY_TIMEOUT_MS)
    assert network.delivered == [last]
