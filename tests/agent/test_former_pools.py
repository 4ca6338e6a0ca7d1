"""Open flows of pools that a service's newest entry gives no new flows.

Guards against an agent that learns the number of its pool only from what new
flows need, and therefore delivers no packet of the flows that are open at its
upstream after the agent's restart.
"""

import contextlib
import dataclasses

import builders
import pytest
import test_shell

from gentianspoke.codec import catalogue_entries
from gentianspoke.codec import ip
from gentianspoke.codec import replica as replica_codec
from gentianspoke.core import frames
from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.core import views
from gentianspoke.decisions import actions
from gentianspoke.decisions.agent import core
from gentianspoke.decisions.control import catalogue
from gentianspoke.decisions.control import catalogue_records
from gentianspoke.decisions.control.replica import records
from gentianspoke.decisions import hashing
from gentianspoke.net import datagrams
from gentianspoke.shells.agent import agent as agent_shell
from gentianspoke.shells import feed_client

HOST = test_shell.HOST
OWN = 'own'
OTHER = 'other'
ROLE = dataclasses.replace(
    test_shell.ROLE, pool=OWN, recovery_ms=60_000, inquire_flows=True
)
HOME = 77
DATA = packets.Segment(
    builders.flow_key(), packets.ACK | packets.PSH, 101, 501, 900, b'raw'
)
SYN = builders.segment()
IS_OWN = {OWN: 1}
IS_OTHER = {OTHER: 1}
IS_THIRD = {'third': 1}
MANY_IN_TURN = [{f'pool-{number}': 1} for number in range(20)]


def make_entry(weights, name='service-1', port=builders.SERVICE_PORT):
    shares = tuple(
        services.Share(0, weight, pool) for pool, weight in weights.items()
    )
    return dataclasses.replace(
        builders.service(services.Booking(False)),
        name=name,
        ports=(port,),
        handshake=True,
        shares=shares,
    )


def apply_documents(*documents, state=None):
    """Return the catalogue after documents with the given weights."""
    state = state or catalogue.Catalogue()
    for weights in documents:
        version = state.version + 1
        document = catalogue_records.Document(
            version, b'%d' % version, (make_entry(weights),)
        )
        request = catalogue_records.Request('', '', (), document)
        assert state.apply(request).accepted
    return state


def restart_control(state):
    """Return the catalogue that an instance reads from its snapshot."""
    snapshot = records.Snapshot(1, 1, records.Base().group, state.export())
    encoded = replica_codec.encode_snapshot(snapshot)
    restored = catalogue.Catalogue()
    restored.restore(replica_codec.decode_snapshot(encoded).state)
    return restored


def restore_numbers_only(state):
    """Return the catalogue from a snapshot of an earlier version.

    Such a snapshot has only the numbers of former pools.
    """
    snapshot = records.Snapshot(1, 1, records.Base().group, state.export())
    message = replica_codec.encode_snapshot(snapshot)
    for entry in message.state.entries:
        entry.ClearField('former_pools')
    restored = catalogue.Catalogue()
    restored.restore(replica_codec.decode_snapshot(message).state)
    return restored


def apply_entries(agent, state):
    """Apply all entries of a catalogue as they come from the feed."""
    entries = [
        catalogue_entries.decode_entry(catalogue_entries.encode_entry(entry))
        for entry in state.list_entries()
    ]
    agent.apply_update(
        feed_client.CatalogueUpdate(True, state.version, entries)
    )


def apply_view(agent, pool, *members, number=1):
    agent.apply_update(views.View(pool, number, tuple(members)))


@contextlib.contextmanager
def restarted_agent(state):
    """Run an agent of the pool ``OWN`` that has just restarted."""
    with (
        datagrams.open_datagrams((HOST, 0)) as peers,
        datagrams.open_datagrams((HOST, 0)) as upstream,
    ):
        proc = test_shell.make_process()
        agent = agent_shell.Agent(
            proc, ROLE, ip, peers, upstream, 'first', True
        )
        apply_entries(agent, state)
        apply_view(
            agent,
            state.get_pool_number(OTHER) or 0,
            builders.member(HOME),
        )
        yield agent


