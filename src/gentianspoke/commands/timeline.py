"""Define the subcommand that shows the events of all processes in order."""

import collections.abc
import dataclasses
import datetime
import json
import sys
import typing

import cappa

from gentianspoke import clock
from gentianspoke.commands import printing
from gentianspoke.decisions.timeline import events
from gentianspoke.decisions.timeline import filtering
from gentianspoke.decisions.timeline import merging
from gentianspoke import errors
from gentianspoke.telemetry import event_files

Files = typing.Annotated[
    list[str],
    cappa.Arg(num_args=-1, required=True, help='Log files of the processes.'),
]
AsJson = typing.Annotated[
    bool, cappa.Arg(long='--json', help='Print JSON lines.')
]
Since = typing.Annotated[
    str,
    cappa.Arg(
        long='--since',
        help='Only from this time on, such as 2026-12-04T11:05Z.',
    ),
]
Until = typing.Annotated[
    str,
    cappa.Arg(
        long='--until',
        help='Only before this time, such as 2026-12-04T11:06Z.',
    ),
]


def _create_option(name: str, text: str) -> typing.Any:
    return cappa.Arg(long=name, help=text)


@cappa.command(name='timeline')
@dataclasses.dataclass
class Timeline:
    """Merge the events of log files in causal order and print them."""

    files: Files
    flow: typing.Annotated[
        str,
        _create_option(
            '--flow', 'Only flows whose printed form contains this.'
        ),
    ] = ''
    service: typing.Annotated[
        str, _create_option('--service', 'Only events of this service.')
    ] = ''
    instance: typing.Annotated[
        str, _create_option('--instance', 'Only events of this instance.')
    ] = ''
    event: typing.Annotated[
        str, _create_option('--event', 'Only events of this kind.')
    ] = ''
    since: Since = ''
    until: Until = ''
    as_json: AsJson = False

    def __call__(self) -> None:
        """Print one line for each event that the options select.

        Then report skipped lines and files without events.
        """
        event_filter = filtering.Filter(
            self.flow,
            self.service,
            self.instance,
            self.event,
            parse_time_ms('--since', self.since),
            parse_time_ms('--until', self.until),
        )
        counts = event_files.ReadCounts()
        format_event = _format_json_line if self.as_json else format_table_line
        for event in merge_events(self.files, counts):
            if filtering.matches(event_filter, event):
                print(format_event(event))
        print_skipped(counts)


def merge_events(
    files: list[str], counts: event_files.ReadCounts
) -> collections.abc.Iterable[events.Event]:
    """Yield the events of all files in causal order."""
    return merging.merge(event_files.open_streams(files, counts))


def print_skipped(counts: event_files.ReadCounts) -> None:
    """Report skipped lines and files without events on standard error."""
    for path in counts.files_without_events:
        print(f'{path}: contains no event', file=sys.stderr)
    if counts.truncated_lines or counts.unrecognized_lines:
        print(
            f'skipped {counts.truncated_lines} truncated last lines and'
            f' {counts.unrecognized_lines} unrecognized lines',
            file=sys.stderr,
        )


def parse_time_ms(option: str, text: str) -> int | None:
    """Convert a time in ISO 8601 format to milliseconds since 1970 UTC.

    Returns ``None`` for an empty ``text``. A time without a time zone is
    taken as UTC. ``option`` names the command line option in the error.

    Raises :class:`gentianspoke.errors.SettingsError` if ``text`` is not
    a valid time.
    """
    if not text:
        return None
    try:
        moment = datetime.datetime.fromisoformat(text)
    except ValueError as exc:
        raise errors.SettingsError(
            'command line',
            option,
            f'{text!r} is not a time; use the form 2026-12-04T11:05:00Z',
        ) from exc
    if moment.tzinfo is None:
        moment = moment.replace(tzinfo=datetime.timezone.utc)
    return round(moment.timestamp() * clock.MS_PER_S)


def format_time(wall_ms: int) -> str:
    """Convert milliseconds since 1970 UTC to a time in ISO 8601 format.

    The result for a time beyond the range of ``datetime`` is the number of
    milliseconds, followed by ``ms``.
    """
    try:
        moment = datetime.datetime.fromtimestamp(
            wall_ms / clock.MS_PER_S, datetime.timezone.utc
        )
    except (ValueError, OverflowError, OSError):
        return f'{wall_ms}ms'
    return (
        moment.strftime('%Y-%m-%dT%H:%M:%S.')
        + f'{wall_ms % clock.MS_PER_S:03}Z'
    )


def format_table_line(event: events.Event) -> str:
    """Return an event as one line of text in columns."""
    columns = [
        format_time(event.wall_ms),
        f'{event.logical:>8}',
        f'{event.instance:<12}',
        f'{event.kind:<20}',
    ]
    columns += [text for text in (event.service, event.flow) if text]
    columns += [f'{name}={value}' for name, value in event.fields]
    return printing.escape_unprintable(' '.join(columns).rstrip())


def _format_json_line(event: events.Event) -> str:
    return json.dumps(
        {
            'event': event.kind,
            'instance': event.instance,
            'role': event.role,
            'logical': event.logical,
            'wall_ms': event.wall_ms,
            'service': event.service,
            'flow': event.flow,
            'fields': dict(event.fields),
        }
    )
