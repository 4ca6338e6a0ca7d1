"""Offers that arrive late, in sequences from traces of ``specs/handover.py``.

An offer may be delayed until another home has decided on the same opening.
The tests guard against a second placement of the opening in that case.
"""

import dataclasses

import builders
import fakes
import pytest

from gentianspoke.core import views

SYN = builders.segment()
FIRST, SECOND, THIRD = fakes.ranked_members()
LIVE, DRAINING = views.State.LIVE, views.State.DRAINING
# Longer than ``MAX_FEED_GAP_MS`` of the agent's state.
FEED_GAP_MS = 2_500


def view(number, **changes):
    """Return a view that all members have acknowledged."""
    names = {'first': FIRST, 'second': SECOND, 'third': THIRD}
    members = []
    for name, member in sorted(names.items(), key=lambda item: item[1]):
        unchanged_member = builders.member(member, acked_view=number)
        members.append(
            dataclasses.replace(unchanged_member, **changes.get(name, {}))
        )
    return builders.view(*members, number=number)


def set_views(states, newer_view):
    for state in states.values():
        state.set_view(newer_view)


def agents_with_held_offer(first_view, home):
    """Return agents and their network, which holds an offer of ``home``."""
    entry = builders.service()
    states = {n: fakes.agent(n, entry, first_view) for n in (1, 2, 3)}
    network = fakes.AgentNetwork(*states.values())
    # All 4 slots of the home's upstream are taken, so the home offers the
    # opening to another member.
    states[home].total_running = 4
    network.held_targets = {FIRST, SECOND, THIRD} - {home}
    network.send(home, SYN)
    assert len(network.held_frames) == 1
    states[home].total_running = 0
    network.held_targets = set()
    return states, network


@pytest.mark.parametrize('is_released', [False, True])
def test_an_offer_from_before_another_home_decided_is_not_accepted(
    is_released,
):
    closed_changes = {'state': DRAINING, 'closed_view': 1}
    states, network = agents_with_held_offer(
        view(1, first=closed_changes), SECOND
    )
    joined_changes = {'joined_view': 2}
    flow_changes = {'oldest_flow_view': 1}
    set_views(states, view(2, first=joined_changes, second=flow_changes))
    network.send(FIRST, SYN)
    assert network.delivering_agents == [FIRST]
    closed_changes = {
        'state': DRAINING,
        'closed_view': 3,
        'oldest_flow_view': 2,
    }
    set_views(states, view(3, first=closed_changes))
    if is_released:
        network.release_held_frames(SYN)
    assert network.delivering_agents == [FIRST]


def test_a_home_that_may_have_missed_views_does_not_place_an_opening_twice():
    states, network = agents_with_held_offer(view(1), FIRST)
    states[FIRST].feed_confirmed_ms = 0
    states[FIRST].check_feed_gap(FEED_GAP_MS)
    for state in states.values():
        state.lease_until_ms = 2 * FEED_GAP_MS
    set_views(states, view(2))
    network.send(FIRST, SYN, FEED_GAP_MS)
    network.release_held_frames(SYN, FEED_GAP_MS)
    assert len(set(network.delivering_agents)) == 1
