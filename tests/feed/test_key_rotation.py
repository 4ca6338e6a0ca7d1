"""Tests that keys rotate without a restart and invalid files are ignored."""

import dataclasses
import os
import signal

import control_fakes
import pytest
import yaml

from gentianspoke.config import key_file
from gentianspoke import errors
from gentianspoke.shells import process

OLD_KEY = {'id': 1, 'hex': '11' * 32}
NEW_KEY = {'id': 2, 'hex': '22' * 32}


def write_keys(path, active, *keys):
    path.write_text(yaml.safe_dump({'active': active, 'keys': list(keys)}))
    path.chmod(0o600)


@pytest.mark.parametrize(
    ('active', 'written_keys', 'keys_in_use'),
    [
        pytest.param(
            1, (OLD_KEY, NEW_KEY), (1, {1, 2}), id='accepts-the-new-key'
        ),
        pytest.param(
            2, (OLD_KEY, NEW_KEY), (2, {1, 2}), id='signs-with-the-new-key'
        ),
        pytest.param(2, (NEW_KEY,), (2, {2}), id='drops-the-old-key'),
        pytest.param(3, (OLD_KEY, NEW_KEY), (1, {1}), id='active-key-missing'),
        pytest.param(1, (), (1, {1}), id='no-key'),
        pytest.param(
            2, (OLD_KEY, {'id': 2, 'hex': '22'}), (1, {1}), id='short-key'
        ),
    ],
)
async def test_a_signal_reloads_the_key_file_if_it_is_valid(
    tmp_path, active, written_keys, keys_in_use
):
    path = tmp_path / 'keys.yaml'
    write_keys(path, 1, OLD_KEY)
    template = control_fakes.make_process('entry-1')
    cfg = dataclasses.replace(template.cfg, key_file=str(path))
    async with process.run_process(cfg, 'entry') as proc:
        proc.life.advance('serve')
        write_keys(path, active, *written_keys)
        events_before = proc.events.logical
        os.kill(os.getpid(), signal.SIGHUP)
        await control_fakes.wait_until(
            lambda: proc.events.logical > events_before
        )
        assert (proc.ring.active_id, set(proc.ring.keys)) == keys_in_use


def test_a_key_file_that_others_can_read_is_refused(tmp_path):
    path = tmp_path / 'keys.yaml'
    write_keys(path, 1, OLD_KEY)
    path.chmod(0o644)
    with pytest.raises(errors.KeyFileError, match='chmod 600'):
        key_file.load(str(path))
