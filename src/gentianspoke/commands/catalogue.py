"""Subcommands by which operators edit and read the catalogue."""

import asyncio
import dataclasses
import getpass
import os
import sys
import typing
import uuid

import cappa

from gentianspoke.commands import catalogue_output
from gentianspoke.config import catalogue_file
from gentianspoke.config import key_file
from gentianspoke.config import units
from gentianspoke.core import services
from gentianspoke.decisions.control import catalogue
from gentianspoke import errors
from gentianspoke.shells import catalogue_client

MS_PER_S = 1000
UNKNOWN_OPERATOR = 'unknown'

Control = typing.Annotated[
    str,
    cappa.Arg(
        long='--control',
        default=cappa.Env('GENTIANSPOKE_CONTROL'),
        help='Addresses of control instances, with commas.',
    ),
]
KeyFile = typing.Annotated[
    str,
    cappa.Arg(
        long='--key-file',
        default=cappa.Env('GENTIANSPOKE_KEY_FILE'),
        help='File of the shared keys of the deployment.',
    ),
]
Key = typing.Annotated[
    str,
    cappa.Arg(
        long='--key',
        help='Idempotency key of an edit that is sent again.',
    ),
]
Wait = typing.Annotated[
    bool, cappa.Arg(long='--wait', help='Wait until in force everywhere.')
]
Timeout = typing.Annotated[
    str, cappa.Arg(long='--timeout', help='Longest wait, such as 20s.')
]
AsJson = typing.Annotated[bool, cappa.Arg(long='--json', help='Print JSON.')]
Edits = tuple[catalogue.Edit, ...]


@cappa.command(name='apply')
@dataclasses.dataclass
class Apply:
    """Add or change the entries of a file, all of them or none."""

    file: str
    control: Control
    key_file: KeyFile
    key: Key = ''
    wait: Wait = False
    timeout: Timeout = '20s'
    as_json: AsJson = False

    def __call__(self) -> None:
        """Print the accepted version; an edit may be sent again by key."""
        wanted = catalogue_file.load(self.file)
        wait_ms = _timeout_ms(self.timeout)
        client = _client(self.control, self.key_file)
        listing = asyncio.run(client.list_entries())
        edits = tuple(
            _put(item, listing)
            for item in wanted
            if self.key or _is_change(item, listing)
        )
        if not edits:
            print(f'nothing to change at version {listing.version}')
            return
        output = catalogue_output.Output(self.as_json)
        version = _submit(client, edits, self.key, output)
        if self.wait:
            _wait(client, version, wait_ms, output)


@cappa.command(name='retire')
@dataclasses.dataclass
class Retire:
    """Retire an entry: no new flow, open flows stay."""

    name: str
    control: Control
    key_file: KeyFile
    base_version: typing.Annotated[
        int | None,
        cappa.Arg(long='--base-version', help='Version it is based on.'),
    ] = None
    key: Key = ''
    wait: Wait = False
    timeout: Timeout = '20s'
    as_json: AsJson = False

    def __call__(self) -> None:
        """Print the accepted version."""
        wait_ms = _timeout_ms(self.timeout)
        client = _client(self.control, self.key_file)
        base = self.base_version
        if base is None:
            entry = _entry(asyncio.run(client.list_entries()), self.name)
            base = entry.version
        edit = catalogue.Edit(self.name, base, catalogue.Retire())
        output = catalogue_output.Output(self.as_json)
        version = _submit(client, (edit,), self.key, output)
        if self.wait:
            _wait(client, version, wait_ms, output)


@cappa.command(name='get')
@dataclasses.dataclass
class Get:
    """Print an entry as a file that can be edited and applied."""

    name: str
    control: Control
    key_file: KeyFile
    as_json: AsJson = False

    def __call__(self) -> None:
        """Print YAML, or JSON."""
        listing = _list(self.control, self.key_file)
        entry = _entry(listing, self.name)
        catalogue_output.Output(self.as_json).entry(entry)


@cappa.command(name='list')
@dataclasses.dataclass
class ListEntries:
    """List the entries."""

    control: Control
    key_file: KeyFile
    retired: typing.Annotated[
        bool, cappa.Arg(long='--retired', help='Retired ones too.')
    ] = False
    as_json: AsJson = False

    def __call__(self) -> None:
        """Print a table, or JSON."""
        listing = _list(self.control, self.key_file)
        entries = [
            listing.entries[name]
            for name in sorted(listing.entries)
            if self.retired or not listing.entries[name].retired
        ]
        catalogue_output.Output(self.as_json).entries(entries)


