"""No accepted edit is lost when members stop or messages are lost."""

import random

import pytest
import replica_network

from gentianspoke.decisions.control.replica import effects
from gentianspoke.decisions.control.replica import state as states

SMALL_LIMITS = states.Limits(compact_records=10, kept_records=3)


def find_answers(result):
    """Return the answers among effects."""
    return [e.answer for e in result if type(e) is effects.Committed]


def inject_fault(net, rng):
    """Stop or start a member, block one link or restore all, at random.

    A link is blocked in one direction only. A majority of members may fail.
    """
    number = rng.choice(tuple(net.stores))
    match rng.choice(
        ('stop', 'start', 'start', 'block', 'restore', 'restore')
    ):
        case 'stop' if number in net.replicas:
            net.stop(number)
        case 'start' if number not in net.replicas:
            net.start(number)
        case 'block':
            net.blocked_links.add((number, rng.choice(tuple(net.stores))))
        case 'restore':
            net.blocked_links.clear()


@pytest.mark.parametrize('limits', [states.Limits(), SMALL_LIMITS])
@pytest.mark.parametrize('loss', [0.0, 0.2])
@pytest.mark.parametrize(('size', 'seed'), [(3, 1), (3, 2), (5, 3), (5, 4)])
def test_an_answer_never_changes_despite_failures(size, seed, loss, limits):
    net = replica_network.Network(size, seed, limits)
    rng = random.Random(seed)
    net.loss = loss
    answers = {}
    for position in range(60):
        inject_fault(net, rng)
        net.run(rng.randrange(0, 1500, 10))
        number = net.leader()
        if number is None:
            continue
        key = f'k{rng.randrange(40)}'
        edit = replica_network.request(key, name=f'n{position}')
        net.propose(number, edit)
        net.run(rng.choice((0, 200)))
        replica = net.replicas.get(number)
        answer = replica and replica.state.catalogue.known_answer(key)
        if answer is not None:
            assert answers.setdefault(key, answer) == answer
    net.loss = 0.0
    net.blocked_links.clear()
    for number in net.stores:
        if number not in net.replicas:
            net.start(number)
    net.wait_for_leader()
    net.run(5_000)
    assert answers
    exports = [r.state.catalogue.export() for r in net.replicas.values()]
    assert all(export == exports[0] for export in exports)
    for key, answer in answers.items():
        stored_answer = net.replicas[1].state.catalogue.known_answer(key)
        assert stored_answer == answer


def test_nothing_is_committed_without_a_majority():
    net = replica_network.Network(5)
    leader = net.wait_for_leader()
    for number in [n for n in net.stores if n != leader][:3]:
        net.isolate(number)
    net.propose(leader, replica_network.request('a'))
    net.run(500)
    assert net.replicas[leader].state.catalogue.version == 0


@pytest.mark.parametrize('keys', [('a', 'a'), ('a', 'b')])
def test_only_one_of_two_edits_based_on_one_version_is_accepted(keys):
    net = replica_network.Network()
    leader = net.wait_for_leader()
    edits = [replica_network.request(key, name='same') for key in keys]
    result = net.propose(leader, *edits)
    net.run(500)
    state = net.replicas[leader].state.catalogue
    assert state.version == 1
    assert not find_answers(result)
    assert state.known_answer(keys[0]).accepted
    assert state.known_answer(keys[1]).accepted is (keys[0] == keys[1])


def test_a_record_of_an_older_term_is_not_committed_by_counting_replicas():
    # Figure 8 of the Raft paper: a majority holds the record, yet a later
    # leader could still replace it.
    net = replica_network.Network()
    leader = net.wait_for_leader()
    net.run(500)
    second = leader % 3 + 1
    third = second % 3 + 1
    net.isolate(third)
    net.isolate(second)
    net.propose(leader, replica_network.request('old'))
    net.stop(leader)
    net.blocked_links.clear()
    net.start(leader)
    state = net.replicas[leader].state
    old_commit_index = state.commit_index
    # Any newer term would do.
    state.term += 5
    state.role.advance('suspect')
    state.role.advance('campaign')
    state.role.advance('win')
    state.progress = {n: states.Progress(1) for n in (second, third)}
    state.progress[second].match_index = state.log.last_index
    net.step(leader, replica_network.messages.Synced(state.log.last_index))
    assert state.commit_index == old_commit_index


def test_a_resent_edit_gets_its_first_answer_across_a_snapshot():
    net = replica_network.Network(3, 1, SMALL_LIMITS)
    leader = net.wait_for_leader()
    net.propose(leader, replica_network.request('kept'))
    net.run(300)
    answer = net.replicas[leader].state.catalogue.known_answer('kept')
    other = leader % 3 + 1
    net.isolate(other)
    for position in range(40):
        net.propose(leader, replica_network.request(f'more{position}'))
        net.run(50)
    net.blocked_links.clear()
    net.run(2_000)
    # A restart restores the member from its stored snapshot.
    net.start(other)
    restored = net.replicas[other].state
    assert restored.snapshot.index > 30
    assert restored.catalogue.known_answer('kept') == answer
    net.stop(leader)
    new_leader = net.wait_for_leader()
    net.propose(new_leader, replica_network.request('kept'))
    net.run(300)
    state = net.replicas[new_leader].state.catalogue
    assert state.known_answer('kept') == answer
    assert state.version == 41
