"""Print the results of the catalogue's subcommands as text or JSON."""

import dataclasses
import json
import sys
import typing

from gentianspoke.config import catalogue_file
from gentianspoke.config import units
from gentianspoke.core import services
from gentianspoke.decisions.control import catalogue_records
from gentianspoke.shells import catalogue_client

COLUMN_GAP = '  '


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """Holds a field that differs between two versions of an entry.

    ``name`` is the name of the entry. ``old`` and ``new`` are the values of
    the field. ``old`` is empty if the old version lacks the field or if there
    is no old version.
    """

    name: str
    field: str
    old: str
    new: str


def find_changes(
    old: services.Service | None, new: services.Service
) -> list[Change]:
    """Return the fields in which the entry ``new`` differs from ``old``.

    All fields of ``new`` differ if ``old`` is ``None``. A field that only
    ``old`` has is not returned.
    """
    before = catalogue_file.flatten(old) if old else {}
    after = catalogue_file.flatten(new)
    return [
        Change(new.name, field, before.get(field, ''), text)
        for field, text in after.items()
        if before.get(field) != text
    ]


class Output:
    """Prints results to standard output as text or as JSON lines."""

    def __init__(self, as_json: bool) -> None:
        """Choose JSON lines if ``as_json``, and text otherwise."""
        self._as_json = as_json

    def print_entry(self, entry: services.Service) -> None:
        """Print an entry as YAML that ``apply`` accepts, or as JSON."""
        if self._as_json:
            self._print_json(_build_entry_content(entry))
        else:
            print(catalogue_file.to_text([entry]), end='')

    def print_entries(self, entries: list[services.Service]) -> None:
        """Print one row for each entry."""
        if self._as_json:
            for entry in entries:
                self._print_json(_build_entry_content(entry))
            return
        header = ('NAME', 'VERSION', 'CLASS', 'OWNER', 'ADDRESS', 'PORTS')
        print_table(header, [_format_entry_row(entry) for entry in entries])

    def print_changes(self, changes: list[Change]) -> None:
        """Print one row for each changed field."""
        if self._as_json:
            for change in changes:
                self._print_json(dataclasses.asdict(change))
            return
        rows: list[tuple[str, ...]] = [
            (change.name, change.field, change.old or '-', change.new)
            for change in changes
        ]
        print_table(('NAME', 'FIELD', 'NOW', 'FILE'), rows)

    def print_history(
        self, items: list[catalogue_records.HistoryItem]
    ) -> None:
        """Print what each version of an entry changed, oldest first.

        ``items`` must be in the order of their versions. JSON lines hold
        the whole entry of each version instead of the changed fields.
        """
        rows: list[tuple[str, ...]] = []
        before: services.Service | None = None
        for item in items:
            changes = find_changes(before, item.entry)
            before = item.entry
            if self._as_json:
                self._print_json(_build_history_content(item))
            text = ' '.join(
                f'{change.field}={change.new}' for change in changes
            )
            if item.entry.retired:
                text = 'retired'
            rows.append((str(item.version), item.operator, text))
        if not self._as_json:
            print_table(('VERSION', 'OPERATOR', 'CHANGE'), rows)

    def print_statuses(self, statuses: list[catalogue_client.Status]) -> None:
        """Print one row for each control instance, then what needs attention.

        This is the evacuated zones and the lagging consumers.

        A consumer lags if it does not run the leader's newest version yet, or
        if its connection was lost recently and it has not connected again.
        """
        if self._as_json:
            for status in statuses:
                self._print_json(_build_status_content(status))
            return
        header = ('ADDRESS', 'ROLE', 'TERM', 'VERSION', 'AGE', 'IN FORCE')
        print_table(
            header, [_format_status_row(status) for status in statuses]
        )
        newest_status = max(statuses, key=lambda status: status.version)
        if newest_status.evacuated_zones:
            print('evacuated: ' + ' '.join(newest_status.evacuated_zones))
        for status in statuses:
            if status.laggards:
                print('lagging: ' + ' '.join(status.laggards))

    def print_applied(
        self, result: catalogue_client.ApplyResult, key: str
    ) -> None:
        """Print the answer to a request with edits.

        If the edits conflict with current entries, those entries go to
        standard error as YAML, or into the JSON line. ``key`` is the
        idempotency key of the request.
        """
        answer = result.answer
        if self._as_json:
            self._print_json(
                {
                    'accepted': answer.accepted,
                    'version': answer.version,
                    'key': key,
                    'repeated_answer': result.is_repeated,
                    'conflicts': [
                        _build_conflict_content(conflict)
                        for conflict in answer.conflicts
                    ],
                }
            )
            return
        suffix = (
            ' (answer to an earlier request)' if result.is_repeated else ''
        )
        if answer.accepted:
            print(f'accepted as version {answer.version}{suffix}')
            return
        for conflict in answer.conflicts:
            if conflict.current is not None:
                text = catalogue_file.to_text([conflict.current])
                print(f'# current entry\n{text}', end='', file=sys.stderr)

    def print_in_force(
        self, version: int, status: catalogue_client.Status
    ) -> None:
        """Print how many consumers run a version or a newer one.

        Text is printed only if all consumers do. Otherwise the command raises
        an error that states the numbers.
        """
        if self._as_json:
            self._print_json(
                _build_status_content(status) | {'waited_for': version}
            )
        elif status.is_in_force_everywhere:
            print(f'in force on {status.in_force} consumers')

    def _print_json(self, content: dict[str, typing.Any]) -> None:
        print(json.dumps(content, separators=(',', ':')))


def print_table(header: tuple[str, ...], rows: list[tuple[str, ...]]) -> None:
    """Print a header and rows, each column as wide as its longest cell."""
    widths = [max(map(len, column)) for column in zip(header, *rows)]
    for row in (header, *rows):
        cells = [text.ljust(width) for text, width in zip(row, widths)]
        print(COLUMN_GAP.join(cells).rstrip())


def _format_entry_row(entry: services.Service) -> tuple[str, ...]:
    fields = catalogue_file.flatten(entry)
    traffic_class = fields['class'] + (' (retired)' if entry.retired else '')
    ports = f'{fields["protocol"]} ' + ','.join(map(str, entry.ports))
    version = str(entry.version)
    return (
        entry.name,
        version,
        traffic_class,
        entry.owner,
        fields['address'],
        ports,
    )


def _format_status_row(status: catalogue_client.Status) -> tuple[str, ...]:
    is_leader = status.role == 'leader'
    in_force = f'{status.in_force} of {status.consumers}' if is_leader else '-'
    return (
        units.format_address(status.address),
        status.role,
        str(status.term),
        str(status.version),
        f'{status.confirmed_age_ms}ms',
        in_force,
    )


def _build_entry_content(entry: services.Service) -> dict[str, typing.Any]:
    return catalogue_file.to_mapping(entry) | {'retired': entry.retired}


def _build_history_content(
    item: catalogue_records.HistoryItem,
) -> dict[str, typing.Any]:
    return {
        'version': item.version,
        'operator': item.operator,
        'key': item.idempotency_key,
        'entry': _build_entry_content(item.entry),
    }


def _build_conflict_content(
    conflict: catalogue_records.Conflict,
) -> dict[str, typing.Any]:
    current = (
        _build_entry_content(conflict.current) if conflict.current else None
    )
    return {
        'name': conflict.name,
        'reason': conflict.reason,
        'current': current,
    }


def _build_status_content(
    status: catalogue_client.Status,
) -> dict[str, typing.Any]:
    content = dataclasses.asdict(status)
    return content | {'address': units.format_address(status.address)}
