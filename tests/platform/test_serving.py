"""The readiness page shows the process state; settings are reloaded."""

import asyncio
import pathlib
import socket

import control_fakes
from gentianspoke_platform import serving
import pytest
import test_boot

from gentianspoke.net import pages

HOST = '127.0.0.1'


def find_free_address():
    """Return an address whose port is free at the time of the call."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return sock.getsockname()


def make_process_with_file(tmp_path):
    path = pathlib.Path(tmp_path) / 'boot.toml'
    path.write_text(test_boot.FRONT)
    return control_fakes.make_process('entry-0'), path


@pytest.mark.parametrize(
    ('triggers', 'path', 'status'),
    [
        ((), '/v1/readiness', 503),
        (('sync',), '/v1/readiness', 503),
        (('sync', 'serve'), '/v1/readiness', 200),
        (('sync', 'serve', 'stop'), '/v1/readiness', 503),
        (('sync', 'serve'), '/', 404),
    ],
)
async def test_only_a_serving_process_is_ready(
    tmp_path, triggers, path, status
):
    proc, file = make_process_with_file(tmp_path)
    for trigger in triggers:
        proc.life.advance(trigger)
    host, port = find_free_address()
    async with serving.serve_role(proc, str(file), f'{host}:{port}'):
        received_status, _ = await pages.fetch_page((host, port), path)
    assert received_status == status


@pytest.mark.parametrize(
    ('old', 'new', 'hosts'),
    [
        ('10.2.0.40:8166', '10.3.0.7:8166', {'10.1.0.10', '10.3.0.7'}),
        # The first "seeds" becomes a number, which is invalid. The process has
        # no addresses before the reload.
        ('seeds', 'seeds = 1 #', set()),
    ],
)
async def test_valid_settings_are_reloaded_and_invalid_ones_ignored(
    tmp_path, old, new, hosts
):
    proc, file = make_process_with_file(tmp_path)
    async with serving.serve_role(proc, str(file), ''):
        file.write_text(test_boot.FRONT.replace(old, new, 1))
        proc.reload()
        await asyncio.sleep(0)
    assert {host for host, _ in proc.sources.list_addresses()} == hosts
