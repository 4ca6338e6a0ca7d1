"""An agent accepts new heartbeats of its upstream and ignores others."""

import json

from gentianspoke_platform import heartbeats
import pytest

from gentianspoke import clock
from gentianspoke.net import http

POOL = 'pricing'
HEARTBEAT = {
    'service': POOL,
    'addr': '10.0.0.9:8080',
    'zone': 'mvd-a',
    'version': 'v1',
    'slots': 4,
    'state': 'ready',
    'cold_left_ms': 0,
    'seq': 4,
    'born': 1_000,
}
REMOVED = object()


class FakeAgent:
    """Records the calls of its methods."""

    def __init__(self):
        """Start without recorded calls."""
        self.received_statuses = []
        self.leave_calls = 0

    def apply_status(self, upstream_status):
        """Record a status."""
        self.received_statuses.append(upstream_status)

    def leave(self):
        """Count a call."""
        self.leave_calls += 1


def make_request(id='i-1', operation='heartbeat', body=None, **changes):
    """Return a request with ``body``, or with ``HEARTBEAT`` and some changes.

    A change to ``REMOVED`` leaves the key out.
    """
    content = {**HEARTBEAT, **changes}
    content = {k: v for k, v in content.items() if v is not REMOVED}
    raw = json.dumps(content).encode() if body is None else body
    return http.Request('POST', f'/v1/instances/{id}/{operation}', raw)


def make_handler(agent, agent_clock=None, **options):
    """Return a handler whose upstream sends a heartbeat each 1,200 ms."""
    agent_clock = agent_clock or clock.ManualClock(10_000)
    return heartbeats.HeartbeatHandler(
        POOL, agent, agent_clock, 1_200, **options
    )


async def handle_all(*requests):
    """Return the agent that got the requests, and the replies' statuses."""
    agent = FakeAgent()
    heartbeat_handler = make_handler(agent)
    replies = [await heartbeat_handler.handle(request) for request in requests]
    return agent, [reply.status for reply in replies]


async def test_a_heartbeat_reports_incarnation_slots_and_state():
    agent, statuses = await handle_all(make_request(state='draining'))
    (status,) = agent.received_statuses
    assert statuses == [200]
    assert (status.incarnation, status.slots) == ('i-1/1000', 4)
    assert status.draining and not status.is_young


@pytest.mark.parametrize(
    ('sent', 'received'), [(0, 0), (7_500, 7_500), (10**400, 86_400_000)]
)
async def test_a_heartbeat_reports_how_long_the_upstream_stays_cold(
    sent, received
):
    agent, _ = await handle_all(make_request(cold_left_ms=sent))
    assert agent.received_statuses[0].cold_remaining_ms == received


@pytest.mark.parametrize(
    ('seq', 'born', 'is_young'),
    [
        pytest.param(0, 1_000, True, id='first-heartbeat'),
        pytest.param(2, 1_000, True, id='few-heartbeats'),
        pytest.param(3, 1_000, False, id='started-long-before-the-agent'),
        # The heartbeats that the starting agent missed count, too.
        pytest.param(9, 9_000, True, id='started-with-the-agent'),
        pytest.param(9, 8_999, False, id='started-before-the-agent'),
        pytest.param(9, 90_000, False, id='clock-set-back-since'),
    ],
)
async def test_an_upstream_is_young_if_no_earlier_agent_served_it(
    seq, born, is_young
):
    request = make_request(seq=seq, born=born)
    for compares_starts in (True, False):
        agent = FakeAgent()
        handler = make_handler(agent, compares_starts=compares_starts)
        await handler.handle(request)
        expected = is_young and (compares_starts or seq <= 2)
        assert agent.received_statuses[0].is_young is expected


@pytest.mark.parametrize(
    'changes',
    [
        pytest.param({'seq': 4}, id='retransmission'),
        pytest.param({'seq': 3}, id='earlier heartbeat'),
        pytest.param({'id': 'i-0', 'born': 999}, id='earlier incarnation'),
        pytest.param(
            {'born': 999, 'seq': 9}, id='earlier start of the same name'
        ),
    ],
)
async def test_a_late_heartbeat_is_answered_and_ignored(changes):
    late = make_request(**{'state': 'draining', **changes})
    agent, statuses = await handle_all(make_request(), late)
    assert statuses == [200, 200]
    assert len(agent.received_statuses) == 1


@pytest.mark.parametrize(
    'changes',
    [
        pytest.param({'seq': 5}, id='next heartbeat'),
        pytest.param(
            {'id': 'i-2', 'born': 1_001, 'seq': 0}, id='later incarnation'
        ),
        pytest.param(
            {'born': 1_001, 'seq': 0}, id='later start of the same name'
        ),
    ],
)
async def test_a_newer_heartbeat_is_accepted(changes):
    agent, _ = await handle_all(make_request(), make_request(**changes))
    assert len(agent.received_statuses) == 2


