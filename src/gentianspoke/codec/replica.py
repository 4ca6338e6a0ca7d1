"""Encoding of the state that control instances store and exchange."""

import dataclasses

from gentianspoke.codec import catalogue as catalogue_codec
from gentianspoke.codec import catalogue_entries
from gentianspoke.codec import document_cache
from gentianspoke.decisions.control import catalogue_records
from gentianspoke.decisions.control.replica import effects
from gentianspoke.decisions.control.replica import group as groups
from gentianspoke.decisions.control.replica import records
from gentianspoke import errors
from gentianspoke.generated import replica_pb2

JOURNAL_FORMAT = 1
_documents = document_cache.DocumentCache()


@dataclasses.dataclass(frozen=True, slots=True)
class JournalEntry:
    """A journal entry: a vote and records, written with a single fsync.

    ``vote`` is ``None`` if the entry saves no vote.
    """

    vote: effects.SaveVote | None
    records: tuple[records.Record, ...]


def encode_journal_head(stored: effects.Stored) -> bytes:
    """Return the head of a journal as bytes.

    The head holds the whole stored state of a replica. Entries follow it.
    """
    return replica_pb2.JournalHead(
        format=JOURNAL_FORMAT,
        number=stored.number,
        instance=stored.instance,
        vote=_encode_vote(stored.vote),
        snapshot=encode_snapshot(stored.snapshot),
        base_index=stored.base.index,
        base_term=stored.base.term,
        base_group=encode_group(stored.base.group),
        records=[encode_record(record) for record in stored.records],
    ).SerializeToString()


def decode_journal_head(head_bytes: bytes) -> effects.Stored:
    """Return the stored state of a replica from the head of its journal.

    Raises :class:`gentianspoke.errors.StorageError` if another version of
    the program wrote the bytes in another format, and
    :class:`gentianspoke.errors.ControlError` if a record or the snapshot is
    invalid.
    """
    head = replica_pb2.JournalHead.FromString(head_bytes)
    if head.format != JOURNAL_FORMAT:
        raise errors.StorageError(
            f'the journal has format {head.format}, this program reads'
            f' {JOURNAL_FORMAT}; start the version that wrote it'
        )
    base = records.Base(
        head.base_index, head.base_term, decode_group(head.base_group)
    )
    return effects.Stored(
        number=head.number,
        instance=head.instance,
        vote=_decode_vote(head.vote),
        snapshot=decode_snapshot(head.snapshot),
        base=base,
        records=tuple(decode_record(record) for record in head.records),
    )


def encode_journal_entry(entry: JournalEntry) -> bytes:
    """Return a journal entry as bytes."""
    vote = _encode_vote(entry.vote) if entry.vote else None
    return replica_pb2.JournalEntry(
        vote=vote, records=[encode_record(record) for record in entry.records]
    ).SerializeToString()


def decode_journal_entry(entry_bytes: bytes) -> JournalEntry:
    """Return the journal entry that the bytes hold.

    Raises :class:`gentianspoke.errors.ControlError` if a record is invalid.
    """
    entry = replica_pb2.JournalEntry.FromString(entry_bytes)
    vote = _decode_vote(entry.vote) if entry.HasField('vote') else None
    return JournalEntry(
        vote, tuple(decode_record(record) for record in entry.records)
    )


def encode_record(record: records.Record) -> replica_pb2.Record:
    """Return a record of the replicated log as a protobuf message.

    The message must not be changed.
    """
    match record.payload:
        case records.Command(request=request) if request.document is not None:
            return _encode_document_record(record, request)
    message = replica_pb2.Record(index=record.index, term=record.term)
    match record.payload:
        case records.NoOp():
            message.no_op = True
        case records.Command(request=request):
            message.command.CopyFrom(catalogue_codec.encode_request(request))
        case records.SetGroup(group=group):
            message.group.CopyFrom(encode_group(group))
    return message


def _encode_document_record(
    record: records.Record, request: catalogue_records.Request
) -> replica_pb2.Record:
    cached_message = _documents.find(record)
    if cached_message is not None:
        return cached_message
    message = replica_pb2.Record(
        index=record.index,
        term=record.term,
        command=catalogue_codec.encode_request(request),
    )
    _documents.store(record, message)
    return message


