"""Tests of catalogue documents: precedence, changed entries and errors."""

import dataclasses
import itertools
import random

import builders
import pytest

from gentianspoke.codec import catalogue as codec
from gentianspoke.codec import packing
from gentianspoke.codec import replica as replica_codec
from gentianspoke.core import services
from gentianspoke.decisions.control import catalogue
from gentianspoke.decisions.control import catalogue_records
from gentianspoke.decisions.control import documents
from gentianspoke.decisions.control.replica import records
from gentianspoke.shells.control import documents as control_documents


def make_entry(name='a', pool='p', port=443, **fields):
    shares = (services.Share(0, 1, pool),)
    base = builders.service(services.Board())
    return dataclasses.replace(
        base,
        name=name,
        number=0,
        version=0,
        ports=(port,),
        shares=shares,
        handshake=True,
        **fields,
    )


def make_request(version, *entries, text=b''):
    """Return a request that stores a document with the given entries.

    The text of the document is its version unless ``text`` is given.
    """
    new_document = catalogue_records.Document(
        version, text or b'%d' % version, entries
    )
    return catalogue_records.Request(
        f'document/{version}', '', (), new_document
    )


def apply_requests(*requests):
    """Return a new catalogue that has accepted all requests."""
    state = catalogue.Catalogue()
    answers = [state.apply(request) for request in requests]
    assert all(answer.accepted for answer in answers)
    return state


DOCUMENT_REQUESTS = (
    make_request(3, make_entry()),
    make_request(7, make_entry('b')),
    make_request(5),
)


@pytest.mark.parametrize(
    'order', list(itertools.permutations(DOCUMENT_REQUESTS))
)
def test_the_highest_version_wins_in_any_order(order):
    state = apply_requests(*order, *order)
    assert state.document == catalogue_records.Document(7, b'7')
    live_names = [
        item.name for item in state.list_entries() if not item.retired
    ]
    assert live_names == ['b']


def test_a_document_with_the_current_version_changes_nothing():
    state = apply_requests(
        make_request(3, make_entry()), make_request(3, text=b'other')
    )
    assert state.document.text == b'3'


def test_an_entry_keeps_its_number_and_version_until_it_changes():
    state = apply_requests(
        make_request(1, make_entry('a'), make_entry('b', port=8))
    )
    before = dict(state.entries)
    state.apply(make_request(2, make_entry('a'), make_entry('b', port=9)))
    assert state.entries['a'] == before['a']
    assert state.entries['b'].number == before['b'].number
    assert state.entries['b'].version == state.version == 2


def test_an_omitted_entry_is_retired_and_can_be_added_again():
    state = apply_requests(make_request(1, make_entry()), make_request(2))
    assert state.entries['a'].retired and state.entries['a'].version == 2
    state.apply(make_request(3, make_entry()))
    assert not state.entries['a'].retired


def test_each_pool_gets_a_permanent_number_of_its_own():
    state = apply_requests(
        make_request(1, make_entry(pool='p')), make_request(2)
    )
    number = state.get_pool_number('p')
    state.apply(make_request(3, make_entry(pool='p'), make_entry('b', 'q', 8)))
    assert state.get_pool_number('p') == number != state.get_pool_number('q')
    assert state.entries['a'].shares[0].pool == number
    assert state.get_pool_number('none') is None


def test_a_former_pool_of_a_service_stays_listed():
    state = apply_requests(
        make_request(1, make_entry(pool='p')),
        make_request(2, make_entry(pool='q')),
    )
    changed = state.entries['a']
    number = state.get_pool_number('p')
    assert changed.former == (services.FormerPool(number, 'p', 2),)
    assert services.get_all_pools(changed) == (
        state.get_pool_number('q'),
        state.get_pool_number('p'),
    )


def test_an_entry_keeps_all_former_pools_until_they_expire():
    # Guards against a limit on their number, beyond which the open flows of
    # the oldest pool were lost.
    names = [f'pool-{number}' for number in range(20)]
    state = apply_requests(
        *(
            make_request(version, make_entry(pool=name))
            for version, name in enumerate(names, 1)
        )
    )
    former = state.entries['a'].former
    assert [pool.name for pool in former] == names[-2::-1]
    assert [pool.since_version for pool in former] == list(range(20, 1, -1))


def apply_expiry(state, version):
    return state.apply(
        catalogue_records.Request('key', '', (), expire_former_pools=version)
    )


@pytest.mark.parametrize(
    ('expired_version', 'remaining', 'catalogue_version'),
    [
        pytest.param(1, ['q', 'p'], 4, id='before-the-first-change'),
        pytest.param(2, ['q'], 5, id='at-the-first-change'),
        pytest.param(3, ['q'], 5, id='before-the-second-change'),
        pytest.param(4, [], 5, id='at-the-second-change'),
    ],
)
def test_an_expiry_removes_only_pools_without_new_flows_since_the_version(
    expired_version, remaining, catalogue_version
):
    # Guards against the loss of flows that were opened after the version.
    state = apply_requests(
        make_request(1, make_entry(pool='p')),
        make_request(2, make_entry(pool='q')),
        make_request(3, make_entry(pool='q'), make_entry('b', 'p', port=8)),
        make_request(4, make_entry(pool='r'), make_entry('b', 'p', port=8)),
    )
    other_entry = state.entries['b']
    for _ in range(2):
        assert apply_expiry(state, expired_version).accepted
        names = [former.name for former in state.entries['a'].former]
        assert (names, state.version) == (remaining, catalogue_version)
    assert state.entries['b'] == other_entry
    # Consumers get an entry only if its version has increased.
    assert state.entries['a'].version == catalogue_version


