"""The log specification holds, and each seeded mistake is found."""

import pytest

from specs import log
from specs import tables

SMALL_SEEDS = [seed for seed in tables.LOG_SEEDS if seed.is_small]


@pytest.mark.parametrize('bounds', tables.SMALL_LOGS, ids=str)
def test_the_log_holds_in_every_state(bounds):
    result = tables.prove_log(bounds)
    assert (result.exhaustive, result.violated) == (True, '')
    assert result.state_count > 5_000


@pytest.mark.parametrize('seed', SMALL_SEEDS, ids=lambda s: s.mistake.name)
def test_a_seeded_mistake_is_found_with_its_trace(seed):
    result = tables.find_in_log(seed)
    assert result.violated
    assert result.trace


def test_every_mistake_has_a_seed():
    assert {seed.mistake for seed in tables.LOG_SEEDS} == set(log.Mistake)
