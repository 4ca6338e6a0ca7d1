"""Tests that each port of a service address belongs to at most one entry."""

import dataclasses

import builders
import pytest

from gentianspoke.decisions.control import catalogue
from gentianspoke.decisions.control import catalogue_records

RETIRE = catalogue_records.Retire()


def make_put(port, **changes):
    """Return a change to an entry with one port."""
    entry = dataclasses.replace(builders.service(), ports=(port,), **changes)
    return catalogue_records.Put(entry)


def apply_changes(state, key, *changes):
    """Apply changes in one request and return the answer.

    ``changes`` holds pairs of an entry's name and the change to the entry.
    """
    edits = tuple(
        catalogue_records.Edit(
            name, getattr(state.entries.get(name), 'version', 0), change
        )
        for name, change in changes
    )
    return state.apply(catalogue_records.Request(key, 'operator', edits))


@pytest.mark.parametrize('is_restored', [False, True])
@pytest.mark.parametrize(
    ('changes', 'expected_word'),
    [
        pytest.param([('c', make_put(3))], '', id='free'),
        pytest.param([('c', make_put(1))], 'belongs to a', id='taken'),
        pytest.param(
            [('c', make_put(1, retired=True))],
            'belongs to a',
            id='taken-and-put-as-retired',
        ),
        pytest.param([('a', make_put(1))], '', id='own'),
        pytest.param(
            [('a', make_put(2)), ('b', make_put(1))], '', id='exchanged'
        ),
        pytest.param(
            [('a', RETIRE), ('c', make_put(1))], '', id='handed-over'
        ),
        pytest.param(
            [('b', make_put(3)), ('c', make_put(2))], '', id='moved-away'
        ),
        pytest.param(
            [('c', make_put(3)), ('d', make_put(3))],
            'belongs to c',
            id='both-new',
        ),
        pytest.param([('d', make_put(9))], '', id='freed-by-retiring'),
        pytest.param(
            [('c', make_put(3)), ('c', make_put(4))],
            'twice',
            id='edited-twice',
        ),
    ],
)
def test_an_endpoint_belongs_to_at_most_one_entry(
    changes, expected_word, is_restored
):
    # Port 1 belongs to a and port 2 to b. Retiring z frees port 9.
    state = catalogue.Catalogue()
    apply_changes(
        state,
        'begin',
        ('a', make_put(1)),
        ('b', make_put(2)),
        ('z', make_put(9)),
    )
    apply_changes(state, 'retire', ('z', RETIRE))
    if is_restored:
        exported = state.export()
        state = catalogue.Catalogue()
        state.restore(exported)
    answer = apply_changes(state, 'change', *changes)
    assert answer.accepted is not bool(expected_word)
    assert all(expected_word in item.reason for item in answer.conflicts)
