"""The hand-over specification holds, and seeded mistakes are found."""

import random

import pytest

from gentianspoke.core import views
from gentianspoke.decisions.agent import ownership
from gentianspoke.decisions.agent import state as agent_state
from gentianspoke.decisions import member_ranking
from specs import handover
from specs import handover_agent
from specs import handover_cases

FAST_MISTAKES = [
    case for case in handover_cases.SEEDED_MISTAKES if case.runs_in_test_suite
]


@pytest.mark.parametrize('bounds', handover_cases.SMALL_BOUNDS, ids=str)
def test_the_properties_hold_in_every_state(bounds):
    result = handover_cases.prove(bounds)
    assert (result.exhaustive, result.violated) == (True, '')
    assert result.state_count > 10_000


@pytest.mark.parametrize(
    'case', FAST_MISTAKES, ids=lambda case: case.mistake.name
)
def test_a_seeded_mistake_is_found_with_its_trace(case):
    result = handover_cases.find_violation(case)
    assert result.violated in ('single-decider', 'one-holder')
    assert result.trace


def test_every_mistake_has_a_case():
    assert {case.mistake for case in handover_cases.SEEDED_MISTAKES} == set(
        handover.Mistake
    )


class ReplayedAgent:
    """The state of a production agent that applies the model's views.

    The views are those that an agent of the model applies during a random
    walk through the states of the model.
    """

    def __init__(self, number):
        self.state = agent_state.AgentState(
            number, '', agent_state.Capacity(1, 1, 0), 0, joining=True
        )
        self.state.set_catalogue([handover_agent.SERVICE])

    def apply(self, view, has_missed_views):
        self.state.views_missed = has_missed_views
        self.state.set_view(view)
        self.state.joining &= not self.state.is_listed_as_not_live()

    def decides(self):
        ranking = self.state.rankings.get(1)
        bucket = handover_agent.find_ordered_bucket(3)
        home = ranking.home(bucket) if ranking else None
        if home is None or home.number != self.state.number:
            return False
        self.state.lease_until_ms = 1
        return ownership.may_place(
            self.state, handover_agent.SERVICE, ranking, bucket, 0
        )


@pytest.mark.parametrize('seed', range(20))
def test_production_agents_decide_as_the_model_does(seed):
    rng = random.Random(seed)
    specification = handover.Handover()
    state = specification.initial
    agents = {
        number: ReplayedAgent(number) for number in specification.numbers
    }
    decided_count = 0
    for _ in range(1_500):
        label, after = rng.choice(specification.list_steps(state))
        words = label.split()
        if words[0] == 'start':
            agents[int(words[1])] = ReplayedAgent(int(words[1]))
        if words[1:2] == ['applies']:
            number = int(words[0])
            view = state.issued[-1 if 'current' in label else -2]
            model_agent = state.agents[number - 1]
            # A lease lasts one tick in the default bounds. Once its view is
            # as old as that, an agent may have missed views.
            agents[number].apply(view, model_agent.age_ticks >= 1)
        state = after
        for number, agent in enumerate(state.agents, start=1):
            if agent.is_up:
                expected = agent.applied.may_place and not agent.joining
                assert agents[number].decides() is expected
                decided_count += expected
    assert decided_count


def test_the_bucket_of_the_specification_ranks_the_members_in_order():
    members = tuple(
        handover_agent.handover_leader.build_live_member(number, 1)
        for number in (1, 2, 3)
    )
    ranking = member_ranking.Ranking(views.View(1, 1, members))
    order = ranking.rank_members(handover_agent.find_ordered_bucket(3))
    assert [member.number for member in order] == [1, 2, 3]
