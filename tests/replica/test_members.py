"""Members are replaced one by one, and vote once they have caught up."""

import pytest
import replica_network

from gentianspoke.decisions.control.replica import effects
from gentianspoke.decisions.control.replica import formation
from gentianspoke.decisions.control.replica import group as groups
from gentianspoke.decisions.control.replica import messages
from gentianspoke.decisions.control.replica import state as states

NEW = replica_network.member(9, voter=False)


def add(net, leader, member=NEW, has_group=False):
    """Add a member; return the reason of a refusal, if any."""
    event = messages.AddLearner(member, has_group)
    return refusal(net.step(leader, event))


def refusal(result):
    """Return the reason of a refusal among effects, if any."""
    reasons = [e.reason for e in result if type(e) is effects.Refused]
    return reasons[0] if reasons else ''


def is_voter(net, leader, number=9):
    return net.replicas[leader].state.group.is_voter(number)


@pytest.mark.parametrize(
    'limits', [states.Limits(), states.Limits(compact_records=10)]
)
def test_a_learner_votes_only_once_it_has_caught_up(limits):
    net = replica_network.Network(3, 1, limits)
    first = net.wait_for_leader()
    for position in range(30):
        net.propose(first, replica_network.request(f'k{position}'))
    net.run(300)
    net.create(9)
    net.isolate(9)
    assert not add(net, first)
    net.run(3_000)
    assert not is_voter(net, first)
    assert len(net.replicas[first].state.group.voters) == 3
    net.blocked_links.clear()
    net.run(3_000)
    assert is_voter(net, first)
    assert net.replicas[9].state.catalogue.version == 30


def test_a_learner_with_a_part_of_the_log_does_not_vote():
    net = replica_network.Network()
    first = net.wait_for_leader()
    edits = [replica_network.request(f'k{n}') for n in range(600)]
    net.propose(first, *edits)
    net.run(300)
    net.create(9)
    add(net, first)
    while not is_voter(net, first):
        net.run(10)
    assert net.replicas[9].state.log.last_index > len(edits)


def test_a_second_loss_right_after_a_replacement_loses_nothing():
    net = replica_network.Network()
    first = net.wait_for_leader()
    net.propose(first, replica_network.request('a'))
    net.run(300)
    lost, other = (n for n in (1, 2, 3) if n != first)
    net.stop(lost)
    net.create(9)
    add(net, first)
    while not is_voter(net, first):
        net.run(10)
    net.run(300)
    net.step(first, messages.RemoveMember(f'control-{lost}'))
    net.run(300)
    net.stop(first)
    second = net.wait_for_leader()
    assert second in (other, 9)
    assert net.replicas[second].state.catalogue.known_answer('a').accepted


@pytest.mark.parametrize(
    ('member', 'has_group', 'word'),
    [
        pytest.param(NEW, False, '', id='new'),
        pytest.param(NEW, True, 'keeps a log', id='has-a-group'),
        pytest.param(
            groups.Member(9, 'control-1', 'h:9', False),
            False,
            'another data folder',
            id='wiped-folder-under-its-old-name',
        ),
        pytest.param(replica_network.member(1), False, '', id='sent-again'),
    ],
)
def test_who_may_be_added(member, has_group, word):
    net = replica_network.Network()
    first = net.wait_for_leader()
    reason = add(net, first, member, has_group)
    assert bool(reason) is bool(word)
    assert word in reason


@pytest.mark.parametrize(
    ('instance', 'word'),
    [('control-1', ''), ('control-7', 'no member')],
)
def test_who_may_be_removed(instance, word):
    net = replica_network.Network()
    first = net.wait_for_leader()
    reason = refusal(net.step(first, messages.RemoveMember(instance)))
    assert bool(reason) is bool(word)
    assert word in reason


def test_the_last_voter_is_not_removed():
    net = replica_network.Network(1)
    first = net.wait_for_leader()
    event = messages.RemoveMember('control-1')
    assert 'last member' in refusal(net.step(first, event))


def test_a_change_of_members_is_refused_while_one_is_pending():
    net = replica_network.Network()
    first = net.wait_for_leader()
    for number in (1, 2, 3):
        if number != first:
            net.isolate(number)
    assert not add(net, first)
    event = messages.RemoveMember('control-1')
    assert 'not committed yet' in refusal(net.step(first, event))


@pytest.mark.parametrize('size', [2, 3, 5])
def test_a_leader_that_is_removed_is_succeeded_by_another(size):
    net = replica_network.Network(size)
    first = net.wait_for_leader()
    net.propose(first, replica_network.request('a'))
    net.step(first, messages.RemoveMember(f'control-{first}'))
    net.run(500)
    assert not net.replicas[first].state.group.is_voter(first)
    second = net.wait_for_leader(excluded=(first,))
    state = net.replicas[second].state
    assert len(state.group.voters) == size - 1
    assert state.catalogue.known_answer('a').accepted


OWN = formation.Identity(1, 'a')
FIRST = tuple(formation.InitialMember(n, f'h:{n}') for n in ('a', 'b', 'c'))
FRESH = {n: formation.Identity(ord(n), n) for n in ('b', 'c')}


def group_with(own_number):
    """Return a group; ``own_number`` is the data folder of member ``a``."""
    members = [(own_number, 'a'), (2, 'b'), (3, 'c')]
    return groups.Group(
        tuple(groups.Member(n, name, f'h:{name}', True) for n, name in members)
    )


@pytest.mark.parametrize(
    ('own', 'replies', 'kind', 'word'),
    [
        pytest.param(OWN, FRESH, formation.Begin, '', id='all-are-new'),
        pytest.param(
            OWN, {'b': FRESH['b']}, formation.Wait, 'c', id='one-is-missing'
        ),
        pytest.param(
            OWN,
            {'b': formation.Identity(2, 'b', group_with(1))},
            formation.Begin,
            '',
            id='others-have-formed-with-this-folder',
        ),
        pytest.param(
            OWN,
            {'b': formation.Identity(2, 'b', group_with(7)), 'c': FRESH['c']},
            formation.Refuse,
            'never start it under the old name',
            id='wiped-folder',
        ),
        pytest.param(
            OWN,
            {
                'b': formation.Identity(
                    2, 'b', groups.Group(group_with(1).voters[1:])
                )
            },
            formation.Refuse,
            'formed without a',
            id='group-without-this-one',
        ),
        pytest.param(
            OWN,
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
def test_a_new_data_folder_starts_only_where_nothing_can_be_lost(
    own, replies, kind, word
):
    decision = formation.decide(own, FIRST, replies)
    assert type(decision) is kind
    assert word in str(decision)
