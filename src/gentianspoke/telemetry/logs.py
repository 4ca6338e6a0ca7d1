"""JSON-lines logs through loguru; events are log lines with a clock."""

import json
import sys
import typing

import loguru

from gentianspoke import clock
from gentianspoke.generated import event_model

EVENT_FIELDS = frozenset(event_model.Event.model_fields)


def _format_line(record: typing.Any) -> str:
    line = {
        'level': record['level'].name,
        'message': record['message'],
        **record['extra'],
    }
    text = json.dumps(line, separators=(',', ':'), default=str)
    record['extra_line'] = text
    return '{extra_line}\n'


def configure(log_file: str | None, level: str) -> None:
    """Send the logs of this process as JSON lines to a file or stderr."""
    loguru.logger.remove()
    loguru.logger.add(log_file or sys.stderr, level=level, format=_format_line)


class EventLog:
    """Writes the events of one process for the time line.

    Every event carries a logical clock (Lamport, "Time, clocks, and the
    ordering of events in a distributed system", 1978), so that events of
    several processes are ordered without trust in their wall clocks.
    """

    def __init__(self, instance: str, role: str, time: clock.Clock) -> None:
        """Begin the logical clock of a process at zero."""
        self.logical = 0
        self._clock = time
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
        """Write one event; ``fields`` is the evidence for it."""
        self.logical += 1
        self._logger.bind(
            event=event,
            logical=self.logical,
            wall_ms=self._clock.wall(),
            service=service,
            flow=flow,
            fields=fields,
        ).info(event)
