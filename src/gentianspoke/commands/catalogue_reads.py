"""Define the subcommands with which operators read the catalogue."""

import asyncio
import dataclasses
import sys
import typing

import cappa

from gentianspoke.commands import catalogue_options as options
from gentianspoke.commands import catalogue_output
from gentianspoke.config import catalogue_file
from gentianspoke import errors
from gentianspoke.shells import catalogue_client


@cappa.command(name='get')
@dataclasses.dataclass
class Get:
    """Print an entry as a file that can be edited and applied."""

    name: str
    control: options.Control
    key_file: options.KeyFile
    as_json: options.AsJson = False

    def __call__(self) -> None:
        """Fetch the entry and print it as YAML or JSON.

        Raises :class:`gentianspoke.errors.ControlError` if there is no such
        entry.
        """
        listing = _fetch_listing(self.control, self.key_file)
        entry = options.find_entry(listing, self.name)
        catalogue_output.Output(self.as_json).print_entry(entry)


@cappa.command(name='list')
@dataclasses.dataclass
class ListEntries:
    """List the entries of the catalogue."""

    control: options.Control
    key_file: options.KeyFile
    retired: typing.Annotated[
        bool,
        cappa.Arg(long='--retired', help='List retired entries as well.'),
    ] = False
    as_json: options.AsJson = False

    def __call__(self) -> None:
        """Fetch the entries and print them as a table or JSON."""
        listing = _fetch_listing(self.control, self.key_file)
        entries = [
            listing.entries[name]
            for name in sorted(listing.entries)
            if self.retired or not listing.entries[name].retired
        ]
        catalogue_output.Output(self.as_json).print_entries(entries)


@cappa.command(name='diff')
@dataclasses.dataclass
class Diff:
    """Show what applying a file would change."""

    file: str
    control: options.Control
    key_file: options.KeyFile
    as_json: options.AsJson = False

    def __call__(self) -> None:
        """Compare the file with the catalogue and print each difference."""
        file_entries = catalogue_file.load(self.file)
        listing = _fetch_listing(self.control, self.key_file)
        changes = [
            change
            for file_entry in file_entries
            for change in catalogue_output.find_changes(
                listing.entries.get(file_entry.service.name),
                file_entry.service,
            )
        ]
        catalogue_output.Output(self.as_json).print_changes(changes)


@cappa.command(name='history')
@dataclasses.dataclass
class History:
    """Show the accepted versions of an entry, oldest first."""

    name: str
    control: options.Control
    key_file: options.KeyFile
    as_json: options.AsJson = False

    def __call__(self) -> None:
        """Print what each version changed and which operator sent the edit.

        Raises :class:`gentianspoke.errors.ControlError` if the history has no
        version of the entry.
        """
        client = options.create_client(self.control, self.key_file)
        items = asyncio.run(client.fetch_history(self.name))
        if not items:
            raise options.build_not_found_error(self.name)
        catalogue_output.Output(self.as_json).print_history(items)


@cappa.command(name='status')
@dataclasses.dataclass
class Status:
    """Show the control instances and which consumers lag behind."""

    control: options.Control
    key_file: options.KeyFile
    as_json: options.AsJson = False

    def __call__(self) -> None:
        """Print the status of each control instance that answered.

        Raises :class:`gentianspoke.errors.ControlUnreachableError` if none
        answered. If none of those that answered is the leader, raises
        :class:`gentianspoke.errors.NotLeaderError` after printing.
        """
        client = options.create_client(self.control, self.key_file)
        statuses = asyncio.run(client.fetch_statuses())
        if not statuses:
            raise errors.ControlUnreachableError(self.control)
        catalogue_output.Output(self.as_json).print_statuses(statuses)
        if not any(status.role == 'leader' for status in statuses):
            raise errors.NotLeaderError(statuses[0].leader)


def _fetch_listing(control: str, key_path: str) -> catalogue_client.Listing:
    listing = asyncio.run(
        options.create_client(control, key_path).list_entries()
    )
    if listing.confirmed_age_ms >= catalogue_client.MAX_READ_STALENESS_MS:
        print(
            'gentianspoke: no majority has confirmed these entries for'
            f' {listing.confirmed_age_ms} ms, so newer ones may be missing;'
            ' see "catalogue status"',
            file=sys.stderr,
        )
    return listing
