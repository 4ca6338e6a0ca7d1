"""The log's orders decide which availability zones are evacuated."""

import pytest

from gentianspoke.codec import catalogue as catalogue_codec
from gentianspoke.codec import replica as replica_codec
from gentianspoke.decisions.control import catalogue
from gentianspoke.decisions.control.replica import group as groups
from gentianspoke.decisions.control.replica import records
from gentianspoke.decisions.control import zone_orders
from gentianspoke import errors
from gentianspoke.generated import catalogue_pb2
from gentianspoke.generated import replica_pb2

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
        pytest.param([START_A], {'a'}, 1, id='start'),
        pytest.param([START_A, START_A], {'a'}, 1, id='started-before'),
        pytest.param([END_A], set(), 0, id='end-without-a-start'),
        pytest.param([START_A, START_B], {'a', 'b'}, 2, id='two-zones'),
        pytest.param([START_A, START_B, END_A], {'b'}, 3, id='one-ends'),
        pytest.param([START_A, END_A, START_A], {'a'}, 3, id='log-order'),
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


@pytest.mark.parametrize('order', [START_A, END_A])
def test_an_order_is_read_back_from_the_log(order):
    # Guards against an order that is lost in a record on disk.
    record = records.Record(7, 3, records.Command(make_request(order, 'key')))
    text = replica_codec.encode_record(record).SerializeToString()
    message = replica_pb2.Record.FromString(text)
    assert replica_codec.decode_record(message) == record


@pytest.mark.parametrize(
    ('orders', 'zones'), [([], ()), ([START_B, START_A], ('a', 'b'))]
)
def test_a_snapshot_contains_the_evacuated_zones(orders, zones):
    # Guards against a set that is lost when the log is compacted. Without a
    # zone, the bytes are those of earlier versions.
    state = apply_orders(*orders).export()
    snapshot = records.Snapshot(9, 2, groups.Group(), state)
    message = replica_codec.encode_snapshot(snapshot)
    restored = catalogue.Catalogue()
    restored.restore(replica_codec.decode_snapshot(message).state)
    assert restored.export() == state
    assert tuple(message.state.evacuated_zones) == zones


@pytest.mark.parametrize(
    'evacuation',
    [
        pytest.param({'start': True}, id='no-zone'),
        pytest.param({'zone': 'a'}, id='neither-start-nor-end'),
    ],
)
def test_an_incomplete_order_is_refused(evacuation):
    # Guards against a log with a record that no instance can apply.
    message = catalogue_pb2.ApplyRequest(
        idempotency_key='key',
        evacuation=catalogue_pb2.Evacuation(**evacuation),
    )
    with pytest.raises(errors.ControlError):
        catalogue_codec.decode_request(message)
