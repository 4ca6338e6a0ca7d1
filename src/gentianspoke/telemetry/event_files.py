"""Read log files as streams of events, one stream for each instance."""

import collections.abc
import contextlib
import dataclasses
import pathlib

from gentianspoke.decisions.timeline import events
from gentianspoke import errors
from gentianspoke.telemetry import event_lines

# Maximum size of a line that is decoded, which bounds the memory that one line
# takes. No event of this program is longer. A longer line is read and skipped
# in parts of this size, each of which counts as a line.
MAX_LINE_BYTES = 1 << 20


@dataclasses.dataclass(slots=True)
class ReadCounts:
    """Counts the events and the other lines that were read from log files.

    ``log_lines`` counts log lines without an event.
    ``unrecognized_lines`` counts lines that are neither an event nor a log
    line of this program. ``truncated_lines`` counts last lines that cannot
    be decoded and lack a line end, because a crash cut them short.
    ``files_without_events`` lists the paths of the files without an event.
    """

    events: int = 0
    log_lines: int = 0
    unrecognized_lines: int = 0
    truncated_lines: int = 0
    files_without_events: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True)
class _FirstEvent:
    """Holds the instance and the time of the first event in a file.

    ``wall_ms`` is the event's wall clock time in milliseconds since 1970,
    and ``path`` is the path of the file.
    """

    instance: str
    wall_ms: int
    path: str


def open_streams(
    paths: collections.abc.Iterable[str], counts: ReadCounts
) -> list[collections.abc.Iterator[events.Event]]:
    """Return one stream of events for each instance.

    A stream reads the rotated files of its instance in the order of the
    wall clock times of their first events. These times can be compared,
    because all of them come from the clock of one instance. The files are
    read line by line while the streams are consumed, and ``counts`` is
    updated with each line. A file without an event is in none of the streams:
    its path is added to ``counts``, but its lines are not counted.

    Raises :class:`gentianspoke.errors.LogFileError` if a file cannot be
    read. The streams raise it too.
    """
    first_events: list[_FirstEvent] = []
    for path in paths:
        first = _read_first_event(path)
        if first is None:
            counts.files_without_events.append(path)
        else:
            first_events.append(first)
    first_events.sort(key=lambda first: first.wall_ms)
    paths_by_instance: dict[str, list[str]] = {}
    for first in first_events:
        paths_by_instance.setdefault(first.instance, []).append(first.path)
    return [
        _read_files(instance_paths, counts)
        for instance_paths in paths_by_instance.values()
    ]


def _read_first_event(path: str) -> _FirstEvent | None:
    with contextlib.closing(_read_file(path, ReadCounts())) as stream:
        for event in stream:
            return _FirstEvent(event.instance, event.wall_ms, path)
    return None


def _read_files(
    paths: list[str], counts: ReadCounts
) -> collections.abc.Iterator[events.Event]:
    for path in paths:
        yield from _read_file(path, counts)


def _read_file(
    path: str, counts: ReadCounts
) -> collections.abc.Generator[events.Event, None, None]:
    try:
        with pathlib.Path(path).open('rb') as file:
            while line := file.readline(MAX_LINE_BYTES):
                event = _decode_line(line, counts)
                if event is not None:
                    counts.events += 1
                    yield event
    except OSError as exc:
        raise errors.LogFileError(path, exc.strerror or str(exc)) from exc


def _decode_line(line: bytes, counts: ReadCounts) -> events.Event | None:
    try:
        event = event_lines.decode(line.decode())
    except (ValueError, RecursionError):
        # A line without a line end is the last one of the file, which a crash
        # cut short, or a part of a line longer than the maximum size.
        if line.endswith(b'\n') or len(line) == MAX_LINE_BYTES:
            counts.unrecognized_lines += 1
        else:
            counts.truncated_lines += 1
        return None
    counts.log_lines += event is None
    return event
