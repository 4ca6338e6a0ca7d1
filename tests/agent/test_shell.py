"""The agent's tasks: invalid input, planned stops and upstream restarts."""

import asyncio
import contextlib
import dataclasses

import builders
import pytest

from gentianspoke import clock
from gentianspoke.codec import frame
from gentianspoke.codec import ip
from gentianspoke.codec import keys
from gentianspoke.config import settings
from gentianspoke.core import frames
from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.core import views
from gentianspoke.decisions.agent import cold_start
from gentianspoke.decisions.agent import core
from gentianspoke.decisions import lifecycle
from gentianspoke.net import datagrams
from gentianspoke.shells.agent import agent as agent_shell
from gentianspoke.shells.agent import status
from gentianspoke.shells.agent import stopping
from gentianspoke.shells import feed_client
from gentianspoke.shells import process
from gentianspoke.telemetry import logs
from gentianspoke.telemetry import metrics

HOST = '127.0.0.1'
KEY_RING = keys.KeyRing(1, {1: bytes(32)})
OTHER_KEY_RING = keys.KeyRing(1, {1: bytes(31) + b'x'})
TIMEOUT_S = 5.0
ROLE = settings.AgentSettings(
    listen=(HOST, 1),
    upstream_side=(HOST, 1),
    upstream=(HOST, 9),
    status=None,
    fabric=(HOST, 9),
    services=('service-1',),
    slots=4,
    connections=10,
    weight=100,
    ramp_ms=0,
)
CFG = settings.Settings(
    instance='agent-1',
    zone='zone-1',
    key_file='',
    log_file=None,
    log_level='INFO',
    metrics=None,
    grace_ms=400,
    feeds=(),
    role=ROLE,
)


def make_process(ring=KEY_RING):
    agent_clock = clock.Clock()
    return process.Process(
        cfg=CFG,
        clock=agent_clock,
        ring=ring,
        events=logs.EventLog('agent-1', 'agent', agent_clock),
        metrics=metrics.Metrics('agent-1', 'agent'),
        life=lifecycle.Lifecycle(lambda state: None),
        stop=asyncio.Event(),
    )


@contextlib.contextmanager
def running_agent():
    with (
        datagrams.open_datagrams((HOST, 0)) as peers,
        datagrams.open_datagrams((HOST, 0)) as upstream,
    ):
        proc = make_process()
        agent = agent_shell.Agent(
            proc, ROLE, ip, peers, upstream, 'first', True
        )
        entry = builders.service(services.Booking(False))
        update = feed_client.CatalogueUpdate(True, 1, [entry])
        agent.apply_update(update)
        yield agent, proc, peers


def own_view(agent, state=views.State.LIVE, number=1):
    own_member = builders.member(agent.state.number, state)
    return builders.view(own_member, number=number)


def encode_load_report(ring=KEY_RING):
    return frame.encode(frames.LoadReport(1, 5, 1, 1, 1), ring)


@pytest.mark.parametrize(
    ('datagram', 'reason'),
    [
        pytest.param(b'\xff' * 40, 'not-an-envelope', id='not-an-envelope'),
        pytest.param(b'', 'other-version', id='empty'),
        pytest.param(
            encode_load_report(OTHER_KEY_RING),
            'bad-tag',
            id='signed-with-another-key',
        ),
    ],
)
async def test_invalid_input_is_counted_and_the_task_continues(
    datagram, reason
):
    with running_agent() as (agent, proc, peers):
        await send_and_count(agent, proc, peers, datagram, reason)


async def test_an_exception_in_the_code_is_counted_and_the_task_continues(
    monkeypatch,
):
    def fail(*_):
        raise KeyError('a bug')

    monkeypatch.setattr(core, 'on_load', fail)
    with running_agent() as (agent, proc, peers):
        await send_and_count(
            agent, proc, peers, encode_load_report(), 'internal-error'
        )


async def send_and_count(agent, proc, peers, datagram, reason):
    async with process.run_tasks(agent.read_peers()):
        for count in (1, 2):
            peers.send(datagram, peers.address)
            async with asyncio.timeout(TIMEOUT_S):
                while proc.metrics.counts.dropped[reason] < count:
                    await asyncio.sleep(0)


def test_an_agent_is_joining_until_a_view_shows_it_as_not_live():
    with running_agent() as (agent, _, _):
        joining_states = []
        for number, state in enumerate(
            (
                views.State.LIVE,
                # A view from before the agent's start may list it so.
                views.State.EVACUATED,
                views.State.DRAINING,
                views.State.LIVE,
            ),
            1,
        ):
            agent.apply_update(own_view(agent, state, number))
            joining_states.append(agent.state.joining)
    assert joining_states == [True, True, False, False]


