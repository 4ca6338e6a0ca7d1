"""The settings in ``examples`` are valid and of the users' sizes."""

import pathlib

import pytest

from demo import scenarios as sizes
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
    size = sizes.load(user)
    assert [pool.endpoints for pool in size.pools] == [7, 3]
    for pool in size.pools:
        assert pool.example.slots == slots
        assert pool.example.connections == 2_000
    for service in size.services:
        assert service.limits.slots == slots
        assert service.limits.connections == 2_000
    assert not services.needs_single_decider(size.board)
    assert services.needs_single_decider(size.booking)


def test_another_user_is_refused_with_the_known_ones():
    with pytest.raises(SystemExit, match='use aromas-del-plata or tirnica'):
        sizes.load('nobody')
