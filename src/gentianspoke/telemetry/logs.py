"""JSON-lines logs through loguru; events are log lines with a clock."""

import collections
import json
import logging
import os
import pathlib
import sys
import traceback
import typing

import loguru

from gentianspoke import clock

LIBRARY_LEVELS = ('DEBUG', 'INFO', 'WARNING', 'ERROR', 'CRITICAL')
# Events of one kind that a process writes in a second; an overload must
# not be made worse by its own log.
MAX_EVENTS_PER_WINDOW = 500
EVENT_WINDOW_MS = 1_000
# Read from the end of the log to find the last logical clock in it.
MAX_TAIL_BYTES = 65_536


def _format_line(record: typing.Any) -> str:
    line = {
        'level': record['level'].name,
        'message': record['message'],
        **record['extra'],
    }
    if record['exception'] is not None:
        line['exception'] = ''.join(
            traceback.format_exception(record['exception'].value)
        )
    text = json.dumps(line, separators=(',', ':'), default=str)
    record['extra_line'] = text
    return '{extra_line}\n'


def configure(log_file: str | None, level: str) -> None:
    """Send the logs of this process as JSON lines to a file or stdout."""
    loguru.logger.remove()
    sink: typing.Any = NonBlockingStdout()
    if log_file is not None:
        _terminate_last_line(log_file)
        sink = log_file
    loguru.logger.add(sink, level=level, format=_format_line)
    logging.basicConfig(
        handlers=[_LoguruHandler()],
        level=_map_library_level(level),
        force=True,
    )


class NonBlockingStdout:
    """Writes lines to standard output and never waits for its reader.

    Lines that the reader is too slow for are lost, and counted in the next
    line that is written.
    """

    def __init__(self) -> None:
        """Switch standard output to writes that do not wait."""
        self._fd = sys.stdout.fileno()
        self._lost_lines = 0
        os.set_blocking(self._fd, False)

    def write(self, message: str) -> None:
        """Write one line, or count it as lost."""
        if self._lost_lines:
            message = f'{{"log_lines_lost":{self._lost_lines}}}\n{message}'
        try:
            os.write(self._fd, message.encode())
        except BlockingIOError:
            self._lost_lines += 1
        else:
            self._lost_lines = 0


def _map_library_level(level: str) -> str:
    # What a library tells at INFO, such as each step of a state machine,
    # would bury the process's own lines.
    return 'WARNING' if level == 'INFO' else level


class _LoguruHandler(logging.Handler):
    """Hands what libraries log to loguru, so that it is a JSON line too."""

    def emit(self, record: logging.LogRecord) -> None:
        """Log a record of the standard library."""
        logger = loguru.logger.opt(exception=record.exc_info)
        name = logging.getLevelName(record.levelno)
        level = name if name in LIBRARY_LEVELS else 'INFO'
        logger.log(level, record.getMessage())


def last_logical_clock(log_file: str | None) -> int:
    """Return the last logical clock in a log file, 0 where there is none.

    A process that restarts goes on from there, so that its new events
    follow its old ones.
    """
    for line in reversed(_read_tail(log_file).split(b'\n')):
        try:
            logical = json.loads(line)['logical']
        except (ValueError, KeyError, TypeError):
            continue
        if isinstance(logical, int):
            return logical
    return 0


def _read_tail(log_file: str | None) -> bytes:
    path = pathlib.Path(log_file) if log_file is not None else None
    if path is None or not path.is_file():
        return b''
    with path.open('rb') as file:
        size = file.seek(0, 2)
        file.seek(max(0, size - MAX_TAIL_BYTES))
        return file.read()


def _terminate_last_line(log_file: str) -> None:
    # A crash may have cut the last line; the next one must not join it.
    tail = _read_tail(log_file)
    if tail and not tail.endswith(b'\n'):
        with pathlib.Path(log_file).open('ab') as file:
            file.write(b'\n')


class EventLog:
    """Writes the events of one process for the time line.

    Every event carries a logical clock (Lamport, "Time, clocks, and the
    ordering of events in a distributed system", 1978), so that events of
    several processes are ordered without trust in their wall clocks.
    """

    def __init__(
        self, instance: str, role: str, time: clock.Clock, logical: int = 0
    ) -> None:
        """Begin the logical clock of a process after ``logical``."""
        self.logical = logical
        self._clock = time
        self._window_ms = time.now()
        self._counts_by_kind: collections.Counter[str] = collections.Counter()
        self._logger = loguru.logger.bind(instance=instance, role=role)

    def observe(self, logical: int) -> None:
        """Move the logical clock past one that a message carried."""
        self.logical = max(self.logical, logical)

    def write(
        self,
        event: str,
        service: str = '',
        flow: str = '',
        **fields: str | int | float | bool,
    ) -> None:
        """Write one event; ``fields`` is the evidence for it.

        Kinds and their fields are defined in ``schema/models/event.json``.
        More than ``MAX_EVENTS_PER_WINDOW`` of a kind in a second are not
        written, but counted in an event of the next second.
        """
        if self._clock.now() - self._window_ms >= EVENT_WINDOW_MS:
            self._begin_window()
        self._counts_by_kind[event] += 1
        if self._counts_by_kind[event] <= MAX_EVENTS_PER_WINDOW:
            self._write(event, service, flow, fields)

    def _begin_window(self) -> None:
        written, self._counts_by_kind = (
            self._counts_by_kind,
            collections.Counter(),
        )
        self._window_ms = self._clock.now()
        for kind, count in written.items():
            if count > MAX_EVENTS_PER_WINDOW:
                self.write(
                    'events-omitted',
                    kind=kind,
                    count=count - MAX_EVENTS_PER_WINDOW,
                )

    def _write(
        self,
        event: str,
        service: str,
        flow: str,
        fields: dict[str, str | int | float | bool],
    ) -> None:
        self.logical += 1
        self._logger.bind(
            event=event,
            logical=self.logical,
            wall_ms=self._clock.wall(),
            service=service,
            flow=flow,
            fields=fields,
        ).info(event)
