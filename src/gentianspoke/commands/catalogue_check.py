"""Define the subcommand that checks catalogue entries before they are sent."""

import asyncio
import dataclasses
import importlib
import json
import sys
import typing

import cappa

from gentianspoke.commands import catalogue_options as options
from gentianspoke.commands import catalogue_output
from gentianspoke.config import catalogue_file
from gentianspoke.core import services
from gentianspoke.decisions.control import document_check
from gentianspoke import errors

EXIT_ERRORS_FOUND = 2


@cappa.command(name='check-catalogue')
@dataclasses.dataclass
class CheckCatalogue:
    """Check catalogue entries, and show what differs from those in force.

    The entries in force come from the control instances at ``--control`` or
    from the file ``--against``; without either, nothing is in force.
    ``--reader`` names a module for documents of another format, whose function
    ``load_entries`` takes a path and returns the entries of a complete
    catalogue. The exit status is 2 if there are errors.
    """

    file: str
    against: typing.Annotated[
        str, cappa.Arg(long=True, help='File with the entries in force.')
    ] = ''
    control: typing.Annotated[
        str,
        cappa.Arg(
            long=True,
            help='Addresses of control instances, separated by commas.',
        ),
    ] = ''
    key_file: typing.Annotated[
        str, cappa.Arg(long='--key-file', help='File of the shared keys.')
    ] = ''
    reader: typing.Annotated[
        str, cappa.Arg(long=True, help='Module that reads other formats.')
    ] = ''
    as_json: options.AsJson = False

    def __call__(self) -> None:
        """Print the findings and differences.

        Raises :class:`gentianspoke.errors.CatalogueFileError` if a file cannot
        be read.
        """
        entries = self._load(self.file)
        in_force = self._find_entries_in_force()
        is_complete = bool(self.reader)
        # A catalogue file changes its own entries only. A document of another
        # format is complete, and replaces all entries.
        others = {} if is_complete else in_force
        findings = document_check.find_findings(entries, others)
        differences = document_check.find_differences(
            entries, in_force, is_complete=is_complete
        )
        if self.as_json:
            _print_json(findings, differences)
        else:
            _print_tables(findings, differences)
        if any(
            finding.severity is document_check.Severity.ERROR
            for finding in findings
        ):
            sys.exit(EXIT_ERRORS_FOUND)

    def _find_entries_in_force(self) -> dict[str, services.Service]:
        if self.against:
            entries = self._load(self.against)
            return {entry.name: entry for entry in entries}
        if self.control:
            client = options.create_client(self.control, self.key_file)
            return dict(asyncio.run(client.list_entries()).entries)
        return {}

    def _load(self, path: str) -> list[services.Service]:
        if not self.reader:
            return [item.service for item in catalogue_file.load(path)]
        try:
            module = importlib.import_module(self.reader)
        except ImportError as exc:
            raise errors.CatalogueFileError(
                path,
                '--reader',
                f'cannot import {self.reader}; put its folder on PYTHONPATH',
            ) from exc
        return list(module.load_entries(path))


def _print_tables(
    findings: list[document_check.Finding],
    differences: list[document_check.Difference],
) -> None:
    catalogue_output.print_table(
        ('SEVERITY', 'NAME', 'FIELD', 'FINDING'),
        [
            (
                finding.severity.value,
                finding.entry,
                finding.field,
                finding.text,
            )
            for finding in findings
        ],
    )
    print()
    catalogue_output.print_table(
        ('NAME', 'FIELD', 'IN FORCE', 'FILE'),
        [
            (item.entry, item.field, item.old or '-', item.new or '-')
            for item in differences
        ],
    )


def _print_json(
    findings: list[document_check.Finding],
    differences: list[document_check.Difference],
) -> None:
    content = {
        'findings': [
            dataclasses.asdict(finding) | {'severity': finding.severity.value}
            for finding in findings
        ],
        'differences': [dataclasses.asdict(item) for item in differences],
    }
    print(json.dumps(content, separators=(',', ':')))
