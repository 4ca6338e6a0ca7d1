"""Conversion of catalogue requests, answers and history to protobuf and back.

``catalogue_entries`` converts the entries in them.
"""

from gentianspoke.codec import catalogue_entries
from gentianspoke.codec import packing
from gentianspoke.decisions.control import catalogue_records
from gentianspoke.decisions.control import zone_orders
from gentianspoke import errors
from gentianspoke.generated import catalogue_pb2


def encode_request(
    request: catalogue_records.Request,
) -> catalogue_pb2.ApplyRequest:
    """Return a request to change the catalogue as a protobuf message."""
    document = request.document
    return catalogue_pb2.ApplyRequest(
        idempotency_key=request.idempotency_key,
        operator=request.operator,
        edits=[_encode_edit(edit) for edit in request.edits],
        document=encode_document(document) if document else None,
        evacuation=_encode_evacuation(request.evacuation),
        expire_former_pools=request.expire_former_pools,
    )


def encode_document(
    document: catalogue_records.Document,
) -> catalogue_pb2.Document:
    """Return a whole catalogue as a protobuf message."""
    return catalogue_pb2.Document(
        version=document.version,
        packed_text=document.text,
        packed_entries=catalogue_entries.pack_entries(document.entries),
        base_version=document.base_version,
        removed=document.removed,
    )


def decode_document(
    message: catalogue_pb2.Document,
) -> catalogue_records.Document:
    """Return the whole catalogue that a protobuf message holds.

    Raises :class:`gentianspoke.errors.ControlError` if an entry is invalid.
    """
    return catalogue_records.Document(
        version=message.version,
        text=message.packed_text or packing.pack(message.text),
        entries=(
            tuple(catalogue_entries.unpack_entries(message.packed_entries))
            if message.packed_entries
            else tuple(
                catalogue_entries.decode_entry(entry)
                for entry in message.entries
            )
        ),
        base_version=message.base_version,
        removed=tuple(message.removed),
    )


def decode_request(
    message: catalogue_pb2.ApplyRequest,
) -> catalogue_records.Request:
    """Return the request to change the catalogue that a message holds.

    Raises :class:`gentianspoke.errors.ControlError` if the request is
    invalid.
    """
    has_document = message.HasField('document')
    has_evacuation = message.HasField('evacuation')
    has_change = bool(
        message.edits
        or has_document
        or has_evacuation
        or message.expire_former_pools
    )
    if not message.idempotency_key or not has_change:
        raise errors.ControlError(
            'the request has no idempotency key, or neither an edit nor a'
            ' document nor an evacuation; send what is missing'
        )
    return catalogue_records.Request(
        idempotency_key=message.idempotency_key,
        operator=message.operator,
        edits=tuple(_decode_edit(edit) for edit in message.edits),
        document=decode_document(message.document) if has_document else None,
        evacuation=(
            _decode_evacuation(message.evacuation) if has_evacuation else None
        ),
        expire_former_pools=message.expire_former_pools,
    )


def encode_answer(
    answer: catalogue_records.Answer,
) -> catalogue_pb2.ApplyReply:
    """Return the answer to a request as a protobuf message."""
    return catalogue_pb2.ApplyReply(
        accepted=answer.accepted,
        version=answer.version,
        conflicts=[
            _encode_conflict(conflict) for conflict in answer.conflicts
        ],
    )


def decode_answer(
    message: catalogue_pb2.ApplyReply,
) -> catalogue_records.Answer:
    """Return the answer to a request that a protobuf message holds.

    Raises :class:`gentianspoke.errors.ControlError` if the current entry of a
    conflict is invalid.
    """
    return catalogue_records.Answer(
        accepted=message.accepted,
        version=message.version,
        conflicts=tuple(
            _decode_conflict(conflict) for conflict in message.conflicts
        ),
    )


def encode_history_item(
    item: catalogue_records.HistoryItem,
) -> catalogue_pb2.HistoryItem:
    """Return an accepted version of an entry as a protobuf message."""
    return catalogue_pb2.HistoryItem(
        version=item.version,
        operator=item.operator,
        idempotency_key=item.idempotency_key,
        entry=catalogue_entries.encode_entry(item.entry),
    )


def decode_history_item(
    message: catalogue_pb2.HistoryItem,
) -> catalogue_records.HistoryItem:
    """Return the accepted version of an entry that a message holds.

    Raises :class:`gentianspoke.errors.ControlError` if the entry is invalid.
    """
    return catalogue_records.HistoryItem(
        version=message.version,
        operator=message.operator,
        idempotency_key=message.idempotency_key,
        entry=catalogue_entries.decode_entry(message.entry),
    )


def _encode_edit(edit: catalogue_records.Edit) -> catalogue_pb2.Edit:
    message = catalogue_pb2.Edit(
        name=edit.name, base_version=edit.base_version
    )
    match edit.change:
        case catalogue_records.Put(entry=entry):
            message.put.CopyFrom(catalogue_entries.encode_entry(entry))
        case catalogue_records.Retire():
            message.retire = True
    return message


def _decode_edit(message: catalogue_pb2.Edit) -> catalogue_records.Edit:
    match message.WhichOneof('change'):
        case 'put':
            change: catalogue_records.Put | catalogue_records.Retire = (
                catalogue_records.Put(
                    catalogue_entries.decode_entry(message.put)
                )
            )
        case 'retire':
            change = catalogue_records.Retire()
        case _:
            raise errors.ControlError(
                f'edit of {message.name!r}: no change given; send an entry'
                ' or retire it'
            )
    return catalogue_records.Edit(message.name, message.base_version, change)


def _encode_evacuation(
    order: zone_orders.Order | None,
) -> catalogue_pb2.Evacuation | None:
    match order:
        case zone_orders.Start(zone=zone):
            return catalogue_pb2.Evacuation(zone=zone, start=True)
        case zone_orders.End(zone=zone):
            return catalogue_pb2.Evacuation(zone=zone, end=True)
        case None:
            return None


def _decode_evacuation(
    message: catalogue_pb2.Evacuation,
) -> zone_orders.Order:
    match message.zone, message.WhichOneof('change'):
        case '', _:
            raise errors.ControlError(
                'the evacuation names no availability zone; send its name'
            )
        case zone, 'start':
            return zone_orders.Start(zone)
        case zone, 'end':
            return zone_orders.End(zone)
        case zone, _:
            raise errors.ControlError(
                f'evacuation of {zone!r}: neither start nor end given; send'
                ' one of them'
            )


def _encode_conflict(
    conflict: catalogue_records.Conflict,
) -> catalogue_pb2.Conflict:
    current = (
        catalogue_entries.encode_entry(conflict.current)
        if conflict.current
        else None
    )
    return catalogue_pb2.Conflict(
        name=conflict.name, reason=conflict.reason, current=current
    )


def _decode_conflict(
    message: catalogue_pb2.Conflict,
) -> catalogue_records.Conflict:
    current = (
        catalogue_entries.decode_entry(message.current)
        if message.HasField('current')
        else None
    )
    return catalogue_records.Conflict(message.name, message.reason, current)
