"""Test that log files with incomplete or unknown lines can be read.

A crash can cut the last line short, rotation splits the log of an instance
into several files, and other programs can write into the same file.
"""

import json
import logging

import loguru
import pytest

from gentianspoke import clock
from gentianspoke import errors
from gentianspoke.telemetry import event_files
from gentianspoke.telemetry import logs


def make_line(logical, instance='a', wall_ms=0):
    """Return the log line of an event."""
    content = {
        'level': 'INFO',
        'message': 'some-kind',
        'instance': instance,
        'role': 'agent',
        'event': 'some-kind',
        'logical': logical,
        'wall_ms': wall_ms,
        'service': '',
        'flow': '',
        'fields': {},
    }
    return json.dumps(content) + '\n'


def read_streams(paths):
    """Return the logical clocks of each stream and the counts of lines."""
    counts = event_files.ReadCounts()
    streams = event_files.open_streams([str(path) for path in paths], counts)
    return [[event.logical for event in stream] for stream in streams], counts


@pytest.mark.parametrize(
    ('content', 'logical', 'unrecognized', 'truncated'),
    [
        pytest.param(
            make_line(1) + make_line(2)[:40],
            [1],
            0,
            1,
            id='truncated-last-line',
        ),
        pytest.param(
            make_line(1) + make_line(2)[:-1], [1, 2], 0, 0, id='no-line-end'
        ),
        pytest.param(
            make_line(1) + 'Traceback:\n' + make_line(2),
            [1, 2],
            1,
            0,
            id='unrecognized',
        ),
        pytest.param(make_line(1) + '[]\n', [1], 1, 0, id='not-an-object'),
        pytest.param(
            make_line(1) + '{"event": "x"}\n',
            [1],
            1,
            0,
            id='event-without-required-fields',
        ),
        pytest.param(
            make_line(1) + '[' * 90_000 + '\n', [1], 1, 0, id='deeply-nested'
        ),
        pytest.param(
            make_line(1) + '{"level": "INFO"}\n', [1], 0, 0, id='log-line'
        ),
        pytest.param('', None, 0, 0, id='empty'),
    ],
)
def test_unrecognized_and_truncated_lines_and_empty_files_are_counted(
    tmp_path, content, logical, unrecognized, truncated
):
    path = tmp_path / 'a.jsonl'
    path.write_text(content)
    streams, counts = read_streams([path])
    assert streams == ([logical] if logical is not None else [])
    assert (counts.unrecognized_lines, counts.truncated_lines) == (
        unrecognized,
        truncated,
    )
    assert bool(counts.files_without_events) == (logical is None)


def test_a_line_that_is_not_utf_8_is_unrecognized(tmp_path):
    path = tmp_path / 'a.jsonl'
    path.write_bytes(b'\xff\xfe\n' + make_line(1).encode())
    streams, counts = read_streams([path])
    assert (streams, counts.unrecognized_lines) == ([[1]], 1)


def test_rotated_files_of_an_instance_form_one_stream(tmp_path):
    files = {'new': (3, 'a', 30), 'old': (1, 'a', 10), 'other': (2, 'b', 20)}
    for name, fields in files.items():
        (tmp_path / name).write_text(make_line(*fields))
    streams, _ = read_streams(tmp_path / name for name in files)
    assert sorted(streams) == [[1, 3], [2]]


def test_the_error_for_a_missing_file_names_the_remedy(tmp_path):
    with pytest.raises(errors.LogFileError, match='check path and rights'):
        read_streams([tmp_path / 'absent'])


def test_a_restarted_process_continues_its_logical_clock(tmp_path):
    path = tmp_path / 'a.jsonl'
    path.write_text(make_line(41) + make_line(42)[:30])
    logical = logs.read_last_logical_clock(str(path))
    logs.configure(str(path), 'INFO')
    log = logs.EventLog('a', 'agent', clock.ManualClock(), logical)
    log.write('process-syncing')
    loguru.logger.remove()
    streams, counts = read_streams([path])
    assert streams == [[41, 42]]
    assert counts.unrecognized_lines == 1


def test_a_log_record_of_a_library_is_a_json_line_with_traceback(tmp_path):
    path = tmp_path / 'a.jsonl'
    logs.configure(str(path), 'INFO')
    try:
        raise ValueError('lost {stream}')
    except ValueError:
        logging.getLogger('library').exception('not sent: %s', '{1}')
    loguru.logger.remove()
    (content,) = map(json.loads, path.read_text().splitlines())
    assert content['message'] == 'not sent: {1}'
    assert 'ValueError: lost {stream}' in content['exception']
