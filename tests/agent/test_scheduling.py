"""Complete requests wait beside an upstream whose slots are occupied.

Guards against requests that wait in the upstream's own queue, which knows no
classes and no callers and refuses what is beyond its length.
"""

import dataclasses

import builders
import fakes
import pytest

from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.core import views
from gentianspoke.decisions import actions
from gentianspoke.decisions.agent import admission
from gentianspoke.decisions.agent import capacity_records
from gentianspoke.decisions.agent import core
from gentianspoke.decisions.agent import flow_table
from gentianspoke.decisions.agent import own_pools
from gentianspoke.decisions.agent import request_queue
from gentianspoke.decisions.agent import scheduling
from gentianspoke.decisions.agent import slot_usage
from gentianspoke.decisions import hashing

ACK = packets.ACK
PSH = packets.PSH
SYN_ACK = packets.SYN | packets.ACK
POOL = 7
OWN_POOL = own_pools.NamedPool('pool', POOL)
OWN, OTHER = 1, 2
CALLER_ISN, UPSTREAM_ISN = 100, 500
FIRST, SECOND, THIRD, FOURTH, FIFTH = range(1, 6)
WAIT_MS = 100
START_LIMIT_MS = WAIT_MS * request_queue.START_WAIT_FACTOR
TIMEOUT_MS = 2_000
STREAM, LOOKUP, UPLOAD = 1, 2, 3
TRAFFIC = {
    STREAM: services.Board(),
    LOOKUP: services.Booking(False),
    UPLOAD: services.Upload(False),
}
PRIORITIES = {STREAM: 0, LOOKUP: 1, UPLOAD: 0}


def make_entry(number):
    return dataclasses.replace(
        builders.service(
            TRAFFIC[number], number, wait_ms=WAIT_MS, timeout_ms=TIMEOUT_MS
        ),
        ports=(builders.SERVICE_PORT + number,),
        handshake=True,
        priority=PRIORITIES[number],
        shares=(services.Share(POOL, 1, 'pool'),),
    )


ENTRIES = [make_entry(number) for number in TRAFFIC]


def make_agent(slots=1, is_enabled=True):
    members = (builders.member(OWN), builders.member(OTHER))
    state = fakes.agent(
        OWN,
        ENTRIES[0],
        views.View(POOL, 1, members),
        slots=slots,
        own_pool=OWN_POOL,
        requests=request_queue.RequestQueue(is_enabled),
    )
    state.set_catalogue(ENTRIES)
    return state


def make_key(flow, service=STREAM, caller=1):
    return packets.make_key(
        packets.TCP,
        bytes((10, 9, 0, caller)),
        builders.SERVICE_ADDRESS,
        5_000 + flow,
        builders.SERVICE_PORT + service,
    )


def make_segment(key, flags=ACK | PSH, offset=0, size=900, ack=501):
    seq = CALLER_ISN + 1 + offset
    raw = b'%d from %d' % (packets.get_caller_port(key) - 5_000, offset)
    return packets.Segment(key, flags, seq, ack, size, raw)


def send(state, segment, now):
    number = packets.get_service_port(segment.key) - builders.SERVICE_PORT
    bucket = hashing.bucket_of(segment.key, number)
    forward = dataclasses.replace(
        fakes.forward(OWN, segment),
        service=number,
        bucket=bucket,
        pool=POOL,
    )
    return core.on_forward(state, forward, segment, now)


def open_flow(state, key, now=0):
    """Open a flow here, with the opening answered and acknowledged."""
    number = packets.get_service_port(key) - builders.SERVICE_PORT
    service = state.services_by_number[number]
    bucket = hashing.bucket_of(key, number)
    flow_table.open_flow(state, service, key, bucket, CALLER_ISN, now)
    syn_ack = packets.Segment(key, SYN_ACK, UPSTREAM_ISN, 101, 0, b'raw')
    core.on_reply(state, syn_ack, now)
    send(state, make_segment(key, ACK, size=0), now)


def request(state, flow, now=0, **fields):
    """Open a flow and send a request on it; return the actions."""
    key = make_key(flow, **fields)
    open_flow(state, key, now)
    return send(state, make_segment(key), now)


