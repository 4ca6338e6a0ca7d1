"""Test which log records of libraries reach the log of a process."""

import json
import logging

import loguru
import pytest

from gentianspoke.telemetry import logs


@pytest.mark.parametrize(
    ('level', 'library_level', 'is_written'),
    [
        ('INFO', logging.INFO, False),
        ('INFO', logging.WARNING, True),
        ('DEBUG', logging.DEBUG, True),
        ('ERROR', logging.WARNING, False),
    ],
)
def test_library_records_below_warning_are_written_only_at_debug(
    tmp_path, level, library_level, is_written
):
    path = tmp_path / 'log.jsonl'
    logs.configure(str(path), level)
    logging.getLogger('transitions').log(library_level, 'state changed')
    loguru.logger.remove()
    lines = path.read_text().splitlines()
    messages = [json.loads(line)['message'] for line in lines]
    assert messages == (['state changed'] if is_written else [])
