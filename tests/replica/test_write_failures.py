"""A replica whose disk refuses writes promises nothing and comes back."""

import pytest
import replica_network

from gentianspoke.decisions.control.replica import effects
from gentianspoke.decisions.control.replica import messages
from gentianspoke.decisions.control.replica import state as states

# An operator's request has to be answered within 5 s.
ANSWER_TIMEOUT_MS = 5_000
FULL_MS = 2_000
LIMITS = states.Limits(compact_records=6, kept_records=2)


def submit(net, key):
    """Propose a request until it is answered, and return the time it took.

    Each attempt goes to the member that leads then, as an operator's does.
    """
    started_ms = net.clock.now()
    while net.clock.now() - started_ms <= ANSWER_TIMEOUT_MS:
        leader = net.leader()
        if leader is not None:
            state = net.replicas[leader].state
            if state.catalogue.known_answer(key) is not None:
                return net.clock.now() - started_ms
            net.propose(leader, replica_network.request(key))
        net.run(200)
    raise AssertionError(f'{key} was not answered in time')


def check_log(net, keys):
    """Check that all members hold the answers to all requests."""
    net.run(3_000)
    for number, member_replica in net.replicas.items():
        assert member_replica.state.can_write
        for key in keys:
            answer = member_replica.state.catalogue.known_answer(key)
            assert answer is not None, (number, key)


@pytest.mark.parametrize('size', [3, 5])
@pytest.mark.parametrize('seed', range(6))
def test_disks_full_one_after_another_leave_each_request_answered(size, seed):
    net = replica_network.Network(size, seed, LIMITS)
    net.wait_for_leader()
    keys = []
    for round_number in range(2 * size):
        # The leader's disk is full every other time.
        others = sorted(net.replicas.keys() - {net.leader()})
        number = net.leader() if round_number % 2 else net.rng.choice(others)
        number = number or others[0]
        net.folders[number].is_full = True
        end_ms = net.clock.now() + FULL_MS
        while net.clock.now() < end_ms:
            keys.append(f'request-{len(keys)}')
            submit(net, keys[-1])
        net.folders[number].is_full = False
    check_log(net, keys)


@pytest.mark.parametrize('keeps_unsynced', [False, True])
@pytest.mark.parametrize('seed', range(6))
def test_what_was_answered_survives_a_full_disk_and_a_power_failure(
    seed, keeps_unsynced
):
    net = replica_network.Network(3, seed, LIMITS)
    full = net.wait_for_leader()
    keys = [f'before-{count}' for count in range(4)]
    for key in keys:
        submit(net, key)
    net.folders[full].is_full = True
    for count in range(8):
        keys.append(f'meanwhile-{count}')
        submit(net, keys[-1])
    # All machines lose power, and the disk is still full at the start.
    for number in tuple(net.replicas):
        net.stop(number)
        folder = net.folders[number].copy_after_power_failure(keeps_unsynced)
        folder.is_full = number == full
        net.use_folder(number, folder)
    for number in net.stores:
        net.start(number)
    keys.append('after')
    submit(net, keys[-1])
    net.folders[full].is_full = False
    check_log(net, keys)


def make_unwritable_member(net):
    """Return the number of a follower whose disk is full, and its replica."""
    leader = net.wait_for_leader()
    net.run(1_000)
    number = leader % len(net.replicas) + 1
    net.folders[number].is_full = True
    net.propose(leader, replica_network.request('first'))
    net.run(500)
    member_replica = net.replicas[number]
    assert not member_replica.state.can_write
    return number, member_replica


@pytest.mark.parametrize('pre', [False, True])
@pytest.mark.parametrize('silent_ms', [0, 5_000])
def test_an_unwritable_member_neither_votes_nor_asks_for_votes(pre, silent_ms):
    net = replica_network.Network()
    number, member_replica = make_unwritable_member(net)
    now = net.clock.now() + silent_ms
    assert member_replica.handle(messages.Tick(), now) == []
    assert member_replica.build_request(number % 3 + 1, now) is None
    request = messages.VoteRequest(number % 3 + 1, number, 99, 99, 99, pre=pre)
    (response,) = member_replica.handle(messages.RequestReceived(request), now)
    assert not response.reply.granted and not response.reply.willing


def test_an_unwritable_member_stays_confirmed_and_gets_no_records():
    net = replica_network.Network()
    number, member_replica = make_unwritable_member(net)
    leader = net.leader()
    net.run(2_000)
    assert net.leader() == leader
    assert net.replicas[leader].state.progress[number].can_write is False
    request = net.replicas[leader].build_request(
        number, net.clock.now() + 1_000
    )
    assert request.records == ()
    # It has not applied the record that it could not store, so it does not
    # count as confirmed while it lacks one.
    assert member_replica.state.catalogue.known_answer('first') is None
    net.folders[number].is_full = False
    net.run(1_000)
    assert member_replica.state.catalogue.known_answer('first').accepted
    assert net.confirmed_age_ms(number) < 1_000


def test_a_leader_whose_disk_is_full_hands_over_and_keeps_no_record():
    net = replica_network.Network()
    leader = net.wait_for_leader()
    net.run(1_000)
    net.folders[leader].is_full = True
    result = net.propose(leader, replica_network.request('lost'))
    assert not any(type(e) is effects.Committed for e in result)
    assert net.replicas[leader].state.leads(net.clock.now()) is False
    started_ms = net.clock.now()
    net.wait_for_leader(excluded=[leader])
    assert net.clock.now() - started_ms <= ANSWER_TIMEOUT_MS
    refused = net.propose(leader, replica_network.request('other'))
    assert [type(e) for e in refused] == [effects.Refused]
