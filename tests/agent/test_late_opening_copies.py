"""Test that a late copy of an opening does not take over an open flow.

The fabric may repeat a SYN seconds later. If the flow's owner drains or has
just restarted at that moment, the new home places the copy at its own
upstream. The caller ignores the second SYN-ACK, but its next data is delivered
to the second upstream, whose connection does not accept it.
"""

import builders
import fakes
import pytest

from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.core import views
from gentianspoke.decisions.agent import core

SYN_ACK = packets.SYN | packets.ACK
OWNER_ISN = 500
SECOND_ISN = 900


def answer_opening(state, isn, now):
    """Let an agent's upstream answer with initial sequence number ``isn``."""
    key = builders.flow_key()
    reply = packets.Segment(key, SYN_ACK, isn, 101, 0, b'raw')
    core.on_reply(state, reply, now)


def caller_segment(flags, payload_bytes):
    """Return a segment of the caller that acknowledges the owner's SYN-ACK."""
    key = builders.flow_key()
    return packets.Segment(
        key, flags, 101, OWNER_ISN + 1, payload_bytes, b'raw'
    )


def set_next_view(states, owner, **fields):
    """Give all agents a view in which the owner has the given fields."""
    other_members = [
        builders.member(number) for number in states if number != owner
    ]
    changed_owner = builders.member(owner, **fields)
    for state in states.values():
        state.set_view(builders.view(changed_owner, *other_members, number=2))


def drain_owner(states, owner):
    """Drain the owner and give all agents the next view.

    The next view contains the oldest flow view that the owner has reported.
    It is 0, because the owner reports it while it still uses the view in
    which it is the home.
    """
    states[owner].draining = True
    set_next_view(
        states,
        owner,
        state=views.State.DRAINING,
        closed_view=2,
        oldest_flow_view=core.find_oldest_flow_view(states[owner], 1),
    )


def restart_owner(states, owner):
    """Replace the owner by a restarted agent that has no record yet."""
    entry = builders.service(services.Board())
    states[owner] = fakes.agent(owner, entry, recovering=True)
    set_next_view(
        states,
        owner,
        state=views.State.DRAINING,
        closed_view=2,
        oldest_flow_view=1,
        recovering=True,
    )


@pytest.mark.parametrize(
    'change_owner',
    [
        pytest.param(drain_owner, id='owner-drains'),
        pytest.param(restart_owner, id='owner-restarted'),
    ],
)
def test_a_late_copy_of_an_opening_does_not_take_over_an_open_flow(
    change_owner,
):
    ranked = fakes.ranked_members()
    owner, second = ranked[:2]
    view = builders.view(*(builders.member(number) for number in (1, 2, 3)))
    entry = builders.service(services.Board())
    states = {number: fakes.agent(number, entry, view) for number in ranked}
    network = fakes.AgentNetwork(*states.values())
    network.send(owner, builders.segment())
    assert network.delivering_agents == [owner]
    answer_opening(states[owner], OWNER_ISN, 0)
    network.send(owner, caller_segment(packets.ACK, 0))
    change_owner(states, owner)
    network.states.update(states)
    network.send(second, builders.segment(), now=1_000)
    answer_opening(states[second], SECOND_ISN, 1_000)
    network.delivering_agents.clear()
    data = caller_segment(packets.ACK | packets.PSH, 10)
    network.send(second, data, now=1_500)
    assert network.delivering_agents == [owner]