@pytest.mark.parametrize(
    'changes',
    [
        *(pytest.param({key: REMOVED}, id=f'no {key}') for key in HEARTBEAT),
        pytest.param({'born': '1000'}, id='born as a string'),
        pytest.param({'born': 1.5}, id='born as a fraction'),
        pytest.param({'slots': 0}, id='zero slots'),
        pytest.param({'slots': True}, id='slots as a boolean'),
        pytest.param({'state': 'tired'}, id='unknown state'),
        pytest.param({'service': 'other'}, id='another pool'),
        pytest.param({'service': None}, id='service is null'),
        pytest.param({'body': b'\xff\x00'}, id='not JSON'),
        pytest.param({'body': b'{"service":'}, id='truncated JSON'),
        pytest.param({'body': b'[]'}, id='JSON array'),
        pytest.param({'body': b'[' * 100_000}, id='nested too deeply'),
    ],
)
async def test_an_invalid_heartbeat_is_refused(changes):
    agent, statuses = await handle_all(
        make_request(), make_request(**{'seq': 5, **changes})
    )
    assert statuses == [200, 400]
    assert len(agent.received_statuses) == 1


@pytest.mark.parametrize(('id', 'leave_calls'), [('i-1', 1), ('i-0', 0)])
async def test_only_the_upstream_of_the_last_heartbeat_can_leave(
    id, leave_calls
):
    agent, statuses = await handle_all(
        make_request(), make_request(id=id, operation='leave', body=b'')
    )
    assert (statuses, agent.leave_calls) == ([200, 200], leave_calls)


@pytest.mark.parametrize(
    ('method', 'path'),
    [
        ('GET', '/v1/instances/i-1/heartbeat'),
        ('POST', '/v1/instances//heartbeat'),
        ('POST', '/v1/instances/i-1/dance'),
        ('POST', '/'),
    ],
)
async def test_an_unknown_request_is_not_found(method, path):
    heartbeat_handler = make_handler(FakeAgent())
    reply = await heartbeat_handler.handle(http.Request(method, path, b''))
    assert reply.status == 404


# Each step is the time since the last one and the heartbeat that comes then.
OLD = {'id': 'i-1', 'born': 1_000}
SET_BACK = {'id': 'i-2', 'born': 900}


@pytest.mark.parametrize(
    ('steps', 'incarnations'),
    [
        pytest.param(
            [(0, OLD, 4), (1_000, SET_BACK, 9), (1_200, OLD, 5)],
            ['i-1/1000', 'i-1/1000'],
            id='one-late-heartbeat',
        ),
        pytest.param(
            [(0, OLD, 4), (5_000, SET_BACK, 9), (1_200, OLD, 5)],
            ['i-1/1000', 'i-1/1000'],
            id='one-late-heartbeat-while-silent',
        ),
        pytest.param(
            [(0, OLD, 4), (5_000, SET_BACK, 9), (10, SET_BACK, 8)],
            ['i-1/1000'],
            id='late-heartbeats-out-of-order',
        ),
        pytest.param(
            [(0, OLD, 4), (2_400, SET_BACK, 1), (1_200, SET_BACK, 2)],
            ['i-1/1000', 'i-2/900'],
            id='successor-whose-clock-was-set-back',
        ),
    ],
)
async def test_an_earlier_start_is_accepted_only_from_a_successor(
    steps, incarnations
):
    agent, agent_clock = FakeAgent(), clock.ManualClock(10_000)
    handler = make_handler(agent, agent_clock)
    for delay_ms, upstream, seq in steps:
        agent_clock.advance(delay_ms)
        await handler.handle(make_request(seq=seq, **upstream))
    assert [
        status.incarnation for status in agent.received_statuses
    ] == incarnations


@pytest.mark.parametrize(
    ('body', 'leave_calls'),
    [
        pytest.param(b'{"born":1000}', 1, id='this-start'),
        pytest.param(b'{"born":900}', 0, id='an-earlier-start'),
        pytest.param(b'', 1, id='no-body'),
        pytest.param(b'{"born":"x"}', 1, id='start-that-cannot-be-read'),
        pytest.param(b'[' * 100_000, 1, id='deeply-nested'),
    ],
)
async def test_a_late_leave_of_an_earlier_start_has_no_effect(
    body, leave_calls
):
    agent, _ = await handle_all(
        make_request(), make_request(operation='leave', body=body)
    )
    assert agent.leave_calls == leave_calls


@pytest.mark.parametrize(
    ('body', 'status'),
    [
        pytest.param(b'{"x":' * 100_000, 400, id='deeply-nested'),
        pytest.param(
            json.dumps({**HEARTBEAT, 'x': [[[1]]]}).encode(), 200, id='nested'
        ),
        pytest.param(
            json.dumps({**HEARTBEAT, 'slots': 2**63}).encode(),
            200,
            id='number-beyond-the-range',
        ),
        pytest.param(
            json.dumps({**HEARTBEAT, 'slots': 10**400}).encode(),
            200,
            id='number-too-large',
        ),
        pytest.param(
            json.dumps({**HEARTBEAT, 'addr': '10.0.0.9:99999'}).encode(),
            200,
            id='port-out-of-range-that-is-not-used',
        ),
    ],
)
async def test_an_odd_heartbeat_ends_nothing(body, status):
    agent = FakeAgent()
    handler = make_handler(agent)
    reply = await handler.handle(make_request(body=body))
    assert reply.status == status
    assert all(item.slots <= 100_000 for item in agent.received_statuses)
    reply = await handler.handle(make_request(seq=9))
    assert reply.status == 200
