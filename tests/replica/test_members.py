"""Members are replaced one by one, and vote once they have caught up."""

import pytest
import replica_network

from gentianspoke.decisions.control.replica import effects
from gentianspoke.decisions.control.replica import formation
from gentianspoke.decisions.control.replica import group as groups
from gentianspoke.decisions.control.replica import messages
from gentianspoke.decisions.control.replica import state as states

NEW_MEMBER = replica_network.member(9, voter=False)


def add_learner(net, leader, member=NEW_MEMBER, has_other_group=False):
    """Ask the leader to add a member; return the reason of a refusal.

    The reason is empty if the member is added.
    """
    event = messages.AddLearner(member, has_other_group)
    return find_refusal(net.step(leader, event))


def find_refusal(result):
    """Return the reason of a refusal among effects, empty if none."""
    reasons = [e.reason for e in result if type(e) is effects.Refused]
    return reasons[0] if reasons else ''


def is_voter(net, leader, number=9):
    """Return whether a member is a voter in the leader's newest group."""
    return net.replicas[leader].state.group.is_voter(number)


@pytest.mark.parametrize(
    'limits', [states.Limits(), states.Limits(compact_records=10)]
)
def test_a_learner_votes_only_once_it_has_caught_up(limits):
    net = replica_network.Network(3, 1, limits)
    leader = net.wait_for_leader()
    for position in range(30):
        net.propose(leader, replica_network.request(f'k{position}'))
    net.run(300)
    net.create(9)
    net.isolate(9)
    assert not add_learner(net, leader)
    net.run(3_000)
    assert not is_voter(net, leader)
    assert len(net.replicas[leader].state.group.voters) == 3
    net.blocked_links.clear()
    net.run(3_000)
    assert is_voter(net, leader)
    assert net.replicas[9].state.catalogue.version == 30


def test_a_learner_with_a_part_of_the_log_does_not_vote():
    net = replica_network.Network()
    leader = net.wait_for_leader()
    # More edits than two batches of records hold.
    edits = [replica_network.request(f'k{n}') for n in range(600)]
    net.propose(leader, *edits)
    net.run(300)
    net.create(9)
    add_learner(net, leader)
    while not is_voter(net, leader):
        net.run(10)
    assert net.replicas[9].state.log.last_index > len(edits)


def test_a_second_loss_right_after_a_replacement_loses_no_edit():
    net = replica_network.Network()
    leader = net.wait_for_leader()
    net.propose(leader, replica_network.request('a'))
    net.run(300)
    lost, other = (n for n in (1, 2, 3) if n != leader)
    net.stop(lost)
    net.create(9)
    add_learner(net, leader)
    while not is_voter(net, leader):
        net.run(10)
    net.run(300)
    net.step(leader, messages.RemoveMember(f'control-{lost}'))
    net.run(300)
    net.stop(leader)
    new_leader = net.wait_for_leader()
    assert new_leader in (other, 9)
    assert net.replicas[new_leader].state.catalogue.known_answer('a').accepted


@pytest.mark.parametrize(
    ('member', 'has_other_group', 'expected'),
    [
        pytest.param(NEW_MEMBER, False, '', id='new'),
        pytest.param(NEW_MEMBER, True, 'keeps a log', id='has-another-group'),
        pytest.param(
            groups.Member(9, 'control-1', 'h:9', False),
            False,
            'another data folder',
            id='wiped-folder-under-its-old-name',
        ),
        pytest.param(
            replica_network.member(1), False, '', id='already-a-member'
        ),
    ],
)
def test_only_a_new_instance_without_another_group_is_added(
    member, has_other_group, expected
):
    net = replica_network.Network()
    leader = net.wait_for_leader()
    reason = add_learner(net, leader, member, has_other_group)
    assert bool(reason) is bool(expected)
    assert expected in reason


