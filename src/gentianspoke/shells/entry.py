"""The entry process: takes the fabric's packets and forwards them."""

import asyncio

from gentianspoke.codec import frame
from gentianspoke.codec import ip
from gentianspoke.config import settings
from gentianspoke.config import units
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
                self._forward(raw, sender)

    def _take_catalogue(self, update: feed_client.CatalogueUpdate) -> None:
        if update.version < self.table.catalogue_version:
            return
        if update.snapshot:
            self._entries.clear()
        self._entries.update((item.name, item) for item in update.entries)
        self.table.set_catalogue(update.version, [*self._entries.values()])
        self._proc.events.write('catalogue-in-force', version=update.version)

    def _forward(self, raw: bytes, sender: units.Address) -> None:
        try:
            packet = ip.parse(raw)
        except errors.PacketError as exc:
            self._proc.metrics.dropped.inc({'reason': exc.reason})
            return
        match routing.route(self.table, packet):
            case actions.Pass(member=member, forward=forward):
                data = frame.encode(forward, self._proc.ring)
                self._sock.send(data, (member.host, member.port))
                self._proc.metrics.packets.inc({'action': 'forwarded'})
            case actions.Refuse(packet=refused, reason=reason):
                self._sock.send(ip.reset_for(refused), sender)
                self._proc.metrics.refused.inc({'reason': reason})
            case actions.Drop(reason=reason):
                self._proc.metrics.dropped.inc({'reason': reason})


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
