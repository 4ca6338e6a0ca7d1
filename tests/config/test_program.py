"""Commands print a result or a one-line error, and set the exit status."""

import json
import pathlib
import socket
import subprocess
import sys

import pytest
import yaml

ROOT = pathlib.Path(__file__).resolve().parents[2]
TIMEOUT_S = 30
KEYS = {'active': 1, 'keys': [{'id': 1, 'hex': 'ab' * 16}]}
EVENT = {
    'event': 'flow-refused',
    'instance': 'entry-0',
    'role': 'entry',
    'logical': 1,
    'wall_ms': 0,
    'flow': 'tcp 10.9.0.1:5000 > 10.1.0.1:443',
    'fields': {'reason': 'no-capacity'},
}


def run_program(*arguments):
    """Run the program; return exit status, standard output and error."""
    completed = subprocess.run(
        [sys.executable, '-m', 'gentianspoke', *map(str, arguments)],
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        env={'PYTHONPATH': str(ROOT / 'src')},
    )
    return completed.returncode, completed.stdout, completed.stderr


def write_entry_settings(tmp_path, **changes):
    """Write the settings and the key file of an entry; return the path."""
    keys = tmp_path / 'keys.yaml'
    keys.touch(mode=0o600)
    keys.write_text(yaml.safe_dump(KEYS))
    content = {
        'instance': 'entry-0',
        'zone': 'zone-a',
        'key_file': str(keys),
        'log_file': str(tmp_path / 'entry-0.log'),
        'feeds': ['127.0.0.1:34990'],
        'entry': {'listen': '127.0.0.1:34991'},
        **changes,
    }
    path = tmp_path / 'entry.yaml'
    path.write_text(yaml.safe_dump(content))
    return path


def test_valid_settings_pass_the_check(tmp_path):
    path = write_entry_settings(tmp_path)
    status, out, err = run_program('config', 'check', path)
    assert (status, err) == (0, '')
    assert out == f'{path}: valid settings of entry-0\n'


@pytest.mark.parametrize('command', [('config', 'check'), ('entry',)])
@pytest.mark.parametrize(
    ('changes', 'expected'),
    [
        ({'grce': '1s'}, 'grce: unknown key'),
        ({'grace': 5}, 'grace: 5 is not text'),
        ({'key_file': '/absent/keys.yaml'}, '/absent/keys.yaml: cannot be'),
    ],
)
def test_invalid_settings_end_with_one_error_line_and_status_2(
    tmp_path, command, changes, expected
):
    path = write_entry_settings(tmp_path, **changes)
    status, out, err = run_program(*command, path)
    assert (status, out) == (2, '')
    assert err.count('\n') == 1
    assert expected in err


def test_an_address_in_use_ends_with_one_error_line_and_status_1(tmp_path):
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as in_use:
        in_use.bind(('127.0.0.1', 0))
        port = in_use.getsockname()[1]
        path = write_entry_settings(
            tmp_path, entry={'listen': f'127.0.0.1:{port}'}
        )
        status, _, err = run_program('entry', path)
    assert status == 1
    assert err.count('\n') == 1
    assert 'cannot start (Address already in use)' in err


@pytest.mark.parametrize(
    ('arguments', 'status', 'expected'),
    [
        (('--version',), 0, '0.1.0'),
        (('--help',), 0, 'timeline'),
        (('timeline',), 2, 'files'),
        (('timeline', 'absent.jsonl'), 2, 'check path and rights'),
        (('timeline', 'LOG'), 0, 'flow-refused'),
        (('timeline', 'LOG', '--json'), 0, '"reason": "no-capacity"'),
        (('timeline', 'LOG', '--since', 'noon'), 2, '--since'),
        (('explain', 'LOG'), 0, 'at fault: upstream (100.0%)'),
        (
            ('explain', 'LOG', '--since', '1970-01-02'),
            0,
            'no process reported',
        ),
        (('explain', 'LOG', '--json'), 0, '"at_fault": "upstream"'),
        (('explain', 'LOG', '--flow', '10.9.9.9'), 0, 'no process reported'),
    ],
)
def test_commands_print_a_result_or_an_error(
    tmp_path, arguments, status, expected
):
    log = tmp_path / 'entry-0.jsonl'
    log.write_text(json.dumps(EVENT) + '\n')
    found_status, out, err = run_program(
        *(log if argument == 'LOG' else argument for argument in arguments)
    )
    assert found_status == status
    assert expected in out + err
