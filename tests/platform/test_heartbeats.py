"""Heartbeats change what an agent believes, late and foreign ones do not."""

import json

from gentianspoke_platform import heartbeats
import pytest

from gentianspoke.net import http

POOL = 'pricing'
BEAT = {
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
    """Keeps what it is told."""

    def __init__(self):
        """Begin with nothing."""
        self.received = []
        self.leave_calls = 0

    def take_status(self, found):
        """Keep a status."""
        self.received.append(found)

    def leave(self):
        """Count the calls."""
        self.leave_calls += 1


def call(id='i-1', verb='heartbeat', body=None, **changes):
    content = {**BEAT, **changes}
    content = {k: v for k, v in content.items() if v is not REMOVED}
    raw = json.dumps(content).encode() if body is None else body
    return http.Request('POST', f'/v1/instances/{id}/{verb}', raw)


async def deliver(*calls):
    agent = FakeAgent()
    heartbeat_handler = heartbeats.HeartbeatHandler(POOL, agent)
    replies = [await heartbeat_handler.handle(item) for item in calls]
    return agent, [reply.status for reply in replies]


async def test_a_heartbeat_tells_incarnation_slots_and_state():
    agent, statuses = await deliver(call(state='draining'))
    (found,) = agent.received
    assert statuses == [200]
    assert (found.incarnation, found.slots) == ('i-1/1000', 4)
    assert found.draining and not found.is_young


@pytest.mark.parametrize(
    ('seq', 'is_young'), [(0, True), (2, True), (3, False)]
)
async def test_an_upstream_with_few_calls_behind_it_is_young(seq, is_young):
    agent, _ = await deliver(call(seq=seq))
    assert agent.received[0].is_young is is_young


@pytest.mark.parametrize(
    'changes',
    [
        pytest.param({'seq': 4}, id='sent again'),
        pytest.param({'seq': 3}, id='earlier call'),
        pytest.param({'id': 'i-0', 'born': 999}, id='earlier incarnation'),
        pytest.param({'born': 999, 'seq': 9}, id='same name, started before'),
    ],
)
async def test_a_late_call_is_answered_and_changes_nothing(changes):
    late = call(**{'state': 'draining', **changes})
    agent, statuses = await deliver(call(), late)
    assert statuses == [200, 200]
    assert len(agent.received) == 1


@pytest.mark.parametrize(
    'changes',
    [
        pytest.param({'seq': 5}, id='next call'),
        pytest.param({'id': 'i-2', 'born': 1_001, 'seq': 0}, id='successor'),
        pytest.param({'born': 1_001, 'seq': 0}, id='same name, started anew'),
    ],
)
async def test_a_newer_call_counts(changes):
    agent, _ = await deliver(call(), call(**changes))
    assert len(agent.received) == 2


@pytest.mark.parametrize(
    'changes',
    [
        *(pytest.param({key: REMOVED}, id=f'no {key}') for key in BEAT),
        pytest.param({'born': '1000'}, id='born as text'),
        pytest.param({'born': 1.5}, id='born as a fraction'),
        pytest.param({'slots': 0}, id='no slot'),
        pytest.param({'slots': True}, id='slots as a truth value'),
        pytest.param({'state': 'tired'}, id='unknown state'),
        pytest.param({'service': 'other'}, id='another pool'),
        pytest.param({'service': None}, id='no text'),
        pytest.param({'body': b'\xff\x00'}, id='unreadable'),
        pytest.param({'body': b'{"service":'}, id='cut short'),
        pytest.param({'body': b'[]'}, id='a list'),
        pytest.param({'body': b'[' * 100_000}, id='nested too deeply'),
    ],
)
async def test_a_call_of_another_writer_names_no_upstream(changes):
    agent, statuses = await deliver(call(), call(**{'seq': 5, **changes}))
    assert statuses == [200, 400]
    assert len(agent.received) == 1


@pytest.mark.parametrize(('id', 'leave_calls'), [('i-1', 1), ('i-0', 0)])
async def test_only_the_upstream_itself_leaves(id, leave_calls):
    agent, statuses = await deliver(
        call(), call(id=id, verb='leave', body=b'')
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
async def test_another_call_is_not_found(method, path):
    heartbeat_handler = heartbeats.HeartbeatHandler(POOL, FakeAgent())
    reply = await heartbeat_handler.handle(http.Request(method, path, b''))
    assert reply.status == 404
