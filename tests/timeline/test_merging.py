"""Test that merging preserves causal order despite wrong wall clocks."""

import event_builders
import pytest

from gentianspoke.decisions.timeline import merging


@pytest.mark.parametrize(
    ('streams', 'expected'),
    [
        pytest.param(
            [[('a', 1, 900), ('a', 4, 901)], [('b', 2, 100), ('b', 3, 101)]],
            ['a1', 'b2', 'b3', 'a4'],
            id='slow-wall-clock-changes-nothing',
        ),
        pytest.param(
            [[('a', 5, 20)], [('b', 5, 10)]],
            ['b5', 'a5'],
            id='wall-clocks-break-ties',
        ),
        pytest.param(
            [[('a', 7, 1), ('a', 1, 2), ('a', 9, 3)], [('b', 8, 1)]],
            ['a7', 'a1', 'b8', 'a9'],
            id='logical-clock-reset-preserves-process-order',
        ),
        pytest.param(
            [[('a', 5, 30), ('a', 5, 10)], [('b', 5, 20)]],
            ['b5', 'a5', 'a5'],
            id='wall-clock-set-back-preserves-process-order',
        ),
        pytest.param([], [], id='no-streams'),
    ],
)
def test_events_are_merged_in_causal_order(streams, expected):
    # An event is given by its instance, logical clock and wall clock in ms.
    event_streams = [
        [
            event_builders.event(
                instance=instance, logical=logical, wall_ms=wall_ms
            )
            for instance, logical, wall_ms in stream
        ]
        for stream in streams
    ]
    merged = merging.merge(event_streams)
    assert [f'{e.instance}{e.logical}' for e in merged] == expected


def test_merging_reads_one_event_of_each_stream_ahead():
    names_read = []

    def generate_events(name):
        for logical in range(1, 1_000):
            names_read.append(name)
            yield event_builders.event(instance=name, logical=logical)

    merged = iter(merging.merge([generate_events('a'), generate_events('b')]))
    for _ in range(10):
        next(merged)
    assert len(names_read) <= 12
