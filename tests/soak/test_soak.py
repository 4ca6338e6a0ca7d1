"""Tests that the soak draws and injects faults and detects violations."""

import asyncio
import contextlib
import random
import subprocess
import sys

import loopback
import pytest

from soak import environment
from soak import faults
from soak import injection
from soak import mechanisms
from soak import program
from soak import proxy
from soak import running

TARGETS = faults.Targets(
    ('control-0', 'control-1'), ('entry-0',), ('agent-0',)
)
PHASE_S = 60.0
RUN_S = 8.0
# Seeds of runs that failed in the past, each with the cause of the failure.
REGRESSION_SEEDS = {
    32: 'a process that could not write ended at least 0.4 s after its disk'
    ' had room again, when the check no longer allowed an exit',
}
PROXY_PORT = 24_700
BASE_PORT = 24_000


@pytest.mark.parametrize(
    'draw_fault', [faults.draw_planned_operation, faults.draw_unplanned_fault]
)
def test_equal_seeds_give_equal_faults(draw_fault):
    first, second = (
        faults.draw_phase(random.Random(3), TARGETS, PHASE_S, draw_fault)
        for _ in range(2)
    )
    assert first == second
    assert [fault.start_offset_s for fault in first] == sorted(
        fault.start_offset_s for fault in first
    )


def test_every_kind_of_fault_is_drawn():
    rng = random.Random(1)
    drawn_kinds = {
        type(faults.draw_unplanned_fault(rng, TARGETS)) for _ in range(500)
    }
    drawn_kinds |= {
        type(faults.draw_planned_operation(rng, TARGETS)) for _ in range(500)
    }
    kinds = faults.PlannedOperation.__args__ + faults.UnplannedFault.__args__
    assert drawn_kinds == set(kinds)


async def echo(reader, writer):
    with contextlib.closing(writer), contextlib.suppress(OSError):
        while chunk := await reader.read(100):
            writer.write(chunk)


@contextlib.asynccontextmanager
async def open_proxied_connection():
    """Yield a proxy in front of an echo server and a connection through it."""
    fault_proxy = proxy.Proxy((loopback.HOST, PROXY_PORT))
    server = await asyncio.start_server(echo, loopback.HOST, PROXY_PORT + 1)
    async with server, fault_proxy.run((loopback.HOST, PROXY_PORT + 1)):
        reader, writer = await asyncio.open_connection(
            loopback.HOST, PROXY_PORT
        )
        yield fault_proxy, reader, writer
        writer.close()


async def exchange_byte(reader, writer):
    """Send a byte and return the answer, empty if none arrives in 0.3 s."""
    writer.write(b'x')
    try:
        async with asyncio.timeout(0.3):
            return await reader.read(100)
    except TimeoutError:
        return b''


@pytest.mark.parametrize(
    ('inject', 'answer'),
    [
        pytest.param(lambda fault_proxy: None, b'x', id='no-fault'),
        pytest.param(
            lambda fault_proxy: setattr(fault_proxy, 'lost_direction', 'to'),
            b'',
            id='bytes-to-target-dropped',
        ),
        pytest.param(
            lambda fault_proxy: setattr(fault_proxy, 'lost_direction', 'from'),
            b'',
            id='bytes-from-target-dropped',
        ),
        pytest.param(
            lambda fault_proxy: fault_proxy.silence(), b'', id='silenced'
        ),
        pytest.param(
            lambda fault_proxy: setattr(fault_proxy, 'delay_s', 0.05),
            b'x',
            id='bytes-delayed',
        ),
    ],
)
async def test_a_proxy_injects_faults_into_open_connections(inject, answer):
    async with open_proxied_connection() as (fault_proxy, reader, writer):
        assert await exchange_byte(reader, writer) == b'x'
        inject(fault_proxy)
        assert await exchange_byte(reader, writer) == answer


async def test_a_proxy_resets_open_connections():
    async with open_proxied_connection() as (fault_proxy, reader, writer):
        assert await exchange_byte(reader, writer) == b'x'
        assert fault_proxy.reset() == 1
        # The client may read the end of the stream instead of a reset.
        with pytest.raises(ConnectionResetError):
            while await reader.read(100):
                pass
            raise ConnectionResetError


def test_a_failed_check_is_recorded_as_a_violation():
    run_record = environment.RunRecord()
    run_record.check('name', True)
    run_record.check('name', False, 'seen')
    assert (run_record.checks['name'], run_record.violations) == (
        2,
        ['name: seen'],
    )


def test_the_wall_clock_jumps_and_returns(monkeypatch):
    now_s = [0.0]
    monkeypatch.setattr(program.time, 'time_ns', lambda: 10**18)
    monkeypatch.setattr(program.time, 'time', program.time.time)
    monkeypatch.setattr(program.time, 'monotonic', lambda: now_s[0])
    program.skew_wall_clock(random.Random(1))
    wall_times_ns = set()
    for step in range(20):
        now_s[0] = step * program.SKEW_PERIOD_S / 4
        wall_times_ns.add(program.time.time_ns())
    assert len(wall_times_ns) == 2 and 10**18 in wall_times_ns


@pytest.mark.parametrize('mechanism', mechanisms.Mechanism)
def test_disabling_a_mechanism_replaces_an_existing_attribute(
    mechanism, monkeypatch
):
    calls = []
    monkeypatch.setattr(
        mechanisms,
        'setattr',
        lambda *args: calls.append(args),
        raising=False,
    )
    mechanisms.disable(mechanism)
    ((owner, name, _),) = calls
    assert hasattr(owner, name)


@pytest.mark.parametrize('seed', [1, *REGRESSION_SEEDS])
async def test_a_short_run_violates_no_check(seed, tmp_path):
    options = running.Options(seed, RUN_S, BASE_PORT, tmp_path)
    run_record = await running.run(options)
    assert run_record.violations == []
    assert run_record.faults and run_record.checks['flows seen by callers'] > 0


async def test_a_proxy_closes_a_silent_connection_that_both_sides_ended():
    async def answer_once(reader, writer):
        with contextlib.closing(writer):
            writer.write(await reader.read(100))
            await end_requested.wait()

    end_requested = asyncio.Event()
    fault_proxy = proxy.Proxy((loopback.HOST, PROXY_PORT))
    server = await asyncio.start_server(
        answer_once, loopback.HOST, PROXY_PORT + 1
    )
    async with server, fault_proxy.run((loopback.HOST, PROXY_PORT + 1)):
        reader, writer = await asyncio.open_connection(
            loopback.HOST, PROXY_PORT
        )
        with contextlib.closing(writer):
            assert await exchange_byte(reader, writer) == b'x'
            (connection,) = fault_proxy._connections
            fault_proxy.silence()
        end_requested.set()
        async with asyncio.timeout(10):
            while fault_proxy._connections:
                await asyncio.sleep(0.01)
        assert connection.client_writer.is_closing()
        assert connection.target_writer.is_closing()


def test_limiting_the_file_size_of_an_ended_process_raises_no_error():
    ended_process = subprocess.Popen([sys.executable, '-c', ''])
    ended_process.wait()
    injection._limit_file_size(
        ended_process.pid, injection.FULL_DISK_MAX_FILE_BYTES
    )
