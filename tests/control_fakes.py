"""Run control instances in the test's process, with a fake catalogue log."""

import asyncio
import contextlib

import grpclib.server
import local_log
import loopback

from gentianspoke import clock
from gentianspoke.codec import keys
from gentianspoke.config import settings
from gentianspoke.decisions import lifecycle
from gentianspoke.shells import channel_auth
from gentianspoke.shells.control import catalogue_service
from gentianspoke.shells.control import feed_service
from gentianspoke.shells.control import hub
from gentianspoke.shells.control import leadership
from gentianspoke.shells.control import relay
from gentianspoke.shells import process
from gentianspoke.telemetry import logs
from gentianspoke.telemetry import metrics

KEY_RING = keys.KeyRing(1, {1: b'k' * 32})
HOST = loopback.HOST
LEASE_MS = 200


class FakeLog(local_log.LocalLog):
    """A catalogue log whose leader and confirmed age the test sets.

    ``get_confirmed_age_ms`` returns ``reported_age_ms`` as the time since a
    majority last confirmed the log's state.
    """

    def __init__(self, catalogue=None):
        super().__init__()
        if catalogue is not None:
            self.catalogue = catalogue
        self.reported_age_ms = 0

    def get_confirmed_age_ms(self):
        return self.reported_age_ms


def make_process(name, feeds=(), role=None, grace_ms=0):
    """Return a ``Process`` without files, signals or a metrics page."""
    role = role or settings.EntrySettings((HOST, 1))
    cfg = settings.Settings(
        instance=name,
        zone='zone-a',
        key_file='',
        log_file=None,
        log_level='INFO',
        metrics=None,
        grace_ms=grace_ms,
        feeds=tuple(feeds),
        role=role,
    )
    own_clock = clock.Clock()
    return process.Process(
        cfg=cfg,
        clock=own_clock,
        ring=KEY_RING,
        events=logs.EventLog(name, 'test', own_clock),
        metrics=metrics.Metrics(name, 'test'),
        life=lifecycle.Lifecycle(lambda state: None),
        stop=asyncio.Event(),
    )


class ControlInstance:
    """The parts of one control instance, without its server."""

    def __init__(self, name, port, log, lease_ms=LEASE_MS):
        self.address = (HOST, port)
        self.log = log
        self.proc = make_process(name)
        self.hub = hub.Hub(log, self.proc.clock)
        self.leadership = leadership.Leadership(
            self.proc, log, self.hub, lease_ms
        )
        self.relay = relay.Relay(self.proc, log, self.hub)
        self.feed = feed_service.FeedService(
            self.proc, log, self.hub, self.leadership, self.relay
        )
        self.catalogue_service = catalogue_service.CatalogueService(
            self.proc, log, self.hub
        )


@contextlib.asynccontextmanager
async def run_control(name, port, log, lease_ms=LEASE_MS):
    """Run a control instance that listens on a loopback port."""
    control = ControlInstance(name, port, log, lease_ms)
    server = grpclib.server.Server([control.feed, control.catalogue_service])
    channel_auth.protect_server(server, control.proc.get_current_ring)
    await server.start(*control.address)
    try:
        async with process.run_tasks(
            control.leadership.tick(),
            control.relay.follow_leader(),
            control.hub.watch_catalogue(),
        ):
            yield control
    finally:
        server.close()
        await server.wait_closed()


async def wait_until(condition, timeout_s=15.0):
    """Wait until a condition holds.

    The timeout only ends tests that would otherwise hang.
    """
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.01)
