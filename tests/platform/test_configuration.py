"""A configuration becomes a document or is refused with a one-line error."""

import copy
import json

from gentianspoke_platform import configuration
import pytest

from gentianspoke.codec import catalogue as catalogue_codec
from gentianspoke.codec import catalogue_entries
from gentianspoke.core import services
from gentianspoke.decisions.control import catalogue_records
from gentianspoke import errors
from gentianspoke.generated import catalogue_pb2

VALID = {
    'version': 7,
    'routes': [
        {
            'name': 'r-1',
            'host': '198.18.0.1',
            'path_prefix': '/8443/',
            'kind': 'safe',
            'timeout_ms': 1_500,
            'latency_target_ms': 276,
            'priority': 2,
            'backends': [
                {'service': 'a', 'weight': 90},
                {'service': 'b', 'weight': 10},
            ],
            'max_attempts': 2,
        },
        {
            'name': 'r-2',
            'host': '198.18.0.1',
            'path_prefix': '/8080/',
            'kind': 'unsafe',
            'timeout_ms': 2_000,
            'service': 'a',
        },
    ],
    'services': [{'name': 'a', 'max_conns': 20}, {'name': 'b'}],
    'limits': {'idle_timeout_ms': 15_000},
}


def make_body(**changes):
    """Return ``VALID`` as JSON with some keys of its first route replaced."""
    content = copy.deepcopy(VALID)
    content['routes'][0].update(changes)
    return json.dumps(content).encode()


@pytest.mark.parametrize(
    ('kind', 'traffic', 'has_bulk_request', 'has_bulk_answer'),
    [
        pytest.param('safe', services.Board(), False, False, id='feeds'),
        pytest.param(
            'unsafe', services.Booking(False), False, False, id='bookings'
        ),
        pytest.param(
            'upload', services.Upload(False), True, False, id='uploads'
        ),
        pytest.param(
            'download', services.Download(), False, True, id='downloads'
        ),
    ],
)
def test_each_kind_of_request_has_its_traffic_class(
    kind, traffic, has_bulk_request, has_bulk_answer
):
    entry = configuration.decode(make_body(kind=kind)).entries[0]
    assert entry.traffic == traffic
    assert services.is_bulk(entry) == has_bulk_request
    assert services.has_bulk_answer(entry) == has_bulk_answer


@pytest.mark.parametrize(
    ('changes', 'expected_texts'),
    [
        pytest.param(
            {'kind': 'stream'},
            ['stream', 'kind', 'route r-1', 'first run a version'],
            id='unknown kind',
        ),
        pytest.param(
            {'service': '', 'backends': [{'service': 'a', 'weight': 2**70}]},
            ['weight', 'route r-1'],
            id='number too large',
        ),
        pytest.param({'name': 5}, ['name'], id='name that is no string'),
    ],
)
def test_the_error_names_the_route_and_the_remedy(changes, expected_texts):
    with pytest.raises(errors.ControlError) as caught:
        configuration.decode(make_body(**changes))
    for text in expected_texts:
        assert text in str(caught.value)


def test_routes_become_entries_with_shares():
    body = json.dumps(VALID).encode()
    document = configuration.decode(body)
    board, booking = document.entries
    assert (document.version, document.text) == (7, body)
    assert board.shares == (
        services.Share(0, 90, 'a'),
        services.Share(0, 10, 'b'),
    )
    assert (board.address, board.ports) == (bytes((198, 18, 0, 1)), (8_443,))
    assert board.traffic == services.Board()
    assert booking.traffic == services.Booking(idempotent=False)
    assert booking.shares == (services.Share(0, 1, 'a'),)
    assert board.handshake and not services.needs_single_decider(booking)
    # A quarter of the latency target, or of the timeout if there is no target.
    assert (board.limits.wait_ms, booking.limits.wait_ms) == (69, 500)
    assert (board.limits.timeout_ms, booking.limits.timeout_ms) == (
        1_500,
        2_000,
    )
    # The agents learn the limits from the catalogue's messages.
    message = catalogue_entries.encode_entry(board)
    assert catalogue_entries.decode_entry(message).limits == board.limits
    assert (board.priority, board.limits.connections) == (2, 20)


@pytest.mark.parametrize(
    'key', ['timeout_ms', 'latency_target_ms', 'priority']
)
@pytest.mark.parametrize('value', [2**31, 2**32, 2**63, 2**64 - 1])
def test_numbers_beyond_the_catalogues_range_are_accepted_and_limited(
    key, value
):
    document = configuration.decode(make_body(**{key: value}))
    request = catalogue_records.Request('key', '', (), document)
    encoded = catalogue_codec.encode_request(request).SerializeToString()
    message = catalogue_pb2.ApplyRequest.FromString(encoded)
    assert catalogue_codec.decode_request(message) == request


@pytest.mark.parametrize(
    ('body', 'expected_text'),
    [
        pytest.param(b'', 'not valid', id='empty'),
        pytest.param(make_body()[:-3], 'not valid', id='truncated JSON'),
        pytest.param(b'\xff\xfe', 'not valid', id='not UTF-8'),
        pytest.param(b'{}', 'version', id='no keys'),
        pytest.param(
            b'{"routes":' + b'[' * 100_000, 'not valid', id='deeply nested'
        ),
        pytest.param(make_body(timeout_ms=0), 'timeout_ms', id='timeout of 0'),
        pytest.param(
            make_body(timeout_ms='5'), 'timeout_ms', id='timeout as a string'
        ),
        pytest.param(make_body(kind='odd'), 'kind', id='unknown kind'),
        pytest.param(make_body(host='here'), 'here', id='host name'),
        pytest.param(
            make_body(path_prefix='/x/'), '/x/', id='path without a port'
        ),
        pytest.param(make_body(path_prefix='/0/'), '/0/', id='port 0'),
        pytest.param(
            make_body(path_prefix='/70000/'), '70000', id='port above 65535'
        ),
        pytest.param(
            make_body(path_prefix='/8080/'),
            'r-2',
            id='same address and port twice',
        ),
        pytest.param(make_body(name='r-2'), 'r-2', id='same name twice'),
        pytest.param(make_body(service='c'), 'c', id='unknown pool'),
        pytest.param(make_body(backends=[]), 'no pool', id='no pool'),
        pytest.param(
            make_body(backends=[{'service': 'a', 'weight': 0}]),
            'weights',
            id='weights of 0',
        ),
        pytest.param(
            make_body(backends=[{'service': 'c', 'weight': 1}]),
            'c',
            id='unknown pool by weight',
        ),
    ],
)
def test_an_invalid_configuration_is_refused_with_a_one_line_error(
    body, expected_text
):
    with pytest.raises(errors.ControlError) as caught:
        configuration.decode(body)
    assert expected_text in str(caught.value)
    assert '\n' not in str(caught.value)
