"""The catalogue log's specification holds, and seeded mistakes are found."""

import pytest

from specs import catalogue_cases
from specs import catalogue_log


@pytest.mark.parametrize(
    'bounds',
    catalogue_cases.SMALL_BOUNDS.values(),
    ids=catalogue_cases.SMALL_BOUNDS.keys(),
)
def test_the_properties_hold_in_every_state(bounds):
    result = catalogue_cases.prove(bounds)
    print(result.describe())
    assert result.exhaustive
    assert result.violated == ''


@pytest.mark.parametrize(
    ('mistake', 'violated'),
    [
        pytest.param(mistake, violated, id=mistake.name)
        for mistake, (_, violated) in catalogue_cases.MISTAKES.items()
    ],
)
def test_a_mistake_violates_its_property(mistake, violated):
    result = catalogue_cases.find_violation(mistake)
    print(result.describe(), *result.trace, sep='\n  ')
    assert result.violated == violated


def test_each_mistake_has_a_case():
    assert set(catalogue_cases.MISTAKES) == set(catalogue_log.Mistake)