def answer(state, flow, now, **fields):
    key = make_key(flow, **fields)
    reply = packets.Segment(key, ACK, 501, 1_001, 600, b'answer')
    return core.on_reply(state, reply, now)


def list_delivered(decided):
    return [
        action.raw for action in decided if isinstance(action, actions.Deliver)
    ]


def fill(state):
    """Occupy the slot, and the place behind it, at the upstream."""
    request(state, FIRST)
    request(state, SECOND)


HELD = [actions.Hold('request-held')]


@pytest.mark.parametrize(
    ('slots', 'is_enabled', 'delivered'),
    [
        pytest.param(1, True, 2, id='one-slot'),
        pytest.param(2, True, 3, id='two-slots'),
        pytest.param(1, False, 6, id='not-enabled'),
    ],
)
def test_only_a_few_requests_beyond_the_slots_are_at_the_upstream(
    slots, is_enabled, delivered
):
    state = make_agent(slots, is_enabled)
    results = [request(state, flow) for flow in range(6)]
    assert sum(bool(list_delivered(item)) for item in results) == delivered
    assert len(state.requests.held) == 6 - delivered


def test_a_held_request_starts_unchanged_when_an_answer_begins():
    state = make_agent()
    fill(state)
    assert request(state, THIRD, 5) == HELD
    assert list_delivered(answer(state, FIRST, 30)) == [b'3 from 0']
    assert list(state.requests.waits_ms) == [25]
    assert state.count_occupied_slots() == 2


# Each request is a service and a caller. The last part is the order in which
# they start.
@pytest.mark.parametrize(
    ('requests', 'order'),
    [
        pytest.param(
            [(LOOKUP, 1), (STREAM, 1), (LOOKUP, 1)], [1, 0, 2], id='priority'
        ),
        pytest.param(
            [(UPLOAD, 1), (LOOKUP, 1), (STREAM, 1)], [2, 1, 0], id='bulk-last'
        ),
        pytest.param(
            [(STREAM, 1), (STREAM, 1), (STREAM, 2)], [0, 2, 1], id='callers'
        ),
        pytest.param(
            [(UPLOAD, 1), *[(STREAM, 1)] * 4],
            [1, 2, 3, 0, 4],
            id='bulk-is-not-starved',
        ),
    ],
)
def test_held_requests_start_in_the_order_of_their_urgency(requests, order):
    state = make_agent()
    # No request is surplus while the mean work is short.
    state.counts[POOL].mean_work_ms = 1
    fill(state)
    for number, (service, caller) in enumerate(requests):
        result = request(
            state, 10 + number, 1 + number, service=service, caller=caller
        )
        assert result == HELD
    started = []
    running = FIRST
    for now in range(50, 50 + len(requests)):
        fields = {}
        if running >= 10:
            service, caller = requests[running - 10]
            fields = {'service': service, 'caller': caller}
        (raw,) = list_delivered(answer(state, running, now, **fields))
        running = int(raw.split()[0])
        started.append(running - 10)
    assert started == order


def hold_third(state):
    fill(state)
    assert request(state, THIRD) == HELD
    return make_key(THIRD)


# A segment of the flow that comes while its request is held, and what becomes
# of it and of the request.
@pytest.mark.parametrize(
    ('fields', 'action', 'delivered'),
    [
        pytest.param(
            {},
            actions.Drop('request-held'),
            [b'3 from 0'],
            id='retransmission',
        ),
        pytest.param(
            {'flags': ACK, 'offset': 900, 'size': 0},
            actions.Deliver(b'3 from 900'),
            [b'3 from 0'],
            id='acknowledgement-passes',
        ),
        pytest.param(
            {'flags': ACK, 'offset': -1_200, 'size': 1_200},
            actions.Deliver(b'3 from -1200'),
            [b'3 from 0'],
            id='earlier-data-passes',
        ),
        pytest.param(
            {'offset': -300, 'size': 1_200},
            actions.Drop('request-held'),
            [b'3 from 0'],
            id='retransmission-of-more',
        ),
        pytest.param(
            {'offset': 900},
            HELD[0],
            [b'3 from 0', b'3 from 900'],
            id='pipelined-request-stays-behind',
        ),
        pytest.param(
            {'flags': ACK | packets.FIN, 'offset': 900, 'size': 0},
            actions.Drop('caller-closed'),
            [],
            id='closed',
        ),
        pytest.param(
            {'flags': packets.RST, 'offset': 0, 'size': 0},
            actions.Deliver(b'3 from 0'),
            [],
            id='reset',
        ),
    ],
)
def test_a_segment_beside_a_held_request_keeps_the_order_of_the_bytes(
    fields, action, delivered
):
    state = make_agent()
    key = hold_third(state)
    assert send(state, make_segment(key, **fields), 10) == [action]
    started = list_delivered(answer(state, FIRST, 30))
    assert started == delivered
    assert not state.requests.held


