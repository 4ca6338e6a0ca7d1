"""A ranking that reuses an earlier one equals a new one."""

import dataclasses
import random

import builders
import pytest

from gentianspoke.core import views
from gentianspoke.decisions import hashing
from gentianspoke.decisions import member_ranking

BUCKETS = range(hashing.BUCKETS_PER_SERVICE)


def make_view(members, number):
    return views.View(1, number, tuple(members[n] for n in sorted(members)))


def change(members, rng):
    """Let members join, leave, drain, come back or change their weight."""
    for _ in range(rng.randrange(1, 5)):
        number = rng.randrange(1, 400)
        member = members.get(number)
        match rng.randrange(4):
            case _ if member is None:
                members[number] = builders.member(number)
            case 0:
                del members[number]
            case 1:
                members[number] = dataclasses.replace(member, weight=50)
            case _:
                state = rng.choice(list(views.State))
                members[number] = dataclasses.replace(member, state=state)


def find_homes(ranking, buckets):
    homes = [ranking.home(bucket) for bucket in buckets]
    return [home.number if home else 0 for home in homes]


@pytest.mark.parametrize('member_count', [0, 1, 7, 109, 260])
@pytest.mark.parametrize('seed', range(4))
def test_homes_equal_those_of_a_new_ranking_after_any_changes(
    seed, member_count
):
    rng = random.Random(seed)
    members = {n: builders.member(n) for n in range(1, member_count + 1)}
    ranking = member_ranking.Ranking(make_view(members, 1))
    for number in range(2, 30):
        # Only some homes are known when the next view comes.
        find_homes(ranking, rng.sample(BUCKETS, 200))
        for bucket in rng.sample(BUCKETS, 10):
            ranking.rank_members(bucket)
        change(members, rng)
        view = make_view(members, number)
        ranking = member_ranking.Ranking(view, ranking)
        buckets = rng.sample(BUCKETS, 40)
        for bucket in buckets:
            expected_order = member_ranking.Ranking(view).rank_members(bucket)
            assert ranking.rank_members(bucket) == expected_order
        expected_homes = find_homes(member_ranking.Ranking(view), buckets)
        assert find_homes(ranking, buckets) == expected_homes


@pytest.mark.parametrize('digest', [0, 1, 2**63, 2**64 - 1024, 2**64 - 1])
def test_every_digest_gives_a_score(monkeypatch, digest):
    monkeypatch.setattr(
        hashing.xxhash, 'xxh3_64_intdigest', lambda data, seed: digest
    )
    score = hashing.compute_score(1, 2, 3, 100)
    assert score > 0
    assert hashing.compute_scores(1, 2, {3: 100}) == [(score, 3)]


@pytest.mark.parametrize(
    'weights',
    [
        pytest.param({}, id='no-members'),
        pytest.param({7: 100}, id='one-member'),
        pytest.param({7: 100, 2**63 + 5: 100, 9: 100}, id='equal-weights'),
        pytest.param({7: 100, 8: 1, 9: 1_000}, id='unequal-weights'),
    ],
)
def test_the_scores_of_all_members_are_those_of_each_member(weights):
    """Guard against processes that disagree on the home of a bucket."""
    for bucket in range(hashing.BUCKETS_PER_SERVICE):
        assert hashing.compute_scores(3, bucket, weights) == [
            (hashing.compute_score(3, bucket, number, weight), number)
            for number, weight in weights.items()
        ]
