"""Votes and terms: one leader in a term, none beside one that is heard."""

import pytest
import replica_network

from gentianspoke.decisions.control.replica import effects
from gentianspoke.decisions.control.replica import elections
from gentianspoke.decisions.control.replica import messages
from gentianspoke.decisions.control.replica import roles
from gentianspoke.decisions.control.replica import state as states

SILENT_MS = states.Timing().election_min_ms


def respond(found):
    """Return the reply among effects."""
    return next(e.reply for e in found if type(e) is effects.Respond)


@pytest.mark.parametrize(
    ('silent_ms', 'voted_for', 'term', 'last_index', 'pre', 'granted'),
    [
        pytest.param(SILENT_MS, 0, 1, 0, False, True, id='free'),
        pytest.param(SILENT_MS, 2, 1, 0, False, True, id='asked-again'),
        pytest.param(SILENT_MS, 3, 1, 0, False, False, id='voted-already'),
        pytest.param(SILENT_MS, 3, 2, 0, False, True, id='newer-term'),
        pytest.param(SILENT_MS, 0, 0, 0, False, False, id='older-term'),
        pytest.param(SILENT_MS - 1, 0, 2, 0, False, False, id='hears-leader'),
        pytest.param(SILENT_MS, 0, 2, 0, True, True, id='pre-vote'),
        pytest.param(SILENT_MS, 3, 2, 0, True, True, id='pre-vote-is-free'),
        pytest.param(SILENT_MS, 0, 1, 0, True, False, id='pre-vote-old'),
        pytest.param(SILENT_MS - 1, 0, 2, 0, True, False, id='pre-vote-heard'),
        pytest.param(SILENT_MS, 0, 2, -1, False, False, id='log-is-older'),
    ],
)
def test_a_vote_goes_to_one_whose_log_is_current(
    silent_ms, voted_for, term, last_index, pre, granted
):
    net = replica_network.Network()
    state = net.replicas[1].state
    state.term, state.voted_for = 1, voted_for
    net.clock.advance(silent_ms)
    asked = messages.VoteRequest(2, 1, term, last_index, 0, pre)
    found = net.step(1, messages.RequestReceived(asked))
    assert respond(found).granted is granted


def test_a_vote_is_saved_before_it_is_answered():
    net = replica_network.Network()
    net.clock.advance(SILENT_MS)
    asked = messages.VoteRequest(2, 1, 5, 0, 0, False)
    kinds = [type(e) for e in net.step(1, messages.RequestReceived(asked))]
    assert kinds.index(effects.SaveVote) < kinds.index(effects.Respond)
    net.start(1)
    assert (net.replicas[1].state.term, net.replicas[1].state.voted_for) == (
        5,
        2,
    )


def test_a_message_for_another_folder_is_refused():
    net = replica_network.Network()
    net.clock.advance(SILENT_MS)
    asked = messages.VoteRequest(2, 99, 5, 0, 0, False)
    assert respond(net.step(1, messages.RequestReceived(asked))) == (
        messages.WrongFolder(1)
    )
    assert net.replicas[1].state.term == 0


@pytest.mark.parametrize('size', [1, 2, 3, 5])
def test_a_group_elects_one_leader_and_keeps_it(size):
    net = replica_network.Network(size)
    first = net.await_leader()
    net.run(10_000)
    assert net.leader() == first
    assert len(net.leaders) == 1


def test_a_restarted_member_does_not_vote_beside_a_claim():
    # It may have answered the leader just before; the claim rests on it.
    net = replica_network.Network()
    first = net.await_leader()
    other, third = (n for n in (1, 2, 3) if n != first)
    net.isolate(first)
    net.start(other)
    last = net.replicas[third].state.log
    asked = messages.VoteRequest(
        third, other, 9, last.last_index, last.last_term, False
    )
    assert net.replicas[first].state.leads(net.clock.now())
    assert not respond(
        net.step(other, messages.RequestReceived(asked))
    ).granted


