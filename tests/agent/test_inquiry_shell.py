"""Inquiries about flows in the agent's process: sockets, log and starts.

Guards against an agent that claims a complete record although its upstream
may have flows from before the agent's start, and against replies that do not
reach the member that asked.
"""

import asyncio
import contextlib
import dataclasses

import builders
import inquiry_pool
import pytest

from gentianspoke import clock
from gentianspoke.codec import frame
from gentianspoke.codec import ip
from gentianspoke.codec import keys
from gentianspoke.config import settings
from gentianspoke.core import frames
from gentianspoke.decisions.agent import flow_knowledge
from gentianspoke.decisions.agent import inquiry_records
from gentianspoke.decisions import lifecycle
from gentianspoke.net import datagrams
from gentianspoke.shells.agent import agent as agent_shell
from gentianspoke.shells.agent import status
from gentianspoke.shells import feed_client
from gentianspoke.shells import process
from gentianspoke.telemetry import logs
from gentianspoke.telemetry import metrics

HOST = '127.0.0.1'
TIMEOUT_S = 5.0
RING = keys.KeyRing(1, {1: bytes(32)})
ASKER = 77
DATA = inquiry_pool.make_segment()
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
    pool='pool',
    recovery_ms=60_000,
    inquire_flows=True,
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


@contextlib.contextmanager
def running_agent(incarnation='first'):
    agent_clock = clock.Clock()
    proc = process.Process(
        cfg=CFG,
        clock=agent_clock,
        ring=RING,
        events=logs.EventLog('agent-1', 'agent', agent_clock),
        metrics=metrics.Metrics('agent-1', 'agent'),
        life=lifecycle.Lifecycle(lambda state: None),
        stop=asyncio.Event(),
    )
    with (
        datagrams.open_datagrams((HOST, 0)) as peers,
        datagrams.open_datagrams((HOST, 0)) as upstream,
    ):
        agent = agent_shell.Agent(
            proc, ROLE, ip, peers, upstream, incarnation, True
        )
        update = feed_client.CatalogueUpdate(True, 1, [inquiry_pool.ENTRY])
        agent.apply_update(update)
        yield agent, proc, peers


def assess(agent):
    now = agent.state.started_ms + 1
    return flow_knowledge.assess_flow(agent.state, DATA.key, now)


@pytest.mark.parametrize(
    ('statuses', 'knowledge'),
    [
        pytest.param(
            [status.UpstreamStatus('first', is_young=True)],
            flow_knowledge.Knowledge.ABSENT,
            id='started-beside-a-new-upstream',
        ),
        pytest.param(
            [status.UpstreamStatus('first')],
            flow_knowledge.Knowledge.UNSURE,
            id='started-beside-a-running-upstream',
        ),
        pytest.param([], flow_knowledge.Knowledge.UNSURE, id='not-known-yet'),
        pytest.param(
            [
                status.UpstreamStatus('first'),
                status.UpstreamStatus('second', is_young=True),
            ],
            flow_knowledge.Knowledge.ABSENT,
            id='upstream-restarted',
        ),
        pytest.param(
            [
                status.UpstreamStatus('first', is_young=True),
                status.UpstreamStatus('second'),
            ],
            flow_knowledge.Knowledge.UNSURE,
            id='start-of-the-upstream-not-seen',
        ),
    ],
)
def test_a_record_is_complete_only_from_the_start_of_the_upstream(
    statuses, knowledge
):
    with running_agent(incarnation='') as (agent, _, _):
        for upstream_status in statuses:
            agent.apply_status(upstream_status)
        assert assess(agent) is knowledge


async def test_a_reply_is_sent_to_the_member_that_asked():
    with (
        running_agent() as (agent, proc, peers),
        datagrams.open_datagrams((HOST, 0)) as asker,
    ):
        member = dataclasses.replace(
            builders.member(ASKER), port=asker.address[1]
        )
        own_member = builders.member(agent.state.number)
        agent.apply_update(inquiry_pool.make_view(member, own_member))
        agent.apply_update(feed_client.SourceConfirmation(0, 1))
        inquiry = frames.FlowInquiry(
            inquiry_pool.POOL, 1, 5, (DATA.key,), (), ASKER
        )
        async with process.run_tasks(agent.read_peers()):
            asker.send(frame.encode(inquiry, RING), peers.address)
            async with asyncio.timeout(TIMEOUT_S):
                ((data, _),) = await asker.receive_burst()
        reply = frame.decode(data, RING)
        assert (reply.number, reply.lists_all) == (5, False)
        assert proc.metrics.counts.inquiries['answered'] == 1


def test_a_result_is_logged_and_counted(monkeypatch):
    written_events = []
    report = inquiry_records.InquiryReport(
        pool=7,
        flows=4,
        found=1,
        ended=2,
        undecided=1,
        instances=5,
        unanswered=0,
        sent_count=2,
        obstacle='unsure',
        took_ms=300,
    )
    with running_agent() as (agent, proc, _):
        agent.state.inquiries.reports.append(report)
        monkeypatch.setattr(
            proc.events,
            'write',
            lambda event, **fields: written_events.append((event, fields)),
        )
        agent._executor.write_inquiry_reports(agent.state)
    counts = proc.metrics.counts.inquiries
    assert [
        counts[name]
        for name in ('flows-found', 'flows-ended', 'flows-undecided')
    ] == [1, 2, 1]
    assert written_events == [('flow-inquiry', dataclasses.asdict(report))]
