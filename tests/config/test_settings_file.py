"""Invalid settings are refused with a file, a key and a remedy."""

import copy
import os

import pytest
import yaml

from gentianspoke.config import key_file
from gentianspoke.config import settings
from gentianspoke.config import settings_file
from gentianspoke import errors

AGENT = {
    'instance': 'agent-1',
    'zone': 'zone-a',
    'key_file': '/etc/gentianspoke/keys.yaml',
    'feeds': ['127.0.0.1:7000'],
    'agent': {
        'listen': '127.0.0.1:7001',
        'upstream_side': '127.0.0.1:7002',
        'upstream': '127.0.0.1:7003',
        'fabric': '127.0.0.1:7004',
        'services': ['booking'],
    },
}
KEYS = {'active': 1, 'keys': [{'id': 1, 'hex': 'ab' * 16}]}
ABSENT = object()


def copy_with_value(base, key, value):
    """Return a copy of ``base`` with one dotted key set or removed."""
    content = copy.deepcopy(base)
    *parents, last = key.split('.')
    mapping = content
    for name in parents:
        mapping = mapping[name]
    if value is ABSENT:
        del mapping[last]
    else:
        mapping[last] = value
    return content


def get_error_message(tmp_path, text, load=settings_file.load):
    """Return the error message for a file that is refused."""
    path = tmp_path / 'file.yaml'
    path.touch(mode=0o600)
    path.write_text(text)
    with pytest.raises(errors.SettingsError) as caught:
        load(str(path))
    message = str(caught.value)
    assert message.startswith(f'{path}: ')
    assert '\n' not in message
    return message.removeprefix(f'{path}: ')


def test_valid_settings_are_returned_as_data_classes(tmp_path):
    path = tmp_path / 'agent.yaml'
    path.write_text(yaml.safe_dump(AGENT))
    cfg = settings_file.load(str(path))
    match cfg.role:
        case settings.AgentSettings() as role:
            assert (cfg.grace_ms, role.ramp_ms) == (20_000, 10_000)
            assert role.listen == ('127.0.0.1', 7001)
        case _:
            pytest.fail('the role is not the agent that the file configures')


@pytest.mark.parametrize(
    ('key', 'value', 'remedy'),
    [
        ('grce', '20s', 'unknown key'),
        ('agent.lisen', '127.0.0.1:1', 'unknown key'),
        ('agent.listen', ABSENT, 'missing; add it'),
        ('instance', ABSENT, 'missing; add it'),
        ('feeds', ABSENT, 'missing; list the addresses'),
        ('feeds', [], 'missing; list the addresses'),
        ('grace', 20, 'give a duration its unit'),
        ('grace', '20 seconds', 'not a duration'),
        ('grace', '2.5s', 'not a duration'),
        ('agent.ramp', '-1s', 'not a duration'),
        ('agent.listen', 'localhost:7001', 'not an address'),
        ('agent.listen', '127.0.0.1', 'not an address'),
        ('agent.listen', '1.2.3.400:7001', 'not an address'),
        ('agent.listen', '127.0.0.1:70001', 'use one from 1 to 65535'),
        ('agent.listen', '127.0.0.1:0', 'use one from 1 to 65535'),
        ('agent.listen', '0.0.0.0:7001', 'in place of the wildcard'),
        ('agent.listen', None, 'has no value'),
        ('agent.upstream_side', '127.0.0.1:7001', 'is already the address'),
        ('agent.upstream', '127.0.0.1:7002', 'is already the address'),
        ('agent.fabric', '127.0.0.1:7001', 'is already the address'),
        ('agent.services', [], 'at least 1'),
        ('agent.services', ['a', 'a'], 'names a twice'),
        ('agent.slots', '4', 'not a number'),
        ('agent.slots', True, 'not a number'),
        ('agent.slots', 0, 'use at least 1'),
        ('agent.cold_openings_per_s', 5, 'set agent.status'),
        ('agent.weight', 1_001, 'use at most 1000'),
        ('log_level', 'debug', "use 'DEBUG'"),
        ('instance', False, 'put it in quotes'),
        ('instance', 'Agent 1', 'not a name'),
        ('zone', 'x' * 5_000, 'not a name'),
        ('agent', ['listen'], 'not a mapping'),
        ('key_file', '', 'is empty'),
    ],
)
def test_a_bad_value_is_refused_with_its_key(tmp_path, key, value, remedy):
    text = yaml.safe_dump(copy_with_value(AGENT, key, value))
    message = get_error_message(tmp_path, text)
    assert message.startswith(f'{key}: ')
    assert remedy in message


