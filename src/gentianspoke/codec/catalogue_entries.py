"""Conversion of catalogue entries to protobuf and back."""

import typing

import google.protobuf.message

from gentianspoke.codec import packing
from gentianspoke.core import packets
from gentianspoke.core import services
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
