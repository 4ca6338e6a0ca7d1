"""Elections without the wait after a start respect leader leases.

Each mistake that is seeded in the specification is found.
"""

import pytest

from specs import checking
from specs import fresh_start

MAX_STATES = 500_000
SMALL_BOUNDS = fresh_start.Bounds(terms=2, stops=1)
LARGE_BOUNDS = fresh_start.Bounds(terms=2, stops=2)


def test_no_newer_leader_is_elected_during_a_leader_lease():
    specification = fresh_start.FreshStart(SMALL_BOUNDS)
    result = checking.check(specification, MAX_STATES)
    print(result.describe())
    assert result.exhaustive
    assert result.violated == ''


@pytest.mark.parametrize('mistake', fresh_start.Mistake)
def test_a_mistake_violates_the_property(mistake):
    specification = fresh_start.FreshStart(LARGE_BOUNDS, mistake)
    result = checking.find_violation(specification, MAX_STATES)
    print(result.describe(), *result.trace, sep='\n  ')
    assert result.violated == 'no-newer-leader-during-a-lease'
