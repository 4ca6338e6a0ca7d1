"""Reports of the control group's addresses replace older knowledge only."""

import pytest

from gentianspoke.codec import known_groups as codec
from gentianspoke.core import known_groups
from gentianspoke import errors

OLD = known_groups.KnownGroup(('10.0.0.1:7720',), '10.0.0.1:7720', 1)
NEW = known_groups.KnownGroup(('10.0.0.2:7720',), '10.0.0.2:7720', 2)
WITHOUT_LEADER = known_groups.KnownGroup(('10.0.0.3:7720',), '', 2)
LEADER_KEPT = known_groups.KnownGroup(('10.0.0.3:7720',), '10.0.0.2:7720', 2)
NOTHING = known_groups.KnownGroup()


@pytest.mark.parametrize(
    ('known', 'reported', 'result'),
    [
        pytest.param(NOTHING, OLD, OLD, id='first report'),
        pytest.param(OLD, NEW, NEW, id='newer report'),
        pytest.param(NEW, OLD, NEW, id='report of a former member'),
        pytest.param(NEW, NOTHING, NEW, id='report of a new instance'),
        pytest.param(NEW, WITHOUT_LEADER, LEADER_KEPT, id='without a leader'),
    ],
)
def test_a_report_brings_no_removed_member_back(known, reported, result):
    # Guards against the addresses of a former group after a partition.
    assert known_groups.choose_newer(known, reported) == result


@pytest.mark.parametrize(
    ('addresses', 'leader'),
    [(['10.0.0.1'], ''), (['10.0.0.1:99999'], ''), ([], 'nobody')],
)
def test_an_unreadable_address_is_an_error_of_the_source(addresses, leader):
    # Guards against a ValueError, which ends the whole process of a consumer.
    with pytest.raises(errors.ControlError, match='same version'):
        codec.decode_known_group(addresses, leader, 1)
