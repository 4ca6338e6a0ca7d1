"""Write the log of a process as JSON lines through loguru.

An event is a log line that also carries a logical clock.
"""

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

# Names of the levels of the standard ``logging`` module that loguru also has.
LIBRARY_LEVELS = ('DEBUG', 'INFO', 'WARNING', 'ERROR', 'CRITICAL')
# Maximum number of events of one kind that a process writes in a window of
# one second. Without the limit, writing the log would add load to a process
# that is already overloaded.
MAX_EVENTS_PER_WINDOW = 500
EVENT_WINDOW_MS = 1_000
# Maximum size of the part at the end of a log file that is searched for the
# last logical clock.
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
    # Loguru formats the returned template with the record. The text contains
    # braces, so it must not be part of the template.
    record['extra_line'] = text
    return '{extra_line}\n'


def configure(log_file: str | None, level: str) -> None:
    """Write the log of this process as JSON lines to a file or stdout.

    Lines go to ``log_file``, or to standard output if it is ``None``.
    ``level`` names the lowest level that is written. Records that libraries
    log through the standard ``logging`` module are written too, but only from
    level WARNING on if ``level`` is INFO.
    """
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
    """Writes lines to standard output without blocking.

    A line is lost if the pipe to the reader is full. The next line that can
    be written is preceded by a line with the number of lost lines.
    """

    def __init__(self) -> None:
        """Switch standard output to non-blocking writes."""
        self._fd = sys.stdout.fileno()
        self._lost_lines = 0
        os.set_blocking(self._fd, False)

    def write(self, message: str) -> None:
        """Write one line, or count it as lost if the write would block."""
        if self._lost_lines:
            message = f'{{"log_lines_lost":{self._lost_lines}}}\n{message}'
        try:
            os.write(self._fd, message.encode())
        except BlockingIOError:
            self._lost_lines += 1
        else:
            self._lost_lines = 0


def _map_library_level(level: str) -> str:
    # Libraries write many lines at INFO, such as one for each transition of a
    # state machine. They would hide the lines of the process itself.
    return 'WARNING' if level == 'INFO' else level


class _LoguruHandler(logging.Handler):
    """Passes records of the standard ``logging`` module on to loguru.

    The log lines of libraries thus become JSON lines like all others.
    """

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record of the standard ``logging`` module through loguru.

        A record whose level loguru does not have is written at INFO.
        """
        logger = loguru.logger.opt(exception=record.exc_info)
        name = logging.getLevelName(record.levelno)
        level = name if name in LIBRARY_LEVELS else 'INFO'
        logger.log(level, record.getMessage())


def read_last_logical_clock(log_file: str | None) -> int:
    """Return the last logical clock in a log file, or 0 if none is found.

    Only the last ``MAX_TAIL_BYTES`` bytes are searched. A restarted process
    continues its logical clock from this value, so that its new events are
    ordered after the events before the restart.
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
    # A crash may have cut the last line short. Without a line end after it,
    # the next line would be appended to it, and neither could be decoded.
    tail = _read_tail(log_file)
    if tail and not tail.endswith(b'\n'):
        with pathlib.Path(log_file).open('ab') as file:
            file.write(b'\n')


class EventLog:
    """Writes the events of one process to its log.

    Every event carries a logical clock (Lamport, "Time, clocks, and the
    ordering of events in a distributed system", 1978), so that the events
    of several processes can be ordered without relying on their wall
    clocks.
    """

    def __init__(
        self, instance: str, role: str, time: clock.Clock, logical: int = 0
    ) -> None:
        """Start the logical clock at ``logical``.

        The first event gets the next higher value. ``instance`` and
        ``role`` are written in every event. ``time`` is the clock that
        supplies the events' wall clock times and measures the windows.
        """
        self.logical = logical
        self._clock = time
        self._window_start_ms = time.now()
        self._counts_by_kind: collections.Counter[str] = collections.Counter()
        self._logger = loguru.logger.bind(instance=instance, role=role)

    def observe(self, logical: int) -> None:
        """Advance the logical clock to that of a received message.

        ``logical`` is the message's clock. The clock of this process stays
        as it is if it is already ahead.
        """
        self.logical = max(self.logical, logical)

    def write(
        self,
        event: str,
        service: str = '',
        flow: str = '',
        **fields: str | int | float | bool,
    ) -> None:
        """Write one event of the kind ``event``.

        ``service`` and ``flow`` name the service and the flow that the event
        concerns, and are empty if there is none. ``fields`` holds further
        details. Kinds and their fields are defined in
        ``schema/models/event.json``.

        At most ``MAX_EVENTS_PER_WINDOW`` events of a kind are written in a
        window of one second. Further events of the kind are omitted, and an
        ``events-omitted`` event before the first event of the next window
        states their number.
        """
        if self._clock.now() - self._window_start_ms >= EVENT_WINDOW_MS:
            self._begin_window()
        self._counts_by_kind[event] += 1
        if self._counts_by_kind[event] <= MAX_EVENTS_PER_WINDOW:
            self._write(event, service, flow, fields)

    def _begin_window(self) -> None:
        previous, self._counts_by_kind = (
            self._counts_by_kind,
            collections.Counter(),
        )
        self._window_start_ms = self._clock.now()
        for kind, count in previous.items():
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
            wall_ms=self._clock.get_wall_time_ms(),
            service=service,
            flow=flow,
            fields=fields,
        ).info(event)
