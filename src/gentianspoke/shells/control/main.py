"""The control process, from its settings to its planned stop."""

import collections.abc
import contextlib
import typing

from gentianspoke.config import settings
from gentianspoke.config import units
from gentianspoke import errors
from gentianspoke.net import batched_writes
from gentianspoke.shells import channel_auth
from gentianspoke.shells.control import catalogue_service
from gentianspoke.shells.control import discovery
from gentianspoke.shells.control import feed_service
from gentianspoke.shells.control import forming
from gentianspoke.shells.control import hub
from gentianspoke.shells.control import joining
from gentianspoke.shells.control import leadership
from gentianspoke.shells.control import members_service
from gentianspoke.shells.control import monitor
from gentianspoke.shells.control import open_log
from gentianspoke.shells.control import operations
from gentianspoke.shells.control import peers
from gentianspoke.shells.control import pool_expiry
from gentianspoke.shells.control import referrals
from gentianspoke.shells.control import relay
from gentianspoke.shells.control import replica_service
from gentianspoke.shells.control import replicated_log
from gentianspoke.shells.control import stopping
from gentianspoke.shells import feed_client
from gentianspoke.shells import front_end
from gentianspoke.shells import process


async def run(
    cfg: settings.Settings,
    own_front_end: front_end.FrontEnd[operations.Operations] | None = None,
) -> None:
    """Run a control instance until a planned stop.

    An instance without a data folder keeps no log. It follows the feed of
    the others, to refer clients to the group and to its leader. Raises
    :class:`gentianspoke.errors.SettingsError` if the settings are those of
    another role.
    """
    own_front_end = own_front_end or front_end.make_default_front_end()
    match cfg.role:
        case settings.ControlSettings() as control_settings:
            pass
        case _:
            raise errors.SettingsError(
                'settings', 'control', 'missing; add it'
            )
    async with process.run_process(cfg, 'control') as proc:
        if not control_settings.data_folder:
            await _run_without_log(proc, control_settings, own_front_end)
            return
        with open_log.open_log(proc, control_settings) as log:
            await _run_with_log(proc, log, control_settings, own_front_end)


async def _run_without_log(
    proc: process.Process,
    control_settings: settings.ControlSettings,
    own_front_end: front_end.FrontEnd[operations.Operations],
) -> None:
    services: list[typing.Any] = [
        discovery.DiscoveryService(proc, None),
        referrals.ReferringFeed(proc),
        referrals.ReferringMembers(proc),
        referrals.ReferringCatalogue(proc),
    ]
    async with (
        _serve(proc, services, control_settings.listen),
        process.run_tasks(
            discovery.SeedExchange(proc, None, control_settings.listen).run(),
            feed_client.follow_feeds(
                proc,
                referrals.OBSERVER,
                lambda update: _handle_update(proc, update),
            ),
        ),
        own_front_end.serve(proc, operations.create_operations(proc, None)),
    ):
        await proc.stop.wait()
        proc.life.advance('stop')


def _handle_update(proc: process.Process, update: feed_client.Update) -> int:
    match update:
        case feed_client.SourceConfirmation(catalogue_version=version):
            if proc.life.state == 'syncing':
                proc.life.advance('serve')
            return version
        case _:
            return 0


async def _run_with_log(
    proc: process.Process,
    log: replicated_log.ReplicatedLog,
    control_settings: settings.ControlSettings,
    own_front_end: front_end.FrontEnd[operations.Operations],
) -> None:
    feed_hub = hub.Hub(log, proc.clock)
    own_leadership = leadership.Leadership(
        proc,
        log,
        feed_hub,
        control_settings.lease_ms,
        control_settings.retention_ms,
    )
    view_relay = relay.Relay(proc, log, feed_hub)
    services: list[typing.Any] = [
        feed_service.FeedService(
            proc, log, feed_hub, own_leadership, view_relay
        ),
        catalogue_service.CatalogueService(proc, log, feed_hub),
        replica_service.ReplicaService(proc, log),
        members_service.MembersService(proc, log),
        discovery.DiscoveryService(proc, log),
    ]
    own_operations = operations.create_operations(proc, log)
    async with (
        _serve(proc, services, control_settings.listen),
        process.run_tasks(
            log.run(),
            log.tick(),
            log.propose(),
            peers.Peers(proc, log).run(),
            forming.form_group(proc, log, control_settings),
            own_leadership.tick(),
            view_relay.follow_leader(),
            feed_hub.watch_catalogue(),
            monitor.report_state(proc, log),
            joining.request_membership(proc, log, control_settings),
            discovery.SeedExchange(proc, log, control_settings.listen).run(),
            pool_expiry.expire(
                proc,
                log,
                own_operations.documents,
                control_settings.flow_lifetime_ms,
            ),
            _mark_serving(proc, log),
        ),
        own_front_end.serve(proc, own_operations),
    ):
        await proc.stop.wait()
        proc.life.advance('stop')
        await stopping.give_up_vote(proc, log)


@contextlib.asynccontextmanager
async def _serve(
    proc: process.Process, services: list[typing.Any], listen: units.Address
) -> collections.abc.AsyncIterator[None]:
    """Serve gRPC services to other processes during the ``with`` block."""
    server = batched_writes.Server(services)
    channel_auth.protect_server(
        server, proc.get_current_ring, on_refused=proc.log_refused_call
    )
    await server.start(*listen)
    yield
    server.close()
    await server.wait_closed()


async def _mark_serving(
    proc: process.Process, log: replicated_log.ReplicatedLog
) -> None:
    """Mark the process as serving once the log knows its group."""
    await log.group_known.wait()
    proc.life.advance('serve')