def test_a_pool_that_got_new_flows_again_expires_by_its_last_change():
    state = apply_requests(
        make_request(1, make_entry(pool='p')),
        make_request(2, make_entry(pool='q')),
        make_request(3, make_entry(pool='p')),
        make_request(4, make_entry(pool='q')),
    )
    apply_expiry(state, 3)
    assert [former.name for former in state.entries['a'].former] == ['p']


def test_an_expiry_is_unchanged_by_encoding():
    request = catalogue_records.Request('key', '', (), expire_former_pools=7)
    assert codec.decode_request(codec.encode_request(request)) == request


def test_a_document_is_unchanged_by_encoding_in_a_snapshot_and_a_request():
    request = make_request(1, make_entry())
    state = apply_requests(request, make_request(2, make_entry(pool='q')))
    copy = catalogue.Catalogue()
    snapshot = records.Snapshot(1, 1, records.Base().group, state.export())
    encoded = replica_codec.encode_snapshot(snapshot)
    copy.restore(replica_codec.decode_snapshot(encoded).state)
    assert copy.export() == state.export()
    assert codec.decode_request(codec.encode_request(request)) == request


@pytest.mark.parametrize(
    ('entries', 'expected_word'),
    [
        ([make_entry()], ''),
        ([make_entry(), make_entry()], 'twice'),
        ([make_entry(), make_entry('b')], 'port 443'),
        ([make_entry(), make_entry('b', port=8)], ''),
        ([make_entry(pool='none')], 'none'),
        ([dataclasses.replace(make_entry(), shares=())], 'no pool'),
        (
            [
                dataclasses.replace(
                    make_entry(), shares=(services.Share(0, 0, 'p'),)
                )
            ],
            'weights',
        ),
    ],
)
def test_only_an_invalid_document_gets_an_error_that_names_the_fault(
    entries, expected_word
):
    error = documents.find_error(entries, {'p'})
    assert bool(error) is bool(expected_word)
    assert expected_word in error


def draw_document(rng, version):
    """Return a whole document with some of eight entries."""
    entries = [
        make_entry(
            name, rng.choice('pq'), 440 + number, priority=rng.randrange(2)
        )
        for number, name in enumerate('abcdefgh')
        if rng.random() < 0.7
    ]
    return make_request(version, *entries).document


def draw_document_with_exchanged_ports(rng, version):
    """Return a whole document whose entries have the ports of others."""
    entries = draw_document(rng, version).entries
    ports = rng.sample(range(440, 448), len(entries))
    exchanged_entries = [
        dataclasses.replace(entry, ports=(port,))
        for entry, port in zip(entries, ports, strict=True)
    ]
    return make_request(version, *exchanged_entries).document


def restart(state):
    """Return the catalogue of an instance that reads a snapshot of it."""
    restored = catalogue.Catalogue()
    restored.restore(state.export())
    return restored


def apply_document(state, document):
    return state.apply(catalogue_records.Request('key', '', (), document))


@pytest.mark.parametrize(
    'draw', [draw_document, draw_document_with_exchanged_ports]
)
@pytest.mark.parametrize('restart_interval', [0, 5])
@pytest.mark.parametrize('seed', range(8))
def test_a_document_stored_as_changes_has_the_effect_of_the_whole_one(
    seed, restart_interval, draw
):
    # Also guards against former pools that depend on the order in which a
    # replica has the entries, which a restart changes.
    rng = random.Random(seed)
    whole, changed = catalogue.Catalogue(), catalogue.Catalogue()
    for version in range(1, 30):
        document = draw(rng, version)
        change = control_documents.build_change(document, changed)
        encoded = codec.encode_document(change)
        assert codec.decode_document(encoded) == change
        apply_document(whole, document)
        assert apply_document(changed, change).accepted
        assert changed.entries == whole.entries
        assert changed.pools == whole.pools
        assert packing.unpack(changed.document.text) == document.text
        if restart_interval and version % restart_interval == 0:
            changed = restart(changed)
            for state in (whole, changed):
                assert apply_expiry(state, version // 2).accepted
            assert changed.entries == whole.entries


def test_a_document_that_changes_one_entry_stores_only_this_entry():
    state = apply_requests(
        make_request(1, make_entry('a'), make_entry('b', port=8))
    )
    document = make_request(2, make_entry('a', 'q'), make_entry('b', port=8))
    change = control_documents.build_change(document.document, state)
    assert [entry.name for entry in change.entries] == ['a']
    assert (change.base_version, change.removed) == (1, ())


@pytest.mark.parametrize(
    ('base_version', 'version', 'accepted', 'is_applied'),
    [
        pytest.param(2, 9, True, True, id='changes-to-this-catalogue'),
        pytest.param(1, 9, False, False, id='changes-to-an-earlier-one'),
        pytest.param(3, 9, False, False, id='changes-to-another-one'),
        pytest.param(1, 7, True, False, id='older-document'),
        pytest.param(0, 9, True, True, id='whole-document'),
    ],
)
def test_changes_to_another_catalogue_are_not_accepted(
    base_version, version, accepted, is_applied
):
    state = apply_requests(
        make_request(3, make_entry()), make_request(7, make_entry('b', port=8))
    )
    before = state.export()
    document = catalogue_records.Document(
        version, b'text', (make_entry('c', port=9),), base_version
    )
    assert apply_document(state, document).accepted is accepted
    assert (state.export() != before) is is_applied


def test_an_edit_after_documents_finds_the_owner_of_a_port():
    state = apply_requests(make_request(3, make_entry()))
    entry = dataclasses.replace(make_entry('other'), shares=())
    edit = catalogue_records.Edit('other', 0, catalogue_records.Put(entry))
    answer = state.apply(
        catalogue_records.Request('edit', 'operator', (edit,))
    )
    assert not answer.accepted
    assert 'belongs to a' in answer.conflicts[0].reason
