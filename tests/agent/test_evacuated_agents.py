"""An agent in an evacuated zone delivers no opening to its upstream."""

import dataclasses

import builders
import fakes
import pytest

from gentianspoke.core import frames
from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.core import views
from gentianspoke.decisions.agent import core

OFFER, ROUTE = frames.Purpose.OFFER, frames.Purpose.ROUTE
LIVE, EVACUATED = views.State.LIVE, views.State.EVACUATED
DRAINING, SUSPECT = views.State.DRAINING, views.State.SUSPECT
HANDSHAKE = dataclasses.replace(builders.service(), handshake=True)
IDEMPOTENT = builders.service(services.Booking(True))
AT_MOST_ONCE = builders.service(services.Booking(False))
SYN = builders.segment()
ACK = builders.segment(packets.ACK, seq=101)
TICK_MS = 1_000


def member(number, state=LIVE, zone_evacuated=False):
    return dataclasses.replace(
        builders.member(number, state), zone_evacuated=zone_evacuated
    )


def run_agents(service, pool_view):
    states = [
        fakes.agent(listed.number, service, pool_view)
        for listed in pool_view.members
    ]
    return fakes.AgentNetwork(*states)


@pytest.mark.parametrize(
    ('other_state', 'agents', 'refusals'),
    [(LIVE, [2], []), (EVACUATED, [], ['evacuated'])],
)
@pytest.mark.parametrize(
    ('service', 'purpose'),
    [(HANDSHAKE, OFFER), (HANDSHAKE, ROUTE), (IDEMPOTENT, ROUTE)],
)
def test_an_opening_is_passed_to_a_live_member_or_refused_at_once(
    service, purpose, other_state, agents, refusals
):
    # Guards against an opening that an entry with an older view sends to the
    # home and that the home delivers, since no member of its view is live. The
    # offer must not depend on the retry budget, which is empty here.
    pool_view = builders.view(member(1, EVACUATED), member(2, other_state))
    network = run_agents(service, pool_view)
    network.states[1].retry_budgets[1] = 0
    network.send(1, SYN, purpose=purpose)
    assert network.delivering_agents == agents
    assert network.refusal_reasons == refusals


def test_an_opening_that_runs_at_most_once_is_dropped_without_a_claim():
    # Guards against "not run" for an opening of which an earlier home may have
    # placed a copy.
    network = run_agents(AT_MOST_ONCE, builders.view(member(1, EVACUATED)))
    network.send(1, SYN)
    assert network.drop_reasons == ['evacuated']
    assert network.refusal_reasons == []


@pytest.mark.parametrize('state', [DRAINING, SUSPECT])
@pytest.mark.parametrize('zone_evacuated', [False, True])
@pytest.mark.parametrize('purpose', [OFFER, ROUTE])
def test_an_agent_that_joins_or_is_suspected_counts_its_zone(
    state, zone_evacuated, purpose
):
    # Guards against an agent that restarted, or whose heartbeats are late, and
    # that accepts openings because no member is live.
    pool_view = builders.view(member(1, state, zone_evacuated))
    network = run_agents(HANDSHAKE, pool_view)
    network.states[1].joining = state is DRAINING
    network.send(1, SYN, purpose=purpose)
    assert network.delivering_agents == ([] if zone_evacuated else [1])
    assert network.refusal_reasons == (['evacuated'] if zone_evacuated else [])


@pytest.mark.parametrize(
    ('listed_state', 'delivered', 'refused'),
    [(LIVE, 1, []), (EVACUATED, 0, ['evacuated'])],
)
def test_a_queued_opening_is_refused_when_its_zone_is_evacuated(
    listed_state, delivered, refused
):
    # Guards against a delivery that follows when a slot becomes free, long
    # after the evacuation.
    service = builders.service(services.Upload(True), slots=1, queue=1)
    state = fakes.agent(1, service, builders.view(member(1)), slots=1)
    network = fakes.AgentNetwork(state)
    for sport in (6_000, 6_001):
        segment = builders.segment(sport=sport)
        network.send(1, segment, wait_left_ms=60_000)
    network.delivering_agents.clear()
    state.set_view(builders.view(member(1, listed_state), number=2))
    reset = builders.segment(packets.RST, seq=101, sport=6_000)
    network.send(1, reset)
    network.delivering_agents.remove(1)
    network.carry_out(1, core.on_tick(state, TICK_MS))
    assert len(network.delivering_agents) == delivered
    assert network.refusal_reasons == refused


def test_an_open_flow_stays_open_through_an_evacuation():
    # Guards against flows that are cut off together with the openings.
    network = run_agents(HANDSHAKE, builders.view(member(1)))
    network.send(1, SYN)
    state = network.states[1]
    state.set_view(builders.view(member(1, EVACUATED), number=2))
    network.send(1, ACK)
    network.carry_out(1, core.on_tick(state, TICK_MS))
    assert network.delivering_agents == [1, 1]
    assert network.resets == []


@pytest.mark.parametrize(
    ('listed_state', 'isn', 'delivered'),
    [
        pytest.param(LIVE, 900, 1, id='not-evacuated'),
        pytest.param(EVACUATED, 900, 0, id='new-connection'),
        pytest.param(EVACUATED, 100, 1, id='late-copy'),
    ],
)
def test_a_new_opening_on_the_ports_of_an_open_flow_is_not_delivered(
    listed_state, isn, delivered
):
    # Guards against a delivery that reuses the record of an open flow.
    state = fakes.agent(1, HANDSHAKE, builders.view(member(1)))
    network = fakes.AgentNetwork(state)
    network.send(1, SYN)
    state.set_view(builders.view(member(1, listed_state), number=2))
    network.delivering_agents.clear()
    network.send(1, builders.segment(seq=isn))
    assert len(network.delivering_agents) == delivered
