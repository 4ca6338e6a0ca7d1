"""Conversion of operators' catalogue files to data classes and back."""

import dataclasses
import ipaddress
import typing

import yaml

from gentianspoke.config import units
from gentianspoke.config import yaml_files
from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.core import shares
from gentianspoke import errors
from gentianspoke.generated import catalogue_file_model

PROTOCOLS = {'tcp': packets.TCP, 'udp': packets.UDP}
PROTOCOL_NAMES = {number: name for name, number in PROTOCOLS.items()}


@dataclasses.dataclass(frozen=True, slots=True)
class FileEntry:
    """An entry of a catalogue file and the version that it changes.

    ``base_version`` is ``None`` where the entry changes the current version.
    """

    service: services.Service
    base_version: int | None


def load(path: str) -> list[FileEntry]:
    """Return the entries of the catalogue file at ``path``.

    Raises :class:`gentianspoke.errors.CatalogueFileError` if the file cannot
    be read or an entry is invalid.
    """
    model = yaml_files.load(
        path, catalogue_file_model.CatalogueFile, errors.CatalogueFileError
    )
    entries: list[FileEntry] = []
    seen_names: set[str] = set()
    for position, entry in enumerate(model.services):
        key = f'services.{position}'
        if entry.name in seen_names:
            raise errors.CatalogueFileError(
                path, f'{key}.name', f'{entry.name} is given twice'
            )
        seen_names.add(entry.name)
        entries.append(_convert_entry(path, key, entry))
    return entries


def _convert_entry(
    path: str, key: str, entry: catalogue_file_model.ServiceEntry
) -> FileEntry:
    try:
        address = ipaddress.ip_address(entry.address).packed
    except ValueError as exc:
        raise errors.CatalogueFileError(
            path,
            f'{key}.address',
            f'{entry.address!r} is not an IP address;'
            f' write one such as 192.0.2.1',
        ) from exc
    protocol = PROTOCOLS[str(entry.protocol)]
    traffic = _convert_traffic(entry)
    service = services.Service(
        number=0,
        name=entry.name,
        owner=entry.owner,
        address=address,
        ports=tuple(sorted({int(port.root) for port in entry.ports})),
        protocol=protocol,
        traffic=traffic,
        limits=_convert_limits(entry.limits),
        version=0,
    )
    if protocol == packets.UDP and services.needs_single_decider(service):
        raise errors.CatalogueFileError(
            path,
            f'{key}.idempotent',
            'a repeated datagram cannot be told from a new one; set'
            ' idempotent: true or use protocol: tcp',
        )
    return FileEntry(service, entry.base_version)


def _convert_traffic(
    entry: catalogue_file_model.ServiceEntry,
) -> services.TrafficClass:
    idempotent = bool(entry.idempotent)
    match str(entry.class_):
        case 'board':
            return services.Board()
        case 'booking':
            return services.Booking(idempotent)
        case 'upload':
            return services.Upload(idempotent)
        case _:
            return services.Download()


def _convert_limits(
    limits: catalogue_file_model.EntryLimits | None,
) -> services.Limits:
    file_limits = limits or catalogue_file_model.EntryLimits()
    return services.Limits(
        connections=file_limits.connections,
        slots=file_limits.slots,
        queue=file_limits.queue,
        wait_ms=_parse_duration_ms(file_limits.wait),
        idle_ms=_parse_duration_ms(file_limits.idle),
        bound_permille=round(file_limits.bound * shares.PERMILLE),
        retry_permille=round(file_limits.retry_share * shares.PERMILLE),
    )


def _parse_duration_ms(value: catalogue_file_model.Duration | str) -> int:
    text = value if isinstance(value, str) else value.root
    return units.parse_duration_ms(text)


def to_text(entries: list[services.Service]) -> str:
    """Return entries as the YAML text of a catalogue file.

    Each entry names its current version as ``base_version``. The control
    instances then refuse an edited entry if somebody else has changed it in
    the meantime.
    """
    content = {'services': [to_mapping(entry) for entry in entries]}
    return yaml.safe_dump(content, sort_keys=False)


def to_mapping(entry: services.Service) -> dict[str, typing.Any]:
    """Return the mapping that describes an entry in a catalogue file."""
    return _to_model(entry).model_dump(mode='json', by_alias=True)


def flatten(entry: services.Service) -> dict[str, str]:
    """Return an entry's values as text, by their dotted keys in a file.

    A dotted key is, for example, ``limits.queue``. The base version is left
    out.
    """
    mapping = to_mapping(entry)
    del mapping['base_version']
    limits = mapping.pop('limits')
    mapping.update((f'limits.{key}', value) for key, value in limits.items())
    return {key: str(value) for key, value in mapping.items()}


def _to_model(
    entry: services.Service,
) -> catalogue_file_model.ServiceEntry:
    return catalogue_file_model.ServiceEntry.model_validate(
        {
            'name': entry.name,
            'owner': entry.owner,
            'address': str(ipaddress.ip_address(entry.address)),
            'ports': list(entry.ports),
            'protocol': PROTOCOL_NAMES[entry.protocol],
            'class': type(entry.traffic).__name__.lower(),
            'idempotent': not services.needs_single_decider(entry),
            'limits': {
                'connections': entry.limits.connections,
                'slots': entry.limits.slots,
                'queue': entry.limits.queue,
                'wait': units.format_duration(entry.limits.wait_ms),
                'idle': units.format_duration(entry.limits.idle_ms),
                'bound': entry.limits.bound_permille / shares.PERMILLE,
                'retry_share': entry.limits.retry_permille / shares.PERMILLE,
            },
            'base_version': entry.version,
        }
    )
