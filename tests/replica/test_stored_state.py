"""The state that a replica stores is read back unchanged."""

import faulty_folder
import pytest
import replica_network

from gentianspoke.codec import replica as codec
from gentianspoke.decisions.control import catalogue
from gentianspoke.decisions.control.replica import effects
from gentianspoke.decisions.control.replica import records
from gentianspoke.decisions.control.replica import state as states
from gentianspoke.decisions.control import zone_orders
from gentianspoke import errors
from gentianspoke.generated import replica_pb2
from gentianspoke.storage import journal
from gentianspoke.storage import replica_store

GROUP = states.groups.Group((replica_network.member(1),))
PUT_REQUEST = replica_network.request('key')
RETIRE_REQUEST = catalogue.Request(
    'other', 'operator', (catalogue.Edit('x', 1, catalogue.Retire()),)
)

START, END = zone_orders.Start('a'), zone_orders.End('a')


def evacuate(order):
    return catalogue.Request('zone', 'operator', (), evacuation=order)


def make_state():
    """Return the state after two edits and an evacuation.

    One of the edits is refused.
    """
    source = catalogue.Catalogue()
    source.apply(PUT_REQUEST)
    source.apply(replica_network.request('late', name='service-key'))
    source.apply(evacuate(START))
    return source.export()


@pytest.mark.parametrize(
    'payload',
    [
        records.NoOp(),
        records.Command(PUT_REQUEST),
        records.Command(RETIRE_REQUEST),
        records.Command(evacuate(START)),
        records.Command(evacuate(END)),
        records.SetGroup(GROUP),
        records.SetGroup(states.groups.Group()),
    ],
)
def test_a_record_is_read_back_unchanged(payload):
    record = records.Record(7, 3, payload)
    message = codec.encode_record(record).SerializeToString()
    read_message = replica_pb2.Record.FromString(message)
    assert codec.decode_record(read_message) == record


def test_a_snapshot_is_read_back_unchanged():
    snapshot = records.Snapshot(9, 2, GROUP, make_state())
    assert codec.decode_snapshot(codec.encode_snapshot(snapshot)) == snapshot
    assert len(snapshot.state.answers) == 3
    # Guards against zones that are lost when the log is compacted.
    restored = catalogue.Catalogue()
    restored.restore(snapshot.state)
    assert restored.evacuated_zones == frozenset('a')


def test_a_record_of_an_unknown_kind_is_refused():
    with pytest.raises(errors.ControlError, match='same version'):
        codec.decode_record(replica_pb2.Record(index=1))


def test_a_journal_of_another_format_is_refused():
    head = replica_pb2.JournalHead(format=99).SerializeToString()
    with pytest.raises(errors.StorageError, match='version that wrote it'):
        codec.decode_journal_head(head)


def test_a_new_record_replaces_all_stored_records_from_its_index_on():
    store = replica_store.ReplicaStore(
        journal.Journal(faulty_folder.FaultyFolder())
    )
    store.save_all(states.build_initial_stored(1, 'control-1', GROUP))
    old_records = tuple(
        records.Record(n, 1, records.NoOp()) for n in (1, 2, 3)
    )
    new_records = (records.Record(2, 2, records.Command(PUT_REQUEST)),)
    vote = effects.SaveVote(2, 3)
    store.save(codec.JournalEntry(None, old_records))
    store.save(codec.JournalEntry(vote, new_records))
    stored = store.load().stored
    assert stored.records == (old_records[0], *new_records)
    assert stored.vote == vote
