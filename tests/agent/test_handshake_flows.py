"""Flows of services with ``handshake``: slots, returned packets, owners."""

import dataclasses

import builders
import fakes
import pytest

from gentianspoke.core import frames
from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.core import views
from gentianspoke.decisions import actions
from gentianspoke.decisions.agent import admission
from gentianspoke.decisions.agent import core
from gentianspoke.decisions.agent import flow_table
from gentianspoke.decisions.agent import handshake_flows
from gentianspoke.decisions.agent import own_pools
from gentianspoke.decisions.agent import records
from gentianspoke.decisions.agent import slot_usage

ACK = packets.ACK
SYN_ACK = packets.SYN | packets.ACK
FIN = packets.FIN | packets.ACK
POOL = 7
OWN_POOL = own_pools.NamedPool('pool', POOL)
ENTRY = dataclasses.replace(
    builders.service(services.Booking(False), wait_ms=50),
    handshake=True,
    shares=(services.Share(POOL, 1, 'pool'),),
)


def view(*members, number=1):
    listed = members or [builders.member(n + 1) for n in range(3)]
    return views.View(POOL, number, tuple(listed))


def agent(number=1, entry=ENTRY, pool_view=None, **fields):
    state = fakes.agent(
        number, entry, pool_view or view(), own_pool=OWN_POOL, **fields
    )
    state.lease_until_ms = 0
    return state


def packet(flags=ACK, seq=101, ack=501, payload_bytes=0, **fields):
    return packets.Segment(
        builders.flow_key(), flags, seq, ack, payload_bytes, b'raw', **fields
    )


SYN = packet(packets.SYN, 100, 0)
DATA = packet(ACK | packets.PSH, payload_bytes=900)


def frame(target, purpose=frames.Purpose.ROUTE, **fields):
    forward = fakes.forward(target, DATA, purpose, **fields)
    return dataclasses.replace(forward, pool=POOL)


def members_by_rank():
    """Return the member numbers in the rendezvous order of the bucket."""
    ranking = agent().rankings[POOL]
    bucket = frame(1).bucket
    return [member.number for member in ranking.rank_members(bucket)]


HOME, SECOND, THIRD = members_by_rank()


def send(state, segment, now=0, **fields):
    """Pass a forwarded packet to the agent and return its actions."""
    forward = dataclasses.replace(
        frame(state.number, **fields), packet=segment.raw
    )
    return core.on_forward(state, forward, segment, now)


def agent_with_open_flow(number=HOME, **fields):
    """Return an agent on which the flow is open and the SYN is answered."""
    state = agent(number, **fields)
    send(state, SYN, purpose=frames.Purpose.OFFER)
    core.on_reply(state, packet(SYN_ACK, 500, 101), 1)
    return state


def kinds(decided_actions):
    return [type(action) for action in decided_actions]


def test_an_opening_is_delivered_without_a_lease():
    state = agent(HOME)
    assert kinds(send(state, SYN)) == [actions.Deliver]


@pytest.mark.parametrize('number', [SECOND, THIRD])
def test_a_retransmission_that_an_entry_offers_to_a_member_is_delivered(
    number,
):
    state = agent(number)
    retransmitted_opening = dataclasses.replace(SYN, retransmission=1)
    decided_actions = send(
        state, retransmitted_opening, purpose=frames.Purpose.OFFER
    )
    assert kinds(decided_actions) == [actions.Deliver]


def test_a_slot_is_held_from_request_to_answer():
    state = agent_with_open_flow()
    send(state, DATA, 2)
    send(state, DATA, 3)
    assert state.count_occupied_slots() == 1
    core.on_reply(state, packet(seq=501, payload_bytes=600), 9)
    assert state.count_occupied_slots() == 0
    send(state, DATA, 10)
    assert state.count_occupied_slots() == 0