@cappa.command(name='diff')
@dataclasses.dataclass
class Diff:
    """Show what applying a file would change."""

    file: str
    control: Control
    key_file: KeyFile
    as_json: AsJson = False

    def __call__(self) -> None:
        """Print one line for each changed field."""
        wanted = catalogue_file.load(self.file)
        listing = _list(self.control, self.key_file)
        changes = [
            change
            for item in wanted
            for change in catalogue_output.changes(
                listing.entries.get(item.service.name), item.service
            )
        ]
        catalogue_output.Output(self.as_json).changes(changes)


@cappa.command(name='history')
@dataclasses.dataclass
class History:
    """Show the accepted texts of an entry, oldest first."""

    name: str
    control: Control
    key_file: KeyFile
    as_json: AsJson = False

    def __call__(self) -> None:
        """Print what each version changed, and who changed it."""
        client = _client(self.control, self.key_file)
        items = asyncio.run(client.history(self.name))
        if not items:
            raise _no_entry(self.name)
        catalogue_output.Output(self.as_json).history(items)


@cappa.command(name='status')
@dataclasses.dataclass
class Status:
    """Show the control instances, and how far the newest version is."""

    control: Control
    key_file: KeyFile
    as_json: AsJson = False

    def __call__(self) -> None:
        """Print a table, or JSON; fail where no instance leads."""
        client = _client(self.control, self.key_file)
        found = asyncio.run(client.statuses())
        if not found:
            raise errors.ControlUnreachableError(self.control)
        catalogue_output.Output(self.as_json).statuses(found)
        if not any(item.role == 'leader' for item in found):
            raise errors.NotLeaderError(found[0].leader)


@cappa.command(name='catalogue')
@dataclasses.dataclass
class Catalogue:
    """Edit and read the catalogue."""

    command: cappa.Subcommands[
        Apply | Retire | Get | ListEntries | Diff | History | Status
    ]


def _client(control: str, key_path: str) -> catalogue_client.CatalogueClient:
    try:
        addresses = tuple(map(units.host_port, control.split(',')))
    except ValueError as exc:
        raise errors.SettingsError(
            'command line', '--control', str(exc)
        ) from exc
    ring = key_file.load(key_path)
    return catalogue_client.CatalogueClient(addresses, ring)


def _timeout_ms(text: str) -> int:
    try:
        return units.duration_ms(text)
    except ValueError as exc:
        raise errors.SettingsError(
            'command line', '--timeout', str(exc)
        ) from exc


def _list(control: str, key_path: str) -> catalogue_client.Listing:
    listing = asyncio.run(_client(control, key_path).list_entries())
    if listing.confirmed_age_ms >= catalogue_client.FRESH_MS:
        print(
            'gentianspoke: no majority has confirmed these entries for'
            f' {listing.confirmed_age_ms} ms, so newer ones may be missing;'
            ' see "catalogue status"',
            file=sys.stderr,
        )
    return listing


def _entry(listing: catalogue_client.Listing, name: str) -> services.Service:
    entry = listing.entries.get(name)
    if entry is None:
        raise _no_entry(name)
    return entry


def _no_entry(name: str) -> errors.ControlError:
    return errors.ControlError(
        f'{name}: no such entry; check the name with "catalogue list"'
    )


def _is_change(
    item: catalogue_file.FileEntry, listing: catalogue_client.Listing
) -> bool:
    current = listing.entries.get(item.service.name)
    return item.base_version is not None or bool(
        catalogue_output.changes(current, item.service)
    )


def _put(
    item: catalogue_file.FileEntry, listing: catalogue_client.Listing
) -> catalogue.Edit:
    base = item.base_version
    if base is None:
        current = listing.entries.get(item.service.name)
        base = current.version if current else 0
    return catalogue.Edit(item.service.name, base, catalogue.Put(item.service))


def _submit(
    client: catalogue_client.CatalogueClient,
    edits: Edits,
    key: str,
    output: catalogue_output.Output,
) -> int:
    request = catalogue.Request(
        idempotency_key=key or uuid.uuid4().hex,
        operator=_operator(),
        edits=edits,
    )
    applied = asyncio.run(client.apply(request))
    output.applied(applied, request.idempotency_key)
    if not applied.answer.accepted:
        raise errors.EditRefusedError(
            '; '.join(
                f'{item.name}: {item.reason}'
                for item in applied.answer.conflicts
            )
        )
    return applied.answer.version


def _operator() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return os.environ.get('LOGNAME', UNKNOWN_OPERATOR)


def _wait(
    client: catalogue_client.CatalogueClient,
    version: int,
    timeout_ms: int,
    output: catalogue_output.Output,
) -> None:
    status = asyncio.run(client.wait_in_force(version, timeout_ms / MS_PER_S))
    if status is None:
        raise errors.NotInForceError(version, 0, 0, 'no instance leads')
    output.in_force(version, status)
    if not status.is_everywhere:
        raise errors.NotInForceError(
            version,
            status.in_force,
            status.consumers,
            ' '.join(status.laggards),
        )
