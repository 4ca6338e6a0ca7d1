"""An agent without any control instance hands the processor back.

Guards against a loop over no addresses that never returns to the event loop:
the agent opened no port, and took no signal and no new settings.
"""

import asyncio
import types

import control_fakes
import pytest

from gentianspoke.config import settings
from gentianspoke.shells.agent import heartbeat
from gentianspoke.shells.control import discovery
from gentianspoke.shells.control import joining
from gentianspoke.shells import feed_client
from gentianspoke.shells import process

MAX_ROUNDS = 1_000
OWN_ADDRESS = (control_fakes.HOST, 1)
CONTROL = settings.ControlSettings(OWN_ADDRESS, '', (), 1_000, tolerate=1)


class SourceLoopError(Exception):
    """A loop asked for the addresses again and again without a pause."""


def make_counting_process(monkeypatch):
    """Return a process without seeds that raises on a loop without pauses."""
    proc = control_fakes.make_process('agent-0')
    rounds = []

    def list_addresses():
        rounds.append(None)
        if len(rounds) > MAX_ROUNDS:
            raise SourceLoopError
        return []

    monkeypatch.setattr(proc.sources, 'list_addresses', list_addresses)
    monkeypatch.setattr(proc.sources, 'list_configured', list_addresses)
    return proc


def send_heartbeats(proc):
    """Send heartbeats of an agent whose upstream is known."""
    sender = heartbeat.Heartbeat(proc, None, None)
    sender.upstream_known.set()
    return sender.run()


def follow_feeds(proc):
    """Follow the feeds as an entry does."""
    return feed_client.follow_feeds(proc, 'entry', lambda update: 0)


def request_membership(proc):
    """Ask to be added to the group as an instance with an empty folder."""
    log = control_fakes.FakeLog()
    log.group = types.SimpleNamespace(members=())
    return joining.request_membership(proc, log, CONTROL)


def exchange_with_seeds(proc):
    """Exchange the known group as an instance without a log."""
    return discovery.SeedExchange(proc, None, OWN_ADDRESS).run()


@pytest.mark.parametrize(
    'run',
    [send_heartbeats, follow_feeds, request_membership, exchange_with_seeds],
)
async def test_a_loop_over_no_addresses_pauses(monkeypatch, run):
    proc = make_counting_process(monkeypatch)
    async with process.run_tasks(run(proc)):
        await asyncio.sleep(0.3)
