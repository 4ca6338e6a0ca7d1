"""Tests of edits: version checks, retries, service classes and endpoints."""

import builders
import pytest

from gentianspoke.core import services
from gentianspoke.decisions.control import catalogue
from gentianspoke.decisions.control import catalogue_records


def make_put_request(name, base, entry=None, key='k'):
    entry = entry or builders.service()
    edit = catalogue_records.Edit(name, base, catalogue_records.Put(entry))
    return catalogue_records.Request(key, 'operator', (edit,))


@pytest.mark.parametrize(
    ('base', 'accepted'), [(0, False), (1, True), (2, False)]
)
def test_an_edit_is_accepted_only_on_the_current_version(base, accepted):
    state = catalogue.Catalogue()
    state.apply(make_put_request('a', 0, key='first'))
    assert (
        state.apply(make_put_request('a', base, key='second')).accepted
        is accepted
    )


def test_a_retried_request_gets_its_first_answer():
    state = catalogue.Catalogue()
    first = state.apply(make_put_request('a', 0, key='same'))
    state.apply(make_put_request('a', 1, key='other'))
    assert state.apply(make_put_request('a', 0, key='same')) == first
    assert state.version == 2


@pytest.mark.parametrize(
    ('entry', 'expected_word'),
    [
        (builders.service(services.Board()), 'class'),
        (builders.service(), ''),
    ],
)
def test_the_class_of_a_service_cannot_change(entry, expected_word):
    state = catalogue.Catalogue()
    state.apply(make_put_request('a', 0, key='first'))
    answer = state.apply(make_put_request('a', 1, entry, key='second'))
    assert answer.accepted is not bool(expected_word)
    assert all(
        expected_word in conflict.reason for conflict in answer.conflicts
    )


def test_two_services_cannot_share_an_endpoint():
    state = catalogue.Catalogue()
    state.apply(make_put_request('a', 0, key='first'))
    answer = state.apply(make_put_request('b', 0, key='second'))
    assert not answer.accepted
    assert state.version == 1
