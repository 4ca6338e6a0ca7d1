"""The control process itself."""

import grpclib.server

from gentianspoke.config import settings
from gentianspoke import errors
from gentianspoke.shells import channel_auth
from gentianspoke.shells.control import catalogue_service
from gentianspoke.shells.control import feed_service
from gentianspoke.shells.control import hub
from gentianspoke.shells.control import leadership
from gentianspoke.shells.control import local_log
from gentianspoke.shells.control import relay
from gentianspoke.shells import process


async def run(cfg: settings.Settings) -> None:
    """Run a control instance until a planned stop."""
    match cfg.role:
        case settings.ControlSettings() as role:
            pass
        case _:
            raise errors.SettingsError(
                'settings', 'control', 'missing; add it'
            )
    async with process.run_process(cfg, 'control') as proc:
        log = local_log.LocalLog()
        consumers = hub.Hub(log, proc.clock)
        lead = leadership.Leadership(proc, log, consumers, role.lease_ms)
        relayed = relay.Relay(proc, log, consumers)
        feed = feed_service.FeedService(proc, log, consumers, lead, relayed)
        operators = catalogue_service.CatalogueService(proc, log, consumers)
        server = grpclib.server.Server([feed, operators])
        channel_auth.protect_server(
            server, proc.current_ring, on_refused=proc.write_refused_call
        )
        await server.start(*role.listen)
        proc.life.advance('serve')
        async with process.run_tasks(
            lead.tick(), relayed.follow_leader(), consumers.watch_catalogue()
        ):
            await proc.stop.wait()
            proc.life.advance('stop')
        server.close()
        await server.wait_closed()