def test_an_opening_reserves_a_slot_for_its_request_for_a_limited_time():
    state = agent(HOME)
    send(state, SYN)
    assert state.count_occupied_slots() == 1
    core.on_tick(state, slot_usage.RESERVATION_TIMEOUT_MS)
    assert state.count_occupied_slots() == 0
    send(state, DATA, 200)
    assert state.count_occupied_slots() == 1
    core.on_reply(state, packet(seq=501, payload_bytes=600), 230)
    assert (state.count_occupied_slots(), state.counts[POOL].mean_work_ms) == (
        0,
        30,
    )


def test_a_returned_opening_reserves_no_slot():
    state = agent(HOME)
    send(state, SYN)
    core.on_returned(state, dataclasses.replace(SYN, is_returned=True), 1)
    assert (state.count_occupied_slots(), state.counts[POOL].mean_work_ms) == (
        0,
        0,
    )


def test_a_request_that_has_not_arrived_completely_holds_no_slot():
    # The upstream starts to work on an upload only after its last packet.
    entry = dataclasses.replace(ENTRY, traffic=services.Upload(False))
    state = agent_with_open_flow(entry=entry)
    send(state, packet(seq=101, payload_bytes=1_200), 2)
    assert state.count_occupied_slots() == 0
    send(state, packet(ACK | packets.PSH, seq=1_301, payload_bytes=300), 700)
    assert state.count_occupied_slots() == 1
    core.on_reply(state, packet(seq=501, payload_bytes=600), 705)
    assert state.counts[POOL].mean_work_ms == 5


OLD_ISN = 3_000_000_000


@pytest.mark.parametrize(
    ('flags', 'ack', 'kind'),
    [
        pytest.param(ACK, 1_001, actions.Answer, id='answer-to-this-flow'),
        pytest.param(ACK, 101, actions.Answer, id='acknowledges-the-opening'),
        pytest.param(ACK, OLD_ISN, actions.Drop, id='answer-to-another-flow'),
        pytest.param(FIN, OLD_ISN, actions.Drop, id='end-of-an-earlier-flow'),
        pytest.param(
            SYN_ACK, OLD_ISN, actions.Drop, id='earlier-opening-answered-late'
        ),
        pytest.param(
            packets.RST, 0, actions.Answer, id='reset-without-a-number'
        ),
    ],
)
def test_a_late_copy_of_an_earlier_flows_answer_does_not_reach_the_caller(
    flags, ack, kind
):
    # The ports of an ended flow are in use again by a flow with other numbers.
    state = agent_with_open_flow()
    send(state, DATA, 2)
    late_segment = packet(flags, seq=501, ack=ack, payload_bytes=600)
    assert kinds(core.on_reply(state, late_segment, 3)) == [kind]


def test_a_late_answer_neither_frees_the_slot_nor_ends_the_flow():
    state = agent_with_open_flow()
    send(state, DATA, 2)
    core.on_reply(state, packet(FIN, seq=7, ack=OLD_ISN, payload_bytes=5), 3)
    assert state.count_occupied_slots() == 1
    assert not state.flows[builders.flow_key()].down.fin_seen


@pytest.mark.parametrize(
    ('traffic', 'is_paced', 'last_ms', 'now', 'is_in_progress'),
    [
        pytest.param(
            services.Download(), True, 50, 60, True, id='download-continues'
        ),
        pytest.param(
            services.Download(), True, 50, 2_050, False, id='download-is-idle'
        ),
        pytest.param(
            services.Booking(False), False, 50, 60, False, id='short-answer'
        ),
    ],
)
def test_a_long_answer_holds_no_slot_but_is_in_progress(
    traffic, is_paced, last_ms, now, is_in_progress
):
    entry = dataclasses.replace(ENTRY, traffic=traffic)
    state = agent_with_open_flow(entry=entry)
    send(state, DATA, 2)
    part = packet(seq=501, payload_bytes=1_200)
    (answer,) = core.on_reply(state, part, last_ms)
    assert (answer.segment_id is not None) == is_paced
    assert state.count_occupied_slots() == 0
    assert state.has_flows_in_progress(now) == is_in_progress


