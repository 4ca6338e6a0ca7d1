"""Tests that leases never let two agents decide for one bucket.

The tests drive two agents, the memberships of one or two leaders and the
clock step by step. An agent holds the leases that it was granted and the
newest view that it was given.
"""

import dataclasses

import builders
import heartbeats
import pytest

from gentianspoke.core import views
from gentianspoke.decisions.agent import ownership
from gentianspoke.decisions.agent import state as agent_state
from gentianspoke.decisions.control import membership

LIMITS = heartbeats.LIMITS
GRACE_MS = LIMITS.removal_timeout_ms
SERVICE = builders.service()
BUCKETS = range(32)
# Agents shorten each lease by this share, in case their clocks run slower than
# the leader's.
AGENT_MARGIN_PERMILLE = 50


@dataclasses.dataclass
class Agent:
    """The part of an agent that handles leases and views."""

    number: int
    weight: int = 100
    state: agent_state.AgentState = dataclasses.field(init=False)

    def __post_init__(self):
        self.restart()

    def restart(self):
        self.state = agent_state.AgentState(
            self.number, 'zone-a', agent_state.Capacity(4, 100, 0), 0
        )

    def announce_to(self, leader, now, confirmed_age_ms=0, sent_ms=None):
        """Send a heartbeat to a leader and take the lease that it grants.

        A lease counts from ``sent_ms``, by default ``now``.
        """
        ranking = self.state.rankings.get(1)
        acked = ranking.view.number if ranking else 0
        grant = leader.announce(
            heartbeats.make_heartbeat(
                self.number, acked_view=acked, weight=self.weight
            ),
            now,
            confirmed_age_ms,
        )
        if grant.renewal_only and self.state.lease_until_ms <= now:
            return
        lease_ms = grant.lease_ms * (1_000 - AGENT_MARGIN_PERMILLE) // 1_000
        until_ms = (now if sent_ms is None else sent_ms) + lease_ms
        self.state.lease_until_ms = max(self.state.lease_until_ms, until_ms)

    def decides(self, bucket, now):
        ranking = self.state.rankings.get(1)
        home = ranking.home(bucket) if ranking else None
        if home is None or home.number != self.number:
            return False
        return ownership.may_place(self.state, SERVICE, ranking, bucket, now)


def count_deciders(agents, now):
    """Return how many agents decide for the bucket with the most deciders."""
    return max(
        sum(agent.decides(bucket, now) for agent in agents)
        for bucket in BUCKETS
    )


def deliver_views(leader, now, *agents):
    for view in leader.pop_changed_views(now):
        for agent in agents:
            agent.state.set_view(view)


def make_settled_leader(agents, until_ms=GRACE_MS + 3_000):
    """Return the leader of term 1 with live agents, and the current time."""
    leader = membership.Membership(1, LIMITS, 0)
    for now in range(0, until_ms + 1, 100):
        for agent in agents:
            agent.announce_to(leader, now)
        leader.tick(now)
        deliver_views(leader, now, *agents)
    return leader, until_ms


def test_two_live_agents_share_all_buckets():
    agents = [Agent(1), Agent(2)]
    _, now = make_settled_leader(agents)
    assert count_deciders(agents, now) == 1
    counts = [
        sum(agent.decides(bucket, now) for bucket in BUCKETS)
        for agent in agents
    ]
    assert all(counts) and sum(counts) == len(BUCKETS)


@pytest.mark.parametrize(
    ('with_grace', 'expected_deciders'),
    [pytest.param(True, 1, id='grace'), pytest.param(False, 2, id='no-grace')],
)
def test_a_new_leader_lets_two_agents_decide_only_without_its_grace_period(
    with_grace, expected_deciders
):
    first, second = agents = [Agent(1), Agent(2)]
    _, now = make_settled_leader(agents)
    # The second agent receives nothing more, but its lease is still valid.
    leader = membership.Membership(2, LIMITS, now)
    max_deciders = 0
    for later in range(now, now + 2 * GRACE_MS, 100):
        first.announce_to(leader, later)
        leader.tick(later)
        issued_views = leader.pop_changed_views(later)
        for view in issued_views if with_grace else leader.list_views():
            first.state.set_view(view)
        max_deciders = max(max_deciders, count_deciders(agents, later))
    assert max_deciders == expected_deciders


