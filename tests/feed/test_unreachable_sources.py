"""Tests that a consumer leaves a source that is unreachable."""

import asyncio

import control_fakes
import grpclib.client
import pytest

from gentianspoke.shells import feed_client

TIMEOUT_S = 5.0


@pytest.fixture(autouse=True)
def short_timeouts(monkeypatch):
    """Shorten the time after which a consumer leaves a silent source."""
    monkeypatch.setattr(feed_client, 'FIRST_REPLY_TIMEOUT_MS', 50)


async def wait_forever(*_, **__):
    """Wait forever, as a connection to a crashed machine does."""
    await asyncio.Event().wait()


@pytest.mark.parametrize(
    ('owner', 'method'),
    [
        pytest.param(
            grpclib.client.Channel, '_create_connection', id='no-connection'
        ),
        pytest.param(
            grpclib.client.Stream, 'send_message', id='source-reads-nothing'
        ),
    ],
)
async def test_a_consumer_leaves_an_unreachable_source(
    monkeypatch, owner, method
):
    monkeypatch.setattr(owner, method, wait_forever)
    proc = control_fakes.make_process('entry-0')
    feed = feed_client.FeedConsumer(proc, 'entry', lambda update: 0)
    async with asyncio.timeout(TIMEOUT_S):
        await feed.follow(('127.0.0.1', 9))
    assert not feed.is_confirmed
