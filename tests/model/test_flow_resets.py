"""No flow that is open at an upstream is reset after an inquiry or silence.

Each mistake that is seeded in the specifications is found.
"""

import pytest

from specs import checking
from specs import flow_inquiry
from specs import silent_upstream

MAX_STATES = 3_000_000
PROPERTY = 'no-open-flow-is-reset'


@pytest.mark.parametrize(
    'specification',
    [
        *map(flow_inquiry.FlowInquiry, flow_inquiry.SMALL_BOUNDS),
        *map(silent_upstream.SilentUpstream, silent_upstream.HOLDERS),
    ],
)
def test_no_open_flow_is_reset(specification):
    result = checking.check(specification, MAX_STATES)
    print(result.describe())
    assert result.exhaustive
    assert result.violated == ''


@pytest.mark.parametrize(
    'specification',
    [
        *(
            pytest.param(
                flow_inquiry.FlowInquiry(
                    flow_inquiry.BOUNDS_OF_MISTAKES[mistake], mistake
                ),
                id=mistake.name,
            )
            for mistake in flow_inquiry.Mistake
        ),
        pytest.param(
            silent_upstream.SilentUpstream(
                silent_upstream.OTHER, silent_upstream.Mistake.SILENCE
            ),
            id='SILENCE',
        ),
    ],
)
def test_a_mistake_violates_the_property(specification):
    result = checking.find_violation(specification, MAX_STATES)
    print(result.describe(), *result.trace, sep='\n  ')
    assert result.violated == PROPERTY
