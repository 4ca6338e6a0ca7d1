"""Catalogue entries are checked before they are sent.

Guards against entries that have no effect or contradict each other, and that
operators notice only once they are in force.
"""

import json
import pathlib

import cappa
import pytest
import yaml

from gentianspoke.commands import root

EXAMPLES = pathlib.Path(__file__).resolve().parents[2] / 'examples'
BOOKING = {
    'name': 'booking',
    'owner': 'yard',
    'address': '10.1.0.1',
    'ports': [8002],
    'class': 'booking',
    'limits': {'wait': '300ms'},
}
BOARD = BOOKING | {
    'name': 'board',
    'ports': [8001],
    'class': 'board',
    'limits': {},
}


def run_check(capsys, *arguments):
    """Return the exit status, findings and differences of a check."""
    status = 0
    try:
        cappa.invoke(
            root.Gentianspoke,
            argv=['config', 'check-catalogue', '--json', *map(str, arguments)],
        )
    except SystemExit as exc:
        status = exc.code
    content = json.loads(capsys.readouterr().out)
    return status, content['findings'], content['differences']


def write(folder, name, *entries):
    path = folder / name
    path.write_text(yaml.safe_dump({'services': list(entries)}))
    return path


@pytest.mark.parametrize(
    ('changes', 'severity', 'field'),
    [
        pytest.param({}, None, None, id='valid'),
        pytest.param(
            {'address': '0.0.0.0'}, 'error', 'address', id='no-such-address'
        ),
        pytest.param(
            {'address': '224.0.0.9'}, 'error', 'address', id='multicast'
        ),
        pytest.param(
            {'ports': [8001, 8002]}, 'error', 'ports', id='port-of-another'
        ),
        pytest.param(
            {'limits': {'wait': '1s', 'queue': 0}},
            'warning',
            'limits.wait_ms',
            id='wait-without-queue',
        ),
        pytest.param(
            {'limits': {}}, 'warning', 'limits.queue', id='queue-without-wait'
        ),
        pytest.param(
            {'limits': {'wait': '1s', 'slots': 9, 'connections': 8}},
            'warning',
            'limits.slots',
            id='more-slots-than-connections',
        ),
        pytest.param(
            {'limits': {'wait': '2m', 'idle': '1m'}},
            'warning',
            'limits.wait_ms',
            id='wait-beyond-idle',
        ),
        pytest.param(
            {'class': 'board'}, 'warning', 'limits.wait_ms', id='never-waits'
        ),
    ],
)
def test_an_entry_is_checked(tmp_path, capsys, changes, severity, field):
    path = write(tmp_path, 'new.yaml', BOARD, BOOKING | changes)
    status, findings, _ = run_check(capsys, path)
    expected = [(severity, 'booking', field)] if severity else []
    found = [
        (item['severity'], item['entry'], item['field']) for item in findings
    ]
    assert found == expected
    assert status == (2 if severity == 'error' else 0)


def test_an_entry_must_not_take_a_port_of_an_entry_in_force(tmp_path, capsys):
    new = write(tmp_path, 'new.yaml', BOOKING | {'ports': [8001]})
    old = write(tmp_path, 'old.yaml', BOARD)
    status, findings, _ = run_check(capsys, new, '--against', old)
    assert (status, findings[0]['field']) == (2, 'ports')


def test_differences_from_the_entries_in_force_are_listed(tmp_path, capsys):
    changed = BOOKING | {'limits': {'wait': '400ms'}}
    new = write(tmp_path, 'new.yaml', changed)
    old = write(tmp_path, 'old.yaml', BOARD, BOOKING)
    status, _, differences = run_check(capsys, new, '--against', old)
    assert (status, differences) == (
        0,
        [
            {
                'entry': 'booking',
                'field': 'limits.wait_ms',
                'old': '300',
                'new': '400',
            }
        ],
    )


@pytest.mark.parametrize('path', sorted(EXAMPLES.glob('*/catalogue.yaml')))
def test_the_examples_have_no_errors(path, capsys):
    status, _, _ = run_check(capsys, path)
    assert status == 0