def test_an_isolated_member_that_returns_disturbs_nobody():
    net = replica_network.Network()
    first = net.await_leader()
    other = first % 3 + 1
    net.isolate(other)
    net.run(20_000)
    net.lost.clear()
    net.run(5_000)
    assert net.leader() == first
    assert len(net.leaders) == 1


@pytest.mark.parametrize('size', [3, 5])
def test_members_that_all_restarted_elect_without_waiting(size):
    net = replica_network.Network(size)
    net.await_leader()
    net.run(1_000)
    begun_ms = net.clock.now()
    for number in net.replicas:
        net.start(number)
    net.await_leader()
    assert net.clock.now() - begun_ms < SILENT_MS


def test_a_restarted_member_does_not_stand_beside_a_claim():
    # The third member has long lost the leader and would vote for it.
    net = replica_network.Network()
    first = net.await_leader()
    other, third = (n for n in (1, 2, 3) if n != first)
    net.lost.add((first, third))
    net.lost.add((third, first))
    net.run(3 * SILENT_MS)
    first = net.await_leader()
    held = net.replicas[first].state
    restarted = next(n for n in (1, 2, 3) if n not in (first, third))
    net.isolate(first)
    net.start(restarted)
    begun_ms = net.clock.now()
    while held.leads(net.clock.now()):
        net.run(10)
        leaders = [n for n, item in net.replicas.items() if n != first]
        assert not any(
            net.replicas[n].state.leads(net.clock.now()) for n in leaders
        )
    assert net.clock.now() - begun_ms < SILENT_MS


@pytest.mark.parametrize(
    ('had_leader', 'unopposed', 'granted'),
    [
        pytest.param(False, True, True, id='all-are-fresh'),
        pytest.param(False, False, False, id='a-majority-only'),
        pytest.param(True, True, False, id='heard-a-leader-since'),
    ],
)
def test_a_fresh_member_votes_at_once_only_if_all_are_fresh(
    had_leader, unopposed, granted
):
    net = replica_network.Network()
    net.replicas[1].state.had_leader = had_leader
    asked = messages.VoteRequest(2, 1, 1, 0, 0, False, unopposed)
    found = net.step(1, messages.RequestReceived(asked))
    assert respond(found).granted is granted


@pytest.mark.parametrize(
    ('size', 'hasty', 'patient', 'wins'),
    [
        pytest.param(3, 2, 0, True, id='all-in-haste'),
        pytest.param(3, 1, 0, False, id='a-majority-in-haste'),
        pytest.param(5, 3, 1, True, id='all-by-both'),
        pytest.param(5, 2, 1, False, id='a-majority-by-both'),
    ],
)
def test_votes_without_the_wait_count_only_together(
    size, hasty, patient, wins
):
    net = replica_network.Network(size)
    state = net.replicas[1].state
    net.clock.advance(state.timing.startup_election_ms)
    net.step(1, messages.Tick())
    for number in range(2, size + 1):
        reply = messages.VoteReply(number, 0, False, True)
        asked = elections.vote_request(state, number)
        net.step(1, messages.ReplyReceived(asked, reply))
    for position in range(hasty + patient):
        asked = elections.vote_request(state, position + 2)
        assert asked.unopposed
        reply = messages.VoteReply(position + 2, 1, True, position < hasty)
        net.step(1, messages.ReplyReceived(asked, reply))
    assert (state.role.state == roles.LEADER) is wins


@pytest.mark.parametrize(
    ('had_leader', 'term', 'last_index', 'willing'),
    [
        pytest.param(False, 2, 0, True, id='fresh'),
        pytest.param(True, 2, 0, False, id='heard-a-leader-since'),
        pytest.param(False, 1, 0, False, id='older-term'),
        pytest.param(False, 2, -1, False, id='log-is-older'),
    ],
)
def test_a_member_is_willing_only_where_no_leader_can_be(
    had_leader, term, last_index, willing
):
    net = replica_network.Network()
    state = net.replicas[1].state
    state.term, state.had_leader = 1, had_leader
    asked = messages.VoteRequest(2, 1, term, last_index, 0, True)
    reply = respond(net.step(1, messages.RequestReceived(asked)))
    assert (reply.granted, reply.willing) == (False, willing)