@pytest.mark.parametrize(
    ('key', 'value', 'expected'),
    [
        ('entry', {'listen': '127.0.0.1:1'}, 'entry, agent, control: 2 of'),
        ('agent', ABSENT, 'entry, agent, control: 0 of'),
        ('feeds', ['127.0.0.1:1', 'x'], 'feeds.1: '),
        ('feeds', ['127.0.0.1:1', '127.0.0.1:1'], 'feeds.1: 127.0.0.1:1 is'),
    ],
)
def test_a_wrong_number_of_roles_or_a_bad_list_item_is_refused(
    tmp_path, key, value, expected
):
    text = yaml.safe_dump(copy_with_value(AGENT, key, value))
    assert get_error_message(tmp_path, text).startswith(expected)


@pytest.mark.parametrize(
    ('text', 'expected'),
    [
        pytest.param('', 'must be a mapping', id='empty'),
        pytest.param('- a', 'must be a mapping', id='list'),
        pytest.param('a: [1', 'line 1: not valid YAML', id='open-bracket'),
        pytest.param('a:\n\tb: 1', 'line 2: not valid YAML', id='tab'),
        pytest.param('a: 1\nb: 2\na: 3', 'line 3: ', id='repeated-key'),
        pytest.param('a: &x 1\nb: *x', 'line 2: ', id='alias'),
        pytest.param('a: !!python/name:os.system', 'line 1: ', id='tag'),
        pytest.param('\x00', 'holds characters', id='control-character'),
        pytest.param('[' * 5_000, 'nested too deeply', id='deep-nesting'),
        pytest.param('a: 2026-13-45', 'put it in quotes', id='invalid-date'),
    ],
)
def test_invalid_yaml_is_refused(tmp_path, text, expected):
    assert expected in get_error_message(tmp_path, text)


@pytest.mark.parametrize('name', ['absent', '.', 'bytes'])
def test_a_file_that_cannot_be_read_is_refused(tmp_path, name):
    (tmp_path / 'bytes').write_bytes(b'\xff\xfe')
    with pytest.raises(errors.SettingsError, match='cannot be read'):
        settings_file.load(str(tmp_path / name))


@pytest.mark.parametrize(
    ('key', 'value', 'expected'),
    [
        ('active', 2, 'active: key 2 is not listed'),
        ('keys', [], 'keys: needs at least 1'),
        ('keys', [{'id': 1, 'hex': 'ab'}], 'keys.1: 1 bytes long'),
        ('keys', [{'id': 1, 'hex': 'xy' * 16}], 'keys.0.hex: '),
        ('keys', [{'id': 1, 'hex': 12345678}], 'keys.0.hex: '),
        (
            'keys',
            [dict(key) for key in KEYS['keys'] * 2],
            'keys.1: is given twice',
        ),
    ],
)
def test_a_bad_key_file_is_refused(tmp_path, key, value, expected):
    text = yaml.safe_dump(copy_with_value(KEYS, key, value))
    assert get_error_message(tmp_path, text, key_file.load).startswith(
        expected
    )


@pytest.mark.parametrize('mode', [0o644, 0o604, 0o602, 0o620])
def test_a_key_file_that_others_can_use_is_refused(tmp_path, mode):
    path = tmp_path / 'keys.yaml'
    path.write_text(yaml.safe_dump(KEYS))
    os.chmod(path, mode)
    with pytest.raises(errors.KeyFileError, match='run chmod 600'):
        key_file.load(str(path))


@pytest.mark.parametrize('mode', [0o600, 0o640])
def test_a_key_file_without_rights_for_others_is_accepted(tmp_path, mode):
    path = tmp_path / 'keys.yaml'
    path.write_text(yaml.safe_dump(KEYS))
    os.chmod(path, mode)
    assert key_file.load(str(path)).active_id == 1
