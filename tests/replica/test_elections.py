"""Elections: a term has one leader, and a leader lease excludes others."""

import pytest
import replica_network

from gentianspoke.decisions.control.replica import effects
from gentianspoke.decisions.control.replica import elections
from gentianspoke.decisions.control.replica import messages
from gentianspoke.decisions.control.replica import roles
from gentianspoke.decisions.control.replica import state as states

# A follower grants no vote until its leader has been silent for this long. A
# member that has just started waits for as long.
SILENT_MS = states.Timing().min_election_timeout_ms


def find_reply(result):
    """Return the first reply among effects."""
    return next(e.reply for e in result if type(e) is effects.Respond)


@pytest.mark.parametrize(
    ('silent_ms', 'voted_for', 'term', 'last_index', 'pre', 'granted'),
    [
        pytest.param(SILENT_MS, 0, 1, 0, False, True, id='no-vote-yet'),
        pytest.param(
            SILENT_MS, 2, 1, 0, False, True, id='same-candidate-again'
        ),
        pytest.param(SILENT_MS, 3, 1, 0, False, False, id='voted-for-another'),
        pytest.param(SILENT_MS, 3, 2, 0, False, True, id='newer-term'),
        pytest.param(SILENT_MS, 0, 0, 0, False, False, id='older-term'),
        pytest.param(
            SILENT_MS - 1, 0, 2, 0, False, False, id='leader-heard-recently'
        ),
        pytest.param(SILENT_MS, 0, 2, 0, True, True, id='pre-vote'),
        pytest.param(
            SILENT_MS, 3, 2, 0, True, True, id='pre-vote-ignores-vote'
        ),
        pytest.param(
            SILENT_MS, 0, 1, 0, True, False, id='pre-vote-older-term'
        ),
        pytest.param(
            SILENT_MS - 1, 0, 2, 0, True, False, id='pre-vote-leader-heard'
        ),
        pytest.param(SILENT_MS, 0, 2, -1, False, False, id='log-is-older'),
    ],
)
def test_a_vote_needs_a_silent_leader_a_free_vote_and_a_current_log(
    silent_ms, voted_for, term, last_index, pre, granted
):
    net = replica_network.Network()
    state = net.replicas[1].state
    state.term, state.voted_for = 1, voted_for
    net.clock.advance(silent_ms)
    request = messages.VoteRequest(2, 1, term, last_index, 0, pre)
    result = net.step(1, messages.RequestReceived(request))
    assert find_reply(result).granted is granted


def test_a_vote_is_saved_before_the_reply_that_grants_it():
    net = replica_network.Network()
    net.clock.advance(SILENT_MS)
    request = messages.VoteRequest(2, 1, 5, 0, 0, False)
    types = [type(e) for e in net.step(1, messages.RequestReceived(request))]
    assert types.index(effects.SaveVote) < types.index(effects.Respond)
    net.start(1)
    assert (net.replicas[1].state.term, net.replicas[1].state.voted_for) == (
        5,
        2,
    )


def test_a_message_for_another_data_folder_is_refused():
    net = replica_network.Network()
    net.clock.advance(SILENT_MS)
    request = messages.VoteRequest(2, 99, 5, 0, 0, False)
    assert find_reply(net.step(1, messages.RequestReceived(request))) == (
        messages.WrongFolder(1)
    )
    assert net.replicas[1].state.term == 0


@pytest.mark.parametrize('size', [1, 2, 3, 5])
def test_a_group_elects_one_leader_and_keeps_it(size):
    net = replica_network.Network(size)
    leader = net.wait_for_leader()
    net.run(10_000)
    assert net.leader() == leader
    assert len(net.leaders_by_term) == 1


def test_a_restarted_member_does_not_vote_during_a_leader_lease():
    # The member may have answered the leader just before its restart, and the
    # leader lease may depend on that answer.
    net = replica_network.Network()
    leader = net.wait_for_leader()
    other, third = (n for n in (1, 2, 3) if n != leader)
    net.isolate(leader)
    net.start(other)
    log = net.replicas[third].state.log
    request = messages.VoteRequest(
        third, other, 9, log.last_index, log.last_term, False
    )
    assert net.replicas[leader].state.leads(net.clock.now())
    assert not find_reply(
        net.step(other, messages.RequestReceived(request))
    ).granted


def test_an_isolated_member_that_returns_causes_no_election():
    net = replica_network.Network()
    leader = net.wait_for_leader()
    other = leader % 3 + 1
    net.isolate(other)
    net.run(20_000)
    net.blocked_links.clear()
    net.run(5_000)
    assert net.leader() == leader
    assert len(net.leaders_by_term) == 1


@pytest.mark.parametrize('size', [3, 5])
def test_members_that_all_restarted_elect_a_leader_at_once(size):
    net = replica_network.Network(size)
    net.wait_for_leader()
    net.run(1_000)
    started_ms = net.clock.now()
    for number in net.replicas:
        net.start(number)
    net.wait_for_leader()
    assert net.clock.now() - started_ms < SILENT_MS


def test_a_restarted_member_does_not_win_during_a_leader_lease():
    # The third member has received nothing from the leader for a long time
    # and would vote for the restarted member.
    net = replica_network.Network()
    leader = net.wait_for_leader()
    other, third = (n for n in (1, 2, 3) if n != leader)
    net.blocked_links.add((leader, third))
    net.blocked_links.add((third, leader))
    net.run(3 * SILENT_MS)
    leader = net.wait_for_leader()
    leader_state = net.replicas[leader].state
    restarted = next(n for n in (1, 2, 3) if n not in (leader, third))
    net.isolate(leader)
    net.start(restarted)
    started_ms = net.clock.now()
    while leader_state.leads(net.clock.now()):
        net.run(10)
        others = [n for n, item in net.replicas.items() if n != leader]
        assert not any(
            net.replicas[n].state.leads(net.clock.now()) for n in others
        )
    assert net.clock.now() - started_ms < SILENT_MS


