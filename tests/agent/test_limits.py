"""Tests of an upstream's limits, its queue, retry budget and load reports."""

import builders
import fakes
import pytest

from gentianspoke.core import frames
from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.decisions.agent import admission
from gentianspoke.decisions.agent import core
from gentianspoke.decisions.agent import diversion

ONE_MEMBER_VIEW = builders.view(builders.member(1))
THREE_MEMBER_VIEW = builders.view(*(builders.member(n) for n in (1, 2, 3)))
BOARD = services.Board()
BOOKING = services.Booking(False)
UPLOAD = services.Upload(True)
RST = packets.RST | packets.ACK


def send_openings(state, count, now=0, wait_left_ms=0):
    """Send openings of ``count`` flows to an agent; return their network."""
    network = fakes.AgentNetwork(state)
    for number in range(count):
        segment = builders.segment(sport=6_000 + number)
        network.send(state.number, segment, now, wait_left_ms=wait_left_ms)
    return network


@pytest.mark.parametrize(
    ('traffic', 'limits', 'wait_ms', 'count', 'open_count', 'refused_count'),
    [
        pytest.param(BOARD, {'connections': 2}, 0, 3, 2, 1, id='boards'),
        pytest.param(
            BOARD, {'slots': 1}, 0, 3, 3, 0, id='boards-take-no-slots'
        ),
        pytest.param(BOOKING, {'slots': 2}, 0, 3, 2, 1, id='bookings'),
        pytest.param(
            UPLOAD,
            {'slots': 1, 'queue': 1},
            500,
            3,
            2,
            1,
            id='uploads-queue-full',
        ),
        pytest.param(
            UPLOAD,
            {'slots': 1, 'queue': 9},
            0,
            3,
            1,
            2,
            id='uploads-may-not-wait',
        ),
        pytest.param(BOOKING, {}, 0, 6, 4, 2, id='slots-of-the-upstream'),
    ],
)
def test_an_upstream_accepts_no_more_flows_than_its_limits(
    traffic, limits, wait_ms, count, open_count, refused_count
):
    state = fakes.agent(
        1, builders.service(traffic, **limits), ONE_MEMBER_VIEW
    )
    network = send_openings(state, count, wait_left_ms=wait_ms)
    assert (state.total_open, len(network.refusal_reasons)) == (
        open_count,
        refused_count,
    )


@pytest.mark.parametrize(
    ('mean_work_ms', 'wait_ms', 'expected'),
    [
        pytest.param(100, 500, admission.Admission.WAIT, id='in-time'),
        pytest.param(400, 500, admission.Admission.NO, id='too-late'),
    ],
)
def test_an_opening_that_cannot_start_in_time_is_refused_at_once(
    mean_work_ms, wait_ms, expected
):
    entry = builders.service(UPLOAD, slots=1)
    state = fakes.agent(1, entry, ONE_MEMBER_VIEW, slots=1)
    send_openings(state, 3, wait_left_ms=10_000)
    state.counts[1].mean_work_ms = mean_work_ms
    assert admission.decide_admission(state, entry, wait_ms, now=0) is expected


@pytest.mark.parametrize(
    ('flags', 'sport', 'queued_count', 'delivered_count'),
    [
        pytest.param(RST, 6_001, 1, 1, id='queued-flow-cancelled'),
        pytest.param(RST, 6_000, 1, 3, id='running-flow-cancelled'),
        pytest.param(packets.ACK, 6_001, 2, 1, id='not-cancelled'),
    ],
)
def test_a_cancelled_flow_frees_its_slot_or_queue_place(
    flags, sport, queued_count, delivered_count
):
    entry = builders.service(UPLOAD, slots=1)
    state = fakes.agent(1, entry, ONE_MEMBER_VIEW, slots=1)
    network = send_openings(state, 3, wait_left_ms=10_000)
    network.send(1, builders.segment(flags, 101, sport), 10)
    assert (state.counts[1].queued, len(network.delivering_agents)) == (
        queued_count,
        delivered_count,
    )


def test_a_queued_opening_is_refused_when_its_wait_is_over():
    state = fakes.agent(1, builders.service(UPLOAD), ONE_MEMBER_VIEW, slots=1)
    network = send_openings(state, 2, wait_left_ms=300)
    network.carry_out(1, core.on_tick(state, 299))
    assert network.refusal_reasons == []
    network.carry_out(1, core.on_tick(state, 300))
    assert network.refusal_reasons == ['wait-expired']


