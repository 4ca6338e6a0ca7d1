"""The entry process: takes the fabric's packets and forwards them."""

import asyncio

import loguru

from gentianspoke.codec import frame
from gentianspoke.codec import ip
from gentianspoke.config import settings
from gentianspoke.config import units
from gentianspoke.core import packets
from gentianspoke.core import services
from gentianspoke.core import views
from gentianspoke.decisions import actions
from gentianspoke.decisions import routing
from gentianspoke import errors
from gentianspoke.net import datagrams
from gentianspoke.shells import feed_client
from gentianspoke.shells import process

# Time between a planned stop, when /ready turns 503, and the last packet.
STOP_DELAY_S = 1.0


class Entry:
    """The shell around the route table of one entry."""

    def __init__(
        self, proc: process.Process, sock: datagrams.DatagramSocket
    ) -> None:
        """Begin without a catalogue; nothing is forwarded until it came."""
        self._proc = proc
        self._sock = sock
        self._entries: dict[str, services.Service] = {}
        self.table = routing.RouteTable()
        proc.metrics.on_render(self._set_gauges)

    def take(self, update: feed_client.Update) -> int:
        """Take an update of the feed, return the version in force."""
        match update:
            case feed_client.CatalogueUpdate():
                self._take_catalogue(update)
            case views.View():
                self.table.set_view(update)
            case feed_client.Confirmed():
                if self._proc.life.state == 'syncing':
                    self._proc.life.advance('serve')
        return self.table.catalogue_version

    async def forward_packets(self) -> None:
        """Forward packets until cancelled; one task reads the socket."""
        while True:
            for raw, sender in await self._sock.receive_burst():
                self.handle_packet(raw, sender)

    def handle_packet(self, raw: bytes, sender: units.Address) -> None:
        """Forward a packet, refuse it, or count why it was dropped."""
        dropped = self._proc.metrics.counts.dropped
        try:
            self._forward(raw, sender)
        except errors.PacketError as exc:
            dropped[exc.reason] += 1
        except Exception:
            # A fault in the handling of one packet must not end the task
            # that carries all other flows.
            loguru.logger.exception('a packet was not handled')
            dropped['internal-error'] += 1

    def _take_catalogue(self, update: feed_client.CatalogueUpdate) -> None:
        if update.version < self.table.catalogue_version:
            return
        if update.snapshot:
            self._entries.clear()
        self._entries.update((item.name, item) for item in update.entries)
        self.table.set_catalogue(update.version, [*self._entries.values()])
        self._proc.events.write('catalogue-in-force', version=update.version)

    def _forward(self, raw: bytes, sender: units.Address) -> None:
        counts = self._proc.metrics.counts
        match routing.route(self.table, ip.parse(raw)):
            case actions.Pass(member=member, forward=forward):
                forward.logical = self._proc.events.logical
                data = frame.encode(forward, self._proc.ring)
                self._sock.send(data, (member.host, member.port))
                counts.packets['forwarded'] += 1
            case actions.Refuse(packet=refused, reason=reason):
                self._sock.send(ip.reset_for(refused), sender)
                counts.refused[reason] += 1
                flow = packets.describe_key(refused.key)
                self._proc.events.write(
                    'flow-refused', flow=flow, reason=reason
                )
            case actions.Drop(reason=reason):
                counts.dropped[reason] += 1

    def _set_gauges(self) -> None:
        gauges = self._proc.metrics.set_gauge
        gauges('services', len(self.table.rankings))
        gauges('unsent', self._sock.unsent)


async def run(cfg: settings.Settings) -> None:
    """Run an entry until a planned stop."""
    match cfg.role:
        case settings.EntrySettings(listen=listen):
            pass
        case _:
            raise errors.SettingsError('settings', 'entry', 'missing; add it')
    async with process.run_process(cfg, 'entry') as proc:
        with datagrams.open_datagrams(listen) as sock:
            entry = Entry(proc, sock)
            async with process.run_tasks(
                entry.forward_packets(),
                feed_client.follow_feeds(proc, 'entry', entry.take),
            ):
                await proc.stop.wait()
                proc.life.advance('stop')
                await asyncio.sleep(STOP_DELAY_S)
