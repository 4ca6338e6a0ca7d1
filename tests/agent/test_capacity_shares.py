"""Placement by capacity: shares of unequal upstreams, bounded reports."""

import collections
import dataclasses

import builders
import fakes
import pytest

from gentianspoke.core import frames
from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.decisions import actions
from gentianspoke.decisions.agent import capacity_records
from gentianspoke.decisions.agent import capacity_shares
from gentianspoke.decisions.agent import core
from gentianspoke.decisions.agent import diversion

MEAN_WORK_US = 60_000
SLOTS = 2
LONG = dataclasses.replace(
    builders.service(services.Board(), wait_ms=140), handshake=True
)
SHORT = dataclasses.replace(
    builders.service(services.Booking(False), wait_ms=140), handshake=True
)
HOME, *OTHERS = fakes.ranked_members(9)


def report(sender, open_flows, work_us=MEAN_WORK_US, running=0):
    return frames.LoadReport(
        1, sender, open_flows, running, 0, 0, SLOTS, work_us
    )


def agent(service, own_work_us, reports, now=0):
    """Return the home's state after the reports, which came at 0 ms."""
    members = [builders.member(number + 1) for number in range(9)]
    state = fakes.agent(
        HOME,
        service,
        builders.view(*members),
        SLOTS,
        even_load=capacity_records.EvenLoad(),
    )
    work = state.even_load.work
    work.mean_us, work.answers = own_work_us, 100
    for item in reports:
        core.on_load(state, item, 0)
    return state


def get_shares(state, now=0):
    return capacity_shares.get_shares(
        state, state.even_load, state.rankings[1], now
    )


def open_at_home(state):
    """Return the kind of action by which the home places an opening."""
    segment = builders.segment(packets.SYN)
    action = core.on_forward(state, fakes.forward(HOME, segment), segment, 0)
    return type(action[0])


# Failure: a slow upstream gets as many flows as a fast one, and is above 0.9
# of its capacity when the pool is at 0.55.
@pytest.mark.parametrize(
    ('work_us', 'own_flows', 'running', 'expected'),
    [
        pytest.param(60_000, 9, 2, actions.Deliver, id='mean-below'),
        pytest.param(60_000, 12, 2, actions.SendFrame, id='mean-above'),
        pytest.param(120_000, 9, 2, actions.SendFrame, id='slow-above'),
        pytest.param(30_000, 18, 2, actions.Deliver, id='fast-below'),
        # A diversion costs a hop for every later packet.
        pytest.param(60_000, 12, 1, actions.Deliver, id='free-slot'),
        pytest.param(60_000, 20, 1, actions.SendFrame, id='far-above'),
    ],
)
def test_a_long_flow_stays_within_the_share_by_capacity(
    work_us, own_flows, running, expected
):
    state = agent(LONG, work_us, [report(number, 10) for number in OTHERS])
    state.counts[1].open_flows = own_flows
    state.counts[1].running = running
    assert open_at_home(state) is expected


# Failure: a short flow waits at its home while other upstreams are idle, or
# takes a hop more for a wait that no caller notices.
@pytest.mark.parametrize(
    ('running', 'expected'),
    [
        pytest.param(1, actions.Deliver, id='free-slot'),
        pytest.param(3, actions.Deliver, id='short-wait'),
        pytest.param(5, actions.SendFrame, id='long-wait'),
    ],
)
def test_a_short_flow_is_diverted_if_it_would_wait_long(running, expected):
    reports = [report(number, 10) for number in OTHERS]
    state = agent(SHORT, MEAN_WORK_US, reports)
    state.counts[1].running = running
    state.counts[1].mean_work_ms = 60
    assert open_at_home(state) is expected


