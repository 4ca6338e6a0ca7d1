"""A configuration file is checked by the reader that control uses.

Guards against a check that passes what control refuses.
"""

import json

import cappa
import pytest

from gentianspoke.commands import root
from gentianspoke import errors

READER = 'gentianspoke_platform.configuration_file'
ROUTE = {
    'name': 'r-1',
    'host': '198.18.0.1',
    'path_prefix': '/8443/',
    'kind': 'safe',
    'timeout_ms': 1_500,
    'backends': [
        {'service': 'a', 'weight': 90},
        {'service': 'b', 'weight': 10},
    ],
}


def write(folder, name, *routes):
    content = {
        'version': 7,
        'routes': list(routes),
        'services': [{'name': 'a'}, {'name': 'b'}],
        'limits': {'idle_timeout_ms': 15_000},
    }
    path = folder / name
    path.write_text(json.dumps(content))
    return path


def check(*arguments):
    cappa.invoke(
        root.Gentianspoke,
        argv=[
            'config',
            'check-catalogue',
            '--json',
            '--reader',
            READER,
            *map(str, arguments),
        ],
    )


def test_a_route_that_is_left_out_is_listed_as_removed(tmp_path, capsys):
    other = ROUTE | {'name': 'r-2', 'host': '198.18.0.2'}
    old = write(tmp_path, 'old.json', ROUTE, other)
    new = write(tmp_path, 'new.json', ROUTE)
    check(new, '--against', old)
    content = json.loads(capsys.readouterr().out)
    assert [item['entry'] for item in content['differences']] == ['r-2']


@pytest.mark.parametrize(
    ('changes', 'finding'),
    [
        pytest.param({}, None, id='valid'),
        pytest.param(
            {
                'backends': [
                    {'service': 'a', 'weight': 1},
                    {'service': 'b', 'weight': 0},
                ]
            },
            'the pool b gets no flow',
            id='weight-0',
        ),
    ],
)
def test_the_pools_of_a_route_are_checked(tmp_path, capsys, changes, finding):
    check(write(tmp_path, 'new.json', ROUTE | changes))
    texts = [
        item['text']
        for item in json.loads(capsys.readouterr().out)['findings']
    ]
    assert [finding in text for text in texts] == [True] * bool(finding)


@pytest.mark.parametrize(
    'changes',
    [
        pytest.param({'kind': 'other'}, id='unknown-kind'),
        pytest.param({'service': 'c'}, id='unknown-service'),
    ],
)
def test_what_control_refuses_is_refused(tmp_path, changes):
    with pytest.raises(errors.CatalogueFileError):
        check(write(tmp_path, 'new.json', ROUTE | changes))
