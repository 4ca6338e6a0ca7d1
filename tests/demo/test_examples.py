"""Tests that the settings in ``examples`` are valid and as specified."""

import pathlib

import pytest

from demo import scenarios
from gentianspoke.config import settings_file
from gentianspoke.core import services

ROOT = pathlib.Path(__file__).resolve().parents[2]
FILES = sorted((ROOT / 'examples').glob('*/*.yaml'))
SETTINGS_FILES = [path for path in FILES if path.name != 'catalogue.yaml']


@pytest.mark.parametrize(
    'path', SETTINGS_FILES, ids=lambda path: str(path)[-40:]
)
def test_every_example_settings_file_is_valid(path):
    assert settings_file.load(str(path)).instance


@pytest.mark.parametrize(
    ('user', 'slots'), [('aromas-del-plata', 4), ('tirnica', 1)]
)
def test_a_scenario_has_the_specified_pools_and_limits(user, slots):
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


def test_the_error_for_an_unknown_user_lists_the_known_users():
    with pytest.raises(SystemExit, match='use aromas-del-plata or tirnica'):
        scenarios.load('nobody')
