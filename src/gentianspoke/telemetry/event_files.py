"""Log files as streams of events, one stream for each instance."""

import collections.abc
import contextlib
import dataclasses
import pathlib

from gentianspoke.decisions.timeline import events
from gentianspoke import errors
from gentianspoke.telemetry import event_lines

# A longer line is no event of this program; it is skipped in parts.
LONGEST_LINE_BYTES = 1 << 20


@dataclasses.dataclass(slots=True)
class ReadCounts:
    """What the files held; ``torn`` are last lines cut by a crash."""

    events: int = 0
    other_lines: int = 0
    foreign: int = 0
    torn: int = 0
    without_events: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True)
class _FileStart:
    """The first event of a file, by which files are put in order."""

    instance: str
    wall_ms: int
    path: str


def open_streams(
    paths: collections.abc.Iterable[str], counts: ReadCounts
) -> list[collections.abc.Iterator[events.Event]]:
    """Return one stream for each instance, its rotated files in order.

    Files of one instance are ordered by the wall clock of their first
    events, which is one clock. Files are read as the streams are, line
    by line; a file without an event has no stream.

    Raises :class:`gentianspoke.errors.LogFileError`.
    """
    starts: list[_FileStart] = []
    for path in paths:
        start = _file_start(path)
        if start is None:
            counts.without_events.append(path)
        else:
            starts.append(start)
    starts.sort(key=lambda start: start.wall_ms)
    by_instance: dict[str, list[str]] = {}
    for start in starts:
        by_instance.setdefault(start.instance, []).append(start.path)
    return [
        _read_files(instance_paths, counts)
        for instance_paths in by_instance.values()
    ]


def _file_start(path: str) -> _FileStart | None:
    with contextlib.closing(_read_file(path, ReadCounts())) as stream:
        for event in stream:
            return _FileStart(event.instance, event.wall_ms, path)
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
            while line := file.readline(LONGEST_LINE_BYTES):
                event = _decode(line, counts)
                if event is not None:
                    counts.events += 1
                    yield event
    except OSError as exc:
        raise errors.LogFileError(path, exc.strerror or str(exc)) from exc


def _decode(line: bytes, counts: ReadCounts) -> events.Event | None:
    try:
        event = event_lines.decode(line.decode())
    except (ValueError, RecursionError):
        # Only the last line of a file has no line end.
        if line.endswith(b'\n') or len(line) == LONGEST_LINE_BYTES:
            counts.foreign += 1
        else:
            counts.torn += 1
        return None
    counts.other_lines += event is None
    return event
