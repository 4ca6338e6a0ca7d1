"""Conversion of catalogue entries and edits to protobuf and back."""

import typing

import google.protobuf.message

from gentianspoke.codec import packing
from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.decisions.control import catalogue_records
from gentianspoke.decisions.control import zone_orders
from gentianspoke import errors
from gentianspoke.generated import catalogue_pb2

VALID_ADDRESS_BYTES = (4, 16)


def encode_entry(service: services.Service) -> catalogue_pb2.Entry:
    """Return the catalogue entry of a service as a protobuf message."""
    traffic_class, idempotent = _encode_traffic(service.traffic)
    return catalogue_pb2.Entry(
        service=service.number,
        name=service.name,
        owner=service.owner,
        address=service.address,
        ports=service.ports,
        protocol=service.protocol,
        traffic_class=traffic_class,
        idempotent=idempotent,
        limits=_encode_limits(service.limits),
        version=service.version,
        retired=service.retired,
        shares=[
            catalogue_pb2.Share(
                pool=share.pool, weight=share.weight, name=share.name
            )
            for share in service.shares
        ],
        former=[former.pool for former in service.former],
        former_pools=[
            catalogue_pb2.FormerPool(
                pool=former.pool,
                name=former.name,
                since_version=former.since_version,
            )
            for former in service.former
        ],
        handshake=service.handshake,
        priority=service.priority,
    )


def decode_entry(entry: catalogue_pb2.Entry) -> services.Service:
    """Return the service that a catalogue entry describes.

    Raises :class:`gentianspoke.errors.ControlError` if the entry is invalid.
    """
    if len(entry.address) not in VALID_ADDRESS_BYTES or not entry.name:
        raise errors.ControlError(
            f'entry {entry.name!r}: name or address is invalid; send it with'
            ' this version of the "gentianspoke" command'
        )
    limits = entry.limits
    service = services.Service(
        number=entry.service,
        name=entry.name,
        owner=entry.owner,
        address=entry.address,
        ports=tuple(entry.ports),
        protocol=entry.protocol,
        traffic=_decode_traffic(entry),
        limits=services.Limits(
            connections=limits.connections,
            slots=limits.slots,
            queue=limits.queue,
            wait_ms=limits.wait_ms,
            idle_ms=limits.idle_ms,
            bound_permille=limits.bound_permille,
            retry_permille=limits.retry_permille,
            timeout_ms=limits.timeout_ms,
        ),
        version=entry.version,
        retired=entry.retired,
        shares=tuple(
            services.Share(share.pool, share.weight, share.name)
            for share in entry.shares
        ),
        former=_decode_former_pools(entry),
        handshake=entry.handshake,
        priority=entry.priority,
    )
    if entry.protocol == packets.UDP and services.needs_single_decider(
        service
    ):
        raise errors.ControlError(
            f'entry {entry.name}: non-idempotent work needs TCP; set'
            ' idempotent: true or protocol: tcp'
        )
    return service


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
        packed_entries=pack_entries(document.entries),
        base_version=document.base_version,
        removed=document.removed,
    )


def pack_entries(entries: typing.Iterable[services.Service]) -> bytes:
    """Return the compressed form of entries."""
    entry_list = catalogue_pb2.EntryList(
        entries=[encode_entry(entry) for entry in entries]
    )
    return packing.pack(entry_list.SerializeToString())


def unpack_entries(packed: bytes) -> list[services.Service]:
    """Return the entries of a compressed form.

    Raises :class:`gentianspoke.errors.ControlError` if they cannot be read
    or one of them is invalid.
    """
    try:
        entry_list = catalogue_pb2.EntryList.FromString(packing.unpack(packed))
    except google.protobuf.message.DecodeError as exc:
        raise errors.ControlError(
            'compressed catalogue entries cannot be read; run the same version'
            ' on all instances'
        ) from exc
    return [decode_entry(entry) for entry in entry_list.entries]


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
            tuple(unpack_entries(message.packed_entries))
            if message.packed_entries
            else tuple(decode_entry(entry) for entry in message.entries)
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
        entry=encode_entry(item.entry),
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
        entry=decode_entry(message.entry),
    )


def _decode_former_pools(
    entry: catalogue_pb2.Entry,
) -> tuple[services.FormerPool, ...]:
    if entry.former_pools:
        return tuple(
            services.FormerPool(former.pool, former.name, former.since_version)
            for former in entry.former_pools
        )
    # An earlier version wrote the entry.
    return tuple(services.FormerPool(pool, '') for pool in entry.former)


def _encode_limits(limits: services.Limits) -> catalogue_pb2.Limits:
    # ``dataclasses.asdict`` takes most of the time to encode an entry.
    return catalogue_pb2.Limits(
        connections=limits.connections,
        slots=limits.slots,
        queue=limits.queue,
        wait_ms=limits.wait_ms,
        idle_ms=limits.idle_ms,
        bound_permille=limits.bound_permille,
        retry_permille=limits.retry_permille,
        timeout_ms=limits.timeout_ms,
    )


def _encode_traffic(
    traffic: services.TrafficClass,
) -> tuple[catalogue_pb2.TrafficClass, bool]:
    match traffic:
        case services.Board():
            return catalogue_pb2.TRAFFIC_CLASS_BOARD, True
        case services.Booking(idempotent=idempotent):
            return catalogue_pb2.TRAFFIC_CLASS_BOOKING, idempotent
        case services.Upload(idempotent=idempotent):
            return catalogue_pb2.TRAFFIC_CLASS_UPLOAD, idempotent
        case services.Download():
            return catalogue_pb2.TRAFFIC_CLASS_DOWNLOAD, True


def _decode_traffic(entry: catalogue_pb2.Entry) -> services.TrafficClass:
    match entry.traffic_class:
        case catalogue_pb2.TRAFFIC_CLASS_BOARD:
            return services.Board()
        case catalogue_pb2.TRAFFIC_CLASS_BOOKING:
            return services.Booking(entry.idempotent)
        case catalogue_pb2.TRAFFIC_CLASS_UPLOAD:
            return services.Upload(entry.idempotent)
        case catalogue_pb2.TRAFFIC_CLASS_DOWNLOAD:
            return services.Download()
        case number:
            raise errors.ControlError(
                f'entry {entry.name}: this version does not know the traffic'
                f' class number {number}; use board, booking, upload or'
                ' download, or run the version that knows the class on all'
                ' instances'
            )


def _encode_edit(edit: catalogue_records.Edit) -> catalogue_pb2.Edit:
    message = catalogue_pb2.Edit(
        name=edit.name, base_version=edit.base_version
    )
    match edit.change:
        case catalogue_records.Put(entry=entry):
            message.put.CopyFrom(encode_entry(entry))
        case catalogue_records.Retire():
            message.retire = True
    return message


def _decode_edit(message: catalogue_pb2.Edit) -> catalogue_records.Edit:
    match message.WhichOneof('change'):
        case 'put':
            change: catalogue_records.Put | catalogue_records.Retire = (
                catalogue_records.Put(decode_entry(message.put))
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
    current = encode_entry(conflict.current) if conflict.current else None
    return catalogue_pb2.Conflict(
        name=conflict.name, reason=conflict.reason, current=current
    )


def _decode_conflict(
    message: catalogue_pb2.Conflict,
) -> catalogue_records.Conflict:
    current = (
        decode_entry(message.current) if message.HasField('current') else None
    )
    return catalogue_records.Conflict(message.name, message.reason, current)
