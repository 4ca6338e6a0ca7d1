"""Test that no content of a log file raises an undocumented error."""

import json

import hypothesis
from hypothesis import strategies as st
import pytest

from gentianspoke.commands import printing
from gentianspoke.commands import timeline
from gentianspoke.telemetry import event_lines

TEXTS = st.text(max_size=20)
VALUES = st.one_of(
    TEXTS,
    st.integers(),
    st.floats(),
    st.booleans(),
    st.none(),
    st.lists(TEXTS),
)
LINES = st.fixed_dictionaries(
    {
        'event': st.sampled_from([*event_lines.MODELS_BY_KIND, 'other'])
        | VALUES,
        'instance': TEXTS | VALUES,
        'role': TEXTS,
        'logical': st.integers(min_value=0) | VALUES,
        'wall_ms': st.integers() | VALUES,
    },
    optional={
        'flow': TEXTS | VALUES,
        'fields': st.dictionaries(
            st.sampled_from(['outcome', 'fault', 'reason', 'version']), VALUES
        ),
    },
)


@hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
@hypothesis.given(st.text() | st.builds(json.dumps, LINES))
def test_a_line_is_decoded_or_raises_value_error(line):
    try:
        event = event_lines.decode(line)
    except ValueError:
        return
    if event is not None:
        assert timeline.format_table_line(event).isprintable()


@pytest.mark.parametrize(
    ('text', 'escaped'),
    [
        ('no answer', 'no answer'),
        ('two\nlines', 'two\\nlines'),
        ('\x1b[2J', '\\x1b[2J'),
        ('\ud800', '\\ud800'),
        ('Montevideo é', 'Montevideo é'),
    ],
)
def test_characters_that_are_not_printable_are_escaped(text, escaped):
    assert printing.escape_unprintable(text) == escaped