def test_a_retransmission_after_the_start_is_delivered_as_before():
    state = make_agent()
    key = hold_third(state)
    answer(state, FIRST, 30)
    assert list_delivered(send(state, make_segment(key), 40)) == [b'3 from 0']
    assert len(state.requests.started_ms) == 2


@pytest.mark.parametrize(
    'fields',
    [
        pytest.param({'flags': ACK, 'size': 1_200}, id='never-complete'),
        pytest.param({'flags': ACK | PSH | packets.FIN}, id='closes'),
        pytest.param({'ack': 2_000_000_000}, id='opened-at-another-upstream'),
    ],
)
def test_a_segment_that_may_not_wait_is_delivered_at_once(fields):
    state = make_agent()
    fill(state)
    key = make_key(THIRD)
    open_flow(state, key)
    result = send(state, make_segment(key, **fields), 5)
    assert list_delivered(result) == [b'3 from 0']


def test_the_request_of_an_adopted_flow_does_not_wait_for_a_confirmation():
    state = make_agent()
    fill(state)
    state.recovering = True
    result = send(state, make_segment(make_key(THIRD)), 5)
    assert list_delivered(result) == [b'3 from 0']


def test_a_returned_flow_takes_its_held_request_to_the_next_member():
    state = make_agent()
    key = hold_third(state)
    returned = make_segment(key, ACK, size=0)
    returned = dataclasses.replace(returned, is_returned=True)
    result = core.on_returned(state, returned, 10)
    passed = [
        action.forward.packet
        for action in result
        if isinstance(action, actions.SendFrame)
    ]
    assert passed == [returned.raw, b'3 from 0']
    assert not state.requests.held


def test_a_restart_of_the_upstream_leaves_nothing_held_or_counted():
    state = make_agent()
    hold_third(state)
    core.on_incarnation(state, 99, 10)
    assert not state.requests.held and not state.requests.started_ms
    assert core.on_tick(state, START_LIMIT_MS) == []


def test_a_silent_upstream_gets_held_requests_after_a_bounded_time():
    state = make_agent()
    hold_third(state)
    assert not list_delivered(core.on_tick(state, START_LIMIT_MS - 1))
    result = core.on_tick(state, START_LIMIT_MS)
    assert list_delivered(result) == [b'3 from 0']
    # Answers that do not come occupy no place for ever.
    overdue_ms = START_LIMIT_MS + request_queue.MIN_ANSWER_WAIT_MS
    result = request(state, FOURTH, overdue_ms)
    assert list_delivered(result) == [b'4 from 0']


def test_a_request_whose_caller_has_given_up_is_not_started():
    state = make_agent()
    fill(state)
    key = make_key(THIRD)
    open_flow(state, key)
    timeout_ms = 1_000
    limits = dataclasses.replace(
        ENTRIES[0].limits, timeout_ms=timeout_ms, wait_ms=0
    )
    state.services_by_number[STREAM] = dataclasses.replace(
        ENTRIES[0], limits=limits
    )
    late_ms = timeout_ms - 50
    state.requests.started_ms = dict.fromkeys(
        state.requests.started_ms, late_ms
    )
    assert send(state, make_segment(key), late_ms) == HELD
    result = core.on_tick(state, timeout_ms)
    assert result == [actions.Drop('request-expired')]
    # A caller that still sends it has not given up.
    still_ms = scheduling.MAX_OPENING_MS
    assert send(state, make_segment(key), still_ms) == HELD


def test_a_planned_stop_waits_for_held_requests():
    state = make_agent()
    hold_third(state)
    flow_count = state.count_unfinished_flows(10)
    assert (flow_count.running, flow_count.queued) == (2, 1)


