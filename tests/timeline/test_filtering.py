"""A filter of the time line matches events that meet its conditions."""

import event_builders
import pytest

from gentianspoke.decisions.timeline import filtering


@pytest.mark.parametrize(
    ('conditions', 'expected'),
    [
        ({}, True),
        ({'flow': '10.9.0.1:5000'}, True),
        ({'flow': '10.9.0.2'}, False),
        ({'service': 'booking'}, True),
        ({'service': 'book'}, False),
        ({'instance': 'agent-1'}, True),
        ({'instance': 'agent-2'}, False),
        ({'kind': 'flow-verdict'}, True),
        ({'kind': 'flow-reset'}, False),
        ({'since_ms': 1_000, 'until_ms': 1_001}, True),
        ({'since_ms': 1_001}, False),
        ({'until_ms': 1_000}, False),
        ({'service': 'booking', 'instance': 'agent-2'}, False),
    ],
)
def test_filter_matches_events_that_meet_all_conditions(conditions, expected):
    event = event_builders.event(
        service='booking', flow=event_builders.FLOW, kind='flow-verdict'
    )
    assert filtering.matches(filtering.Filter(**conditions), event) is expected