def test_an_agent_shows_that_it_is_evacuated(monkeypatch):
    # Guards against an agent that refuses all openings without a trace.
    with running_agent() as (agent, proc, _):
        kinds, gauges = [], []
        monkeypatch.setattr(
            proc.events, 'write', lambda kind, **_: kinds.append(kind)
        )
        for number, state in enumerate(
            (views.State.LIVE, views.State.EVACUATED, views.State.LIVE), 1
        ):
            own_member = dataclasses.replace(
                builders.member(agent.state.number, state), zone=CFG.zone
            )
            agent.apply_update(builders.view(own_member, number=number))
            page, _ = proc.metrics.render()
            gauges.append('name="evacuated",role="agent"} 1' in page.decode())
    assert kinds == ['upstream-evacuated', 'upstream-restored']
    assert gauges == [False, True, False]


@pytest.mark.parametrize(
    ('drain_accepted', 'running_count', 'unfinished_count'),
    [
        pytest.param(True, 0, 0, id='announced-and-finished'),
        pytest.param(True, 1, 1, id='flow-outlasts-the-grace-period'),
        pytest.param(False, 0, 0, id='control-is-unreachable'),
    ],
)
async def test_a_planned_stop_returns_the_number_of_unfinished_flows(
    drain_accepted, running_count, unfinished_count
):
    with running_agent() as (agent, proc, _):
        state = views.State.DRAINING if drain_accepted else views.State.LIVE
        agent.apply_update(own_view(agent, state))
        if drain_accepted:
            agent.heartbeat.drain_accepted.set()
        agent.state.total_running = running_count
        unfinished_flows = await stopping.drain_agent(proc, agent)
    assert (unfinished_flows.running, agent.state.draining) == (
        unfinished_count,
        True,
    )


def test_a_new_incarnation_in_the_status_starts_a_new_member():
    with running_agent() as (agent, _, _):
        agent.apply_update(own_view(agent, views.State.DRAINING))
        number_before = agent.state.number
        agent.apply_status(status.UpstreamStatus('first'))
        assert agent.state.number == number_before
        agent.apply_status(status.UpstreamStatus('second', draining=True))
        assert agent.state.number != number_before
        assert agent.state.joining and agent.state.draining


def test_the_status_marks_the_upstream_as_cold():
    # Guards against a report that reaches no decision.
    with running_agent() as (agent, proc, _):
        agent.state.cold = cold_start.begin(5, proc.clock.now())
        agent.apply_status(
            status.UpstreamStatus('first', cold_remaining_ms=60_000)
        )
        page, _ = proc.metrics.render()
        assert cold_start.is_reported_cold(agent.state.cold, proc.clock.now())
    assert 'name="cold_remaining_ms"' in page.decode()


def test_metrics_contain_the_waits_and_starts_of_held_requests():
    # Guards against counts that stay in the state and grow there.
    with running_agent() as (agent, proc, _):
        queue = agent.state.requests
        queue.waits_ms.extend((20, 300))
        queue.counts.update({'slot-free': 2, 'hold-limit': 1})
        agent._executor.write_flow_reports(agent.state)
        page, _ = proc.metrics.render()
    text = page.decode()
    assert 'gentianspoke_request_wait_seconds_count' in text
    assert 'reason="hold-limit",role="agent"} 1' in text
    assert not queue.waits_ms and not queue.counts


def test_metrics_contain_the_state_and_the_dropped_packets():
    with running_agent() as (agent, proc, _):
        proc.metrics.counts.dropped['bad-tag'] += 2
        segment = builders.segment(packets.ACK)
        raw = ip.make_reset_to_caller(segment.key, 1, 1)
        agent._executor.execute_all(
            core.on_reply(agent.state, ip.parse(raw), 1)
        )
        page, _ = proc.metrics.render()
    text = page.decode()
    assert 'reason="bad-tag",role="agent"} 2' in text
    assert 'name="lease_left_ms"' in text


# 0 ms disables the time limit.
@pytest.mark.parametrize(
    ('limit_ms', 'is_drained'), [(0, False), (10_000, False), (1, True)]
)
async def test_an_upstream_without_status_is_drained_after_the_time_limit(
    limit_ms, is_drained
):
    with running_agent() as (agent, proc, _):
        agent._cfg = dataclasses.replace(ROLE, silent_ms=limit_ms)
        agent.apply_status(status.UpstreamStatus('first'))
        async with asyncio.timeout(TIMEOUT_S):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(0.2):
                    await agent.tick()
        assert agent.state.draining is is_drained
        agent.apply_status(status.UpstreamStatus('first'))
        assert not agent.state.draining