def test_a_free_slot_goes_to_the_service_that_uses_fewest_slots():
    entries = [
        builders.service(UPLOAD, number=1, slots=2),
        builders.service(UPLOAD, number=2, slots=2),
    ]
    state = fakes.agent(1, entries[0], ONE_MEMBER_VIEW, slots=2)
    send_openings(state, 4, wait_left_ms=10_000)
    state.set_catalogue(entries)
    # One of the two queued flows is moved to the other service.
    flow = state.queues[1].pop()
    state.counts[1].queued -= 1
    flow.service = flow.pool = 2
    state.queues[2].append(flow)
    state.counts[2].queued += 1
    network = fakes.AgentNetwork(state)
    network.send(1, builders.segment(RST, 101, 6_000), 10)
    # One slot becomes free and goes to the service that uses no slot yet.
    assert (state.counts[1].running, state.counts[2].running) == (1, 1)


def test_further_offers_stay_within_the_retry_budget():
    entry = builders.service(BOOKING, retry_permille=100)
    state = fakes.agent(2, entry, THREE_MEMBER_VIEW)
    # All 4 slots are taken, so each opening is offered to another member.
    state.total_running = 4
    network = fakes.AgentNetwork(state)
    home = fakes.ranked_members()[0]
    for number in range(30):
        segment = builders.segment(sport=6_000 + number)
        network.send(
            2,
            segment,
            purpose=frames.Purpose.OFFER,
            sender=home,
            decider=THREE_MEMBER_VIEW.members[0].number,
        )
    offer_count = len(state.diversions)
    # The budget holds the shares of 50 openings at first (5 offers), and each
    # of the 30 openings adds its own share.
    assert offer_count <= 5 + 30 * 100 // 1_000


@pytest.mark.parametrize(
    ('reported_load', 'min_load', 'max_load'),
    [
        pytest.param(0, 50, 50, id='claims-to-be-empty'),
        pytest.param(10**6, 201, 201, id='claims-to-be-full'),
        pytest.param(110, 110, 110, id='plausible'),
        pytest.param(None, 100, 100, id='no-report'),
    ],
)
def test_a_load_report_changes_an_estimate_within_bounds(
    reported_load, min_load, max_load
):
    view = builders.view(*(builders.member(n) for n in range(1, 6)))
    state = fakes.agent(1, builders.service(), view)
    for number in (2, 3, 4):
        core.on_load(state, frames.LoadReport(1, number, 100, 0, 0), now=0)
    if reported_load is not None:
        core.on_load(
            state, frames.LoadReport(1, 5, reported_load, 0, 0), now=0
        )
    # A reported load counts as at least half the median of 100, and as at
    # most twice the median plus one flow.
    assert min_load <= diversion.estimate_load(state, 1, 5) <= max_load


def test_a_load_report_that_is_not_renewed_is_removed():
    state = fakes.agent(1, builders.service(), THREE_MEMBER_VIEW)
    core.on_load(state, frames.LoadReport(1, 2, 100, 0, 0), now=0)
    for number in (2, 3):
        diversion.note_placed_flow(state, 1, number)
    # A report is removed at the second expiry after it, and expiries are
    # ``REPORT_EXPIRY_INTERVAL_MS`` apart.
    for now in (3_000, 6_000):
        core.on_tick(state, now)
    assert (state.load_reports, state.placed_since_report) == ({}, {})


def test_a_load_report_of_an_unknown_member_is_ignored():
    state = fakes.agent(1, builders.service(), THREE_MEMBER_VIEW)
    core.on_load(state, frames.LoadReport(1, 99, 100, 0, 0), now=0)
    assert state.load_reports == {}


def test_flows_placed_since_a_report_add_to_the_estimated_load():
    state = fakes.agent(1, builders.service(), THREE_MEMBER_VIEW)
    core.on_load(state, frames.LoadReport(1, 2, 10, 0, 0), now=0)
    load_before = diversion.estimate_load(state, 1, 2)
    diversion.note_placed_flow(state, 1, 2)
    assert diversion.estimate_load(state, 1, 2) == load_before + 1


def test_waiting_time_shrinks_with_each_hop():
    state = fakes.agent(2, builders.service(UPLOAD), THREE_MEMBER_VIEW)
    home = fakes.ranked_members()[0]
    segment = builders.segment()
    frame = fakes.forward(2, segment, wait_left_ms=100)
    # Only an agent that is not the home forwards the opening.
    if home == 2:
        state = fakes.agent(3, builders.service(UPLOAD), THREE_MEMBER_VIEW)
        frame.target = 3
    (action,) = core.on_forward(state, frame, segment, 0)
    assert action.forward.wait_left_ms < 100
