"""The leader's removal of former pools from the catalogue.

Guards against former pools that are never removed, and against a removal by
an instance that does not lead or that has only just started.
"""

import asyncio
import dataclasses

import builders
import control_fakes
import grpclib
import pytest

from gentianspoke.codec import catalogue
from gentianspoke.core import services
from gentianspoke.decisions.control import catalogue_records
from gentianspoke.generated import catalogue_grpc
from gentianspoke.shells import channel_auth
from gentianspoke.shells.control import documents
from gentianspoke.shells.control import pool_expiry
from gentianspoke.shells import process

PORT = 31_079
TIMEOUT_S = 5.0
# The pools are kept for two lifetimes.
LIFETIME_MS = 100


def put_pools(log, *names):
    for version, name in enumerate(names, 1):
        entry = dataclasses.replace(
            builders.service(), shares=(services.Share(0, 1, name),)
        )
        document = catalogue_records.Document(version, b'text', (entry,))
        request = catalogue_records.Request('', '', (), document)
        assert log.catalogue.apply(request).accepted


def list_former(log):
    (entry,) = log.catalogue.list_entries()
    return [former.name for former in entry.former]


@pytest.mark.parametrize(
    ('is_leader', 'flow_lifetime_ms', 'expected'),
    [
        pytest.param(True, LIFETIME_MS, [], id='leader'),
        pytest.param(False, LIFETIME_MS, ['p'], id='follower'),
        pytest.param(True, 0, ['p'], id='no-limit'),
        pytest.param(True, 3_600_000, ['p'], id='just-started'),
    ],
)
async def test_only_a_leader_removes_pools_that_are_old_enough(
    is_leader, flow_lifetime_ms, expected
):
    log = control_fakes.FakeLog()
    put_pools(log, 'p', 'q')
    log.is_leader = is_leader
    proc = control_fakes.make_process('control-1')
    store = documents.Documents(proc, log)
    task = pool_expiry.expire(proc, log, store, flow_lifetime_ms)
    async with process.run_tasks(task):
        assert list_former(log) == ['p']
        if not expected:
            await control_fakes.wait_until(lambda: not list_former(log))
        else:
            await asyncio.sleep(4 * LIFETIME_MS / 1_000)
    assert list_former(log) == expected


async def test_a_removal_that_a_caller_requests_is_refused():
    # Only the leader knows how old the versions of the catalogue are.
    log = control_fakes.FakeLog()
    put_pools(log, 'p', 'q')
    request = catalogue_records.Request('key', '', (), expire_former_pools=9)
    message = catalogue.encode_request(request)
    async with (
        control_fakes.run_control('control-1', PORT, log) as control,
        channel_auth.open_channel(
            control.address, lambda: control_fakes.KEY_RING, 'test'
        ) as channel,
    ):
        stub = catalogue_grpc.CatalogueStub(channel)
        with pytest.raises(grpclib.GRPCError, match='by control alone'):
            await stub.Apply(message, timeout=TIMEOUT_S)
    assert list_former(log) == ['p']
