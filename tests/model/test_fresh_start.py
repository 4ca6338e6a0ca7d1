"""Elections without a wait respect leader leases; mistakes violate them."""

import pytest

from specs import checking
from specs import fresh_start

MAX_STATES = 500_000
SMALL = fresh_start.Bounds(terms=2, stops=1)
LARGE = fresh_start.Bounds(terms=2, stops=2)


def test_a_leader_lease_excludes_other_leaders():
    specification = fresh_start.FreshStart(SMALL)
    result = checking.check(specification, MAX_STATES)
    print(result.describe())
    assert result.exhaustive
    assert result.violated == ''


@pytest.mark.parametrize('mistake', fresh_start.Mistake)
def test_a_mistake_violates_the_property(mistake):
    specification = fresh_start.FreshStart(LARGE, mistake)
    result = checking.find_violation(specification, MAX_STATES)
    print(result.describe(), *result.trace, sep='\n  ')
    assert result.violated == 'no-newer-leader-during-a-lease'