def test_a_download_is_finished_once_its_flow_has_ended():
    entry = dataclasses.replace(ENTRY, traffic=services.Download())
    state = agent_with_open_flow(entry=entry)
    send(state, DATA, 2)
    core.on_reply(state, packet(seq=501, payload_bytes=1_200), 3)
    core.on_reply(state, packet(FIN, seq=1_701), 4)
    assert state.has_flows_in_progress(5)
    send(state, packet(FIN, seq=1_001, ack=1_702), 6)
    assert not state.has_flows_in_progress(7)


# In this test and the next two, the upstream of ``fakes.agent`` has 4 slots.
@pytest.mark.parametrize(
    ('running', 'took_ms', 'worked_ms'),
    [
        pytest.param(1, 60, 60, id='a-free-slot'),
        pytest.param(4, 60, 60, id='the-last-free-slot'),
        pytest.param(8, 120, 60, id='behind-one-request-per-slot'),
    ],
)
def test_the_time_in_the_upstreams_queue_is_not_counted_as_work(
    running, took_ms, worked_ms
):
    state = agent_with_open_flow()
    state.counts[POOL].running = running
    send(state, DATA, 2)
    core.on_reply(state, packet(seq=501, payload_bytes=600), 2 + took_ms)
    assert state.counts[POOL].mean_work_ms == worked_ms


# The expected wait is 25 ms, a quarter of the mean work, for each running
# request beyond the third. The wait limit of ``ENTRY`` is 50 ms.
@pytest.mark.parametrize(
    ('priority', 'running', 'kind'),
    [
        pytest.param(1, 5, actions.Deliver, id='within-its-wait-limit'),
        pytest.param(
            1, 7, actions.Deliver, id='most-urgent-at-twice-the-limit'
        ),
        pytest.param(
            1, 8, actions.Refuse, id='most-urgent-beyond-twice-the-limit'
        ),
        pytest.param(2, 5, actions.Deliver, id='less-urgent-within-its-limit'),
        pytest.param(2, 6, actions.Refuse, id='less-urgent-beyond-its-limit'),
    ],
)
def test_the_most_urgent_openings_are_refused_last(priority, running, kind):
    state = agent(HOME, pool_view=view(builders.member(HOME)))
    entry = dataclasses.replace(ENTRY, priority=priority)
    urgent_entry = dataclasses.replace(ENTRY, number=2, priority=1, ports=(1,))
    state.set_catalogue([entry, urgent_entry])
    state.total_running = state.counts[POOL].running = running
    state.counts[POOL].mean_work_ms = 100
    assert kinds(send(state, SYN)) == [kind]


# The expected waits are 0, 25, 125 and 60 ms.
@pytest.mark.parametrize(
    ('running', 'mean_work_ms', 'is_delivered'),
    [(3, 500, True), (4, 100, True), (4, 500, False), (9, 40, False)],
)
def test_an_opening_that_would_wait_too_long_is_offered_to_another_member(
    running, mean_work_ms, is_delivered
):
    state = agent(HOME)
    state.total_running = state.counts[POOL].running = running
    state.counts[POOL].mean_work_ms = mean_work_ms
    expected = actions.Deliver if is_delivered else actions.SendFrame
    assert kinds(send(state, SYN)) == [expected]


def test_a_returned_opening_is_offered_to_another_member():
    state = agent(HOME)
    send(state, SYN)
    returned_segment = dataclasses.replace(SYN, is_returned=True)
    (offer,) = core.on_returned(state, returned_segment, 1)
    assert offer.forward.purpose is frames.Purpose.OFFER
    assert offer.member.number in (SECOND, THIRD)
    assert state.count_open_flows() == 0


@pytest.mark.parametrize(
    ('retransmission', 'kind'), [(0, actions.Refuse), (1, actions.Drop)]
)
def test_a_returned_retransmission_is_dropped_instead_of_refused(
    retransmission, kind
):
    one_member_view = view(builders.member(HOME))
    state = agent(HOME, pool_view=one_member_view)
    opening = dataclasses.replace(SYN, retransmission=retransmission)
    send(state, opening)
    returned_segment = dataclasses.replace(opening, is_returned=True)
    assert kinds(core.on_returned(state, returned_segment, 1)) == [kind]


