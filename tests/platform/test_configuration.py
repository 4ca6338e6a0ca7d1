"""A configuration becomes a document or is refused with a one-line error."""

import copy
import json

from gentianspoke_platform import configuration
import pytest

from gentianspoke.core import services
from gentianspoke import errors

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
    assert (board.priority, board.limits.connections) == (2, 20)


@pytest.mark.parametrize(
    ('body', 'expected_text'),
    [
        pytest.param(b'', 'not valid', id='empty'),
        pytest.param(make_body()[:-3], 'not valid', id='truncated JSON'),
        pytest.param(b'\xff\xfe', 'not valid', id='not UTF-8'),
        pytest.param(b'{}', 'version', id='no keys'),
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