def decode_record(message: replica_pb2.Record) -> records.Record:
    """Return the record of the replicated log that a message holds.

    Raises :class:`gentianspoke.errors.ControlError` if the record is of an
    unknown kind or its request is invalid.
    """
    payload: records.Payload
    match message.WhichOneof('payload'):
        case 'no_op':
            payload = records.NoOp()
        case 'command':
            request = catalogue_codec.decode_request(message.command)
            payload = records.Command(request)
        case 'group':
            payload = records.SetGroup(decode_group(message.group))
        case _:
            raise errors.ControlError(
                f'record {message.index} is of an unknown kind; run the same'
                ' version on all control instances'
            )
    record = records.Record(message.index, message.term, payload)
    if message.command.HasField('document'):
        _documents.store(record, message)
    return record


def encode_group(group: groups.Group) -> replica_pb2.Group:
    """Return the members of a group as a protobuf message."""
    return replica_pb2.Group(
        members=[encode_member(member) for member in group.members]
    )


def encode_member(member: groups.Member) -> replica_pb2.GroupMember:
    """Return a member of a group as a protobuf message."""
    return replica_pb2.GroupMember(**dataclasses.asdict(member))


def decode_group(message: replica_pb2.Group) -> groups.Group:
    """Return the members of a group that a protobuf message holds."""
    return groups.Group(
        tuple(
            groups.Member(
                member.number, member.instance, member.address, member.voter
            )
            for member in message.members
        )
    )


def encode_snapshot(snapshot: records.Snapshot) -> replica_pb2.Snapshot:
    """Return a snapshot as a protobuf message."""
    return replica_pb2.Snapshot(
        index=snapshot.index,
        term=snapshot.term,
        group=encode_group(snapshot.group),
        state=_encode_state(snapshot.state),
    )


def decode_snapshot(message: replica_pb2.Snapshot) -> records.Snapshot:
    """Return the snapshot that a protobuf message holds.

    Raises :class:`gentianspoke.errors.ControlError` if an entry of the
    catalogue is invalid.
    """
    return records.Snapshot(
        index=message.index,
        term=message.term,
        group=decode_group(message.group),
        state=_decode_state(message.state),
    )


def _encode_vote(vote: effects.SaveVote) -> replica_pb2.Vote:
    return replica_pb2.Vote(term=vote.term, voted_for=vote.voted_for)


def _decode_vote(message: replica_pb2.Vote) -> effects.SaveVote:
    return effects.SaveVote(message.term, message.voted_for)


def _encode_state(
    state: catalogue_records.CatalogueState,
) -> replica_pb2.CatalogueState:
    return replica_pb2.CatalogueState(
        version=state.version,
        last_number=state.last_number,
        entries=[
            catalogue_entries.encode_entry(entry) for entry in state.entries
        ],
        history=[
            catalogue_codec.encode_history_item(item) for item in state.history
        ],
        answers=[
            replica_pb2.KeptAnswer(
                idempotency_key=kept_answer.idempotency_key,
                answer=catalogue_codec.encode_answer(kept_answer.answer),
            )
            for kept_answer in state.answers
        ],
        document=(
            catalogue_codec.encode_document(state.document)
            if state.document
            else None
        ),
        pools=[
            replica_pb2.PoolNumber(name=pool.name, number=pool.number)
            for pool in state.pools
        ],
        evacuated_zones=state.evacuated_zones,
    )


def _decode_state(
    message: replica_pb2.CatalogueState,
) -> catalogue_records.CatalogueState:
    return catalogue_records.CatalogueState(
        version=message.version,
        last_number=message.last_number,
        entries=tuple(
            catalogue_entries.decode_entry(entry) for entry in message.entries
        ),
        history=tuple(
            catalogue_codec.decode_history_item(item)
            for item in message.history
        ),
        answers=tuple(
            catalogue_records.KeptAnswer(
                kept_answer.idempotency_key,
                catalogue_codec.decode_answer(kept_answer.answer),
            )
            for kept_answer in message.answers
        ),
        document=(
            catalogue_codec.decode_document(message.document)
            if message.HasField('document')
            else None
        ),
        pools=tuple(
            catalogue_records.PoolNumber(pool.name, pool.number)
            for pool in message.pools
        ),
        evacuated_zones=tuple(message.evacuated_zones),
    )