@pytest.mark.parametrize(
    ('had_leader', 'unopposed', 'granted'),
    [
        pytest.param(False, True, True, id='all-have-just-started'),
        pytest.param(False, False, False, id='only-a-majority-is-willing'),
        pytest.param(True, True, False, id='had-a-leader-since-its-start'),
    ],
)
def test_a_member_votes_at_once_only_if_all_have_just_started(
    had_leader, unopposed, granted
):
    net = replica_network.Network()
    net.replicas[1].state.had_leader = had_leader
    request = messages.VoteRequest(2, 1, 1, 0, 0, False, unopposed)
    result = net.step(1, messages.RequestReceived(request))
    assert find_reply(result).granted is granted


@pytest.mark.parametrize(
    ('size', 'votes_without_wait', 'votes_after_wait', 'wins'),
    [
        pytest.param(3, 2, 0, True, id='all-without-wait'),
        pytest.param(3, 1, 0, False, id='majority-without-wait'),
        pytest.param(5, 3, 1, True, id='all-with-and-without-wait'),
        pytest.param(5, 2, 1, False, id='majority-with-and-without-wait'),
    ],
)
def test_votes_without_the_wait_count_only_if_all_voters_vote(
    size, votes_without_wait, votes_after_wait, wins
):
    net = replica_network.Network(size)
    state = net.replicas[1].state
    net.clock.advance(state.timing.startup_election_timeout_ms)
    net.step(1, messages.Tick())
    for number in range(2, size + 1):
        reply = messages.VoteReply(number, 0, False, True)
        request = elections.build_vote_request(state, number)
        net.step(1, messages.ReplyReceived(request, reply))
    for position in range(votes_without_wait + votes_after_wait):
        request = elections.build_vote_request(state, position + 2)
        assert request.unopposed
        reply = messages.VoteReply(
            position + 2, 1, True, position < votes_without_wait
        )
        net.step(1, messages.ReplyReceived(request, reply))
    assert (state.role.state == roles.LEADER) is wins


@pytest.mark.parametrize(
    ('had_leader', 'term', 'last_index', 'willing'),
    [
        pytest.param(False, 2, 0, True, id='just-started'),
        pytest.param(True, 2, 0, False, id='had-a-leader-since-its-start'),
        pytest.param(False, 1, 0, False, id='older-term'),
        pytest.param(False, 2, -1, False, id='log-is-older'),
    ],
)
def test_a_member_would_skip_the_wait_only_if_it_had_no_leader_and_may_vote(
    had_leader, term, last_index, willing
):
    net = replica_network.Network()
    state = net.replicas[1].state
    state.term, state.had_leader = 1, had_leader
    request = messages.VoteRequest(2, 1, term, last_index, 0, True)
    reply = find_reply(net.step(1, messages.RequestReceived(request)))
    assert (reply.granted, reply.willing) == (False, willing)


@pytest.mark.parametrize('record_delay_ms', [0, 900, 3_000])
@pytest.mark.parametrize('size', [3, 5])
def test_a_record_that_takes_long_to_all_members_unseats_no_leader(
    size, record_delay_ms
):
    # Each member takes a record only after several election timeouts, as with
    # thousands of routes on instances with little processor time.
    net = replica_network.Network(size)
    leader = net.wait_for_leader()
    net.run(1_000)
    net.record_delay_ms = record_delay_ms
    net.propose(leader, replica_network.request('large'))
    net.run(record_delay_ms + 1_000)
    assert net.leader() == leader
    assert len(net.leaders_by_term) == 1
    assert all(
        member.state.catalogue.known_answer('large').accepted
        for member in net.replicas.values()
    )
    assert all(net.confirmed_age_ms(number) < 1_000 for number in net.replicas)


def test_a_candidate_has_a_whole_timeout_for_its_votes():
    net = replica_network.Network(5)
    member = net.replicas[1]
    state = member.state
    now = state.election_due_ms
    member.handle(messages.Tick(), now)
    # The answers to the pre-vote come just before the timeout.
    now = state.election_due_ms - 1
    for peer in (2, 3, 4, 5):
        request = member.build_request(peer, now)
        if request is None:
            continue
        reply = messages.VoteReply(peer, 0, False, willing=True)
        member.handle(messages.ReplyReceived(request, reply), now)
    assert state.role.state == roles.CANDIDATE
    shortest_ms = state.timing.startup_election_timeout_ms
    member.handle(messages.Tick(), now + shortest_ms - 1)
    assert state.role.state == roles.CANDIDATE


@pytest.mark.parametrize('size', [3, 5])
@pytest.mark.parametrize('seed', range(4))
def test_members_that_start_together_elect_a_leader_in_the_first_term(
    size, seed
):
    net = replica_network.Network(size, seed)
    due_ms = net.clock.now() + 20
    for member in net.replicas.values():
        member.state.election_due_ms = due_ms
    net.run(120)
    assert list(net.leaders_by_term) == [1]
    assert net.leader() == net.leaders_by_term[1]


def test_a_member_that_has_run_for_long_yields_to_nobody():
    net = replica_network.Network(3)
    net.wait_for_leader()
    state = net.replicas[1].state
    now = net.clock.now() + 10 * SILENT_MS
    net.replicas[1].handle(messages.Tick(), now)
    assert state.role.state == roles.PRE_CANDIDATE
    request = messages.VoteRequest(3, 1, state.term + 1, 99, 99, pre=True)
    net.replicas[1].handle(messages.RequestReceived(request), now)
    assert state.role.state == roles.PRE_CANDIDATE
