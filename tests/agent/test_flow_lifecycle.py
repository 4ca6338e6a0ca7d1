"""The life cycle of flows: silence, adoption, restarts and late replies."""

import dataclasses

import builders
import fakes
import pytest

from gentianspoke.core import frames
from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.core import verdicts
from gentianspoke.core import views
from gentianspoke.decisions import actions
from gentianspoke.decisions.agent import adoption
from gentianspoke.decisions.agent import core
from gentianspoke.decisions.agent import flow_table
from gentianspoke.decisions.agent import records
from gentianspoke.decisions.agent import timeouts

ONE_MEMBER_VIEW = builders.view(builders.member(1))
ACK = packets.ACK
SYN_ACK = packets.SYN | packets.ACK
RST = packets.RST | packets.ACK
FIN = packets.FIN | packets.ACK


def packet(flags, seq, ack, payload_bytes=0, sport=5_000):
    key = builders.flow_key(sport)
    return packets.Segment(key, flags, seq, ack, payload_bytes, b'raw')


def agent(traffic=None, view=ONE_MEMBER_VIEW, **fields):
    entry = builders.service(traffic or services.Board())
    return fakes.agent(1, entry, view, **fields)


def open_flow(state, now=0, sport=5_000):
    """Open a flow whose initial sequence numbers are 100 and 500.

    100 is the caller's number and 500 the upstream's. The flow is opened by
    a complete TCP handshake.
    """
    network = fakes.AgentNetwork(state)
    network.send(1, packet(packets.SYN, 100, 0, sport=sport), now)
    core.on_reply(state, packet(SYN_ACK, 500, 101, sport=sport), now)
    network.send(1, packet(ACK, 101, 501, sport=sport), now)
    return network


UPSTREAM, NETWORK, CALLER = (
    verdicts.Fault.UPSTREAM,
    verdicts.Fault.NETWORK,
    verdicts.Fault.CALLER,
)


# ``up`` and ``down`` say what the caller and the upstream send every second.
# True means the same segment with data. A tuple means an acknowledgement
# without data that has these sequence and acknowledgement numbers. None means
# that the side sends nothing. ``is_other_active`` says whether packets of
# another flow pass both ways.
@pytest.mark.parametrize(
    ('up', 'down', 'is_other_active', 'fault'),
    [
        pytest.param(True, None, True, UPSTREAM, id='not-answered'),
        pytest.param(True, None, False, None, id='no-flow-is-answered'),
        pytest.param(True, (501, 111), True, NETWORK, id='answers-are-lost'),
        pytest.param(True, (501, 101), True, UPSTREAM, id='not-acknowledged'),
        pytest.param(None, True, True, CALLER, id='caller-is-silent'),
        pytest.param(None, True, False, None, id='all-callers-are-silent'),
        pytest.param((101, 501), True, True, NETWORK, id='data-is-lost'),
    ],
)
def test_a_silent_flow_is_reported_with_its_fault_and_reset(
    up, down, is_other_active, fault
):
    state = agent()
    network = open_flow(state)
    other_network = open_flow(state, sport=7_000)
    for now in range(1_000, 9_000, 1_000):
        if up is True:
            network.send(1, packet(ACK, 101, 501, 10), now)
        elif up:
            network.send(1, packet(ACK, *up), now)
        if down is True:
            answer = packet(ACK, 501, 101, 10)
            network.carry_out(1, core.on_reply(state, answer, now))
        elif down:
            network.carry_out(1, core.on_reply(state, packet(ACK, *down), now))
        if is_other_active:
            other_network.send(1, packet(ACK, 101, 501, sport=7_000), now)
            core.on_reply(state, packet(ACK, 501, 101, sport=7_000), now)
    faults = [report.verdict.fault for report in state.flow_reports]
    assert faults == ([fault] if fault else [])
    assert bool(network.resets) is bool(fault)
    assert (state.total_open == 1) is bool(fault)


def test_a_verdict_includes_its_evidence():
    state = agent()
    network = open_flow(state)
    network.send(1, packet(RST, 101, 501), 40)
    (report,) = state.flow_reports
    names = {name for name, _ in report.verdict.evidence}
    assert names >= {
        'last_up_ms_ago',
        'last_down_ms_ago',
        'up_repeats',
        'down_repeats',
        'admission',
        'incarnation',
        'view',
    }


@pytest.mark.parametrize(
    ('ack', 'is_answered'),
    [(101, True), (77, False)],
    ids=['own', 'earlier'],
)
def test_a_syn_ack_of_an_earlier_flow_does_not_reach_the_caller(
    ack, is_answered
):
    state = agent()
    network = fakes.AgentNetwork(state)
    network.send(1, packet(packets.SYN, 100, 0))
    (action,) = core.on_reply(state, packet(SYN_ACK, 500, ack), 1)
    assert isinstance(action, actions.Answer) is is_answered


