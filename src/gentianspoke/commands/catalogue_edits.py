"""Define the subcommands with which operators edit the catalogue."""

import asyncio
import dataclasses
import typing

import cappa

from gentianspoke import clock
from gentianspoke.commands import catalogue_options as options
from gentianspoke.commands import catalogue_output
from gentianspoke.commands import catalogue_submission
from gentianspoke.config import catalogue_file
from gentianspoke.decisions.control import catalogue_records
from gentianspoke import errors
from gentianspoke.shells import catalogue_client

Edits = tuple[catalogue_records.Edit, ...]


@cappa.command(name='apply')
@dataclasses.dataclass
class Apply:
    """Add or change all entries of a file, or none if one is refused."""

    file: str
    control: options.Control
    key_file: options.KeyFile
    key: options.IdempotencyKey = ''
    wait: options.Wait = False
    timeout: options.Timeout = '20s'
    as_json: options.AsJson = False

    def __call__(self) -> None:
        """Apply the file and print the accepted version of the catalogue.

        Entries that equal the current ones are left out, unless they state
        a base version. With ``--key``, the entries are sent again under the
        idempotency key of an earlier request whose outcome is unknown. No
        entry is left out in this case, because all of them equal the current
        ones if the earlier request was accepted.

        Raises :class:`gentianspoke.errors.EditRefusedError` if the control
        group refuses the edits. With ``--wait``, raises
        :class:`gentianspoke.errors.NotInForceError` if some consumers do
        not use the version within ``--timeout``, or if no leader answers in
        this time.
        """
        file_entries = catalogue_file.load(self.file)
        timeout_ms = options.parse_timeout_ms(self.timeout)
        client = options.create_client(self.control, self.key_file)
        listing = asyncio.run(client.list_entries())
        edits = tuple(
            _build_put_edit(file_entry, listing)
            for file_entry in file_entries
            if self.key or _must_send(file_entry, listing)
        )
        if not edits:
            print(f'nothing to change at version {listing.version}')
            return
        output = catalogue_output.Output(self.as_json)
        version = _submit(client, edits, self.key, output)
        if self.wait:
            _wait_until_in_force(client, version, timeout_ms, output)


@cappa.command(name='retire')
@dataclasses.dataclass
class Retire:
    """Retire an entry: it gets no new flows, and its open flows go on."""

    name: str
    control: options.Control
    key_file: options.KeyFile
    base_version: typing.Annotated[
        int | None,
        cappa.Arg(
            long='--base-version',
            help='Version of the entry that the edit is based on.',
        ),
    ] = None
    key: options.IdempotencyKey = ''
    wait: options.Wait = False
    timeout: options.Timeout = '20s'
    as_json: options.AsJson = False

    def __call__(self) -> None:
        """Retire the entry and print the accepted catalogue version.

        Raises :class:`gentianspoke.errors.ControlError` if there is no such
        entry, and the same errors as ``apply``.
        """
        timeout_ms = options.parse_timeout_ms(self.timeout)
        client = options.create_client(self.control, self.key_file)
        base_version = self.base_version
        if base_version is None:
            entry = options.find_entry(
                asyncio.run(client.list_entries()), self.name
            )
            base_version = entry.version
        edit = catalogue_records.Edit(
            self.name, base_version, catalogue_records.Retire()
        )
        output = catalogue_output.Output(self.as_json)
        version = _submit(client, (edit,), self.key, output)
        if self.wait:
            _wait_until_in_force(client, version, timeout_ms, output)


def _must_send(
    file_entry: catalogue_file.FileEntry, listing: catalogue_client.Listing
) -> bool:
    # An entry with a base version is sent even if it equals the current one,
    # so that it is refused if the base version is not the current version.
    current = listing.entries.get(file_entry.service.name)
    return file_entry.base_version is not None or bool(
        catalogue_output.find_changes(current, file_entry.service)
    )


def _build_put_edit(
    file_entry: catalogue_file.FileEntry, listing: catalogue_client.Listing
) -> catalogue_records.Edit:
    base_version = file_entry.base_version
    if base_version is None:
        current = listing.entries.get(file_entry.service.name)
        base_version = current.version if current else 0
    return catalogue_records.Edit(
        file_entry.service.name,
        base_version,
        catalogue_records.Put(file_entry.service),
    )


def _submit(
    client: catalogue_client.CatalogueClient,
    edits: Edits,
    key: str,
    output: catalogue_output.Output,
) -> int:
    answer = catalogue_submission.submit(client, output, key, edits)
    if not answer.accepted:
        raise errors.EditRefusedError(
            '; '.join(
                f'{conflict.name}: {conflict.reason}'
                for conflict in answer.conflicts
            )
        )
    return answer.version


def _wait_until_in_force(
    client: catalogue_client.CatalogueClient,
    version: int,
    timeout_ms: int,
    output: catalogue_output.Output,
) -> None:
    status = asyncio.run(
        client.wait_in_force(version, timeout_ms / clock.MS_PER_S)
    )
    if status is None:
        raise errors.NotInForceError(
            version, 0, 0, 'no control instance leads'
        )
    output.print_in_force(version, status)
    if not status.is_in_force_everywhere:
        raise errors.NotInForceError(
            version,
            status.in_force,
            status.consumers,
            ' '.join(status.laggards),
        )
