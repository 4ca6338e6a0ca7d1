"""An upstream that has just started gets a limited number of openings.

Guards against overload of a cold upstream: every opening that came to its home
was delivered, however slow the upstream still was.
"""

import dataclasses
import random

import builders
import fakes
import pytest

from gentianspoke.core import frames
from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.core import views
from gentianspoke.decisions import actions
from gentianspoke.decisions.agent import cold_start
from gentianspoke.decisions.agent import core
from gentianspoke.decisions.agent import diversion
from gentianspoke.decisions.agent import own_pools

POOL = 7
OWN_POOL = own_pools.NamedPool('pool', POOL)
LIMIT = 5
SECOND_MS = 1_000
WINDOW_MS = cold_start.WINDOW_MS
START_MS = 10_000
OWN, OTHER, THIRD = 1, 2, 3
ENTRY = dataclasses.replace(
    builders.service(services.Board()),
    handshake=True,
    shares=(services.Share(POOL, 1, 'pool'),),
)
SYN_ACK = packets.SYN | packets.ACK


def make_agent(members=1, limit=LIMIT, cold_remaining_ms=60_000, started_ms=0):
    """Return an agent whose upstream reported at ``START_MS``, if at all."""
    listed = tuple(builders.member(n + 1) for n in range(members))
    state = fakes.agent(
        OWN,
        ENTRY,
        views.View(POOL, 1, listed),
        slots=1_000,
        own_pool=OWN_POOL,
        cold=cold_start.begin(limit, started_ms),
    )
    if cold_remaining_ms is not None:
        cold_start.note_report(state.cold, cold_remaining_ms, START_MS)
    return state


def send_opening(state, now, number, purpose=frames.Purpose.ROUTE):
    """Send the opening of the caller's flow ``number``; return the action."""
    opening = builders.segment(sport=5_000 + number)
    forward = fakes.forward(OWN, opening, purpose)
    forward = dataclasses.replace(forward, pool=POOL, offers_left=0)
    (action,) = core.on_forward(state, forward, opening, now)
    return action


def answer(state, now, number):
    syn_ack = packets.Segment(
        builders.flow_key(5_000 + number), SYN_ACK, 500, 101, 0, b'raw'
    )
    core.on_reply(state, syn_ack, now)


def deliver_burst(state, now, count, first=0):
    """Return how many of ``count`` openings at ``now`` were delivered."""
    delivered = 0
    for number in range(first, first + count):
        action = send_opening(state, now, number)
        if isinstance(action, actions.Deliver):
            delivered += 1
            answer(state, now, number)
    return delivered


@pytest.mark.parametrize(
    ('agent', 'now', 'delivered'),
    [
        pytest.param({}, START_MS, LIMIT, id='cold'),
        pytest.param({}, START_MS + 59_999, LIMIT, id='still-cold'),
        pytest.param({}, START_MS + 60_000, 20, id='no-longer-cold'),
        pytest.param({'cold_remaining_ms': 0}, START_MS, 20, id='warm'),
        pytest.param({'limit': 0}, START_MS, 20, id='no-limit-set'),
        pytest.param(
            {'cold_remaining_ms': None}, START_MS, LIMIT, id='not-reported-yet'
        ),
        pytest.param(
            {'started_ms': START_MS}, START_MS + 1_099, 0, id='agent-restarted'
        ),
        pytest.param(
            {'started_ms': START_MS},
            START_MS + 1_100,
            LIMIT,
            id='a-second-after-the-restart',
        ),
    ],
)
def test_a_burst_reaches_a_cold_upstream_only_up_to_the_limit(
    agent, now, delivered
):
    assert deliver_burst(make_agent(**agent), now, 20) == delivered


def test_an_opening_beyond_the_limit_is_dropped_and_not_refused():
    state = make_agent()
    deliver_burst(state, START_MS, LIMIT)
    assert send_opening(state, START_MS, LIMIT) == actions.Drop('cold-start')
    assert state.cold.declined == 1


