"""The settings in ``examples`` are valid and of the users' sizes."""

import pathlib

import pytest

from demo import scenarios
from gentianspoke.config import settings_file
from gentianspoke.core import services

ROOT = pathlib.Path(__file__).resolve().parents[2]
FILES = sorted((ROOT / 'examples').glob('*/*.yaml'))
PROCESSES = [path for path in FILES if path.name != 'catalogue.yaml']


@pytest.mark.parametrize('path', PROCESSES, ids=lambda path: str(path)[-40:])
def test_every_example_is_valid(path):
    assert settings_file.load(str(path)).instance


@pytest.mark.parametrize(
    ('user', 'slots'), [('aromas-del-plata', 4), ('tirnica', 1)]
)
def test_a_size_is_that_of_the_brief(user, slots):
    scenario = scenarios.load(user)
    assert [pool.upstream_count for pool in scenario.pools] == [7, 3]
    for pool in scenario.pools:
        assert pool.agent_settings.slots == slots
        assert pool.agent_settings.connections == 2_000
    for service in scenario.services:
        assert service.limits.slots == slots
        assert service.limits.connections == 2_000
    assert not services.needs_single_decider(scenario.board)
    assert services.needs_single_decider(scenario.booking)


def test_another_user_is_refused_with_the_known_ones():
    with pytest.raises(SystemExit, match='use aromas-del-plata or tirnica'):
        scenarios.load('nobody')
