"""The log's orders decide which availability zones are evacuated."""

import pytest

from gentianspoke.codec import catalogue as catalogue_codec
from gentianspoke.decisions.control import catalogue
from gentianspoke.decisions.control import zone_orders
from gentianspoke import errors
from gentianspoke.generated import catalogue_pb2

START_A, END_A = zone_orders.Start('a'), zone_orders.End('a')
START_B = zone_orders.Start('b')


def make_request(order, key):
    return catalogue.Request(key, 'operator', (), evacuation=order)


def apply_orders(*orders):
    state = catalogue.Catalogue()
    for position, order in enumerate(orders):
        assert state.apply(make_request(order, f'key-{position}')).accepted
    return state


@pytest.mark.parametrize(
    ('orders', 'zones', 'version'),
    [
        ([START_A], {'a'}, 1),
        ([START_A, START_A], {'a'}, 1),
        ([END_A], set(), 0),
        ([START_A, START_B], {'a', 'b'}, 2),
        ([START_A, START_B, END_A], {'b'}, 3),
        ([START_A, END_A, START_A], {'a'}, 3),
    ],
)
def test_only_an_order_that_changes_something_raises_the_version(
    orders, zones, version
):
    # Guards against a refused repetition, and against a new version for it,
    # which all consumers would have to take.
    state = apply_orders(*orders)
    assert (state.evacuated_zones, state.version) == (zones, version)


def test_a_retried_order_does_not_undo_the_order_after_it():
    # Guards against a copy of a start that arrives after the end.
    state = catalogue.Catalogue()
    first = state.apply(make_request(START_A, 'first'))
    state.apply(make_request(END_A, 'second'))
    assert state.apply(make_request(START_A, 'first')) == first
    assert state.evacuated_zones == frozenset()


@pytest.mark.parametrize('evacuation', [{'start': True}, {'zone': 'a'}])
def test_an_incomplete_order_is_refused(evacuation):
    # Guards against a log with a record that no instance can apply.
    message = catalogue_pb2.ApplyRequest(
        idempotency_key='key',
        evacuation=catalogue_pb2.Evacuation(**evacuation),
    )
    with pytest.raises(errors.ControlError):
        catalogue_codec.decode_request(message)