@pytest.mark.parametrize(
    ('answered_after_ms', 'reports_again', 'delivered'),
    [
        pytest.param(149, False, 20, id='answered-soon'),
        pytest.param(150, False, LIMIT, id='silent-and-not-reported-again'),
        pytest.param(150, True, 20, id='silent-and-reported-again'),
    ],
)
def test_an_upstream_that_was_silent_may_have_restarted(
    answered_after_ms, reports_again, delivered
):
    state = make_agent(cold_remaining_ms=0)
    send_opening(state, START_MS, 0)
    answer(state, START_MS + answered_after_ms, 0)
    later_ms = START_MS + 2_000
    if reports_again:
        cold_start.note_report(state.cold, 0, later_ms)
    assert deliver_burst(state, later_ms, 20, first=1) == delivered


def test_a_silent_upstream_is_limited_while_it_is_silent():
    state = make_agent(cold_remaining_ms=0)
    actions_of_burst = [
        send_opening(state, START_MS + 200 * number, number)
        for number in range(3 * LIMIT)
    ]
    dropped = actions_of_burst.count(actions.Drop('cold-start'))
    assert dropped > 0


@pytest.mark.parametrize('seed', range(4))
def test_no_sliding_second_has_more_deliveries_than_the_limit(seed):
    generator = random.Random(seed)
    state = make_agent()
    delivered_ms = []
    for now in range(START_MS, START_MS + 20 * SECOND_MS):
        while generator.random() < 0.03:
            # Small numbers are drawn again, so that many are repetitions.
            action = send_opening(state, now, generator.randrange(200))
            if isinstance(action, actions.Deliver):
                delivered_ms.append(now)
    starts = range(START_MS, START_MS + 20 * SECOND_MS)
    counts = [
        sum(start <= at < start + SECOND_MS for at in delivered_ms)
        for start in starts
    ]
    assert max(counts) == LIMIT


def test_a_home_whose_window_is_full_diverts_the_opening():
    state = make_agent(members=2)
    # An offer fills the window whichever agent is the home of its bucket.
    for number in range(LIMIT):
        send_opening(state, START_MS, number, frames.Purpose.OFFER)
    for number in range(LIMIT, 40):
        match send_opening(state, START_MS, number):
            case actions.SendFrame(member=member):
                assert member.number == OTHER
            case action:
                pytest.fail(f'{action} is no offer')


def report_cold(state, sender, cold_remaining_ms, now):
    report = frames.LoadReport(
        POOL, sender, 0, 0, 0, cold_remaining_ms=cold_remaining_ms
    )
    core.on_load(state, report, now)


@pytest.mark.parametrize(
    ('cold_remaining', 'now', 'chosen'),
    [
        pytest.param({OTHER: 800}, 799, {THIRD}, id='one-cold'),
        pytest.param({OTHER: 800}, 800, {OTHER, THIRD}, id='no-longer-cold'),
        pytest.param(
            {OTHER: 800, THIRD: 800}, 0, {OTHER, THIRD}, id='all-cold'
        ),
        pytest.param({OTHER: 2**31}, 59_999, {THIRD}, id='false-report'),
        pytest.param(
            {OTHER: 2**31}, 60_000, {OTHER, THIRD}, id='false-report-expires'
        ),
    ],
)
def test_a_cold_member_is_a_target_only_if_no_other_is_left(
    cold_remaining, now, chosen
):
    state = make_agent(members=3)
    for sender, cold_remaining_ms in cold_remaining.items():
        report_cold(state, sender, cold_remaining_ms, 0)
    core.on_tick(state, now)
    targets = {
        diversion.choose_target(
            state, state.rankings[POOL], bucket, now
        ).number
        for bucket in range(64)
    }
    assert targets == chosen


def test_a_member_that_reports_to_be_warm_is_a_target_again():
    state = make_agent(members=2)
    report_cold(state, OTHER, 800, 0)
    report_cold(state, OTHER, 0, 1)
    assert not state.cold_members