def test_an_unknown_flow_is_forwarded_in_search_of_its_owner_but_not_reset():
    state = agent(HOME)
    action_kinds = []
    for now in range(0, 60_000, 1_000):
        action_kinds += kinds(send(state, DATA, now))
    assert set(action_kinds) == {actions.SendFrame}
    last_frame = frame(HOME, tried=(SECOND, THIRD))
    assert core.on_forward(state, last_frame, DATA, 0) == [
        actions.Drop('no-owner')
    ]


def test_the_first_member_asked_is_notified_of_the_owner():
    owner = agent_with_open_flow(SECOND)
    search_frame = frame(SECOND, tried=(HOME, THIRD))
    notice, delivery = core.on_forward(owner, search_frame, DATA, 5)
    assert (notice.member.number, type(delivery)) == (HOME, actions.Deliver)
    home = agent(HOME)
    core.on_owned(home, notice.owned, 6)
    (forward_action,) = send(home, DATA, 7)
    assert forward_action.member.number == SECOND
    repeated_actions = core.on_forward(owner, search_frame, DATA, 8)
    assert kinds(repeated_actions) == [actions.Deliver]


@pytest.mark.parametrize(
    ('entry', 'is_reported'),
    [
        pytest.param(ENTRY, False, id='with-handshake'),
        pytest.param(
            dataclasses.replace(ENTRY, handshake=False),
            True,
            id='without-handshake',
        ),
    ],
)
def test_the_oldest_flow_view_is_reported_only_without_a_handshake(
    entry, is_reported
):
    state = agent(SECOND, entry=entry)
    state.lease_until_ms = 10_000
    flow = open_flow_with_another_home(state, entry)
    oldest_view = core.find_oldest_flow_view(state, POOL)
    assert bool(oldest_view) is is_reported, flow


def open_flow_with_another_home(state, entry):
    """Open a flow of a bucket whose home is another member."""
    bucket = frame(state.number).bucket
    state.set_catalogue([entry])
    return flow_table.open_flow(state, entry, DATA.key, bucket, 1, 0)


class TestAfterARestart:
    """An agent that restarted while its upstream kept running."""

    @pytest.fixture
    def state(self):
        """Return a recovering agent that knows no flow."""
        return agent(HOME, recovering=True)

    def test_one_packet_is_delivered_and_the_next_ones_are_held(self, state):
        assert kinds(send(state, DATA)) == [actions.Deliver]
        assert kinds(send(state, DATA, 1)) == [actions.Hold]

    @pytest.mark.parametrize(
        'confirm',
        [
            pytest.param(
                lambda state: core.on_reply(state, packet(seq=501), 2),
                id='upstream-answers',
            ),
            pytest.param(
                lambda state: core.on_tick(state, 1_000),
                id='tick-after-the-limit',
            ),
            pytest.param(
                lambda state: send(
                    state, DATA, handshake_flows.CONFIRM_TIMEOUT_MS
                ),
                id='next-packet-after-the-limit',
            ),
        ],
    )
    def test_held_packets_are_delivered_once_the_flow_is_confirmed(
        self, state, confirm
    ):
        send(state, DATA)
        send(state, DATA, 1)
        assert actions.Deliver in kinds(confirm(state))
        assert not state.flows[DATA.key].held_packets

    def test_a_returned_packet_is_forwarded_and_the_flow_is_not_retried(
        self, state
    ):
        send(state, DATA)
        send(state, DATA, 1)
        returned_segment = dataclasses.replace(DATA, is_returned=True)
        decided_actions = core.on_returned(state, returned_segment, 2)
        assert kinds(decided_actions) == [actions.SendFrame, actions.SendFrame]
        assert kinds(send(state, DATA, 3)) == [actions.SendFrame]

    def test_the_upstreams_packets_of_unknown_flows_reach_the_caller(
        self, state
    ):
        for flags in (ACK, FIN, packets.RST, SYN_ACK):
            decided_actions = core.on_reply(state, packet(flags), 1)
            assert kinds(decided_actions) == [actions.Answer]


