"""Lost members are replaced automatically, and a majority is kept."""

import pytest
import replica_network

from gentianspoke.decisions.control.replica import lost_members
from gentianspoke.decisions.control.replica import messages
from gentianspoke.decisions.control.replica import state as states

LIMITS = states.Limits(tolerate=1)
# The number of a member that joins the initial ones later.
NEW = 9


def get_voters(net, number):
    """Return the numbers of the voters in a member's group."""
    return {voter.number for voter in net.replicas[number].state.group.voters}


def request_to_join(net, leader, number=NEW):
    """Ask the leader to add a new member, as the new member does."""
    member = replica_network.member(number, voter=False)
    net.step(leader, messages.AddLearner(member))


def find_others(leader):
    """Return the numbers of the two initial members besides the leader."""
    return [number for number in (1, 2, 3) if number != leader]


def test_a_member_whose_folder_was_emptied_votes_under_a_new_number():
    net = replica_network.Network(limits=LIMITS)
    leader = net.wait_for_leader()
    lost, kept = find_others(leader)
    net.propose(leader, replica_network.request('a'))
    net.run(300)
    net.restart_with_empty_folder(lost, NEW)
    net.run(1_000)
    assert get_voters(net, leader) == {leader, kept}
    request_to_join(net, leader)
    net.run(1_000)
    assert get_voters(net, leader) == {leader, kept, NEW}
    assert net.replicas[NEW].state.catalogue.version == 1


def test_lost_members_stay_if_no_loss_is_tolerated():
    net = replica_network.Network()
    leader = net.wait_for_leader()
    net.restart_with_empty_folder(find_others(leader)[0], NEW)
    net.run(5_000)
    assert get_voters(net, leader) == {1, 2, 3}


@pytest.mark.parametrize(
    ('joins', 'wait_ms', 'is_removed'),
    [
        pytest.param(False, 10_000, False, id='no replacement'),
        pytest.param(True, 800, False, id='silent for a short time'),
        pytest.param(True, 1_500, True, id='silent for an election timeout'),
        pytest.param(True, 5_000, True, id='silent, and a replacement votes'),
    ],
)
def test_a_silent_member_is_removed_only_if_enough_others_vote(
    joins, wait_ms, is_removed
):
    net = replica_network.Network(limits=LIMITS)
    leader = net.wait_for_leader()
    lost, kept = find_others(leader)
    net.stop(lost)
    if joins:
        net.create(NEW)
        request_to_join(net, leader)
    net.run(wait_ms)
    assert (lost not in get_voters(net, leader)) is is_removed
    assert {leader, kept} <= get_voters(net, leader)


def test_a_removed_member_that_returns_is_added_again():
    net = replica_network.Network(limits=LIMITS)
    leader = net.wait_for_leader()
    lost, kept = find_others(leader)
    net.stop(lost)
    net.create(NEW)
    request_to_join(net, leader)
    net.run(5_000)
    net.start(lost)
    request_to_join(net, leader, lost)
    net.run(1_000)
    assert get_voters(net, leader) == {leader, kept, lost, NEW}


def test_no_leader_is_elected_without_a_copy_of_the_committed_log():
    net = replica_network.Network(limits=LIMITS)
    leader = net.wait_for_leader()
    wiped, lagging = find_others(leader)
    net.isolate(lagging)
    net.propose(leader, replica_network.request('a'))
    net.run(100)
    net.stop(leader)
    net.restart_with_empty_folder(wiped, NEW)
    net.blocked_links.clear()
    net.run(10_000)
    assert net.leader() is None
    net.start(leader)
    new_leader = net.wait_for_leader()
    net.run(300)
    assert net.replicas[new_leader].state.catalogue.version == 1


def test_a_learner_that_stays_silent_is_removed():
    net = replica_network.Network(limits=LIMITS)
    leader = net.wait_for_leader()
    net.create(NEW)
    net.isolate(NEW)
    request_to_join(net, leader)
    net.run(lost_members.MAX_LEARNER_SILENCE_MS + 1_000)
    assert net.replicas[leader].state.group.find(NEW) is None