@pytest.mark.parametrize(
    ('instance', 'expected'),
    [('control-1', ''), ('control-7', 'no member')],
)
def test_only_a_member_is_removed(instance, expected):
    net = replica_network.Network()
    leader = net.wait_for_leader()
    reason = find_refusal(net.step(leader, messages.RemoveMember(instance)))
    assert bool(reason) is bool(expected)
    assert expected in reason


def test_the_last_voter_is_not_removed():
    net = replica_network.Network(1)
    leader = net.wait_for_leader()
    event = messages.RemoveMember('control-1')
    assert 'last member' in find_refusal(net.step(leader, event))


def test_a_change_of_members_is_refused_while_one_is_pending():
    net = replica_network.Network()
    leader = net.wait_for_leader()
    for number in (1, 2, 3):
        if number != leader:
            net.isolate(number)
    assert not add_learner(net, leader)
    event = messages.RemoveMember('control-1')
    assert 'not committed yet' in find_refusal(net.step(leader, event))


@pytest.mark.parametrize('size', [2, 3, 5])
def test_a_leader_that_is_removed_is_succeeded_by_another(size):
    net = replica_network.Network(size)
    leader = net.wait_for_leader()
    net.propose(leader, replica_network.request('a'))
    net.step(leader, messages.RemoveMember(f'control-{leader}'))
    net.run(500)
    assert not net.replicas[leader].state.group.is_voter(leader)
    new_leader = net.wait_for_leader(excluded=(leader,))
    state = net.replicas[new_leader].state
    assert len(state.group.voters) == size - 1
    assert state.catalogue.known_answer('a').accepted


OWN_IDENTITY = formation.Identity(1, 'a')
INITIAL_MEMBERS = tuple(
    formation.InitialMember(n, f'h:{n}') for n in ('a', 'b', 'c')
)
OTHER_IDENTITIES = {n: formation.Identity(ord(n), n) for n in ('b', 'c')}


def build_group(own_number):
    """Return a group in which ``a``'s data folder has ``own_number``."""
    members = [(own_number, 'a'), (2, 'b'), (3, 'c')]
    return groups.Group(
        tuple(groups.Member(n, name, f'h:{name}', True) for n, name in members)
    )


@pytest.mark.parametrize(
    ('own', 'replies', 'decision_type', 'expected'),
    [
        pytest.param(
            OWN_IDENTITY,
            OTHER_IDENTITIES,
            formation.Begin,
            '',
            id='all-are-new',
        ),
        pytest.param(
            OWN_IDENTITY,
            {'b': OTHER_IDENTITIES['b']},
            formation.Wait,
            'c',
            id='one-is-missing',
        ),
        pytest.param(
            OWN_IDENTITY,
            {'b': formation.Identity(2, 'b', build_group(1))},
            formation.Begin,
            '',
            id='others-have-formed-with-this-folder',
        ),
        pytest.param(
            OWN_IDENTITY,
            {
                'b': formation.Identity(2, 'b', build_group(7)),
                'c': OTHER_IDENTITIES['c'],
            },
            formation.Refuse,
            'never start it under the old name',
            id='wiped-folder',
        ),
        pytest.param(
            OWN_IDENTITY,
            {
                'b': formation.Identity(
                    2, 'b', groups.Group(build_group(1).voters[1:])
                )
            },
            formation.Refuse,
            'formed without a',
            id='group-without-this-one',
        ),
        pytest.param(
            OWN_IDENTITY,
            {'b': formation.Identity(2, 'x')},
            formation.Refuse,
            'at the address of b is x',
            id='another-instance-answers',
        ),
        pytest.param(
            formation.Identity(1, 'z'),
            {},
            formation.Refuse,
            'z',
            id='not-listed',
        ),
    ],
)
def test_a_member_with_a_new_folder_starts_only_if_no_records_can_be_lost(
    own, replies, decision_type, expected
):
    decision = formation.decide_start(own, INITIAL_MEMBERS, replies)
    assert type(decision) is decision_type
    assert expected in str(decision)
