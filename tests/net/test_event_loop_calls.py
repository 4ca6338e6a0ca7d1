"""Periodic calls and datagram handlers that the event loop calls itself."""

import asyncio

import pytest

from gentianspoke.net import batched_writes
from gentianspoke.net import datagrams
from gentianspoke.net import periodic

TIMEOUT_S = 5.0


class RecordingTransport:
    """A transport that records its calls."""

    def __init__(self):
        self.calls = []

    def write(self, data):
        self.calls.append(data)

    def close(self):
        self.calls.append('close')


async def call_failing_handler(handle):
    """Call ``handle`` from a datagram that arrives at a socket."""
    with datagrams.open_datagrams(('127.0.0.1', 0)) as sock:
        sock.send(b'x', sock.address)
        await sock.handle_bursts(handle)


async def call_failing_function(handle):
    """Call ``handle`` periodically."""
    await periodic.call_periodically(0.001, lambda: handle([]))


@pytest.mark.parametrize('call', [call_failing_handler, call_failing_function])
async def test_an_error_of_the_called_function_ends_the_task(call):
    """Guard against a process that goes on without one of its tasks."""
    calls = []

    def fail(burst):
        calls.append(burst)
        raise ValueError('fault')

    async with asyncio.timeout(TIMEOUT_S):
        with pytest.raises(ValueError, match='fault'):
            await call(fail)
    assert len(calls) == 1


async def test_a_cancelled_task_calls_its_function_no_more():
    """Guard against calls with the state of a task that has ended."""
    calls = []
    called = asyncio.Event()

    def count():
        calls.append(1)
        called.set()

    task = asyncio.create_task(periodic.call_periodically(0.001, count))
    async with asyncio.timeout(TIMEOUT_S):
        await called.wait()
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
    call_count = len(calls)
    await asyncio.sleep(0.01)
    assert len(calls) == call_count


MANY_BYTES = bytes(batched_writes.MAX_BATCH_BYTES)


@pytest.mark.parametrize(
    ('writes', 'closes', 'before', 'after'),
    [
        pytest.param([b'a', b'b'], False, [], [b'ab'], id='batch'),
        pytest.param([], False, [], [], id='nothing'),
        pytest.param(
            [b'a'], True, [b'a', 'close'], [b'a', 'close'], id='close'
        ),
        pytest.param(
            [MANY_BYTES, b'b'],
            False,
            [MANY_BYTES],
            [MANY_BYTES, b'b'],
            id='large',
        ),
    ],
)
async def test_writes_are_sent_together_and_in_order(
    writes, closes, before, after
):
    """Guard against data that is lost, reordered or held without limit."""
    recorder = RecordingTransport()
    transport = batched_writes.BatchingTransport(recorder)
    for data in writes:
        transport.write(data)
    if closes:
        transport.close()
    assert recorder.calls == before
    await asyncio.sleep(0)
    assert recorder.calls == after