def test_the_caller_of_a_flow_that_its_upstream_has_lost_is_reset():
    state = agent_with_open_flow()
    send(state, DATA, 2)
    core.on_reply(state, packet(seq=501), 3)
    returned_segment = dataclasses.replace(DATA, is_returned=True)
    (reset,) = core.on_returned(state, returned_segment, 4)
    assert (type(reset), reset.seq) == (actions.ResetCaller, DATA.ack)


def test_a_packet_returned_after_only_a_syn_ack_is_forwarded_elsewhere():
    state = agent_with_open_flow()
    returned_segment = dataclasses.replace(DATA, is_returned=True)
    send(state, DATA, 2)
    assert kinds(core.on_returned(state, returned_segment, 3)) == [
        actions.SendFrame
    ]
    assert DATA.key not in state.flows


@pytest.mark.parametrize('is_draining', [False, True])
def test_without_a_live_member_an_agent_delivers_unless_it_drains(is_draining):
    suspects = [
        builders.member(n + 1, views.State.SUSPECT, closed_view=1)
        for n in range(3)
    ]
    state = agent(HOME, pool_view=view(*suspects), draining=is_draining)
    expected = actions.Refuse if is_draining else actions.Deliver
    assert kinds(send(state, SYN)) == [expected]


def test_the_record_of_an_unanswered_opening_is_removed_soon():
    state = agent(HOME)
    send(state, SYN)
    core.on_tick(state, flow_table.HANDSHAKE_TIMEOUT_MS + 500)
    assert state.count_open_flows() == 0


@pytest.mark.parametrize('first_fin', ['up', 'down'])
def test_an_adopted_flow_that_is_half_closed_frees_its_slot(first_fin):
    entry = builders.service(services.Booking(False))
    state = fakes.agent(1, entry, builders.view(builders.member(1)))
    state.recovering = True
    segment = packets.Segment(builders.flow_key(), FIN, 7, 9, 0, b'raw')
    if first_fin == 'up':
        forward = fakes.forward(1, segment)
        core.on_forward(state, forward, segment, 0)
        core.on_reply(state, dataclasses.replace(segment, flags=ACK), 1)
    else:
        core.on_reply(state, segment, 0)
    assert state.count_occupied_slots() == 1
    for now in range(0, 4_000, 50):
        core.on_tick(state, now)
    assert not state.has_flows_in_progress(0)
    assert state.flows[segment.key].phase is records.Phase.CLOSED


@pytest.mark.parametrize(
    ('event', 'kind'),
    [
        pytest.param(None, actions.SendFrame, id='silent'),
        pytest.param(
            lambda state: core.on_reply(state, packet(SYN_ACK, 500, 101), 2),
            actions.Deliver,
            id='answered',
        ),
        pytest.param(
            lambda state: core.on_returned(
                state, dataclasses.replace(SYN, is_returned=True), 2
            ),
            actions.Deliver,
            id='returned-the-opening',
        ),
    ],
)
def test_an_upstream_that_leaves_openings_unanswered_is_chosen_last(
    event, kind
):
    state = agent(HOME)
    send(state, SYN)
    if event is not None:
        event(state)
    state.diversions.clear()
    new_opening = dataclasses.replace(SYN, seq=900)
    if SYN.key in state.flows:
        flow_table.remove_flow(state, state.flows[SYN.key], 3)
    assert kinds(send(state, new_opening, admission.UPSTREAM_TIMEOUT_MS)) == [
        kind
    ]


def test_a_silent_upstream_still_gets_openings_if_it_is_the_only_one():
    state = agent(HOME, pool_view=view(builders.member(HOME)))
    send(state, SYN)
    flow_table.remove_flow(state, state.flows[SYN.key], 1)
    decided_actions = send(state, SYN, admission.UPSTREAM_TIMEOUT_MS)
    assert kinds(decided_actions) == [actions.Deliver]