def test_surplus_is_forwarded_with_the_least_urgent_request_first():
    state = make_agent()
    state.counts[POOL].mean_work_ms = START_LIMIT_MS
    fill(state)
    for flow in range(10, 10 + request_queue.MIN_HELD_REQUESTS):
        assert request(state, flow, 1) == HELD
    result = request(state, 20, 1, service=UPLOAD)
    assert list_delivered(result) == [b'20 from 0']
    result = request(state, 21, 2)
    assert len(list_delivered(result)) == 1
    assert len(state.requests.held) == request_queue.MIN_HELD_REQUESTS


def test_an_upstream_that_refuses_gets_no_more_than_it_takes():
    state = make_agent()
    state.counts[POOL].mean_work_ms = START_LIMIT_MS
    fill(state)
    for flow in range(10, 16):
        request(state, flow, 1)
    at_upstream = len(state.requests.started_ms)
    newest_key = next(reversed(state.requests.started_ms))
    refusal = packets.Segment(newest_key, ACK, 501, 1_001, 60, b'503')
    result = core.on_reply(state, refusal, 2)
    assert not list_delivered(result)
    assert state.requests.overload_limit == at_upstream - 1
    # A refusal is no work.
    assert state.counts[POOL].mean_work_ms == START_LIMIT_MS
    assert len(list_delivered(answer(state, FIRST, 400))) == 1


@pytest.mark.parametrize(
    ('held', 'service', 'ahead'),
    [
        pytest.param(UPLOAD, STREAM, 0, id='bulk-does-not-count'),
        pytest.param(UPLOAD, UPLOAD, 1, id='bulk-before-bulk'),
        pytest.param(LOOKUP, STREAM, 0, id='less-urgent'),
        pytest.param(STREAM, LOOKUP, 1, id='more-urgent'),
    ],
)
def test_admission_counts_the_requests_that_start_before(held, service, ahead):
    # Guards against uploads that wait and keep urgent openings out.
    state = make_agent()
    fill(state)
    assert request(state, THIRD, service=held) == HELD
    entry = state.services_by_number[service]
    assert request_queue.count_ahead(state.requests, entry) == ahead


def test_a_repeated_answer_does_not_end_the_next_request():
    state = make_agent()
    request(state, FIRST)
    answer(state, FIRST, 5)
    send(state, make_segment(make_key(FIRST), offset=900, ack=1_101), 10)
    assert state.count_occupied_slots() == 1
    answer(state, FIRST, 12)
    assert state.count_occupied_slots() == 1


def test_refusals_that_the_queue_provokes_are_no_failures_of_the_upstream():
    state = make_agent()
    state.even_load = capacity_records.EvenLoad()
    fill(state)
    request_queue.note_start(state.requests, make_key(THIRD), 1, 0)
    open_flow(state, make_key(THIRD))
    flow = state.flows[make_key(THIRD)]
    slot_usage.begin_request(state, flow, 1)
    answer(state, THIRD, 2)
    assert state.even_load.work.worked_permille == 1_000


@pytest.mark.parametrize(
    ('is_enabled', 'priority', 'expected'),
    [
        pytest.param(False, 1, 1, id='without-a-queue'),
        pytest.param(False, 0, 2, id='urgent-without-a-queue'),
        pytest.param(True, 1, 3, id='in-time-with-a-queue'),
        pytest.param(True, 0, 6, id='urgent-with-a-queue'),
    ],
)
def test_all_callers_that_return_at_once_are_admitted_while_there_is_time(
    is_enabled, priority, expected
):
    # Guards against refusals of openings that could still be answered in time
    # after a loss of power, when each upstream gets many at once.
    state = make_agent(is_enabled=is_enabled)
    state.counts[POOL].mean_work_ms = WAIT_MS
    entry = dataclasses.replace(ENTRIES[0], priority=priority)
    admitted = 0
    while (
        admission.decide_admission(state, entry, 0, 0, is_last_candidate=True)
        is admission.Admission.NOW
    ):
        state.counts[POOL].running += 1
        admitted += 1
    # One runs at once, and each further one waits for the work of one more.
    assert admitted == 1 + expected
