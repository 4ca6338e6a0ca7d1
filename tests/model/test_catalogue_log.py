"""The catalogue log's specification holds, and each mistake is found."""

import pytest

from specs import catalogue_cases
from specs import catalogue_log


@pytest.mark.parametrize(
    'bounds',
    catalogue_cases.SMALL.values(),
    ids=catalogue_cases.SMALL.keys(),
)
def test_what_an_operator_was_told_stays_so(bounds):
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
def test_a_rule_that_is_left_out_is_missed(mistake, violated):
    result = catalogue_cases.find(mistake)
    print(result.describe(), *result.trace, sep='\n  ')
    assert result.violated == violated


def test_each_mistake_has_its_case():
    assert set(catalogue_cases.MISTAKES) == set(catalogue_log.Mistake)