def test_a_new_opening_on_an_open_five_tuple_gets_its_syn_ack():
    state = agent()
    network = open_flow(state)
    network.send(1, packet(packets.SYN, 900, 0), 50)
    (action,) = core.on_reply(state, packet(SYN_ACK, 4_000, 901), 60)
    assert isinstance(action, actions.Answer)
    assert state.flows[builders.flow_key()].isn == 900


# The late reset's sequence number is 1 << 30 before the expected one, and so
# outside ``teardown.RESET_WINDOW_BYTES``.
@pytest.mark.parametrize(
    ('seq', 'open_count'),
    [(101, 0), (101 - (1 << 30), 1)],
    ids=['own', 'late'],
)
def test_a_late_reset_of_an_earlier_flow_does_not_close_the_flow(
    seq, open_count
):
    state = agent()
    network = open_flow(state)
    network.send(1, packet(RST, seq % (1 << 32), 0), 50)
    assert state.total_open == open_count


# 7_200_000 ms is the default of the service's ``idle_ms``. A record is removed
# up to ``timer_wheel.TIME_SLOT_MS``, which is 250 ms, after its time limit.
@pytest.mark.parametrize(
    ('kind', 'after_ms', 'record_count'),
    [
        pytest.param(
            'closed',
            flow_table.LINGER_TIMEOUT_MS - 1,
            1,
            id='closed-within-linger-time',
        ),
        pytest.param(
            'closed',
            flow_table.LINGER_TIMEOUT_MS + 300,
            0,
            id='closed-after-linger-time',
        ),
        pytest.param(
            'half',
            flow_table.HALF_OPEN_TIMEOUT_MS - 1,
            1,
            id='half-open-within-limit',
        ),
        pytest.param(
            'half',
            flow_table.HALF_OPEN_TIMEOUT_MS + 300,
            0,
            id='half-open-after-limit',
        ),
        pytest.param('open', 7_199_000, 1, id='idle-within-limit'),
        pytest.param('open', 7_200_300, 0, id='idle-after-limit'),
    ],
)
def test_a_record_is_removed_after_the_time_limit_of_its_phase(
    kind, after_ms, record_count
):
    state = agent()
    if kind == 'half':
        fakes.AgentNetwork(state).send(1, packet(packets.SYN, 100, 0))
    else:
        network = open_flow(state)
    if kind == 'closed':
        network.send(1, packet(FIN, 101, 501))
        core.on_reply(state, packet(FIN, 501, 102), 0)
    for now in range(0, after_ms, 1 + after_ms // 50):
        core.on_tick(state, now)
    core.on_tick(state, after_ms)
    assert len(state.flows) == record_count


def network_with_recovering_agents(*numbers):
    """Return the network of agents 1 to 3; ``numbers`` are recovering."""
    members = [builders.member(n, recovering=n in numbers) for n in (1, 2, 3)]
    view = builders.view(*members)
    entry = builders.service(services.Board())
    states = [
        fakes.agent(n, entry, view, recovering=n in numbers) for n in (1, 2, 3)
    ]
    return fakes.AgentNetwork(*states)


MID_FLOW_SEGMENT = packet(ACK, 101, 501, 10)


@pytest.mark.parametrize('owner', [1, 2, 3])
def test_after_several_restarts_a_flow_is_adopted_by_its_own_upstream(owner):
    network = network_with_recovering_agents(1, 2, 3)
    now = 0
    network.send(1, MID_FLOW_SEGMENT)
    while network.delivering_agents[-1] != owner:
        asked_member = network.delivering_agents[-1]
        decided_actions = core.on_reply(
            network.states[asked_member], packet(RST, 501, 0), now
        )
        (forward_action,) = decided_actions
        assert isinstance(forward_action, actions.SendFrame)
        network.send(
            forward_action.member.number,
            MID_FLOW_SEGMENT,
            purpose=frames.Purpose.ADOPT,
            tried=forward_action.forward.tried,
        )
        now += 1
    (answer,) = core.on_reply(
        network.states[owner], packet(ACK, 501, 111), now
    )
    assert isinstance(answer, actions.Answer)
    for target in (1, 2, 3):
        network.send(target, MID_FLOW_SEGMENT, now)
        assert network.delivering_agents[-1] == owner


def test_an_unconfirmed_flow_is_passed_to_the_next_recovering_member():
    network = network_with_recovering_agents(1, 2)
    network.send(3, MID_FLOW_SEGMENT)
    adopting_agent = network.states[network.delivering_agents[-1]]
    decided_actions = core.on_tick(
        adopting_agent, adoption.CONFIRM_TIMEOUT_MS + 300
    )
    assert isinstance(decided_actions[0], actions.SendFrame)
    assert builders.flow_key() not in adopting_agent.flows


def test_an_unknown_flow_is_reset_only_after_it_has_stayed_unknown():
    network = network_with_recovering_agents()
    network.send(1, MID_FLOW_SEGMENT)
    assert (network.resets, network.drop_reasons) == ([], ['no-owner'])
    network.send(1, MID_FLOW_SEGMENT, adoption.ORPHAN_RESET_TIMEOUT_MS)
    assert network.resets == ['caller no-owner']
    reports = [
        report
        for state in network.states.values()
        for report in state.flow_reports
    ]
    assert [report.verdict.fault for report in reports] == [
        verdicts.Fault.BALANCER
    ]


def test_the_records_of_unknown_flows_expire():
    state = agent()
    network = fakes.AgentNetwork(state)
    for sport in range(1_000, 1_050):
        network.send(1, packet(ACK, 1, 1, sport=sport))
    assert len(state.orphans) == 50
    core.on_tick(state, timeouts.ORPHAN_TIMEOUT_MS)
    assert state.orphans == {}


def test_an_upstream_restart_resets_the_flows_and_starts_a_new_incarnation():
    state = agent(recovering=True)
    open_flow(state)
    decided_actions = core.on_incarnation(state, 77, 1_000)
    assert [type(action) for action in decided_actions] == [
        actions.ResetCaller
    ]
    assert [report.verdict.fault for report in state.flow_reports] == [
        UPSTREAM
    ]
    assert (state.number, state.flows, state.lease_until_ms) == (77, {}, 0)
    assert state.joining and not state.recovering
    late_actions = core.on_reply(state, packet(ACK, 501, 101), 1_001)
    assert late_actions == [actions.Drop('late-answer')]


@pytest.mark.parametrize(
    ('decided_view', 'reported_view'),
    [
        pytest.param(4, 4, id='decider-in-the-same-view'),
        pytest.param(3, 3, id='decider-one-view-behind'),
        pytest.param(5, 4, id='decider-one-view-ahead'),
    ],
)
def test_the_oldest_flow_view_is_the_older_of_the_deciders_and_targets_view(
    decided_view, reported_view
):
    home, second, _ = fakes.ranked_members()
    members = [builders.member(n) for n in (1, 2, 3)]
    entry = builders.service(services.Board())
    state = fakes.agent(second, entry, builders.view(*members, number=4))
    state.number = second
    segment = builders.segment()
    frame = fakes.forward(
        second, segment, frames.Purpose.OFFER, sender=home, decider=home
    )
    frame.view = decided_view
    core.on_forward(state, frame, segment, 0)
    assert core.find_oldest_flow_view(state, 1) == reported_view
    flow = state.flows[builders.flow_key()]
    flow_table.remove_flow(state, flow, 1)
    assert core.find_oldest_flow_view(state, 1) == 0


def datagram(sport=5_000):
    key = packets.FlowKey(bytes((packets.UDP,)) + builders.flow_key(sport)[1:])
    return packets.Datagram(key, 4, b'raw')


def udp_service(traffic):
    entry = builders.service(traffic)
    return dataclasses.replace(entry, protocol=packets.UDP)


def test_a_datagram_goes_to_the_owner_that_an_earlier_home_had_chosen():
    entry = udp_service(services.Board())
    old_view = builders.view(
        *(builders.member(n) for n in (1, 2, 3)), number=4
    )
    states = {n: fakes.agent(n, entry, old_view) for n in (1, 2, 3)}
    network = fakes.AgentNetwork(*states.values())
    ranking = states[1].rankings[1]
    bucket = fakes.forward(1, datagram()).bucket
    home, second, owner = (m.number for m in ranking.rank_members(bucket))
    network.send(
        owner,
        datagram(),
        purpose=frames.Purpose.OFFER,
        sender=home,
        decider=home,
    )
    members = [
        builders.member(
            n,
            views.State.SUSPECT if n == home else views.State.LIVE,
            closed_view=5 if n == home else 0,
            oldest_flow_view=4 if n == owner else 0,
        )
        for n in (1, 2, 3)
    ]
    states[second].set_view(builders.view(*members, number=5))
    network.send(second, datagram())
    assert network.delivering_agents == [owner, owner]


def test_a_datagram_for_a_non_idempotent_service_is_dropped():
    entry = udp_service(services.Booking(False))
    network = fakes.AgentNetwork(fakes.agent(1, entry, ONE_MEMBER_VIEW))
    network.send(1, datagram())
    assert network.drop_reasons == ['datagram-runs-once']


def test_a_second_end_of_a_flow_changes_nothing():
    state = agent(services.Booking(True))
    open_flow(state)
    flow = state.flows[builders.flow_key()]
    for phase in (records.Phase.CLOSED, records.Phase.REFUSED):
        flow_table.end_flow(state, flow, 5, phase)
    assert (flow.phase, state.total_open) == (records.Phase.CLOSED, 0)
    assert state.total_running == 0