@pytest.mark.parametrize('silent_ms', [100, 1_500])
@pytest.mark.parametrize('age_ms', [0, 400, 1_200])
def test_a_deposed_leader_and_its_successor_allow_one_decider(
    age_ms, silent_ms
):
    first, second = agents = [Agent(1), Agent(2)]
    old_leader, now = make_settled_leader(agents)
    silent_from_ms = now
    # The second agent stops sending heartbeats to the old leader before
    # that leader is deposed. The old leader continues until it notices
    # that it has no majority.
    deposed_ms = now + silent_ms
    new_leader = membership.Membership(2, LIMITS, deposed_ms)
    for later in range(silent_from_ms, deposed_ms + 3 * GRACE_MS, 100):
        confirmed_age_ms = age_ms + max(0, later - deposed_ms)
        if confirmed_age_ms <= LIMITS.lease_ms:
            first.announce_to(old_leader, later, confirmed_age_ms)
        if later >= deposed_ms:
            second.announce_to(new_leader, later)
            new_leader.tick(later)
            deliver_views(new_leader, later, second)
        old_leader.tick(later, confirmed_age_ms)
        deliver_views(old_leader, later, first)
        assert count_deciders(agents, later) <= 1


@pytest.mark.parametrize('rounds', [1, 3])
def test_an_agent_that_restarts_with_an_older_view_does_not_decide(rounds):
    first, second = agents = [Agent(1), Agent(2)]
    leader, now = make_settled_leader(agents)
    stale_view = leader.get_view(1)
    now += 1
    leader.announce(heartbeats.make_heartbeat(2, views.State.DRAINING), now)
    for _ in range(rounds):
        deliver_views(leader, now, *agents)
        now += 100
        first.announce_to(leader, now)
        leader.announce(
            heartbeats.make_heartbeat(
                2, views.State.DRAINING, acked_view=leader.get_view(1).number
            ),
            now,
        )
        deliver_views(leader, now, first)
    assert any(first.decides(bucket, now) for bucket in BUCKETS)
    second.restart()
    # A stale relay sends the second agent the view in which it was live.
    second.state.set_view(stale_view)
    second.announce_to(leader, now + 100)
    assert count_deciders(agents, now + 100) <= 1


@pytest.mark.parametrize('drift_permille', [-40, 0, 40])
@pytest.mark.parametrize('step_ms', [100, 300])
def test_clock_drift_within_the_bound_allows_one_decider(
    drift_permille, step_ms
):
    first, second = agents = [Agent(1), Agent(2)]
    leader, now = make_settled_leader(agents)
    start = now
    for later in range(now, now + 3 * GRACE_MS, step_ms):
        first.announce_to(leader, later)
        leader.tick(later)
        deliver_views(leader, later, first)
        second_clock_ms = (
            start + (later - start) * (1_000 + drift_permille) // 1_000
        )
        contested = [
            bucket
            for bucket in BUCKETS
            if first.decides(bucket, later)
            and second.decides(bucket, second_clock_ms)
        ]
        assert not contested


@pytest.mark.parametrize('weight', [1, 50, 1_000])
def test_a_new_weight_never_lets_two_agents_decide(weight):
    first, second = agents = [Agent(1), Agent(2)]
    leader, now = make_settled_leader(agents)
    first.weight = weight
    for later in range(now, now + 4_000, 100):
        # The second agent gets every view 50 ms later than the first.
        first.announce_to(leader, later)
        deliver_views(leader, later, first)
        assert count_deciders(agents, later) <= 1
        second.announce_to(leader, later + 50)
        second.state.set_view(leader.get_view(1))
        assert count_deciders(agents, later + 50) <= 1
    assert leader.get_view(1).members[0].weight == weight
