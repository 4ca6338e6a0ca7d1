"""A member notices that it is cut off, in one direction or in both."""

import dataclasses

import pytest
import replica_network

from gentianspoke.decisions.control.replica import messages
from gentianspoke.decisions.control.replica import state as states

TIMING = states.Timing()
# The greatest age that a connected member may report. A follower's state is
# confirmed only when the follower's echo returns with a heartbeat.
MAX_HEALTHY_AGE_MS = 3 * TIMING.heartbeat_interval_ms
CUT_MS = 5_000


def cut_links(net, number, direction):
    """Drop all messages to a member, from the member, or both."""
    for other in net.stores:
        if direction in ('to', 'both'):
            net.blocked_links.add((other, number))
        if direction in ('from', 'both'):
            net.blocked_links.add((number, other))


@pytest.mark.parametrize('direction', ['to', 'from', 'both'])
@pytest.mark.parametrize('size', [3, 5])
@pytest.mark.parametrize('role', ['leader', 'follower'])
def test_a_member_that_is_cut_off_reports_the_age_of_its_state(
    role, size, direction
):
    net = replica_network.Network(size)
    leader = net.wait_for_leader()
    net.run(2_000)
    number = leader if role == 'leader' else leader % size + 1
    assert net.confirmed_age_ms(number) <= MAX_HEALTHY_AGE_MS
    cut_links(net, number, direction)
    net.run(CUT_MS)
    assert CUT_MS - MAX_HEALTHY_AGE_MS <= net.confirmed_age_ms(number)
    assert net.leader() != number
    others = [n for n in net.stores if n != number]
    assert all(net.confirmed_age_ms(n) <= MAX_HEALTHY_AGE_MS for n in others)
    net.blocked_links.clear()
    net.run(5_000)
    assert all(
        net.confirmed_age_ms(n) <= MAX_HEALTHY_AGE_MS for n in net.stores
    )


@pytest.mark.parametrize('direction', ['to', 'from', 'both'])
def test_a_leader_that_is_cut_off_stops_before_another_is_elected(direction):
    # The network checks at each step that at most one member leads.
    net = replica_network.Network()
    leader = net.wait_for_leader()
    net.run(2_000)
    cut_links(net, leader, direction)
    net.run(TIMING.leader_lease_ms)
    assert net.leader() != leader
    result = net.propose(leader, replica_network.request('late'))
    assert [type(e).__name__ for e in result] == ['Refused']
    assert net.wait_for_leader() != leader


# With the shortest election timeout, the least time is left between the end of
# a leader lease and the next election.
SHORTEST_TIMING = states.Timing(
    max_election_timeout_ms=TIMING.min_election_timeout_ms
)
SLOW_SPEED_PERMILLE, FAST_SPEED_PERMILLE = (
    1000 - TIMING.max_drift_permille,
    1000 + TIMING.max_drift_permille,
)


@pytest.mark.parametrize('direction', ['to', 'from', 'both'])
@pytest.mark.parametrize('seed', [1, 2, 3])
def test_a_leader_with_a_slow_clock_stops_before_another_is_elected(
    seed, direction
):
    # The network checks at each step that at most one member leads. The
    # steps are short, so that an election takes less time than the clocks
    # differ by.
    net = replica_network.Network(3, seed, step_ms=2)
    leader = net.wait_for_leader()
    for number, member_replica in net.replicas.items():
        member_replica.state.timing = SHORTEST_TIMING
        # The clocks of the others differ a little, to avoid a split vote.
        net.clock_speeds[number] = FAST_SPEED_PERMILLE - number
    net.clock_speeds[leader] = SLOW_SPEED_PERMILLE
    net.run(1_000)
    cut_links(net, leader, direction)
    net.run(2 * TIMING.min_election_timeout_ms)


def test_the_echo_is_reset_when_a_peer_does_not_answer():
    net = replica_network.Network()
    leader = net.wait_for_leader()
    net.run(1_000)
    other = leader % 3 + 1
    replica = net.replicas[leader]
    later_ms = net.clock.now() + TIMING.heartbeat_interval_ms
    request = replica.build_request(other, later_ms)
    assert request.echo_ms > 0
    net.step(leader, messages.RequestFailed(request))
    later_ms += TIMING.heartbeat_interval_ms
    assert replica.build_request(other, later_ms).echo_ms == 0


def test_an_echo_from_before_a_restart_confirms_nothing():
    net = replica_network.Network()
    leader = net.wait_for_leader()
    other = leader % 3 + 1
    net.run(1_000)
    progress = net.replicas[leader].state.progress[other]
    net.start(other)
    # The leader still has the time that the member sent before its restart,
    # and gets no newer one.
    assert progress.echo_ms <= net.clock.now()
    net.blocked_links.add((other, leader))
    net.run(500)
    # No majority has confirmed the member since its restart, so the age
    # counts from ``states.LONG_AGO_MS``.
    assert net.confirmed_age_ms(other) > 10**6


def test_a_member_that_is_catching_up_is_not_confirmed():
    net = replica_network.Network()
    leader = net.wait_for_leader()
    net.run(1_000)
    lagging = next(number for number in net.stores if number != leader)
    state = net.replicas[lagging].state
    confirmed_ms = state.confirmed_ms
    heartbeat = messages.AppendRequest(
        sender=leader,
        to=lagging,
        term=state.term,
        previous_index=state.log.last_index,
        previous_term=state.log.last_term,
        records=(),
        commit_index=state.commit_index + 1,
        echo_ms=net.now(lagging),
    )
    net.step(lagging, messages.RequestReceived(heartbeat))
    assert state.confirmed_ms == confirmed_ms
    mismatched_request = dataclasses.replace(
        heartbeat, previous_index=state.log.last_index + 5, commit_index=0
    )
    net.step(lagging, messages.RequestReceived(mismatched_request))
    assert state.confirmed_ms == confirmed_ms