def list_own(agent, state, member_state=views.State.LIVE, number=1):
    """Apply a view that lists the agent in the pool ``OWN``."""
    member = builders.member(agent.state.number, member_state)
    apply_view(agent, state.get_pool_number(OWN), member, number=number)


def send(agent, state, segment, pool=OTHER):
    """Return the agent's actions for a packet that the home passes on."""
    entry = state.entries['service-1']
    forward = frames.Forward(
        service=entry.number,
        view=1,
        bucket=hashing.bucket_of(segment.key, entry.number),
        target=agent.state.number,
        packet=segment.raw,
        tried=(HOME,),
        hops_left=24,
        sender=HOME,
        pool=state.get_pool_number(pool),
    )
    now = agent.state.started_ms + 1
    return core.on_forward(agent.state, forward, segment, now)


@pytest.mark.parametrize(
    ('documents', 'restore'),
    [
        pytest.param((IS_OWN, IS_OTHER), None, id='another-pool'),
        pytest.param(
            (IS_OWN, IS_THIRD, IS_OTHER), None, id='two-pools-in-turn'
        ),
        pytest.param(
            (IS_OWN, *MANY_IN_TURN, IS_OTHER), None, id='many-pools-in-turn'
        ),
        pytest.param(
            (IS_OWN, IS_OTHER, IS_OWN, IS_OTHER), None, id='there-and-back'
        ),
        pytest.param(
            (IS_OWN, {OWN: 0, OTHER: 1}, IS_OTHER), None, id='share-to-zero'
        ),
        pytest.param(
            (IS_OWN, IS_OTHER), restart_control, id='control-restarted'
        ),
        pytest.param(
            (IS_OWN, IS_OTHER),
            restore_numbers_only,
            id='control-restarted-by-a-newer-version',
        ),
    ],
)
def test_a_restarted_agent_delivers_open_flows_of_a_former_pool(
    documents, restore
):
    # The packet of an open flow would otherwise be dropped as without owner.
    state = apply_documents(*documents)
    state = restore(state) if restore else state
    with restarted_agent(state) as agent:
        list_own(agent, state)
        assert actions.Deliver(DATA.raw) in send(agent, state, DATA)


def test_a_former_pool_gets_no_new_flow():
    state = apply_documents(IS_OWN, IS_OTHER)
    with restarted_agent(state) as agent:
        list_own(agent, state)
        agent.state.joining = False
        assert actions.Deliver(SYN.raw) not in send(agent, state, SYN)


def test_an_agent_of_a_former_pool_joins_and_serves_again():
    # A joining agent counts as draining, so it would get no new flow once
    # an entry refers to its pool again.
    state = apply_documents(IS_OWN, IS_OTHER)
    with restarted_agent(state) as agent:
        list_own(agent, state, views.State.DRAINING)
        assert not agent.state.joining
        list_own(agent, state, number=2)
        apply_entries(agent, apply_documents(IS_OWN, state=state))
        assert send(agent, state, SYN, OWN) == [actions.Deliver(SYN.raw)]


def test_an_agent_of_a_pool_without_entry_serves_once_an_entry_refers_to_it():
    # Such an agent must take no service's number for that of its pool.
    state = apply_documents(IS_OTHER)
    with restarted_agent(state) as agent:
        assert agent.state.get_own_pools() == []
        assert actions.Deliver(DATA.raw) not in send(agent, state, DATA)
        apply_entries(agent, apply_documents(IS_OWN, state=state))
        list_own(agent, state, views.State.DRAINING)
        assert not agent.state.joining
        list_own(agent, state, number=2)
        assert send(agent, state, SYN, OWN) == [actions.Deliver(SYN.raw)]


def test_a_view_counts_that_came_before_the_pool_was_known():
    # The listing shows that an earlier run has placed flows, of which this
    # run knows nothing although the upstream is new.
    state = apply_documents(IS_OTHER)
    with restarted_agent(state) as agent:
        apply_documents(IS_OWN, state=state)
        list_own(agent, state)
        core.on_first_incarnation(agent.state, agent.state.number, True, 1)
        assert agent.state.recovering