# Failure: deciders with the same reports all choose the same member.
def test_targets_are_drawn_by_their_spare_capacity():
    work_us = dict.fromkeys(OTHERS, 100_000) | {
        OTHERS[0]: 25_000,
        OTHERS[1]: 50_000,
    }
    reports = [
        report(number, 1_000_000 // work, work)
        for number, work in work_us.items()
    ]
    state = agent(LONG, 100_000, reports)
    drawn = collections.Counter(
        diversion.choose_target(state, state.rankings[1], 0, 0).number
        for _ in range(1_000)
    )
    assert set(drawn) == set(OTHERS[:2])
    assert drawn[OTHERS[0]] > 2 * drawn[OTHERS[1]] > 0


# Failure: one member's false report empties or fills the others' shares.
@pytest.mark.parametrize(
    ('false_flows', 'false_work_us'),
    [(0, 1), (10**6, 60_000), (0, 2**32 - 1), (10**6, 1)],
)
def test_a_false_report_is_bounded(false_flows, false_work_us):
    true_reports = [report(number, 10) for number in OTHERS[1:]]
    false_report = report(OTHERS[0], false_flows, false_work_us)
    state = agent(LONG, MEAN_WORK_US, [*true_reports, false_report])
    state.counts[1].open_flows = 10
    assert 8 <= get_shares(state).flow_share <= 14


# Failures: a capacity is forgotten between two reports, a restarted agent
# erases what others know, or an old report counts for ever.
@pytest.mark.parametrize(
    ('now', 'capacity'),
    [
        pytest.param(10_000, 4.0, id='kept'),
        pytest.param(37_500, 2.5, id='half-way'),
        pytest.param(90_000, 1.0, id='median'),
    ],
)
def test_a_capacity_moves_to_the_median_as_it_ages(now, capacity):
    reports = [report(number, 10) for number in OTHERS[1:]]
    fast = report(OTHERS[0], 20, MEAN_WORK_US // 4)
    restarted = report(OTHERS[0], 20, 0)
    state = agent(LONG, MEAN_WORK_US, [*reports, fast, restarted])
    state.counts[1].open_flows = 10
    # The share is the mean number of flows for each unit of capacity.
    expected = (10 * 8 + 20) / (8 + capacity)
    assert get_shares(state, now).flow_share == pytest.approx(expected)


# Failure: in an overload, each opening spends its hops before it is refused,
# and the most urgent class is refused as early as the others.
@pytest.mark.parametrize(
    ('own_running', 'reported_running', 'priority', 'expected'),
    [
        pytest.param(9, 9, 1, actions.Refuse, id='full'),
        pytest.param(9, 9, 0, actions.Deliver, id='full-urgent'),
        pytest.param(30, 30, 0, actions.Refuse, id='very-full-urgent'),
        pytest.param(9, 2, 1, actions.SendFrame, id='room-elsewhere'),
        pytest.param(2, 9, 1, actions.Deliver, id='room-here'),
    ],
)
def test_an_opening_is_refused_at_once_if_the_pool_is_full(
    own_running, reported_running, priority, expected
):
    service = dataclasses.replace(SHORT, priority=priority)
    reports = [
        report(number, 10, running=reported_running) for number in OTHERS
    ]
    state = agent(service, MEAN_WORK_US, reports)
    state.highest_priorities = {1: 0}
    state.counts[1].running = own_running
    state.counts[1].mean_work_ms = 60
    assert open_at_home(state) is expected


# Failures: an upstream that fails fast has free slots and keeps its openings,
# or all upstreams divert theirs because requests have become short.
@pytest.mark.parametrize(
    ('worked_permille', 'reported_work_us', 'expected'),
    [
        pytest.param(100, MEAN_WORK_US, actions.SendFrame, id='fails'),
        pytest.param(100, 8 * MEAN_WORK_US, actions.Deliver, id='all-alike'),
        pytest.param(900, MEAN_WORK_US, actions.Deliver, id='works'),
    ],
)
def test_an_upstream_that_fails_fast_keeps_no_opening(
    worked_permille, reported_work_us, expected
):
    reports = [report(number, 10, reported_work_us) for number in OTHERS]
    state = agent(SHORT, MEAN_WORK_US, reports)
    state.even_load.work.worked_permille = worked_permille
    assert open_at_home(state) is expected
    has_notice = bool(state.even_load.failure_notices)
    assert has_notice is (expected is actions.SendFrame)


# Failure: the reports of members that have left are kept for ever.
def test_reports_of_members_that_left_are_removed():
    state = agent(LONG, MEAN_WORK_US, [report(OTHERS[0], 10)])
    state.set_view(builders.view(builders.member(HOME), number=2))
    core.on_tick(state, 3_000)
    assert state.even_load.members == {}


# Failure: many homes draw cold members although others are left, or all of
# them the first of the list.
def test_a_cold_member_is_drawn_only_if_no_other_is_left():
    cold, *warm = OTHERS
    state = agent(LONG, MEAN_WORK_US, [report(n, 10) for n in warm])
    item = dataclasses.replace(report(cold, 0), cold_remaining_ms=1_000)
    core.on_load(state, item, 0)
    shares = get_shares(state)
    drawn = collections.Counter(
        capacity_shares.draw_target(state, state.even_load, shares, ()).number
        for _ in range(200)
    )
    assert cold not in drawn
    assert len(drawn) == len(warm)
    last = capacity_shares.draw_target(
        state, state.even_load, shares, tuple(warm)
    )
    assert last.number == cold


def test_waiting_requests_count_in_the_wait_of_the_pool():
    reports = [
        dataclasses.replace(report(number, 10, running=3), queued=8)
        for number in OTHERS
    ]
    shares = get_shares(agent(SHORT, MEAN_WORK_US, reports))
    assert capacity_shares.is_pool_full(shares, SHORT)
